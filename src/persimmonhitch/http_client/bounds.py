"""Bounds of an HTTP answer, and the error raised for an answer beyond one of them."""

from enum import Enum
from typing import Final

MAX_HEAD_BYTES: Final = 64 * 1024
"""Maximum size of a head, including the interim heads before it."""
MAX_FRAMING_BYTES: Final = 16 * 1024
"""Maximum size of all trailers and chunk extensions of an answer."""
FREE_CHUNK_LINE_BYTES: Final = 18
"""Part of each chunk size line that is free: the longest size in use and its end."""
MAX_BLOCK_S: Final = 2.0
"""Maximum time from the first to the last byte of a head, of a chunk size line and of
the trailers; a lost segment is sent again several times within it."""


class AnswerPart(Enum):
    """Part of an answer that has a bound of its own."""

    HEAD = "head"
    FRAMING = "framing"
    """Chunk size lines and trailers."""
    BODY = "body"
    EVENT = "event"
    """What an event stream sends without a complete event."""
    MEMORY = "memory"
    """All answers that the process holds; the largest is cut."""


class AnswerBoundExceeded(Exception):
    """Raised for an answer beyond a bound, which therefore counts as garbled.

    The class derives from no error of the standard library, since ``http.client`` and
    ``urllib3`` replace several of these by errors of their own.
    """

    def __init__(self, part: AnswerPart, bound: str) -> None:
        super().__init__(f"{part.value} exceeds {bound}")
        self.part = part
