"""The process beside each upstream: the last to admit a request to it."""
