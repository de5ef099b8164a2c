"""Histories of software versions that entries ask their neighbours for.

An entry sees the versions that its list has shown. What was listed before it started,
or while its list missed changes, its neighbours may know. A neighbour replies once the
store has confirmed its own list after the request, so that no time is left between both
histories.
"""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..ids import Vm
from ..observe.logs import log
from .peer_messages import HistoryReply, HistoryRequest
from .stream_origins import StreamOrigins

FIRST_DELAY_S: Final = 0.3
"""Seconds until the first request is repeated; doubled each time."""
MAX_REQUESTS: Final = 6
MIN_GAIN_MS: Final = 1000.0
"""Milliseconds by which the history of a neighbour has to be longer for a reply. When
all entries start at the same time, none of them knows more than the others."""


@dataclass(frozen=True)
class _Pending:
    """A request of a neighbour, until the list is confirmed."""

    vm: Vm
    number: int
    received_at: float


class HistoryRequests:
    """Sends and answers requests for histories; thread-safe.

    Parameters
    ----------
    publish : callable
        Sends a message to all peers.
    send : callable
        Sends a message to a neighbour; returns whether there is a link to it.
    is_neighbour : callable
        Returns whether this entry replies to a peer, so that few peers do.
    request_check : callable
        Asks for a check of the list; ``list_checked`` receives its result.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        publish: Callable[[HistoryRequest], None],
        send: Callable[[Vm, HistoryReply], bool],
        is_neighbour: Callable[[Vm], bool],
        request_check: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._origins = origins
        self._publish = publish
        self._send = send
        self._is_neighbour = is_neighbour
        self._request_check = request_check
        self._clock = clock
        self._lock = threading.Lock()
        self._number = 0
        self._sent = 0
        self._due_at = 0.0
        self._pending: list[_Pending] = []

    def tick(self) -> None:
        """Send a request if the list has missed changes and no reply has arrived."""
        now = self._clock()
        gaps = self._origins.gaps
        with self._lock:
            if gaps != self._number:
                self._number, self._sent, self._due_at = gaps, 0, now
            is_due = 0 < gaps and self._sent < MAX_REQUESTS and now >= self._due_at
            if not is_due or self._origins.has_full_history():
                return
            self._due_at = now + FIRST_DELAY_S * 2**self._sent
            self._sent += 1
            request = HistoryRequest(self._number, self._origins.history_ms())
        self._publish(request)

    def receive_request(self, vm: Vm, msg: HistoryRequest, as_of: float) -> None:
        """Reply to a neighbour, after a check, if this entry knows more than it."""
        now = self._clock()
        gain_ms = self._origins.history_ms() - msg.since_ms - (now - as_of) * 1000
        if not self._is_neighbour(vm) or gain_ms < MIN_GAIN_MS:
            return
        with self._lock:
            self._pending.append(_Pending(vm, msg.number, now))
        self._request_check()

    def list_checked(self, began_at: float, confirmed: bool) -> None:
        """Reply to the requests that came before the check of the list began."""
        if not self._pending:
            return
        with self._lock:
            due = [item for item in self._pending if item.received_at <= began_at]
            self._pending = [item for item in self._pending if item not in due]
        if not confirmed:
            # The neighbour asks again.
            return
        seen = self._origins.history()
        for item in due:
            self._send(item.vm, HistoryReply(item.number, seen))

    def receive_reply(self, vm: Vm, msg: HistoryReply) -> None:
        """Apply the history of a neighbour."""
        if msg.number != self._origins.gaps:
            return
        self._origins.extend_history(msg.seen)
        log("history_extended", peer=vm, seconds=msg.seen.since_ms / 1000)
