"""Clients of what the platform gives: the object API and the list of VMs."""
