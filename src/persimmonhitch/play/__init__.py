"""Load player: the decisions under seeded load, measured against baselines."""
