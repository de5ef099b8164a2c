"""Entry that calls upstreams directly, as listed in the store of the platform."""
