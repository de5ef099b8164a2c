"""Threads that run for the life of a process, and do not end silently."""

import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Final

from ..observe.logs import log

RESTART_DELAY_S: Final = 0.1
"""Delay of a loop that has failed, so that one that always fails takes no processor."""
_failures: Counter[str] = Counter()


def record_failure(thread: str) -> int:
    """Count a failure of a thread that goes on; return how many it has had."""
    _failures[thread] += 1
    return _failures[thread]


def failure_counts() -> dict[str, int]:
    """Return the failures of the threads of this process that had any."""
    return dict(_failures)


def service_thread(name: str, run: Callable[[], None]) -> threading.Thread:
    """Return a daemon thread for a loop that ends by returning.

    An exception is logged with its number since the start, and the loop begins anew:
    without the thread, the process would go on in its last state for good.
    """

    def keep_running() -> None:
        while True:
            try:
                return run()
            except Exception as exc:
                failures = record_failure(name)
                log("thread_failed", thread=name, failures=failures, error=repr(exc))
            time.sleep(RESTART_DELAY_S)

    return threading.Thread(target=keep_running, name=name, daemon=True)


def log_failed_threads() -> None:
    """Log exceptions that end a thread; Python writes them to standard error alone."""

    def log_failure(failure: threading.ExceptHookArgs) -> None:
        name = failure.thread.name if failure.thread is not None else "-"
        log("thread_failed", thread=name, error=repr(failure.exc_value))

    threading.excepthook = log_failure
