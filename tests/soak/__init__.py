"""Randomized soak: real entries as processes, faults from outside them."""
