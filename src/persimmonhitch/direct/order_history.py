"""Earliest time at which a new leader may send orders to each engine.

Orders of two leaders that reach an engine in quick succession may undo each other. A
new leader therefore waits until ``guard_s`` seconds after the last order that another
entry may have sent.
"""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from ..fleet.upstream import NOT_COUNTED
from ..ids import Upstream, Vm
from ..planner.lease import Predecessor
from .engine_client import ORDER_TIMEOUT_S


@dataclass(frozen=True)
class _Release:
    received_at: float
    upstreams: frozenset[Upstream]
    """Engines that the releasing entry knows."""


@dataclass(frozen=True)
class _LastOrder:
    vm: Vm
    order_count: int | None
    """Orders that the engine had accepted; None if not known."""
    sent_at: float


@dataclass(frozen=True)
class OrderGuard:
    """Time to wait after an order of a previous leader that arrived late."""

    reported_count: int | None
    """Orders that the engine had accepted by the last report of that leader."""
    guard_s: float

    def allowed_at(self, order_count: int, was_unreachable: bool, now: float) -> float:
        """Return the time from which orders are allowed after an engine's report.

        An order without an answer may have waited on a stalled path. It may have
        arrived just now if the engine has accepted more orders than reported, or if
        its path has just recovered; its report may be older than that.
        """
        is_reported = self.reported_count is None or order_count <= self.reported_count
        return now if is_reported and not was_unreachable else now + self.guard_s


NO_GUARD: Final = OrderGuard(None, 0.0)


class OrderHistory:
    """Last orders that other entries have reported; times are monotonic seconds."""

    def __init__(
        self, vm: Vm, guard_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._vm = vm
        self._guard_s = guard_s
        self._clock = clock
        self._started_at = clock()
        self._last_orders: dict[Upstream, _LastOrder] = {}
        self._releases: dict[Vm, _Release] = {}

    def record_orders(self, vm: Vm, upstream: Upstream, order_count: int) -> None:
        """Record the order count of an engine, as the leader on ``vm`` reports it."""
        self._releases.pop(vm, None)
        last = self._last_orders.get(upstream)
        if last is None or last.order_count != order_count or last.vm != vm:
            self._last_orders[upstream] = _LastOrder(vm, order_count, self._clock())

    def record_release(self, vm: Vm, ages: Mapping[Upstream, float]) -> None:
        """Record that ``vm`` has released the lease, with ages of its last orders."""
        now = self._clock()
        self._releases[vm] = _Release(now, frozenset(ages))
        for upstream, age in ages.items():
            last = self._last_orders.get(upstream)
            if last is None or last.sent_at < now - age:
                count = None if last is None or last.vm != vm else last.order_count
                self._last_orders[upstream] = _LastOrder(vm, count, now - age)

    def reported_count(self, upstream: Upstream) -> int | None:
        """Return how many orders an engine had accepted by the last leader's reports.

        None if that is not known.
        """
        last = self._last_orders.get(upstream)
        if last is None or last.order_count == NOT_COUNTED:
            return None
        return last.order_count

    def orders_allowed_at(
        self,
        upstream: Upstream,
        leading_since: float,
        predecessor: Predecessor | None,
        ended: bool,
    ) -> float:
        """Return the time from which orders to an engine are allowed.

        Parameters
        ----------
        leading_since : float
            Time at which this entry acquired the lease.
        predecessor : Predecessor or None
            Previous holder of the lease, if any.
        ended : bool
            Whether the predecessor's process is known to have ended. Otherwise, unless
            it released the lease, it may have sent orders until the lease expired,
            and the last one may arrive ``ORDER_TIMEOUT_S`` later.
        """
        if predecessor is None:
            return leading_since
        release = self._releases.get(predecessor.vm)
        if predecessor.vm != self._vm and not ended and release is None:
            return leading_since + ORDER_TIMEOUT_S + self._guard_s
        last = self._last_orders.get(upstream)
        allowed_at = leading_since if last is None else last.sent_at + self._guard_s
        if release is not None and upstream not in release.upstreams:
            # A leader before the releasing entry may have sent orders to this engine.
            allowed_at = max(allowed_at, release.received_at + self._guard_s)
        return max(allowed_at, self._complete_since(predecessor))

    def _complete_since(self, predecessor: Predecessor) -> float:
        """Return the time from which this history covers all orders within the guard.

        A newly started process has received no reports of earlier orders, even if their
        sender released the lease properly. In a rolling restart of all entries, this
        process would otherwise send orders right after the previous leader.
        """
        if predecessor.vm == self._vm and predecessor.held_s >= self._guard_s:
            # Only the previous process on this VM sent orders within the guard time.
            return self._started_at
        return self._started_at + self._guard_s
