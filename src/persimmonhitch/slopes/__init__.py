"""Measurements of cost against size for docs/CAPACITY.md.

Each slope is registered by name and measures one kind of cost at several sizes.
``python -m persimmonhitch.slopes NAME`` runs one.
"""
