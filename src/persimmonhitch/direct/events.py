"""Splits an event stream into whole events."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

EVENT_END: Final = re.compile(rb"\r?\n\r?\n")
ID_LINE: Final = re.compile(rb"^id:[ ]?(.*?)\r?$", re.M)
MOST_EVENT: Final = 1024 * 1024
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
        self._rest = b""

    def take(self, part: bytes) -> Iterator[StreamEvent]:
        """Yield the events that end in this part."""
        self._rest += part
        if len(self._rest) > MOST_EVENT:
            raise ValueError("an event too long")
        while (found := EVENT_END.search(self._rest)) is not None:
            data, self._rest = self._rest[: found.end()], self._rest[found.end() :]
            ids = ID_LINE.findall(data)
            yield StreamEvent(data, ids[-1].decode("latin-1") if ids else None)

    @property
    def rest(self) -> bytes:
        """Return what has come of an event that has not ended."""
        return self._rest
