"""Bounds of an HTTP answer."""

from typing import Final

MAX_HEAD_BYTES: Final = 64 * 1024
"""Maximum size of a head, including the interim heads before it."""
MAX_HEAD_LINES: Final = 100
"""Maximum number of lines of a head after its status line."""
MAX_FRAMING_BYTES: Final = 16 * 1024
"""Maximum size of all trailers and chunk extensions of an answer."""
FREE_CHUNK_LINE_BYTES: Final = 18
"""Part of each chunk size line that is free: the longest size in use and its end."""
MAX_BLOCK_S: Final = 2.0
"""Maximum time from the first to the last byte of a head, of a chunk size line and of
the trailers; a lost segment is sent again several times within it."""
