"""The operators' two lists, their changes and their versions."""
