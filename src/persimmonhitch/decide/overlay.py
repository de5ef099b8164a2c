"""Relay tree by which updates of each entry reach the whole fleet.

Load pattern: every entry publishes updates several times a second for all others. If
each entry sent its updates directly to all others, the number of messages would grow
with the square of the number of entries. With dozens of entries the messages would
exceed the processor time and bandwidth of a small VM and delay callers' requests.

The entries of a zone form a tree in the order of their zone, in which each has up to
``FAN_OUT`` children; a parent of all entries of a large zone would send as many copies
of each update. Each entry sends to its parent, and the parent relays updates to it. If
the parent does not respond, the nearest responsive ancestor replaces it, and then the
first responsive entry. Roots, the entries without a parent, send to each other across
the zones; there is one root in each zone, except while entries briefly disagree about
which of them respond. An entry that sends nothing for
``UNRESPONSIVE_AFTER_S`` is skipped until it sends again, and is probed each
``PROBE_INTERVAL_S``. The order depends on the list of entries alone, so all entries
agree without messages: VMs with more processor cores precede others.
"""

import hashlib
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from ..ids import Vm, Zone

UNRESPONSIVE_AFTER_S: Final = 0.7
"""Seconds without a message, three missed updates, after which to skip a neighbour."""
NEIGHBOUR_TTL_S: Final = 1.5
"""Seconds after its last message for which an entry receives updates in return."""
FAN_OUT: Final = 8
"""Children of an entry. Each level adds up to a flush interval to the age of news."""
PROBE_INTERVAL_S: Final = 0.5
"""Seconds between probes of an entry that is skipped."""


class RelayDirection(Enum):
    """Direction of a message in the relay tree."""

    UP = 0
    """To the parent."""
    BETWEEN_ROOTS = 1
    """From a root to another root."""
    DOWN = 2
    """To a child."""


@dataclass(frozen=True)
class Member:
    """One entry of the fleet; ``cores`` is the number of processor cores it may use."""

    vm: Vm
    zone: Zone
    cores: float


@dataclass(frozen=True)
class Routes:
    """Entries to which one entry currently sends."""

    parent: Vm | None = None
    children: frozenset[Vm] = frozenset()
    roots: frozenset[Vm] = frozenset()
    probes: frozenset[Vm] = frozenset()
    """Unresponsive entries that precede the parent."""
    standby: Vm | None = None
    """Entry that becomes the parent if the parent fails."""
    is_first: bool = False
    """Whether this entry is a root and precedes all other responsive roots."""

    def links(self) -> frozenset[Vm]:
        """Return the entries to which this entry maintains links."""
        tree_links = {vm for vm in (self.parent, self.standby) if vm is not None}
        return self.roots | self.probes | tree_links


def _rank(member: Member) -> tuple[float, bytes]:
    name = member.vm.encode()
    return -member.cores, hashlib.blake2b(name, digest_size=8).digest()


def _parent_candidates(members: list[Member], index: int) -> list[Vm]:
    """Return the entries that may be the parent of the one at ``index``, best first.

    All of them precede the entry, so that no two entries are each other's ancestors.
    """
    ancestors, position = [], index
    while position > 0:
        position = (position - 1) // FAN_OUT
        ancestors.append(members[position].vm)
    others = [m.vm for m in members[:index] if m.vm not in ancestors]
    return ancestors + others


@dataclass
class Overlay:
    """Relay tree as seen by one entry; times are monotonic seconds."""

    local: Member
    _zones: dict[Zone, list[Member]] = field(default_factory=dict)
    _received_at: dict[Vm, float] = field(default_factory=dict)
    _awaited: dict[Vm, float] = field(default_factory=dict)
    """Time since which a message of each candidate for a parent or root is expected."""
    _senders: dict[RelayDirection, dict[Vm, float]] = field(
        default_factory=lambda: {direction: {} for direction in RelayDirection}
    )

    def update(self, members: Iterable[Member]) -> None:
        """Replace the list of the other entries."""
        zones: defaultdict[Zone, list[Member]] = defaultdict(list)
        zones[self.local.zone].append(self.local)
        for member in members:
            zones[member.zone].append(member)
        self._zones = {zone: sorted(group, key=_rank) for zone, group in zones.items()}

    def record_message(self, vm: Vm, direction: RelayDirection, now: float) -> None:
        """Record a message of a neighbour."""
        self._received_at[vm] = now
        self._senders[direction][vm] = now

    def routes(self, now: float) -> Routes:
        """Return the entries to which to send now."""
        awaited, self._awaited = self._awaited, {}
        zone_members = self._zones.get(self.local.zone, [self.local])
        preceding = _parent_candidates(zone_members, zone_members.index(self.local))
        probes: list[Vm] = []
        parent = None
        for vm in preceding:
            if not self._is_unresponsive(vm, awaited, now):
                parent = vm
                break
            probes.append(vm)
        roots = self._other_roots(parent is None, awaited, now)
        return Routes(
            parent,
            self._recent_senders(RelayDirection.UP, now),
            roots,
            frozenset(probes),
            self._standby(preceding, parent),
            parent is None and all(self._ranks_after(vm, now) for vm in roots),
        )

    def rank(self) -> int:
        """Return the number of entries in the fleet that precede this one."""
        members = [member for group in self._zones.values() for member in group]
        return sum(_rank(member) < _rank(self.local) for member in members)

    def _ranks_after(self, vm: Vm, now: float) -> bool:
        """Return whether a neighbour follows this entry in order or is unresponsive."""
        if now - self._received_at.get(vm, -math.inf) > UNRESPONSIVE_AFTER_S:
            return True
        members = [member for group in self._zones.values() for member in group]
        preceding = [m for m in members if m.vm == vm and _rank(m) < _rank(self.local)]
        return not preceding

    def _is_unresponsive(self, vm: Vm, awaited: dict[Vm, float], now: float) -> bool:
        since = self._awaited[vm] = awaited.get(vm, now)
        return now - max(self._received_at.get(vm, since), since) > UNRESPONSIVE_AFTER_S

    def _recent_senders(self, direction: RelayDirection, now: float) -> frozenset[Vm]:
        times = self._senders[direction]
        return frozenset(vm for vm, at in times.items() if now - at <= NEIGHBOUR_TTL_S)

    def _other_roots(
        self, is_root: bool, awaited: dict[Vm, float], now: float
    ) -> frozenset[Vm]:
        roots = set(self._recent_senders(RelayDirection.BETWEEN_ROOTS, now))
        if is_root:
            for zone, members in self._zones.items():
                if zone != self.local.zone:
                    roots.add(self._root(members, awaited, now))
        return frozenset(roots)

    def _root(self, members: list[Member], awaited: dict[Vm, float], now: float) -> Vm:
        for member in members:
            if not self._is_unresponsive(member.vm, awaited, now):
                return member.vm
        # No entry of the zone responds. Try each in turn, since any may recover first.
        return members[int(now / UNRESPONSIVE_AFTER_S) % len(members)].vm

    def _standby(self, candidates: list[Vm], parent: Vm | None) -> Vm | None:
        if parent is None:
            return None
        following = candidates[candidates.index(parent) + 1 :]
        return following[0] if following else None
