"""Simulator that measures the decisions under seeded load against baselines."""
