"""Errors raised for answers that are not believed."""

from enum import Enum


class AnswerPart(Enum):
    """Part of an answer that has a bound or a grammar of its own."""

    HEAD = "head"
    FRAMING = "framing"
    """Chunk size lines and trailers."""
    BODY = "body"
    EVENT = "event"
    """What an event stream sends without a complete event."""
    MEMORY = "memory"
    """All answers that the process holds; the largest is cut."""


class InvalidAnswer(Exception):
    """Raised for an answer that is not believed; its connection is closed.

    The class derives from no error of the standard library, since ``http.client`` and
    ``urllib3`` replace several of these by errors of their own.
    """

    def __init__(self, part: AnswerPart, problem: str) -> None:
        super().__init__(f"{part.value} {problem}")
        self.part = part


class AnswerBoundExceeded(InvalidAnswer):
    """Raised for an answer beyond a bound, which therefore counts as garbled."""

    def __init__(self, part: AnswerPart, bound: str) -> None:
        super().__init__(part, f"exceeds {bound}")


class MalformedAnswer(InvalidAnswer):
    """Raised for a head or framing that breaks the grammar of HTTP."""

    def __init__(self, part: AnswerPart, element: str) -> None:
        super().__init__(part, f"has a malformed {element}")
