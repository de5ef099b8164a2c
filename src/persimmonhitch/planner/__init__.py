"""The planner: places models on upstreams, one active at a time."""
