"""The process that callers reach: keys, limits, routing, answers."""
