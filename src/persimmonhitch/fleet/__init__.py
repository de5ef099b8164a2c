"""Typed configuration of the fleet and typed records of its upstreams."""
