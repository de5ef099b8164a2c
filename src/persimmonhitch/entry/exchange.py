"""The answer to one attempt as it comes in over a link."""

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from ..ids import RequestId
from ..wire.messages import Chunk, End, Fail, Head

MOST_UNREAD: Final = 256 * 1024
LEAST_UNREAD: Final = 64 * 1024
"""Bytes of one answer that wait for its caller: 60 streams take 15 MiB at most."""


def _no_flow(_go_on: bool) -> None:
    return


@dataclass(frozen=True)
class LinkLost:
    """The link ended before the answer did."""


Incoming = Head | Chunk | End | Fail | LinkLost


@dataclass
class Exchange:
    """Frames of one attempt, in order.

    Answers of two requests, or of two attempts of one, may cross on a link. A
    frame is taken only for its own request and attempt and in its own place;
    anything else is dropped and counted, since passing it on would give a caller
    part of another's answer.
    """

    request: RequestId
    attempt: int
    next_chunk: int = 0
    have_head: bool = False
    dropped: int = 0
    flow: Callable[[bool], None] = _no_flow
    """Told False when the caller does not keep up, True when it does again."""
    _unread: int = 0
    _stopped: bool = False
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _frames: "queue.SimpleQueue[Incoming]" = field(default_factory=queue.SimpleQueue)

    def put(self, frame: Head | Chunk | End | Fail) -> bool:
        """Take a frame; return False when it is not this attempt's next one."""
        if not self._fits(frame):
            self.dropped += 1
            return False
        if isinstance(frame, Head):
            self.have_head = True
        if isinstance(frame, Chunk):
            self.next_chunk += 1
            self._count(len(frame.data))
        self._frames.put(frame)
        return True

    def _count(self, size: int) -> None:
        """Keep unread bytes in bounds.

        A caller that reads slowly would else have its whole answer stand in this
        entry's memory; and if the link were left unread instead, it would hold up
        every other answer on it.
        """
        with self._lock:
            self._unread += size
            too_many = not self._stopped and self._unread > MOST_UNREAD
            read = self._stopped and self._unread < LEAST_UNREAD
            self._stopped = (self._stopped or too_many) and not read
        if too_many or read:
            self.flow(read)

    def _fits(self, frame: Head | Chunk | End | Fail) -> bool:
        if frame.request != self.request or frame.attempt != self.attempt:
            return False
        if isinstance(frame, Head):
            return not self.have_head
        if isinstance(frame, Chunk):
            return self.have_head and frame.seq == self.next_chunk
        if isinstance(frame, End):
            return self.have_head and frame.chunk_count == self.next_chunk
        return True

    def lose(self) -> None:
        """Note that the link ended."""
        self._frames.put(LinkLost())

    def get(self, timeout: float) -> Incoming | None:
        """Return the next frame, or None after ``timeout`` seconds."""
        try:
            frame = self._frames.get(timeout=max(0.0, timeout))
        except queue.Empty:
            return None
        if isinstance(frame, Chunk):
            self._count(-len(frame.data))
        return frame
