"""JSON that other programs wrote: one odd part must not hide the others.

``json.loads`` fails for a whole document if one value in it is nested too deeply, has
too many digits or holds bytes that are no text. Documents hold the entries of many
writers, so that these values are read here, and rejected with their entry alone.
"""

import json
import math
import re
from collections.abc import Iterable
from typing import Any, Final

MAX_DEPTH: Final = 64
"""Levels of lists and objects in a readable value."""
MAX_PARSED_DEPTH: Final = 2 * MAX_DEPTH
"""Levels that are parsed: a document around its readable values."""
MAX_INT: Final = 2**63 - 1
MAX_DIGITS: Final = 18
"""Digits of a number that is surely within ``MAX_INT``."""
TOO_DEEP: Final = "NaN"
"""Replaces a value below ``MAX_PARSED_DEPTH``; no readable value contains it."""
DELIMITER: Final = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]|[\]}]', re.DOTALL)


def parse_json(data: bytes | str) -> Any:
    """Return the value of a document; parts of it may not be readable.

    Control characters in texts are taken as they are.

    Raises
    ------
    ValueError
        If the document is malformed.
    """
    text = data if isinstance(data, str) else data.decode("utf-8", "surrogateescape")
    try:
        return json.loads(text, strict=False)
    except (RecursionError, ValueError):
        # The calls for each number take several times as long.
        return json.loads(_prune(text), parse_int=_parse_int, strict=False)


def parse_readable(data: bytes | str) -> Any:
    """Return the value of a document.

    Raises
    ------
    ValueError
        If the document is malformed or a part of it is not readable.
    """
    value = parse_json(data)
    if not is_readable(value):
        raise ValueError("a number, a text or the nesting is out of bounds")
    return value


def is_readable(value: Any) -> bool:
    """Return whether all parts of a value can be used and written again.

    Numbers are finite and integers at most ``MAX_INT``, texts can be encoded, and
    nesting is at most ``MAX_DEPTH``.
    """
    level: list[Any] = [value]
    for depth in range(MAX_DEPTH + 1):
        deeper: list[Any] = []
        for item in level:
            kind = type(item)
            if kind is str:
                if not item.isascii() and not _is_encodable(item):
                    return False
            elif kind is dict:
                deeper += item.values()
                if not _is_encodable("".join(item)):
                    return False
            elif kind is list:
                deeper += item
            elif kind is int:
                if not -MAX_INT <= item <= MAX_INT:
                    return False
            elif kind is float and not math.isfinite(item):
                return False
        if not deeper:
            return depth < MAX_DEPTH or not any(map(_is_nested, level))
        level = deeper
    return False


def fits(value: Any, limit: int) -> bool:
    """Return whether a value has at most ``limit`` parts and characters of texts."""
    size = 0
    level: list[Any] = [value]
    while level:
        item = level.pop()
        size += 1
        if isinstance(item, str):
            size += len(item)
        elif isinstance(item, dict):
            size += sum(map(len, item))
            level += item.values()
        elif isinstance(item, list):
            level += item
        if size + len(level) > limit:
            return False
    return True


def _is_nested(item: Any) -> bool:
    return isinstance(item, dict | list)


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _parse_int(digits: str) -> int | float:
    # int() refuses thousands of digits, and with them the whole document.
    return int(digits) if len(digits) <= MAX_DIGITS else float(digits)


def _prune(text: str) -> str:
    """Return a document in which values that are nested too deeply are replaced."""
    return "".join(_shallow_parts(text))


def _shallow_parts(text: str) -> Iterable[str]:
    depth = begin = 0
    for match in DELIMITER.finditer(text):
        if match[0] in "[{":
            depth += 1
            if depth == MAX_PARSED_DEPTH + 1:
                yield text[begin : match.start()] + TOO_DEEP
        elif match[0] in "]}":
            depth -= 1
            if depth == MAX_PARSED_DEPTH:
                begin = match.end()
    if depth <= MAX_PARSED_DEPTH:
        yield text[begin:]
