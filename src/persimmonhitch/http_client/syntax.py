"""Grammar of HTTP answers (RFC 9110 and RFC 9112).

Where the RFCs leave the reader free, a line of a head or of the trailers may end
without its carriage return, and folded lines are malformed.
"""

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from .errors import AnswerPart, MalformedAnswer

OWS: Final = " \t"
"""Optional white space around values."""
TOKEN: Final = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
TEXT: Final = rb"[\t\x20-\x7e\x80-\xff]*"
STATUS_LINE: Final = re.compile(
    rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: (%b))?\r?\n" % TEXT
)
"""Form of a status line; the space before a missing reason may be missing as well."""
SWITCHING_PROTOCOLS: Final = 101
FIELD_LINE: Final = re.compile(rb"(%b):(%b)\r?\n" % (TOKEN, TEXT))
CHUNK_EXTENSION: Final = (
    rb'[ \t]*;[ \t]*%b(?:[ \t]*=[ \t]*(?:%b|"(?:[^"\\\x00-\x08\x0a-\x1f\x7f]'
    rb'|\\[\t\x20-\x7e\x80-\xff])*"))?' % (TOKEN, TOKEN)
)
CHUNK_SIZE_LINE: Final = re.compile(rb"([0-9A-Fa-f]+)(?:%b)*\r\n" % CHUNK_EXTENSION)
LENGTH: Final = re.compile(r"[0-9]+")
MAX_SIZE: Final = 2**63 - 1
"""Maximum length or chunk size in bytes."""
MAX_SIZE_DIGITS: Final = 19
"""Decimal digits of ``MAX_SIZE``; in hexadecimal it has fewer."""


@dataclass(frozen=True)
class StatusLine:
    """Status line of a head in HTTP/1."""

    minor_version: int
    code: int
    reason: str


def parse_status_line(line: bytes) -> StatusLine:
    """Return the parsed status line, which includes its end.

    Raises
    ------
    MalformedAnswer
        If the line has another form, or announces a protocol that was not requested.
    """
    found = STATUS_LINE.fullmatch(line)
    if found is None or int(found[2]) == SWITCHING_PROTOCOLS:
        raise MalformedAnswer(AnswerPart.HEAD, "status line")
    reason = (found[3] or b"").decode("iso-8859-1").strip(OWS)
    return StatusLine(int(found[1]), int(found[2]), reason)


def parse_field(line: bytes, part: AnswerPart) -> tuple[str, str]:
    """Return the name and the value of a field line, which includes its end.

    Raises
    ------
    MalformedAnswer
        If the line is no field; ``part`` is the part of the answer that has it.
    """
    found = FIELD_LINE.fullmatch(line)
    if found is None:
        raise MalformedAnswer(part, "field line")
    name, value = found.groups()
    return name.decode("ascii"), value.decode("iso-8859-1").strip(OWS)


def parse_length(values: Sequence[str]) -> int | None:
    """Return the length in all ``Content-Length`` fields, None if there are none.

    Raises
    ------
    MalformedAnswer
        If a value is no length, or two lengths differ.
    """
    if not values:
        return None
    texts = _elements(values)
    if not all(map(LENGTH.fullmatch, texts)):
        raise MalformedAnswer(AnswerPart.HEAD, "length")
    lengths = {_parse_size(text, 10) for text in texts}
    length = lengths.pop()
    if length is None or lengths:
        raise MalformedAnswer(AnswerPart.HEAD, "length")
    return length


def parse_chunked(values: Sequence[str], minor_version: int) -> bool:
    """Return whether the ``Transfer-Encoding`` fields state a chunked body.

    Raises
    ------
    MalformedAnswer
        If there is any other coding, none of which was requested, or if the version
        has no codings.
    """
    if not values:
        return False
    codings = [text.lower() for text in _elements(values) if text]
    if minor_version == 0 or codings != ["chunked"]:
        raise MalformedAnswer(AnswerPart.HEAD, "transfer coding")
    return True


def parse_chunk_size(line: bytes) -> int:
    """Return the size in a chunk size line, which includes its end.

    Raises
    ------
    MalformedAnswer
        If the line has another form.
    """
    found = CHUNK_SIZE_LINE.fullmatch(line)
    size = None if found is None else _parse_size(found[1].decode("ascii"), 16)
    if size is None:
        raise MalformedAnswer(AnswerPart.FRAMING, "chunk size")
    return size


def _elements(values: Iterable[str]) -> list[str]:
    """Return the elements of the lists in all fields of a name."""
    return [text.strip(OWS) for value in values for text in value.split(",")]


def _parse_size(digits: str, base: int) -> int | None:
    """Return a number of bytes, None if it exceeds ``MAX_SIZE``."""
    significant = digits.lstrip("0") or "0"
    if len(significant) > MAX_SIZE_DIGITS:
        return None
    size = int(significant, base)
    return size if size <= MAX_SIZE else None
