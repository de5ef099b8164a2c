"""Rates and bursts of client accounts, held over all VMs together."""
