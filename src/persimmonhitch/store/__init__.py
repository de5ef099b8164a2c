"""The platform's store as the rest of the system sees it."""
