"""Plays of load against the decisions, without a network."""
