"""Splits a stream of server-sent events into complete events."""

import re
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from ..http_client import AnswerBoundExceeded, AnswerPart

EVENT_END: Final = re.compile(rb"\r?\n\r?\n")
ID_LINE: Final = re.compile(rb"^id:[ ]?(.*?)\r?$", re.M)
DATA_FIELD: Final = b"data"
DATA_LINE: Final = b"\n" + DATA_FIELD
MAX_EVENT_BYTES: Final = 1024 * 1024
"""Maximum size of an event; an unterminated event would exhaust the memory."""
MAX_EMPTY_BYTES: Final = 64 * 1024
"""Maximum size of the comments and blank lines between two events. Comments keep a
connection alive; a few bytes per second are enough for this."""
LARGE_TAIL_BYTES: Final = 16 * 1024
END_OVERLAP_BYTES: Final = 3
"""Bytes before a new chunk in which the end of an event may begin."""


class StreamEvent(NamedTuple):
    """A complete event and its id, if any."""

    data: bytes
    id: str | None


def scan_events(blocks: Iterable[bytes]) -> tuple[bool, bytes]:
    """Return whether an event stream has events, and the bytes after the last one."""
    splitter, has_events = EventSplitter(needs_data=True), False
    for block in blocks:
        for _event in splitter.feed(block):
            has_events = True
    return has_events, splitter.tail


class EventSplitter:
    """Buffers chunks of a stream and yields complete events.

    A crashing upstream truncates its stream within an event. A caller that received the
    fragment would parse it and the first event of the resumed stream as one event.

    With ``needs_data``, blocks without a data field are bounded, and those that arrive
    together are one event.
    """

    def __init__(self, needs_data: bool = False) -> None:
        self._tail: bytes | bytearray = b""
        self._needs_data = needs_data
        self._empty_bytes = 0
        self.tail_bytes = 0
        """Size of the incomplete event."""

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Yield the events that end in this chunk."""
        tail, search_at, start = self._tail, 0, 0
        if tail:
            # Searching all of it again for each small chunk would take quadratic time.
            search_at = max(0, len(tail) - END_OVERLAP_BYTES)
            tail += chunk
        else:
            tail = chunk
        empty, empty_id = b"", None
        size = len(tail)
        while search_at < size and (match := EVENT_END.search(tail, search_at)):
            search_at = match.end()
            data = tail[start:search_at]
            start = search_at
            ids = ID_LINE.findall(data)
            event_id = ids[-1].decode("latin-1") if ids else empty_id
            if self._needs_data and not (
                DATA_LINE in data or data.startswith(DATA_FIELD)
            ):
                empty, empty_id = empty + data, event_id
                self._count_empty(len(data))
                continue
            self._empty_bytes = 0
            yield StreamEvent(empty + data, event_id)
            empty, empty_id = b"", None
        if empty:
            yield StreamEvent(empty, empty_id)
        self.tail_bytes = size - start
        if start == size:
            self._tail = b""
        else:
            # A slice of a ``bytearray`` is a copy, even a slice of all of it.
            self._keep(tail[start:] if start else tail)

    def _keep(self, tail: bytes | bytearray) -> None:
        if len(tail) > MAX_EVENT_BYTES:
            raise AnswerBoundExceeded(AnswerPart.EVENT, f"{MAX_EVENT_BYTES} bytes")
        # Appending to ``bytes`` copies them each time.
        is_large = len(tail) > LARGE_TAIL_BYTES and isinstance(tail, bytes)
        self._tail = bytearray(tail) if is_large else tail

    def _count_empty(self, count: int) -> None:
        self._empty_bytes += count
        if self._empty_bytes > MAX_EMPTY_BYTES:
            raise AnswerBoundExceeded(AnswerPart.EVENT, f"{MAX_EMPTY_BYTES} bytes")

    @property
    def tail(self) -> bytes:
        """Return the bytes received of an incomplete event."""
        return bytes(self._tail)
