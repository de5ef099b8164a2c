"""Decide which availability zones receive no more requests, and from when.

Load pattern: an operator evacuates a zone while all zones are busy. The remaining zones
lack some models that only the evacuated zone serves, and loading them takes seconds. If
all entries stopped at once, requests for these models would be refused although the
operator allows some seconds. After the evacuation, all entries resume at the same
moment, and the upstreams of the zone may have started anew.

An evacuated zone is therefore ``LEAVING`` first: it receives only requests that no
upstream elsewhere can take now. It is ``CLOSED`` before the time allowed has passed
since the entry last knew that the zone was not evacuated. An entry that learns of the
evacuation from a list, and so can't tell its age, closes the zone at once.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from ..ids import Zone

STOP_MARGIN_S: Final = 1.5
"""Time before the bound at which a zone is closed. It covers a reply of the store or a
push that is delayed by its timeout, and requests in transit."""


class ZoneState(Enum):
    """Whether the upstreams of a zone receive requests."""

    OPEN = "open"
    LEAVING = "leaving"
    """Only requests that no upstream in another zone can take now."""
    CLOSED = "closed"


@dataclass(frozen=True)
class ZoneChanges:
    """Zones whose evacuation has begun or ended."""

    begun: frozenset[Zone] = frozenset()
    ended: frozenset[Zone] = frozenset()


@dataclass
class ZoneEvacuations:
    """Evacuated zones; times are monotonic seconds.

    ``bound_s`` is the time from an evacuation to the last request that may arrive.
    """

    bound_s: float = 0.0
    close_at: Mapping[Zone, float] = field(default_factory=dict)
    """Evacuated zones, with the time at which each is closed."""

    def update(self, zones: Collection[Zone], unchanged_until: float) -> ZoneChanges:
        """Replace the evacuated zones; return the changes.

        ``unchanged_until`` is the last time at which the previous set of zones is known
        to have been complete, ``-math.inf`` if there was none.
        """
        begun = frozenset(zones) - self.close_at.keys()
        ended = frozenset(self.close_at) - frozenset(zones)
        close_at = unchanged_until + max(0.0, self.bound_s - STOP_MARGIN_S)
        kept = {z: at for z, at in self.close_at.items() if z not in ended}
        # A new mapping: other threads read the old one meanwhile.
        self.close_at = {**kept, **dict.fromkeys(begun, close_at)}
        return ZoneChanges(begun, ended)

    def state(self, zone: Zone, now: float) -> ZoneState:
        """Return whether the upstreams of a zone receive requests."""
        close_at = self.close_at.get(zone)
        if close_at is None:
            return ZoneState.OPEN
        return ZoneState.LEAVING if now < close_at else ZoneState.CLOSED
