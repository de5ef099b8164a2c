"""Finds out whether upstreams that lost calls have ended."""

import threading
from typing import Final

from ..fleet.upstream import UpstreamRecord
from .connection_pool import ConnectionPool
from .poison import PoisonGuard

POLL_INTERVAL_S: Final = 0.05
CONNECT_TIMEOUT_S: Final = 0.5
"""Seconds after which an upstream that takes no connection counts as ended."""


class CrashChecks:
    """Connects to upstreams once after a loss, each on a thread of its own."""

    def __init__(self, guard: PoisonGuard, conns: ConnectionPool) -> None:
        self._guard = guard
        self._conns = conns
        self._stopping = threading.Event()

    def start(self) -> None:
        """Check from now on."""
        threading.Thread(target=self._run, name="crash-checks", daemon=True).start()

    def stop(self) -> None:
        """Check no more."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(POLL_INTERVAL_S):
            for record in self._guard.due_checks():
                threading.Thread(
                    target=self._check, args=(record,), name="crash-check", daemon=True
                ).start()

    def _check(self, record: UpstreamRecord) -> None:
        address = record.host, record.port
        conn = self._conns.open(address, CONNECT_TIMEOUT_S)
        if conn is None:
            self._guard.unreachable(record)
        else:
            # It lives, or has started anew; its answers or its entry will tell.
            self._conns.release(address, conn, None)
