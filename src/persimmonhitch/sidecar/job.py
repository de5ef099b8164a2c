"""One attempt of a request on the sidecar, with its answer so far."""

import threading
from dataclasses import dataclass, field
from typing import Final

from ..ids import Tokens
from ..observe.traces import Hop, HopName, Traces
from ..verdict import Failure
from ..wire.link import Link
from ..wire.messages import Chunk, End, Fail, Head, Resume, Submit

MAX_RESUME_BYTES: Final = 1024 * 1024
"""Bytes of an answer kept for a resume; a longer answer can't be resumed."""

Frame = Head | Chunk | End | Fail


class JobSpans:
    """The spans of one attempt: in total, in the queue and at the upstream."""

    def __init__(self, traces: Traces, sub: Submit) -> None:
        self._traces = traces
        self._all = traces.start(
            HopName.SIDECAR, sub.traceparent, request=sub.request, attempt=sub.attempt
        )
        self._wait = traces.start(HopName.QUEUE, self._all.traceparent)
        self._call: Hop | None = None

    def call(self) -> str:
        """Start the span of the call; return the ``traceparent`` to forward."""
        self._wait.end()
        self._call = self._traces.start(HopName.UPSTREAM, self._all.traceparent)
        return self._call.traceparent

    def end(self, exc: Failure | None) -> None:
        """End all spans."""
        for hop in (self._wait, self._call, self._all):
            if hop is None:
                continue
            if exc is not None:
                hop.fail(exc)
            hop.end()


@dataclass
class Job:
    """An attempt and its answer.

    Frames are kept until the job is removed, so that an entry that lost its link
    receives the rest of the answer over a new one.
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
    _kept_bytes: int = 0
    _next_chunk: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def __post_init__(self) -> None:
        self.flowing.set()

    @property
    def deadline_at(self) -> float:
        """Return the deadline in this VM's monotonic time."""
        return self.arrived_at + self.submit.timeout_s

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of the answer."""
        sub = self.submit
        self._emit(Head(sub.request, sub.attempt, status, headers))

    def chunk(self, data: bytes) -> None:
        """Send a part of the body."""
        sub = self.submit
        seq, self._next_chunk = self._next_chunk, self._next_chunk + 1
        self._kept_bytes += len(data)
        self._emit(Chunk(sub.request, sub.attempt, seq, data))

    def end(self, used: Tokens) -> None:
        """Send the end of a complete answer."""
        sub = self.submit
        self.used = used
        self.spans.end(None)
        self._emit(End(sub.request, sub.attempt, self._next_chunk, used))

    def fail(self, exc: Failure) -> None:
        """Send a failure in place of a complete answer."""
        self.spans.end(exc)
        self._emit(Fail.from_failure(self.submit.request, self.submit.attempt, exc))

    def _emit(self, frame: Frame) -> None:
        with self._lock:
            self._frames.append(frame)
            if self._kept_bytes > MAX_RESUME_BYTES:
                self._frames = [f for f in self._frames if not isinstance(f, Chunk)]
            if self.link is not None:
                self.link.send(frame)

    def can_resume(self, msg: Resume) -> bool:
        """Return whether all frames that the entry lacks are kept."""
        kept = sum(1 for frame in self._frames if isinstance(frame, Chunk))
        return kept == self._next_chunk or msg.next_chunk == self._next_chunk

    def attach(self, link: Link, msg: Resume) -> None:
        """Send the missing frames over a new link and continue there."""
        with self._lock:
            self.orphaned_at = None
            self.link = link
            # A pause that the entry requested ended with the old link.
            self.flowing.set()
            for frame in self._frames:
                if _is_missing(frame, msg):
                    link.send(frame)

    def detach(self, now: float) -> None:
        """Record that the link was lost; frames are kept from now on."""
        with self._lock:
            self.link = None
            self.orphaned_at = now


def _is_missing(frame: Frame, msg: Resume) -> bool:
    if isinstance(frame, Head):
        return not msg.head_received
    if isinstance(frame, Chunk):
        return frame.seq >= msg.next_chunk
    return True
