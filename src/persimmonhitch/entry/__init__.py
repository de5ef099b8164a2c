"""HTTP front process: authentication, rate limits, routing and answers."""
