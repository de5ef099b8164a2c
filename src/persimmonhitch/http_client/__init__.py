"""HTTP answers that are bounded in bytes and time, and checked against the grammar."""

from .body import read_body
from .connection import BoundedConnection, bounded_pool
from .errors import AnswerBoundExceeded, AnswerPart, InvalidAnswer, MalformedAnswer
from .response import BoundedResponse, Framing

__all__ = [
    "AnswerBoundExceeded",
    "AnswerPart",
    "BoundedConnection",
    "BoundedResponse",
    "Framing",
    "InvalidAnswer",
    "MalformedAnswer",
    "bounded_pool",
    "read_body",
]
