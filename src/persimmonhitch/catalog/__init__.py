"""Configuration of accounts, plans, models and services: lists, changes, versions."""
