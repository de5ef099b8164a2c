"""Access to the platform's object store: types, watches, relay and registration."""
