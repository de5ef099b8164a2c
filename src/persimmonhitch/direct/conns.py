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

CONNECT_TIMEOUT: Final = 0.6
"""Seconds; some hundred trips between two zones. A VM without power answers nothing,
and its callers have to reach another one within their own time."""
IDLE_MOST: Final = 8.0
"""Seconds that a connection is kept unused where the upstream states no limit."""
IDLE_MARGIN: Final = 0.5
"""Seconds before an upstream's own limit at which a connection is given up: a request
sent as the upstream closes is lost, and it may have run."""
KEPT_MOST: Final = 32
"""Unused connections to one upstream; more are closed at once."""
UNACKED_MOST: Final = 2000
"""Milliseconds without an acknowledgement after which a connection is dead."""

Address = tuple[str, int]


@dataclass(frozen=True)
class _Kept:
    conn: HTTPConnection
    since: float
    until: float


class Conns:
    """Takes and keeps connections; safe to use from many threads."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._kept: defaultdict[Address, list[_Kept]] = defaultdict(list)
        self._lock = threading.Lock()

    def take(self, address: Address, idle_most: float) -> HTTPConnection | None:
        """Return a kept connection that was idle for at most ``idle_most`` seconds."""
        while True:
            with self._lock:
                kept = self._kept[address].pop() if self._kept[address] else None
            if kept is None:
                return None
            now = self._clock()
            # Bytes that wait on an idle connection are its end, or belong to no
            # request of ours; the next caller would get them as its answer.
            if now < kept.until and not _readable(kept.conn):
                if now - kept.since <= idle_most:
                    return kept.conn
            kept.conn.close()

    def open(self, address: Address, left: float) -> HTTPConnection | None:
        """Return a new connection, or None if it can't be made in time."""
        conn = HTTPConnection(*address, timeout=min(CONNECT_TIMEOUT, left))
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
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MOST)
        return conn

    def give(
        self, address: Address, conn: HTTPConnection, idle_limit: float | None
    ) -> None:
        """Keep a connection whose answer has been read to its end."""
        most = IDLE_MOST if idle_limit is None else idle_limit - IDLE_MARGIN
        now = self._clock()
        with self._lock:
            kept = self._kept[address]
            keep = conn.sock is not None and most > 0 and len(kept) < KEPT_MOST
            if keep:
                kept.append(_Kept(conn, now, now + most))
        if not keep:
            conn.close()

    def forget(self, address: Address) -> None:
        """Close what is kept to an upstream that left or failed."""
        with self._lock:
            kept = self._kept.pop(address, [])
        for item in kept:
            item.conn.close()


def _readable(conn: HTTPConnection) -> bool:
    if conn.sock is None:
        return True
    try:
        return wait_for_read(conn.sock, timeout=0.0)
    except (OSError, ValueError):
        return True
