"""Randomized soak test: real entry processes under faults injected from outside."""
