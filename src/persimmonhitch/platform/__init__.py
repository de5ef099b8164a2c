"""Names, formats and calls of the platform; nothing here decides."""
