"""One attempt of a request on the sidecar, with the answer it has given so far."""

import threading
from dataclasses import dataclass, field
from typing import Final

from ..ids import Tokens
from ..observe.traces import Hop, HopName, Traces
from ..verdict import Failure
from ..wire.link import Link
from ..wire.messages import Chunk, End, Fail, Head, Resume, Submit

RESUME_BYTES: Final = 1024 * 1024
"""Bytes of an answer held for a resume; a longer one cannot be resumed."""

Frame = Head | Chunk | End | Fail


class JobSpans:
    """The spans of one attempt: all of it, its wait, its call to the upstream."""

    def __init__(self, traces: Traces, sub: Submit) -> None:
        self._traces = traces
        self._all = traces.start(
            HopName.SIDECAR, sub.traceparent, request=sub.request, attempt=sub.attempt
        )
        self._wait = traces.start(HopName.QUEUE, self._all.traceparent)
        self._call: Hop | None = None

    def call(self) -> str:
        """Note the start of the call; return the ``traceparent`` to send on."""
        self._wait.end()
        self._call = self._traces.start(HopName.UPSTREAM, self._all.traceparent)
        return self._call.traceparent

    def end(self, exc: Failure | None) -> None:
        """Note the end."""
        for hop in (self._wait, self._call, self._all):
            if hop is None:
                continue
            if exc is not None:
                hop.fail(exc)
            hop.end()


@dataclass
class Job:
    """An attempt and its answer.

    Frames stay here until the job is forgotten, so that an entry which lost its
    link gets the rest of the answer over a new one instead of a cut stream.
    """

    submit: Submit
    link: Link | None
    arrived_at: float
    spans: JobSpans
    cancelled: threading.Event = field(default_factory=threading.Event)
    flowing: threading.Event = field(default_factory=threading.Event)
    orphaned_at: float | None = None
    ended_at: float | None = None
    used: float = 0.0
    _frames: list[Frame] = field(default_factory=list)
    _held: int = 0
    _next_chunk: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def __post_init__(self) -> None:
        self.flowing.set()

    @property
    def deadline_at(self) -> float:
        """Return the time on this VM's clock by which it must have ended."""
        return self.arrived_at + self.submit.timeout_s

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of the answer."""
        sub = self.submit
        self._emit(Head(sub.request, sub.attempt, status, headers))

    def chunk(self, data: bytes) -> None:
        """Send one part of the body."""
        sub = self.submit
        seq, self._next_chunk = self._next_chunk, self._next_chunk + 1
        self._held += len(data)
        self._emit(Chunk(sub.request, sub.attempt, seq, data))

    def end(self, used: Tokens) -> None:
        """Say that the answer is whole."""
        sub = self.submit
        self.used = used
        self.spans.end(None)
        self._emit(End(sub.request, sub.attempt, self._next_chunk, used))

    def fail(self, exc: Failure) -> None:
        """Say that there will be no whole answer."""
        self.spans.end(exc)
        self._emit(Fail.from_failure(self.submit.request, self.submit.attempt, exc))

    def _emit(self, frame: Frame) -> None:
        with self._lock:
            self._frames.append(frame)
            if self._held > RESUME_BYTES:
                self._frames = [f for f in self._frames if not isinstance(f, Chunk)]
            if self.link is not None:
                self.link.send(frame)

    def can_resume(self, msg: Resume) -> bool:
        """Return whether every frame that the entry misses is still held."""
        held = sum(1 for frame in self._frames if isinstance(frame, Chunk))
        return held == self._next_chunk or msg.next_chunk == self._next_chunk

    def attach(self, link: Link, msg: Resume) -> None:
        """Send what the entry misses over a new link, and go on there."""
        with self._lock:
            self.orphaned_at = None
            self.link = link
            # The entry's wish to stop went with the old link; it asks again.
            self.flowing.set()
            for frame in self._frames:
                if _is_missing(frame, msg):
                    link.send(frame)

    def detach(self, now: float) -> None:
        """Note that the link was lost; frames are held from now on."""
        with self._lock:
            self.link = None
            self.orphaned_at = now


def _is_missing(frame: Frame, msg: Resume) -> bool:
    if isinstance(frame, Head):
        return not msg.head_received
    if isinstance(frame, Chunk):
        return frame.seq >= msg.next_chunk
    return True
