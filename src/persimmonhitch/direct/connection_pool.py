"""Connections to upstreams, kept between requests."""

import contextlib
import socket
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.util.wait import wait_for_read

CONNECT_TIMEOUT_S: Final = 0.6
"""Seconds; some hundred trips between two zones. A VM without power answers nothing,
and its callers have to reach another one within their own time."""
MAX_IDLE_S: Final = 8.0
"""Seconds that a connection is kept unused where the upstream states no limit."""
IDLE_MARGIN_S: Final = 0.5
"""Seconds before an upstream's own limit at which a connection is given up: a request
sent as the upstream closes is lost, and it may have run."""
MAX_IDLE_CONNS: Final = 32
"""Unused connections to one upstream; more are closed at once."""
MAX_UNACKED_MS: Final = 2000
"""Milliseconds without an acknowledgement after which a connection is dead."""

Address = tuple[str, int]


@dataclass(frozen=True)
class _IdleConn:
    conn: HTTPConnection
    idle_since: float
    expires_at: float


class ConnectionPool:
    """Takes and keeps connections; safe to use from many threads."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._idle: defaultdict[Address, list[_IdleConn]] = defaultdict(list)
        self._lock = threading.Lock()

    def acquire(self, address: Address, max_idle_s: float) -> HTTPConnection | None:
        """Return a kept connection that was idle for at most ``idle_most`` seconds."""
        while True:
            with self._lock:
                idle = self._idle[address].pop() if self._idle[address] else None
            if idle is None:
                return None
            now = self._clock()
            # Bytes that wait on an idle connection are its end, or belong to no
            # request of ours; the next caller would get them as its answer.
            if now < idle.expires_at and not _readable(idle.conn):
                if now - idle.idle_since <= max_idle_s:
                    return idle.conn
            idle.conn.close()

    def open(self, address: Address, timeout_s: float) -> HTTPConnection | None:
        """Return a new connection, or None if it can't be made in time."""
        conn = HTTPConnection(*address, timeout=min(CONNECT_TIMEOUT_S, timeout_s))
        try:
            conn.connect()
        except (HTTPError, OSError):
            conn.close()
            return None
        sock = conn.sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError):
            # Without it a peer that lost its power holds the thread until the
            # request's own end, and the connection would be kept after it.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKED_MS)
        return conn

    def release(
        self, address: Address, conn: HTTPConnection, idle_limit: float | None
    ) -> None:
        """Keep a connection whose answer has been read to its end."""
        max_idle = MAX_IDLE_S if idle_limit is None else idle_limit - IDLE_MARGIN_S
        now = self._clock()
        with self._lock:
            idle = self._idle[address]
            keep = conn.sock is not None and max_idle > 0 and len(idle) < MAX_IDLE_CONNS
            if keep:
                idle.append(_IdleConn(conn, now, now + max_idle))
        if not keep:
            conn.close()

    def close_idle(self, address: Address) -> None:
        """Close what is kept to an upstream that left or failed."""
        with self._lock:
            idle = self._idle.pop(address, [])
        for entry in idle:
            entry.conn.close()


def _readable(conn: HTTPConnection) -> bool:
    if conn.sock is None:
        return True
    try:
        return wait_for_read(conn.sock, timeout=0.0)
    except (OSError, ValueError):
        return True
