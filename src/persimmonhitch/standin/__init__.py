"""Small stand-ins for what the platform and the upstreams give, for tests."""
