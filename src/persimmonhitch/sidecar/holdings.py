"""When the planner is told what an upstream holds.

At 5,500 upstreams a message a second from each would take the planner's VM far over
its 6 KB a second for control. Copies and memory are told when they change, demand when
it has moved by ``DEMAND_STEP`` (a quarter: half of what one copy more or less makes at
two copies) and no more often than ``DEMAND_EVERY``; the rest is silence up to
``EVERY``. A dead upstream shows by its link's pings, not by silence.
"""

from typing import Final

from ..wire.placement import Inventory

DEMAND_STEP: Final = 0.25
DEMAND_LEAST: Final = 5.0
"""Tokens a second below which a change is of no account."""
DEMAND_EVERY: Final = 5.0
EVERY: Final = 60.0

Told = tuple[object, ...]


class HoldingsNews:
    """Decides whether holdings are news."""

    def __init__(self) -> None:
        self._last: Inventory | None = None
        self._told_at = 0.0

    def due(self, msg: Inventory, now: float) -> bool:
        """Return whether to tell now; if so it counts as told."""
        last, elapsed = self._last, now - self._told_at
        news = (
            last is None
            or elapsed >= EVERY
            or _state(last) != _state(msg)
            or (elapsed >= DEMAND_EVERY and _demand_moved(last, msg))
        )
        if news:
            self._last, self._told_at = msg, now
        return news


def _state(msg: Inventory) -> Told:
    held = tuple((h.copy, h.state, h.memory_gib) for h in msg.copies)
    return msg.epoch, msg.free_gib, msg.accepts_loads, msg.draining, held


def _demand_moved(old: Inventory, new: Inventory) -> bool:
    pairs = zip(old.copies, new.copies, strict=False)
    return any(_moved(a.demand, b.demand) for a, b in pairs)


def _moved(old: float, new: float) -> bool:
    return abs(new - old) > max(DEMAND_LEAST, DEMAND_STEP * old)
