"""The answer to one attempt as it comes in over a link."""

import queue
from dataclasses import dataclass, field

from ..ids import RequestId
from ..wire.messages import Chunk, End, Fail, Head


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
        self._frames.put(frame)
        return True

    def _fits(self, frame: Head | Chunk | End | Fail) -> bool:
        if frame.request != self.request or frame.attempt != self.attempt:
            return False
        if isinstance(frame, Head):
            return not self.have_head
        if isinstance(frame, Chunk):
            return self.have_head and frame.seq == self.next_chunk
        if isinstance(frame, End):
            return self.have_head and frame.chunks == self.next_chunk
        return True

    def lose(self) -> None:
        """Note that the link ended."""
        self._frames.put(LinkLost())

    def get(self, timeout: float) -> Incoming | None:
        """Return the next frame, or None after ``timeout`` seconds."""
        try:
            return self._frames.get(timeout=max(0.0, timeout))
        except queue.Empty:
            return None
