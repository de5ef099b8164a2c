"""Measurements of cost against size, from which docs/CAPACITY.md is worked out.

Each slope registers itself by name and measures one kind of cost at several
sizes on this machine. ``python -m persimmonhitch.slopes NAME`` runs one.
"""
