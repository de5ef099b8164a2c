"""Calls that ask the store whether the list of upstreams is complete."""

import math
import threading
import time
from collections.abc import Callable

from returns.result import Result, Success

from ..kernel.threads import service_thread
from ..observe.logs import log
from ..store.objects import StoreFailure


class ListChecks:
    """Makes one call at a time; each serves all requests made before it began.

    Parameters
    ----------
    check : callable
        Applies all changes up to the call, or returns why it could not.
    interval_s : callable
        Returns the least seconds between the beginnings of two calls.
    on_result : callable
        Receives the monotonic time at which a call began, and whether it succeeded.
    """

    def __init__(
        self,
        check: Callable[[], Result[None, StoreFailure]],
        interval_s: Callable[[], float],
        on_result: Callable[[float, bool], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._check = check
        self._interval_s = interval_s
        self._on_result = on_result
        self._clock = clock
        self._wanted = threading.Event()
        self._began_at = -math.inf

    def start(self) -> None:
        """Start the thread that makes the calls."""
        service_thread("list-checks", self._run).start()

    def request(self) -> None:
        """Ask for a call that begins from now on; returns at once."""
        self._wanted.set()

    def _run(self) -> None:
        while True:
            self._wanted.wait()
            due_in = self._began_at + self._interval_s() - self._clock()
            if due_in > 0:
                time.sleep(due_in)
            # Requests of the time until here are served by the call that follows.
            self._wanted.clear()
            self.run_once()

    def run_once(self) -> None:
        """Make one call and pass its result on."""
        self._began_at = self._clock()
        result = self._check()
        confirmed = isinstance(result, Success)
        if not confirmed:
            failure = result.failure()
            log("list_unconfirmed", error=failure.error.value, detail=failure.detail)
        self._on_result(self._began_at, confirmed)
