"""Intervals at which an entry publishes its status to all others.

Load pattern: each entry receives the updates of all others, so that its traffic grows
with the size of the fleet and that of the whole fleet with its square. In a large fleet
the work of one entry is a small part of all work, so that an older update distorts the
decisions of the others less. The intervals therefore grow with the fleet, up to the
time after which peers would count an entry as unresponsive.
"""

from typing import Final

UNSCALED_ENTRIES: Final = 70
"""Size of a fleet up to which the shortest intervals apply."""
MIN_INTERVAL_S: Final = 0.2
MAX_INTERVAL_S: Final = 0.3
"""A third of the time after which a peer is unresponsive; relays add their delays."""
MIN_FULL_INTERVAL_S: Final = 2.0
MAX_FULL_INTERVAL_S: Final = 10.0
"""Interval of full updates, for entries that missed a change."""


def update_interval(entries: int) -> float:
    """Return the seconds between two updates of changes."""
    scaled = MIN_INTERVAL_S * entries / UNSCALED_ENTRIES
    return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, scaled))


def full_update_interval(entries: int) -> float:
    """Return the seconds between two full updates."""
    scaled = MIN_FULL_INTERVAL_S * entries / UNSCALED_ENTRIES
    return min(MAX_FULL_INTERVAL_S, max(MIN_FULL_INTERVAL_S, scaled))
