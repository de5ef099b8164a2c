"""The connection of a caller while its request is served, as other threads see it."""

import contextlib
import select
import socket
import struct
import time
from collections.abc import Iterable
from typing import Any, Final

LAST_ACK_RECEIVED_OFFSET: Final = 56
"""Offset of ``tcpi_last_ack_recv`` in Linux's ``struct tcp_info``."""
TCP_INFO_BYTES: Final = 104
NO_DESCRIPTOR: Final = -1
MS_PER_S: Final = 1000


def silent_s(sock: socket.socket) -> float | None:
    """Return the seconds since the peer's last segment; None if unknown.

    A reset does not count as a segment.
    """
    with contextlib.suppress(OSError, AttributeError, struct.error):
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (ms,) = struct.unpack_from("I", info, LAST_ACK_RECEIVED_OFFSET)
        return float(ms) / MS_PER_S
    return None


class CallerConn:
    """A connection of the server; its methods may be called from any thread.

    Parameters
    ----------
    channel : waitress.channel.HTTPChannel
        The server's side of the connection.
    request : waitress.parser.HTTPRequestParser
        The request that is served.
    """

    __slots__ = ("_channel", "_request")

    def __init__(self, channel: Any, request: Any) -> None:
        self._channel = channel
        self._request = request

    def fileno(self) -> int:
        """Return the descriptor; -1 if the connection is closed."""
        sock = self._channel.socket
        return NO_DESCRIPTOR if sock is None else int(sock.fileno())

    @property
    def is_closed(self) -> bool:
        """Return whether the server has read the end of the connection."""
        return not self._channel.connected

    def has_left(self) -> bool:
        """Return whether the caller has ended the connection, read or not."""
        return bool(callers_left([self]))

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of answers that the kernel has not accepted yet."""
        return int(self._channel.total_outbufs_len)

    def drop(self) -> None:
        """Break off the connection; its unsent bytes are lost."""
        self._channel.drop_request(self._request)

    def closed_for_s(self) -> float | None:
        """Return the seconds since the server closed the connection; None if open."""
        closed_at = self._channel.closed_at
        return None if closed_at is None else time.monotonic() - closed_at

    def silent_s(self) -> float | None:
        """Return the seconds since the caller's last segment; None if unknown."""
        closed_for = self.closed_for_s()
        if closed_for is None:
            return silent_s(self._channel.socket)
        before = self._channel.silent_before_close_s
        return None if before is None else before + closed_for


def callers_left(conns: Iterable[CallerConn], wait_s: float = 0.0) -> list[CallerConn]:
    """Return the connections that their callers have ended.

    Without any, wait for the first for up to ``wait_s`` seconds.

    One call of the kernel covers them all, also those with unread or unsent bytes. The
    server reads one connection after the other and, while threads compete for the
    interpreter, waits for its turn before each.
    """
    poller = select.poll()
    watched: dict[int, CallerConn] = {}
    left = []
    for conn in conns:
        fileno = conn.fileno()
        if conn.is_closed or fileno == NO_DESCRIPTOR:
            left.append(conn)
            continue
        poller.register(fileno, select.POLLRDHUP)
        watched[fileno] = conn
    timeout_ms = 0.0 if left else wait_s * MS_PER_S
    # The descriptor of a connection that was closed meanwhile may belong to another
    # one by now, but then this caller has left as well.
    left.extend(watched[fileno] for fileno, _events in poller.poll(timeout_ms))
    return left
