"""Decisions under load: pure functions without network, clock or threads."""
