"""Over which entries news reach the whole fleet.

Load pattern: every entry has news a few times a second that all others need. Told by
each to each, they cost entries times entries messages: at dozens of entries more than
the processor time and the links of a small VM, and callers wait behind them.

The entries of a zone tell the first of them that is alive, their parent, and it tells
them what it hears. Entries without a parent, one in each zone unless they disagree for
a moment, tell each other across the zones. An entry that says nothing for ``SILENT``
is passed over until it is heard again; it is asked each ``PROBE_EVERY`` seconds. Which
comes first depends on the list of entries alone, so all agree without a word: VMs with
most processor time go first.
"""

import hashlib
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from ..ids import Vm, Zone

SILENT: Final = 0.7
"""Seconds without a message after which a neighbour is passed over; three missed."""
NEIGHBOUR_LIFE: Final = 1.5
"""Seconds for which an entry that has spoken is told in turn."""
PROBE_EVERY: Final = 0.5
"""Seconds between two messages to an entry that is passed over."""


class Way(Enum):
    """Which way a message goes."""

    UP = 0
    """To the parent."""
    ACROSS = 1
    """Between entries without a parent."""
    DOWN = 2
    """To a child."""


@dataclass(frozen=True)
class Member:
    """One entry of the fleet; ``cores`` is the processor time that its VM has."""

    vm: Vm
    zone: Zone
    cores: float


@dataclass(frozen=True)
class Routes:
    """Whom an entry tells its news at this moment."""

    parent: Vm | None = None
    children: frozenset[Vm] = frozenset()
    across: frozenset[Vm] = frozenset()
    probes: frozenset[Vm] = frozenset()
    """Entries that would be the parent if they said anything."""
    standby: Vm | None = None
    """The next parent."""
    leads: bool = False
    """Whether no entry that is told across comes before this one."""

    def links(self) -> frozenset[Vm]:
        """Return the entries to which this one keeps links of its own."""
        single = {vm for vm in (self.parent, self.standby) if vm is not None}
        return self.across | self.probes | single


def _rank(member: Member) -> tuple[float, bytes]:
    name = member.vm.encode()
    return -member.cores, hashlib.blake2b(name, digest_size=8).digest()


@dataclass
class Overlay:
    """One entry's view of whom to tell; times are monotonic seconds."""

    me: Member
    _zones: dict[Zone, list[Member]] = field(default_factory=dict)
    _heard: dict[Vm, float] = field(default_factory=dict)
    _tried: dict[Vm, float] = field(default_factory=dict)
    """Since when entries are told that have to answer."""
    _spoke: dict[Way, dict[Vm, float]] = field(
        default_factory=lambda: {way: {} for way in Way}
    )

    def update(self, members: Iterable[Member]) -> None:
        """Take the list of the other entries."""
        zones: defaultdict[Zone, list[Member]] = defaultdict(list)
        zones[self.me.zone].append(self.me)
        for member in members:
            zones[member.zone].append(member)
        self._zones = {zone: sorted(found, key=_rank) for zone, found in zones.items()}

    def heard(self, vm: Vm, way: Way, now: float) -> None:
        """Note a message of a neighbour."""
        self._heard[vm] = now
        self._spoke[way][vm] = now

    def routes(self, now: float) -> Routes:
        """Return whom to tell now."""
        tried, self._tried = self._tried, {}
        mine = self._zones.get(self.me.zone, [self.me])
        before = [m.vm for m in mine[: mine.index(self.me)]]
        probes: list[Vm] = []
        parent = None
        for vm in before:
            if not self._silent(vm, tried, now):
                parent = vm
                break
            probes.append(vm)
        across = self._across(parent is None, tried, now)
        return Routes(
            parent,
            self._recent(Way.UP, now),
            across,
            frozenset(probes),
            self._standby(mine, parent),
            parent is None and all(self._follows(vm, now) for vm in across),
        )

    def place(self) -> int:
        """Return how many entries come before this one in the whole fleet."""
        members = [member for found in self._zones.values() for member in found]
        return sum(_rank(member) < _rank(self.me) for member in members)

    def _follows(self, vm: Vm, now: float) -> bool:
        """Return whether a neighbour comes after this entry, or is silent."""
        if now - self._heard.get(vm, -math.inf) > SILENT:
            return True
        members = [member for found in self._zones.values() for member in found]
        first = [m for m in members if m.vm == vm and _rank(m) < _rank(self.me)]
        return not first

    def _silent(self, vm: Vm, tried: dict[Vm, float], now: float) -> bool:
        since = self._tried[vm] = tried.get(vm, now)
        return now - max(self._heard.get(vm, since), since) > SILENT

    def _recent(self, way: Way, now: float) -> frozenset[Vm]:
        spoke = self._spoke[way]
        return frozenset(vm for vm, at in spoke.items() if now - at <= NEIGHBOUR_LIFE)

    def _across(
        self, is_root: bool, tried: dict[Vm, float], now: float
    ) -> frozenset[Vm]:
        found = set(self._recent(Way.ACROSS, now))
        if is_root:
            for zone, members in self._zones.items():
                if zone != self.me.zone:
                    found.add(self._first(members, tried, now))
        return frozenset(found)

    def _first(self, members: list[Member], tried: dict[Vm, float], now: float) -> Vm:
        for member in members:
            if not self._silent(member.vm, tried, now):
                return member.vm
        # A whole zone is out of reach; any of it may come back first.
        return members[int(now / SILENT) % len(members)].vm

    def _standby(self, mine: list[Member], parent: Vm | None) -> Vm | None:
        if parent is None:
            return None
        names = [member.vm for member in mine]
        after = names[names.index(parent) + 1 :]
        return after[0] if after and after[0] != self.me.vm else None
