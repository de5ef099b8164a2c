"""The listener of a server: takes connections, or stops listening for a moment."""

import contextlib
import itertools
import socket
import struct
import time
from collections import OrderedDict, deque
from collections.abc import Callable, ItemsView
from typing import Any, Final

from waitress import wasyncore
from waitress.server import TcpWSGIServer

from ..decide.conn_admission import ConnAdmission, PauseCause
from ..observe.logs import SampledLog, log
from .load import LoadMeter

MAX_ACCEPTS: Final = 8
"""Connections taken at a time; between two times the requests are read and counted."""
MIN_PAUSE_S: Final = 0.05
"""Shortest pause. Connections open on a listening port whether or not they are taken,
and their requests pass the link; so a flooded port listens for short moments."""
FLOOD_END_S: Final = 0.1
"""Time in which a port that listens again is flooded if ``MAX_ACCEPTS`` connections
come."""
PENDING_S: Final = 1.0
"""Seconds for which a connection without a request counts as one; callers that open
connections in advance must not keep others out."""
LATE_CAUSES: Final = frozenset({PauseCause.PROCESSOR, PauseCause.LINK})
"""Causes of a pause with which requests are served late, and are not refused."""
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""

SPARE_CONNS: Final = 64
"""Connections below the limit at which the longest idle ones are closed."""
MIN_KEPT_PER_SPARE: Final = 16
"""Least limit for each of the ``SPARE_CONNS``; a server for few callers has none."""
MIN_IDLE_S: Final = 1.0
"""Least time without bytes after which a connection is closed as idle. The request of
a new connection, or the next one of a kept connection, may be on its way."""
IDLE_CHECK_INTERVAL_S: Final = 0.1
CLOSE_IN_ORDER: Final = struct.pack("ii", 0, 0)


def reset_on_close(sock: socket.socket) -> None:
    """Reset a connection when it closes, whether or not its bytes were read."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def close_in_order(sock: socket.socket) -> None:
    """Send the unsent bytes of a connection when it closes, and end it in order."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_IN_ORDER)


class SocketMap(dict[int, Any]):
    """Sockets of a server by descriptor, as its loop uses them.

    The loop reads all sockets, waits for events, and looks up the socket of each. One
    that is closed in between frees its descriptor for a new socket, which must not get
    the event of the old one: the end of a connection would close the listener. So a
    socket gets events only once the loop has read it.
    """

    def __init__(self) -> None:
        super().__init__()
        self._unread: set[int] = set()

    def __setitem__(self, descriptor: int, item: Any) -> None:
        """Add a socket."""
        self._unread.add(descriptor)
        super().__setitem__(descriptor, item)

    def items(self) -> ItemsView[int, Any]:  # type: ignore[override]
        """Return all sockets; called once in each turn of the loop."""
        self._unread.clear()
        return super().items()

    def get(self, descriptor: int, default: Any = None) -> Any:
        """Return the socket that an event is for, or ``default`` without any."""
        if descriptor in self._unread:
            return default
        return super().get(descriptor, default)


class Listener(TcpWSGIServer):  # type: ignore[misc]
    """Listener that counts connections and requests; runs on the server thread.

    Parameters
    ----------
    admission : ConnAdmission or None
        Decides when new connections are taken; None to take all.
    """

    keep_alive_disabled = False
    closing_idle = False

    def __init__(
        self,
        app: Any,
        meter: LoadMeter,
        admission: ConnAdmission | None,
        clock: Callable[[], float] = time.monotonic,
        **options: Any,
    ) -> None:
        self.meter = meter
        self._admission = admission
        self._clock = clock
        self._pending: OrderedDict[int, float] = OrderedDict()
        """When each connection without a request yet was accepted, by descriptor."""
        self._errors = SampledLog("accept_failed")
        self.is_paused = False
        self._paused_at = self._resumed_at = 0.0
        self._last_cause: PauseCause | None = None
        """Cause of the last pause, while the port may still be flooded."""
        self._taken = 0
        """Connections taken since the last pause."""
        self._is_stopped = False
        self._next_idle_check = 0.0
        self._to_drop: deque[Any] = deque()
        """Connections that the server's thread is to close."""
        super().__init__(app, map=SocketMap(), **options)

    def readable(self) -> bool:
        """Return whether to take connections; close idle ones near the limit."""
        limit = self.adj.connection_limit
        spare = min(SPARE_CONNS, limit // MIN_KEPT_PER_SPARE)
        now = self._clock()
        if len(self._map) >= limit - spare and now >= self._next_idle_check:
            self._next_idle_check = now + IDLE_CHECK_INTERVAL_S
            self._close_longest_idle(2 * spare, now)
        return bool(super().readable())

    def drop_soon(self, channel: Any) -> None:
        """Close a connection on the server's thread; may be called by any thread.

        The server's thread is woken for the first of several only, since each call
        waits for what that thread does.
        """
        self._to_drop.append(channel)
        if len(self._to_drop) == 1:
            self.trigger.pull_trigger(self._drop_all)

    def _drop_all(self) -> None:
        while self._to_drop:
            try:
                self._to_drop.popleft().close_if_open()
            except Exception as exc:
                # The others are closed by this call alone.
                log("drop_failed", error=repr(exc))

    def handle_accept(self) -> None:
        """Take some of the connections that wait, or pause."""
        now = self._clock()
        for _ in range(MAX_ACCEPTS):
            cause = self._pause_cause(now)
            if cause is not None:
                self._pause(cause, now)
                return
            accepted = self._accept()
            if accepted is None:
                return
            self._take(*accepted, now)

    def _close_longest_idle(self, count: int, now: float) -> None:
        """Close some idle connections; at the limit no caller could connect."""
        channels = [
            channel
            for channel in self.active_channels.values()
            if now - channel.active_at >= MIN_IDLE_S
        ]
        by_age = sorted(channels, key=lambda channel: float(channel.active_at))
        idle = (item for item in by_age if not item.close_when_flushed)
        unused = (item for item in idle if not item.has_input())
        closed = list(itertools.islice(unused, count))
        for channel in closed:
            channel.close_when_flushed = True
        if closed:
            log("idle_conns_closed", closed=len(closed), open=len(self._map))

    def _take(self, sock: socket.socket, addr: Any, now: float) -> None:
        self.meter.accepted()
        if self._admission is not None:
            self._admission.taken(now)
        self._pending[sock.fileno()] = now
        self._pending.move_to_end(sock.fileno())
        self.channel_class(self, sock, self.fix_addr(addr), self.adj, map=self._map)
        self._taken += 1

    def _accept(self) -> tuple[socket.socket, Any] | None:
        """Return a connection that waits, or None."""
        try:
            accepted: tuple[socket.socket, Any] | None = self.accept()
            if accepted is not None:
                self.set_socket_options(accepted[0])
        except OSError as exc:
            # The caller has left, or the process is out of descriptors.
            self._errors.log(error=repr(exc))
            return None
        return accepted

    def _pause_cause(self, now: float) -> PauseCause | None:
        if self._admission is None:
            return None
        self._expire_pending(now)
        load = self.meter.request_load(len(self._pending))
        return self._admission.pause_cause(now, load) or self._flood_cause(now)

    def _flood_cause(self, now: float) -> PauseCause | None:
        """Return the cause of the last pause if its flood goes on, else None."""
        if self.is_paused or self._last_cause is None:
            return None
        if now - self._resumed_at > FLOOD_END_S:
            self._last_cause = None
        return self._last_cause if self._taken >= MAX_ACCEPTS else None

    def _expire_pending(self, now: float) -> None:
        while self._pending:
            fileno, accepted_at = next(iter(self._pending.items()))
            if fileno in self.active_channels and now - accepted_at < PENDING_S:
                return
            del self._pending[fileno]

    def _pause(self, cause: PauseCause, now: float) -> None:
        """Stop listening; take a few connections that wait, and reset the others.

        Their requests have been sent already. Where an entry is merely late, a few more
        cost less than what their callers would lose.
        """
        self.is_paused, self._paused_at, self._last_cause = True, now, cause
        for _ in range(MAX_ACCEPTS if cause in LATE_CAUSES else 0):
            accepted = self._accept()
            if accepted is None:
                break
            self._take(*accepted, now)
        while (accepted := self._accept()) is not None:
            self.meter.closed_unread(cause)
            reset_on_close(accepted[0])
            accepted[0].close()
        wasyncore.dispatcher.close(self)
        self.meter.paused(cause, now)

    def resume(self) -> None:
        """Listen again if there is room for new connections."""
        now = self._clock()
        if not self.is_paused or self._is_stopped:
            return
        if now - self._paused_at < MIN_PAUSE_S or self._pause_cause(now) is not None:
            return
        try:
            self.create_socket(self.family, self.socktype)
            self.set_reuse_addr()
            self.bind((self.effective_host, int(self.effective_port)))
            self.accept_connections()
        except OSError as exc:
            self._errors.log(error=repr(exc))
            wasyncore.dispatcher.close(self)
            return
        self.is_paused, self._resumed_at, self._taken = False, now, 0
        self.meter.resumed(now)

    def stop(self) -> None:
        """Close the listener for good; take the connections that wait."""
        self._is_stopped = True
        if self.is_paused:
            return
        while (accepted := self._accept()) is not None:
            sock, addr = accepted
            self.channel_class(self, sock, self.fix_addr(addr), self.adj, map=self._map)
        wasyncore.dispatcher.close(self)

    def add_task(self, task: Any) -> None:
        """Queue the next request of a connection for a thread."""
        task.queued_at = self.meter.request_queued()
        self._pending.pop(task._fileno, None)
        super().add_task(task)
