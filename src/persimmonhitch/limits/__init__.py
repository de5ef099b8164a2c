"""Enforce the rate and burst of each client account across all VMs."""
