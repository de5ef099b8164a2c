"""The answer to one attempt as it comes in over a link."""

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from ..ids import RequestId
from ..wire.messages import Chunk, End, Fail, Head

MAX_UNREAD_BYTES: Final = 256 * 1024
RESUME_UNREAD_BYTES: Final = 64 * 1024
"""Bytes of one answer that wait for its caller: 60 streams take 15 MiB at most."""


def _ignore_flow(_resume: bool) -> None:
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
    head_received: bool = False
    dropped_frames: int = 0
    on_flow: Callable[[bool], None] = _ignore_flow
    """Told False when the caller does not keep up, True when it does again."""
    _unread_bytes: int = 0
    _paused: bool = False
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _frames: "queue.SimpleQueue[Incoming]" = field(default_factory=queue.SimpleQueue)

    def put(self, frame: Head | Chunk | End | Fail) -> bool:
        """Take a frame; return False when it is not this attempt's next one."""
        if not self._is_next(frame):
            self.dropped_frames += 1
            return False
        if isinstance(frame, Head):
            self.head_received = True
        if isinstance(frame, Chunk):
            self.next_chunk += 1
            self._add_unread(len(frame.data))
        self._frames.put(frame)
        return True

    def _add_unread(self, size: int) -> None:
        """Keep unread bytes in bounds.

        A caller that reads slowly would else have its whole answer stand in this
        entry's memory; and if the link were left unread instead, it would hold up
        every other answer on it.
        """
        with self._lock:
            self._unread_bytes += size
            pause = not self._paused and self._unread_bytes > MAX_UNREAD_BYTES
            resume = self._paused and self._unread_bytes < RESUME_UNREAD_BYTES
            self._paused = (self._paused or pause) and not resume
        if pause or resume:
            self.on_flow(resume)

    def _is_next(self, frame: Head | Chunk | End | Fail) -> bool:
        if frame.request != self.request or frame.attempt != self.attempt:
            return False
        if isinstance(frame, Head):
            return not self.head_received
        if isinstance(frame, Chunk):
            return self.head_received and frame.seq == self.next_chunk
        if isinstance(frame, End):
            return self.head_received and frame.chunk_count == self.next_chunk
        return True

    def on_link_lost(self) -> None:
        """Note that the link ended."""
        self._frames.put(LinkLost())

    def get(self, timeout: float) -> Incoming | None:
        """Return the next frame, or None after ``timeout`` seconds."""
        try:
            frame = self._frames.get(timeout=max(0.0, timeout))
        except queue.Empty:
            return None
        if isinstance(frame, Chunk):
            self._add_unread(-len(frame.data))
        return frame
