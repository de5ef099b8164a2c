"""Names, formats and client of the platform's APIs; contains no policy."""
