"""Connection checks of upstreams that may have crashed."""

import threading
from typing import Final

from ..fleet.upstream import UpstreamRecord
from ..kernel.threads import service_thread
from .connection_pool import ConnectionPool
from .poison import PoisonGuard

POLL_INTERVAL_S: Final = 0.05
CONNECT_TIMEOUT_S: Final = 0.5
"""Time after which an upstream that accepts no connection counts as crashed."""


class CrashChecks:
    """Connects to each upstream that lost requests, once per suspected crash."""

    def __init__(self, guard: PoisonGuard, conns: ConnectionPool) -> None:
        self._guard = guard
        self._conns = conns
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the checks."""
        service_thread("crash-checks", self._run).start()

    def stop(self) -> None:
        """Stop the checks."""
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
            self._guard.reachable(record)
            self._conns.release(address, conn, None)
