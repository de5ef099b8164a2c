"""Frames of the answer to one attempt, as received over a link."""

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from ..ids import RequestId
from ..wire.messages import Chunk, End, Fail, Head

MAX_UNREAD_BYTES: Final = 256 * 1024
RESUME_UNREAD_BYTES: Final = 64 * 1024
"""Unread bytes of an answer at which a paused sidecar may resume sending.

With ``MAX_UNREAD_BYTES`` for each answer, 60 streams take at most 15 MiB.
"""


def _ignore_flow(_resume: bool) -> None:
    return


@dataclass(frozen=True)
class LinkLost:
    """Marks the loss of the link before the end of the answer."""


Incoming = Head | Chunk | End | Fail | LinkLost


@dataclass
class Exchange:
    """Ordered queue of the frames of one attempt.

    A link interleaves the answers of several requests, or of several attempts of
    one request. A frame is accepted only if its request, attempt and sequence
    number match; any other frame is dropped and counted, since forwarding it would
    give a caller part of another caller's answer.
    """

    request: RequestId
    attempt: int
    next_chunk: int = 0
    head_received: bool = False
    dropped_frames: int = 0
    on_flow: Callable[[bool], None] = _ignore_flow
    """Called with False to pause the sidecar's output, with True to resume it."""
    _unread_bytes: int = 0
    _paused: bool = False
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _frames: "queue.SimpleQueue[Incoming]" = field(default_factory=queue.SimpleQueue)

    def put(self, frame: Head | Chunk | End | Fail) -> bool:
        """Append a frame; return False if it is not the next frame of this attempt."""
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
        """Count unread bytes, and pause or resume the sidecar at the limits.

        Without this a slow caller's whole answer would accumulate in the entry's
        memory. Leaving the link unread instead would block all other answers on
        that link.
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
        """Append ``LinkLost``."""
        self._frames.put(LinkLost())

    def get(self, timeout_s: float) -> Incoming | None:
        """Return the next frame, or None after ``timeout_s`` seconds."""
        try:
            frame = self._frames.get(timeout=max(0.0, timeout_s))
        except queue.Empty:
            return None
        if isinstance(frame, Chunk):
            self._add_unread(-len(frame.data))
        return frame
