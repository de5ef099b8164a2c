"""What operators and upstreams say of the fleet, as typed values."""
