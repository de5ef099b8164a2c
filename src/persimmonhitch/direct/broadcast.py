"""Carries messages of one entry to all others, over a few neighbours of each."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Final

from returns.result import Success

from ..decide.overlay import PROBE_EVERY, Overlay, Routes, Way
from ..ids import Incarnation, Vm
from ..observe.logs import log
from ..wire.codec import decode, encode
from .news import Bundle, Item

FLUSH_EVERY: Final = 0.1
"""Seconds between two bundles to a neighbour, while there is something to tell."""
URGENT_EVERY: Final = 0.03
"""Seconds between two of them while callers wait for what is told."""
BEAT_EVERY: Final = 0.2
"""Seconds after which a neighbour is told that this entry lives."""

Handler = Callable[[Vm, Any, float], None]
"""Takes the origin, the message, and when its news were so in monotonic seconds."""
SendFrame = Callable[[Vm, bytes], bool]


@dataclass(frozen=True)
class _Queued:
    item: Item
    source: Vm | None
    """The neighbour that it came from; None for a message of this entry."""
    across: bool
    at: float


@dataclass
class _Heard:
    """The newest message of an origin."""

    incarnation: Incarnation
    number: int
    ended: frozenset[Incarnation] = frozenset()
    """Processes that ran there before."""


class Broadcast:
    """Tells all entries; each message reaches a handler once, in order.

    Parameters
    ----------
    overlay : Overlay
        Decides whom this entry tells.
    send : callable
        Sends an encoded message to one neighbour.
    observe_age : callable
        Takes the seconds that the oldest news of a bundle were on their way.
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
        self._vm = overlay.me.vm
        self._incarnation = incarnation
        self._overlay = overlay
        self._send = send
        self._clock = clock
        self._lock = threading.Lock()
        self._number = 0
        self._queue: list[_Queued] = []
        self._urgent = False
        self._heard: dict[Vm, _Heard] = {}
        self._handlers: dict[type, Handler] = {}
        self._flushed_at = self._beat_at = self._probed_at = 0.0
        self.routes = Routes()
        self._logged: Vm | None = self._vm

    def on(self, kind: type, handler: Handler) -> None:
        """Hand every message of a kind to ``handler``."""
        self._handlers[kind] = handler

    def publish(self, msg: Any, urgent: bool = False) -> None:
        """Tell a message to all other entries; it goes out with the next flush.

        ``urgent`` says that callers wait for it.
        """
        body = encode(msg)
        now = self._clock()
        with self._lock:
            self._number += 1
            item = Item(self._vm, self._incarnation, self._number, 0, body)
            self._queue.append(_Queued(item, None, False, now))
            self._urgent |= urgent

    def incarnation(self, vm: Vm) -> Incarnation | None:
        """Return the newest process that was heard from a VM."""
        found = self._heard.get(vm)
        return found.incarnation if found else None

    def hear(self, vm: Vm, msg: Bundle) -> None:
        """Take a neighbour's bundle, pass its news on and hand them to handlers."""
        now = self._clock()
        with self._lock:
            self._overlay.heard(vm, msg.way, now)
            fresh = [item for item in msg.items if self._is_new(item)]
            across = msg.way is Way.ACROSS
            self._queue += [_Queued(item, vm, across, now) for item in fresh]
        if fresh:
            self._observe_age(max(item.age_ms for item in fresh) / 1000)
        for item in fresh:
            self._handle(item, now - item.age_ms / 1000)

    def _is_new(self, item: Item) -> bool:
        if item.origin == self._vm:
            return False
        last = self._heard.get(item.origin)
        if last is None:
            self._heard[item.origin] = _Heard(item.incarnation, item.number)
            return True
        if item.incarnation != last.incarnation:
            if item.incarnation in last.ended:
                return False
            ended = last.ended | {last.incarnation}
            self._heard[item.origin] = _Heard(item.incarnation, item.number, ended)
            return True
        if item.number <= last.number:
            return False
        last.number = item.number
        return True

    def _handle(self, item: Item, as_of: float) -> None:
        result = decode(item.body)
        if not isinstance(result, Success):
            # A newer version of the program may tell what this one does not know.
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
        """Send what is to be told, if it is time to."""
        now = self._clock()
        with self._lock:
            beat = now - self._beat_at >= BEAT_EVERY
            pause = URGENT_EVERY if self._urgent else FLUSH_EVERY
            if not beat and (not self._queue or now - self._flushed_at < pause):
                return
            self._flushed_at, self._urgent = now, False
            self._beat_at = now if beat else self._beat_at
            probe = now - self._probed_at >= PROBE_EVERY
            self._probed_at = now if probe else self._probed_at
            routes = self.routes = self._overlay.routes(now)
            queue, self._queue = self._queue, []
        self._log_parent(routes)
        self._tell(routes, queue, now, beat)
        if probe and routes.probes:
            self._send_all(routes.probes, Bundle(Way.UP, ()))

    def _tell(
        self, routes: Routes, queue: list[_Queued], now: float, beat: bool
    ) -> None:
        parent = routes.parent
        up = [q for q in queue if q.source != parent]
        inner = [q for q in queue if not q.across]
        groups = (
            (Way.UP, frozenset((parent,) if parent is not None else ()), up),
            (Way.DOWN, routes.children, queue),
            (Way.ACROSS, routes.across, inner),
        )
        for way, targets, queued in groups:
            if targets and (queued or beat):
                items = tuple(_aged(q, now) for q in queued)
                self._send_all(targets, Bundle(way, items))

    def _send_all(self, targets: frozenset[Vm], bundle: Bundle) -> None:
        frame = encode(bundle)
        for vm in targets:
            self._send(vm, frame)

    def _log_parent(self, routes: Routes) -> None:
        if routes.parent == self._logged:
            return
        self._logged = routes.parent
        log(
            "news_parent",
            parent=routes.parent or "-",
            silent=",".join(sorted(routes.probes)) or "-",
            children=len(routes.children),
        )


def _aged(queued: _Queued, now: float) -> Item:
    waited = max(0, int((now - queued.at) * 1000))
    return replace(queued.item, age_ms=queued.item.age_ms + waited)
