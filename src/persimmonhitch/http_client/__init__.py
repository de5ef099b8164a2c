"""HTTP answers with a bound on each of their parts, in bytes and in time."""

from .body import read_body
from .bounds import AnswerBoundExceeded, AnswerPart
from .connection import BoundedConnection, bounded_pool
from .response import BoundedResponse

__all__ = [
    "AnswerBoundExceeded",
    "AnswerPart",
    "BoundedConnection",
    "BoundedResponse",
    "bounded_pool",
    "read_body",
]
