"""Pool of connections to upstreams."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Set
from dataclasses import dataclass
from typing import Final

from urllib3.exceptions import HTTPError
from urllib3.util.wait import wait_for_read

from ..http_client import BoundedConnection

CONNECT_TIMEOUT_S: Final = 0.6
"""Several hundred round trips between two availability zones. A VM without power never
answers, and callers must reach another upstream before their deadline."""
MAX_IDLE_S: Final = 8.0
"""Maximum idle time of a connection if the upstream states no limit."""
IDLE_MARGIN_S: Final = 0.5
"""Time before the upstream's own limit at which an idle connection expires: a request
sent while the upstream closes the connection is lost, and may have been executed."""
MAX_IDLE_CONNS: Final = 32
"""Maximum idle connections per upstream; further connections are closed at once."""
MAX_UNACKED_MS: Final = 2000
"""Time without a TCP acknowledgement after which a connection is dead."""

NO_CONNS: Final[frozenset[BoundedConnection]] = frozenset()

Address = tuple[str, int]


@dataclass(frozen=True)
class _IdleConn:
    conn: BoundedConnection
    idle_since: float
    expires_at: float


class ConnectionPool:
    """Opens and pools connections; thread-safe."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._idle: dict[Address, list[_IdleConn]] = {}
        self._kept: Set[Address] | None = None
        """Addresses whose idle connections are kept, None for all."""
        self._lock = threading.Lock()

    def acquire(
        self,
        address: Address,
        max_idle_s: float,
        excluded: Set[BoundedConnection] = NO_CONNS,
    ) -> BoundedConnection | None:
        """Return a pooled connection idle for at most ``max_idle_s``, or None.

        The connections in ``excluded`` stay in the pool.
        """
        while True:
            idle = self._take_newest(address, excluded)
            if idle is None:
                return None
            now = self._clock()
            # An idle connection is readable after a close or an unexpected answer; the
            # next caller would receive this answer in place of its own.
            if now < idle.expires_at and not _readable(idle.conn):
                if now - idle.idle_since <= max_idle_s:
                    return idle.conn
            idle.conn.close()

    def _take_newest(
        self, address: Address, excluded: Set[BoundedConnection]
    ) -> _IdleConn | None:
        with self._lock:
            items = self._idle.get(address, [])
            for index in range(len(items) - 1, -1, -1):
                if items[index].conn not in excluded:
                    return items.pop(index)
        return None

    def open(self, address: Address, timeout_s: float) -> BoundedConnection | None:
        """Return a new connection, or None if it can't be opened in time."""
        conn = BoundedConnection(*address, timeout=min(CONNECT_TIMEOUT_S, timeout_s))
        try:
            conn.connect()
        except (HTTPError, OSError, ValueError, OverflowError):
            # Addresses come from records that other programs write.
            conn.close()
            return None
        sock = conn.sock
        conn.local_port = sock.getsockname()[1]
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError):
            # Without this timeout, a VM that lost power would block the thread up to
            # the deadline of its request, and the pool would reuse the connection.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKED_MS)
        return conn

    def release(
        self, address: Address, conn: BoundedConnection, idle_limit: float | None
    ) -> None:
        """Return a connection to the pool after its answer was read completely.

        ``idle_limit`` is the idle time in seconds after which the upstream closes it.
        """
        max_idle = MAX_IDLE_S if idle_limit is None else idle_limit - IDLE_MARGIN_S
        now = self._clock()
        with self._lock:
            idle = self._idle.get(address, [])
            is_kept = self._kept is None or address in self._kept
            is_usable = conn.sock is not None and max_idle > 0
            keep = is_kept and is_usable and len(idle) < MAX_IDLE_CONNS
            if keep:
                idle.append(_IdleConn(conn, now, now + max_idle))
                self._idle[address] = idle
        if not keep:
            conn.close()

    def keep_only(self, addresses: Set[Address]) -> None:
        """Close idle connections to all other addresses, now and when released.

        Upstreams are replaced all day, and the process has a limited number of
        descriptors.
        """
        with self._lock:
            self._kept = addresses
            others = [address for address in self._idle if address not in addresses]
            idle = [item for address in others for item in self._idle.pop(address)]
        for item in idle:
            item.conn.close()


def _readable(conn: BoundedConnection) -> bool:
    if conn.sock is None:
        return True
    try:
        return wait_for_read(conn.sock, timeout=0.0)
    except (OSError, ValueError):
        return True
