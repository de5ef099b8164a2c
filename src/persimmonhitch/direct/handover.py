"""When a new holder of the lease may order each engine.

Engines take orders from one entry at a time; those of two that come close together may
undo each other. A new holder therefore leaves an engine alone until ``guard`` seconds
after the last order that another entry may have sent it.
"""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..ids import Upstream, Vm
from ..planner.lease import Predecessor


@dataclass(frozen=True)
class _LastOrder:
    vm: Vm
    order_count: int
    sent_at: float


class OrderHistory:
    """Orders of other entries, as they told them; times are monotonic seconds."""

    def __init__(
        self, vm: Vm, guard_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._vm = vm
        self._guard_s = guard_s
        self._clock = clock
        self._started_at = clock()
        self._last_orders: dict[Upstream, _LastOrder] = {}
        self._released: set[Vm] = set()

    def record_orders(self, vm: Vm, upstream: Upstream, order_count: int) -> None:
        """Take the number of orders that an engine has had from its orderer."""
        self._released.discard(vm)
        last = self._last_orders.get(upstream)
        if last is None or last.order_count != order_count or last.vm != vm:
            self._last_orders[upstream] = _LastOrder(vm, order_count, self._clock())

    def record_release(self, vm: Vm, ages: Mapping[Upstream, float]) -> None:
        """Take the seconds since the last orders of one that gives none any more."""
        now = self._clock()
        self._released.add(vm)
        for upstream, age in ages.items():
            self._last_orders[upstream] = _LastOrder(vm, -1, now - age)

    def orders_allowed_at(
        self,
        upstream: Upstream,
        leading_since: float,
        predecessor: Predecessor | None,
        ended: bool,
    ) -> float:
        """Return the time from which an engine may be ordered.

        Parameters
        ----------
        began_at : float
            When the lease was taken.
        before : Predecessor or None
            Who held it before; None if nobody ever did.
        ended : bool
            Whether the process of ``before`` is known to have ended. Where it is not
            and did not resign, it may have sent orders until its lease was over.
        """
        if predecessor is None:
            return leading_since
        if (
            predecessor.vm != self._vm
            and not ended
            and predecessor.vm not in self._released
        ):
            return leading_since + self._guard_s
        last = self._last_orders.get(upstream)
        allowed_at = leading_since if last is None else last.sent_at + self._guard_s
        return max(allowed_at, self._complete_since(predecessor))

    def _complete_since(self, predecessor: Predecessor) -> float:
        """Return the time from which this history holds all orders that still count.

        A process that has just started was told of none of those before, however
        properly their sender resigned: in a restart of all entries in turn it would
        order engines moments after the last holder.
        """
        if predecessor.vm == self._vm and predecessor.held_for >= self._guard_s:
            # For so long, nobody but the last process on this VM gave orders.
            return self._started_at
        return self._started_at + self._guard_s
