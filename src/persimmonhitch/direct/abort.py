"""Aborts requests from another thread when the caller leaves or time runs out."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from ..kernel.threads import service_thread
from ..observe.logs import log
from ..web import CallerConn, callers_left

POLL_INTERVAL_S: Final = 0.05
"""Work for a caller that has disconnected must end within 0.5 s; this interval leaves
nine tenths of that time for the network."""


class AbortReason(Enum):
    """Why a request is aborted."""

    CALLER_LEFT = "caller_left"
    TIMEOUT = "timeout"
    STOPPING = "stopping"


class Step(Enum):
    """What a request in progress does."""

    ADMISSION = "admission"
    QUEUE = "queue"
    UPSTREAM = "upstream"
    """An upstream has it and has not answered yet."""
    ANSWER = "answer"


@dataclass(frozen=True)
class Departure:
    """A caller that left, when this was noticed.

    Attributes
    ----------
    at : float
        Monotonic time.
    silent_s : float or None
        Seconds since the caller's last segment; None if unknown.
    closed_for_s : float or None
        Seconds since the server closed the connection; None if it had not.
    unsent_bytes : int
        Bytes of the answer that waited to be sent.
    step : Step
        What the request did.
    """

    at: float
    silent_s: float | None
    closed_for_s: float | None
    unsent_bytes: int
    step: Step


class Abort:
    """Abort handle of a request; its action unblocks the thread of the request.

    Parameters
    ----------
    conn : CallerConn or None
        Connection of the caller; None if nobody waits for the answer.
    deadline_at : float
        Monotonic time at which the request is aborted.
    """

    def __init__(self, conn: CallerConn | None, deadline_at: float) -> None:
        self.conn = conn
        self.deadline_at = deadline_at
        self.step = Step.ADMISSION
        self.departure: Departure | None = None
        self.reason: AbortReason | None = None
        self._action: Callable[[], None] | None = None
        self._lock = threading.Lock()

    def set_action(self, action: Callable[[], None] | None) -> None:
        """Set the action that interrupts the current step; run it now if aborted.

        The action must not call this object.
        """
        with self._lock:
            self._action = action
            triggered = self.reason is not None
        if triggered and action is not None:
            action()

    def check_caller(self) -> None:
        """Abort the request if its caller has left by now."""
        if self.conn is not None and self.reason is None and self.conn.has_left():
            self.caller_left()
            self.drop_caller()

    def caller_left(self) -> None:
        """Abort the request of a caller that has left."""
        try:
            self._record_departure()
        finally:
            self.trigger(AbortReason.CALLER_LEFT)

    def _record_departure(self) -> None:
        if self.conn is None or self.departure is not None:
            return
        self.departure = Departure(
            time.monotonic(),
            self.conn.silent_s(),
            self.conn.closed_for_s(),
            self.conn.unsent_bytes,
            self.step,
        )

    def drop_caller(self) -> None:
        """Break off the caller's connection; a thread that sends there wakes."""
        if self.conn is not None:
            self.conn.drop()

    def trigger(self, reason: AbortReason) -> None:
        """Abort the request; only the first reason counts."""
        with self._lock:
            if self.reason is not None:
                return
            self.reason = reason
            # With the lock held, the action has not been taken back: the connection
            # that it ends may serve another request after that.
            if self._action is not None:
                self._action()


class Watchdog:
    """Aborts requests whose caller has disconnected or whose deadline has passed.

    The thread of a request is blocked in a read of the upstream's answer and would
    detect neither before the next byte arrives.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._aborts: set[Abort] = set()
        self._stopping = threading.Event()
        self._thread = service_thread("watchdog", self._run)

    def start(self) -> None:
        """Start the polling thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the polling thread."""
        self._stopping.set()

    def add(self, abort: Abort) -> None:
        """Start watching a request."""
        self._aborts.add(abort)

    def remove(self, abort: Abort) -> None:
        """Stop watching a request."""
        self._aborts.discard(abort)

    def __len__(self) -> int:
        return len(self._aborts)

    def abort_all(self) -> int:
        """Abort all requests; return their number."""
        aborts = list(self._aborts)
        for abort in aborts:
            abort.trigger(AbortReason.STOPPING)
        return len(aborts)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self.poll(POLL_INTERVAL_S)

    def poll(self, wait_s: float = 0.0) -> None:
        """Check every request once; wait for a caller to leave if none has.

        Among busy threads each call of the kernel waits for the interpreter, so that
        there is one for all requests.
        """
        aborts = [abort for abort in self._aborts.copy() if abort.reason is None]
        conns = self._conns_left(aborts, wait_s)
        now = self._clock()
        left = [abort for abort in aborts if abort.conn in conns]
        late = [abort for abort in aborts if now >= abort.deadline_at]
        _for_each(left, Abort.caller_left)
        _for_each(late, lambda abort: abort.trigger(AbortReason.TIMEOUT))
        # Wakes the server's loop; no work at an upstream waits for that.
        _for_each(left, Abort.drop_caller)

    def _conns_left(self, aborts: list[Abort], wait_s: float) -> frozenset[CallerConn]:
        try:
            conns = [abort.conn for abort in aborts if abort.conn is not None]
            return frozenset(callers_left(conns, wait_s))
        except (OSError, ValueError) as exc:
            log("abort_failed", error=repr(exc))
            self._stopping.wait(wait_s)
            return frozenset()


def _for_each(aborts: list[Abort], step: Callable[[Abort], None]) -> None:
    """Run a step for each request; one that fails does not stop the others."""
    for abort in aborts:
        try:
            step(abort)
        except Exception as exc:
            log("abort_failed", error=repr(exc))
