"""Splits a stream of server-sent events into complete events."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

EVENT_END: Final = re.compile(rb"\r?\n\r?\n")
ID_LINE: Final = re.compile(rb"^id:[ ]?(.*?)\r?$", re.M)
MAX_EVENT_BYTES: Final = 1024 * 1024
"""Maximum size of an event; an unterminated event would exhaust the memory."""


@dataclass(frozen=True)
class StreamEvent:
    """A complete event and its id, if any."""

    data: bytes
    id: str | None


def tail_of(data: bytes) -> bytes:
    """Return the bytes after the last complete event."""
    return EVENT_END.split(data)[-1]


class EventSplitter:
    """Buffers chunks of a stream and yields complete events.

    A crashing upstream truncates its stream within an event. A caller that received the
    fragment would parse it and the first event of the resumed stream as one event.
    """

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Yield the events that end in this chunk."""
        self._tail += chunk
        if len(self._tail) > MAX_EVENT_BYTES:
            raise ValueError("event exceeds the size limit")
        while (match := EVENT_END.search(self._tail)) is not None:
            data, self._tail = self._tail[: match.end()], self._tail[match.end() :]
            ids = ID_LINE.findall(data)
            yield StreamEvent(data, ids[-1].decode("latin-1") if ids else None)

    @property
    def tail(self) -> bytes:
        """Return the bytes received of an incomplete event."""
        return self._tail
