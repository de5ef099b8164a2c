"""Decisions under load: pure code over typed inputs, with the time passed in."""
