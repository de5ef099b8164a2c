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
    orders: int
    at: float


class OrderHistory:
    """Orders of other entries, as they told them; times are monotonic seconds."""

    def __init__(
        self, vm: Vm, guard: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._vm = vm
        self._guard = guard
        self._clock = clock
        self._started_at = clock()
        self._last: dict[Upstream, _LastOrder] = {}
        self._resigned: set[Vm] = set()

    def hear(self, vm: Vm, upstream: Upstream, orders: int) -> None:
        """Take the number of orders that an engine has had from its orderer."""
        self._resigned.discard(vm)
        last = self._last.get(upstream)
        if last is None or last.orders != orders or last.vm != vm:
            self._last[upstream] = _LastOrder(vm, orders, self._clock())

    def hear_resigned(self, vm: Vm, ages: Mapping[Upstream, float]) -> None:
        """Take the seconds since the last orders of one that gives none any more."""
        now = self._clock()
        self._resigned.add(vm)
        for upstream, age in ages.items():
            self._last[upstream] = _LastOrder(vm, -1, now - age)

    def free_from(
        self,
        upstream: Upstream,
        began_at: float,
        before: Predecessor | None,
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
        if before is None:
            return began_at
        if before.vm != self._vm and not ended and before.vm not in self._resigned:
            return began_at + self._guard
        last = self._last.get(upstream)
        free = began_at if last is None else last.at + self._guard
        return max(free, self._complete_from(before))

    def _complete_from(self, before: Predecessor) -> float:
        """Return the time from which this history holds all orders that still count.

        A process that has just started was told of none of those before, however
        properly their sender resigned: in a restart of all entries in turn it would
        order engines moments after the last holder.
        """
        if before.vm == self._vm and before.held_for >= self._guard:
            # For so long, nobody but the last process on this VM gave orders.
            return self._started_at
        return self._started_at + self._guard
