"""Planner: decides which upstream loads which model; one planner leads at a time."""
