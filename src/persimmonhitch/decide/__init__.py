"""Decisions under load: pure code, without network, clock or threads."""
