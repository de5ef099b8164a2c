"""Simulated platform services and upstreams for tests."""
