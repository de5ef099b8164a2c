"""Ends a request from another thread, and the watch that decides to."""

import threading
import time
from collections.abc import Callable
from enum import Enum
from typing import Final

from ..observe.logs import log

POLL_INTERVAL_S: Final = 0.05
"""Seconds between two looks at the requests under way. Work for a caller that has gone
has to end within half a second; this leaves nine tenths of it to the network."""


class AbortReason(Enum):
    """Why a request ends before its answer does."""

    CALLER_LEFT = "caller_left"
    TIMEOUT = "timeout"
    STOPPING = "stopping"


class Abort:
    """One request that may be ended; the action wakes the thread that serves it."""

    def __init__(self, caller_left: Callable[[], bool], deadline_at: float) -> None:
        self.caller_left = caller_left
        self.deadline_at = deadline_at
        self.reason: AbortReason | None = None
        self._action: Callable[[], None] | None = None
        self._lock = threading.Lock()

    def set_action(self, action: Callable[[], None] | None) -> None:
        """Set what ends the present step; runs at once if it is too late."""
        with self._lock:
            self._action = action
            triggered = self.reason is not None
        if triggered and action is not None:
            action()

    def trigger(self, reason: AbortReason) -> None:
        """End the request."""
        with self._lock:
            if self.reason is not None:
                return
            self.reason = reason
            action = self._action
        if action is not None:
            action()


class Watchdog:
    """Ends requests whose caller has left or whose time is over.

    The thread of a request waits in a read of its upstream's answer and would learn of
    neither before the next byte comes.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._aborts: set[Abort] = set()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="watchdog", daemon=True)

    def start(self) -> None:
        """Watch from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Watch no more."""
        self._stopping.set()

    def add(self, abort: Abort) -> None:
        """Watch one request."""
        self._aborts.add(abort)

    def remove(self, abort: Abort) -> None:
        """Watch it no more."""
        self._aborts.discard(abort)

    def __len__(self) -> int:
        return len(self._aborts)

    def abort_all(self) -> int:
        """End every request; return how many there were."""
        aborts = list(self._aborts)
        for abort in aborts:
            abort.trigger(AbortReason.STOPPING)
        return len(aborts)

    def _run(self) -> None:
        while not self._stopping.wait(POLL_INTERVAL_S):
            self.poll()

    def poll(self) -> None:
        """Look at every request once."""
        now = self._clock()
        for abort in self._aborts.copy():
            try:
                if abort.caller_left():
                    abort.trigger(AbortReason.CALLER_LEFT)
                elif now >= abort.deadline_at:
                    abort.trigger(AbortReason.TIMEOUT)
            except Exception as exc:
                # One request's fault must not leave all others unwatched.
                log("abort_failed", error=repr(exc))
