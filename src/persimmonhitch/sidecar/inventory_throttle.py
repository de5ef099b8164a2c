"""Decide when an upstream sends its inventory to the planner.

With 5,500 upstreams, a message per second from each would exceed the planner's limit
of 6 KB per second for control traffic. Copies and memory are sent when they change.
Demand is sent when it has changed by ``DEMAND_STEP``, half of the effect of one copy
more or less at two copies, at most every ``DEMAND_INTERVAL_S``. Otherwise an inventory
is sent every ``FULL_INTERVAL_S``; the pings of the link detect a dead upstream.
"""

from typing import Final

from ..wire.placement import Inventory

DEMAND_STEP: Final = 0.25
MIN_DEMAND_CHANGE: Final = 5.0
"""Tokens per second; smaller changes are ignored."""
DEMAND_INTERVAL_S: Final = 5.0
FULL_INTERVAL_S: Final = 60.0

State = tuple[object, ...]


class InventoryThrottle:
    """Decides whether an inventory is sent."""

    def __init__(self) -> None:
        self._last: Inventory | None = None
        self._sent_at = 0.0

    def should_send(self, msg: Inventory, now: float) -> bool:
        """Return whether to send an inventory now; if so, record it as sent."""
        last, elapsed = self._last, now - self._sent_at
        changed = (
            last is None
            or elapsed >= FULL_INTERVAL_S
            or _state(last) != _state(msg)
            or (elapsed >= DEMAND_INTERVAL_S and _demand_changed(last, msg))
        )
        if changed:
            self._last, self._sent_at = msg, now
        return changed


def _state(msg: Inventory) -> State:
    copies = tuple((h.copy, h.state, h.memory_gib) for h in msg.copies)
    return msg.epoch, msg.free_gib, msg.accepts_loads, msg.draining, copies


def _demand_changed(old: Inventory, new: Inventory) -> bool:
    pairs = zip(old.copies, new.copies, strict=False)
    return any(_has_changed(a.demand, b.demand) for a, b in pairs)


def _has_changed(old: float, new: float) -> bool:
    return abs(new - old) > max(MIN_DEMAND_CHANGE, DEMAND_STEP * old)
