"""Splits an event stream into whole events."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

EVENT_END: Final = re.compile(rb"\r?\n\r?\n")
ID_LINE: Final = re.compile(rb"^id:[ ]?(.*?)\r?$", re.M)
MAX_EVENT_BYTES: Final = 1024 * 1024
"""Bytes of one event; an upstream that sends no end would fill the memory."""


@dataclass(frozen=True)
class StreamEvent:
    """One whole event and its id, where it has one."""

    data: bytes
    id: str | None


class EventSplitter:
    """Collects parts of a stream and returns its whole events.

    An upstream that crashes cuts its stream in the middle of an event. A caller that
    got the first half would take it, joined with the next run's first event, for one.
    """

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Yield the events that end in this part."""
        self._tail += chunk
        if len(self._tail) > MAX_EVENT_BYTES:
            raise ValueError("an event too long")
        while (match := EVENT_END.search(self._tail)) is not None:
            data, self._tail = self._tail[: match.end()], self._tail[match.end() :]
            ids = ID_LINE.findall(data)
            yield StreamEvent(data, ids[-1].decode("latin-1") if ids else None)

    @property
    def tail(self) -> bytes:
        """Return what has come of an event that has not ended."""
        return self._tail
