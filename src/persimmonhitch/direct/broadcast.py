"""Broadcast of messages to all entries, relayed over the overlay."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Final

from returns.result import Success

from ..decide.overlay import PROBE_INTERVAL_S, Overlay, RelayDirection, Routes
from ..ids import Incarnation, Vm
from ..observe.logs import log
from ..wire.codec import decode, encode
from .peer_messages import BroadcastBatch, BroadcastItem

FLUSH_INTERVAL_S: Final = 0.1
"""Minimum interval between two batches to a neighbour."""
URGENT_FLUSH_INTERVAL_S: Final = 0.03
"""Minimum interval between two batches while callers wait for a queued message."""
HEARTBEAT_INTERVAL_S: Final = 0.2
"""Interval of batches that are sent even if no message is queued."""

Handler = Callable[[Vm, Any, float], None]
"""Receives the origin, the message and the monotonic time at which it was published."""
SendFrame = Callable[[Vm, bytes], bool]


@dataclass(frozen=True)
class _Queued:
    item: BroadcastItem
    sender: Vm | None
    """The neighbour that sent the item; None for a message of this entry."""
    from_root: bool
    """Whether the neighbour sent the item as one root of the overlay to another."""
    queued_at: float


@dataclass
class _Origin:
    """The newest incarnation and sequence number received from an origin."""

    incarnation: Incarnation
    sequence: int
    ended: frozenset[Incarnation] = frozenset()
    """Incarnations of earlier processes on the same VM."""


class Broadcast:
    """Broadcasts messages to all entries.

    Handlers receive each message at most once, and those of one origin in order.

    Parameters
    ----------
    overlay : Overlay
        Selects the neighbours that this entry sends to.
    send : callable
        Sends an encoded batch to one neighbour.
    observe_age : callable
        Receives the age in seconds of the oldest new item of each batch.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        overlay: Overlay,
        send: SendFrame,
        clock: Callable[[], float] = time.monotonic,
        observe_age: Callable[[float], None] = lambda _seconds: None,
    ) -> None:
        self._observe_age = observe_age
        self._vm = overlay.local.vm
        self._incarnation = incarnation
        self._overlay = overlay
        self._send = send
        self._clock = clock
        self._lock = threading.Lock()
        self._sequence = 0
        self._queue: list[_Queued] = []
        self._urgent = False
        self._origins: dict[Vm, _Origin] = {}
        self._handlers: dict[type, Handler] = {}
        self._flushed_at = self._heartbeat_at = self._probed_at = 0.0
        self.routes = Routes()
        self._logged_parent: Vm | None = self._vm

    def on(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type."""
        self._handlers[message_type] = handler

    def publish(self, msg: Any, urgent: bool = False) -> None:
        """Queue a message for all other entries until the next flush.

        ``urgent`` shortens the interval to that flush, for messages that block
        callers.
        """
        body = encode(msg)
        now = self._clock()
        with self._lock:
            self._sequence += 1
            item = BroadcastItem(self._vm, self._incarnation, self._sequence, 0, body)
            self._queue.append(_Queued(item, None, False, now))
            self._urgent |= urgent

    def incarnation(self, vm: Vm) -> Incarnation | None:
        """Return the newest process on a VM from which a message was received."""
        state = self._origins.get(vm)
        return state.incarnation if state else None

    def has_ended(self, vm: Vm, incarnation: Incarnation) -> bool:
        """Return whether a process is known to have been replaced by a later one.

        One that was never heard of may be newer than the last one that was.
        """
        state = self._origins.get(vm)
        return state is not None and incarnation in state.ended

    def receive(self, vm: Vm, batch: BroadcastBatch) -> None:
        """Relay the new items of a neighbour's batch and deliver them to handlers."""
        now = self._clock()
        with self._lock:
            self._overlay.record_message(vm, batch.direction, now)
            new_items = [item for item in batch.items if self._record_if_new(item)]
            from_root = batch.direction is RelayDirection.BETWEEN_ROOTS
            self._queue += [_Queued(item, vm, from_root, now) for item in new_items]
        if new_items:
            self._observe_age(max(item.age_ms for item in new_items) / 1000)
        for item in new_items:
            self._deliver(item, now - item.age_ms / 1000)

    def _record_if_new(self, item: BroadcastItem) -> bool:
        if item.origin == self._vm:
            return False
        last = self._origins.get(item.origin)
        if last is None:
            self._origins[item.origin] = _Origin(item.incarnation, item.sequence)
            return True
        if item.incarnation != last.incarnation:
            if item.incarnation in last.ended:
                return False
            ended = last.ended | {last.incarnation}
            self._origins[item.origin] = _Origin(item.incarnation, item.sequence, ended)
            return True
        if item.sequence <= last.sequence:
            return False
        last.sequence = item.sequence
        return True

    def _deliver(self, item: BroadcastItem, as_of: float) -> None:
        result = decode(item.body)
        if not isinstance(result, Success):
            # Entries of a newer version may send unknown message types.
            log("news_unreadable", origin=item.origin, error=result.failure())
            return
        msg = result.unwrap()
        handler = self._handlers.get(type(msg))
        if handler is None:
            return
        try:
            handler(item.origin, msg, as_of)
        except Exception as exc:
            log("news_failed", origin=item.origin, error=repr(exc))

    def flush(self) -> None:
        """Send the queued messages or a heartbeat when due."""
        now = self._clock()
        with self._lock:
            heartbeat = now - self._heartbeat_at >= HEARTBEAT_INTERVAL_S
            interval = URGENT_FLUSH_INTERVAL_S if self._urgent else FLUSH_INTERVAL_S
            if not heartbeat and (not self._queue or now - self._flushed_at < interval):
                return
            self._flushed_at, self._urgent = now, False
            self._heartbeat_at = now if heartbeat else self._heartbeat_at
            probe_due = now - self._probed_at >= PROBE_INTERVAL_S
            self._probed_at = now if probe_due else self._probed_at
            routes = self.routes = self._overlay.routes(now)
            queue, self._queue = self._queue, []
        self._log_parent(routes)
        self._send_queued(routes, queue, now, heartbeat)
        if probe_due and routes.probes:
            self._send_batch(routes.probes, BroadcastBatch(RelayDirection.UP, ()))

    def _send_queued(
        self, routes: Routes, queue: list[_Queued], now: float, heartbeat: bool
    ) -> None:
        parent = routes.parent
        for_parent = [q for q in queue if q.sender != parent]
        for_roots = [q for q in queue if not q.from_root]
        groups = (
            (
                RelayDirection.UP,
                frozenset((parent,) if parent is not None else ()),
                for_parent,
            ),
            (RelayDirection.DOWN, routes.children, queue),
            (RelayDirection.BETWEEN_ROOTS, routes.roots, for_roots),
        )
        for direction, targets, selected in groups:
            if targets and (selected or heartbeat):
                items = tuple(_with_queue_time(q, now) for q in selected)
                self._send_batch(targets, BroadcastBatch(direction, items))

    def _send_batch(self, targets: frozenset[Vm], batch: BroadcastBatch) -> None:
        frame = encode(batch)
        for vm in targets:
            self._send(vm, frame)

    def _log_parent(self, routes: Routes) -> None:
        if routes.parent == self._logged_parent:
            return
        self._logged_parent = routes.parent
        log(
            "news_parent",
            parent=routes.parent or "-",
            unresponsive=",".join(sorted(routes.probes)) or "-",
            children=len(routes.children),
        )


def _with_queue_time(queued: _Queued, now: float) -> BroadcastItem:
    waited_ms = max(0, int((now - queued.queued_at) * 1000))
    return replace(queued.item, age_ms=queued.item.age_ms + waited_ms)
