"""Calls upstreams directly, on a platform that lists them in its store."""
