"""Attribute crashes of upstreams to parts of prompts.

Load pattern: every request with a certain part in its prompt crashes the upstream that
begins to answer it. No two of these requests are alike, and sound requests share their
account, their model and their other parts. Each crash also loses the requests that wait
at the upstream; most of their parts are lost once, but the part that all prompts begin
with is lost in every crash.

A part is suspected of the crashes at which a suspect request had it, and of none that a
blocked cause explains which some of its requests lack. Parts of requests that completed
meanwhile or shortly before are not reported as lost, so that a part in constant use is
no suspect. A part is blamed if it was lost in ``BLOCK_CRASHES`` crashes with more than
one request: a single request that was lost in all of them is the more specific
explanation. The part with the highest weight is blamed first, and none before requests
without it have completed: that no request with it has is evidence only if others have.
The block covers the combination of the part with those that all its requests have as
well, so that sound requests with only one of these parts pass.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from ..ids import Cause, Fingerprint, PartId
from .crash_events import EventCounter, crash_events, has_whole_service
from .crashes import (
    BLOCK_CRASHES,
    SETTLE_S,
    SUSPECT_CRASHES,
    TIED_LIMIT,
    Crash,
    split_parts,
)

MIN_SPREAD_S: Final = 0.5
"""Minimum seconds between the first and the last crash of a blamed part. Upstreams that
fail together lose requests with any part within a short time."""
MAX_UNSERVED_S: Final = 5.0
"""Seconds after its first crash from which a part is blamed if nothing completes."""
MAX_COMBINED: Final = 4
"""Maximum number of parts in one block."""


class BlockedParts:
    """Blocked combinations of parts, for fast lookup by the parts of a request."""

    def __init__(self, blocked: Iterable[Cause] = ()) -> None:
        self._by_part: dict[PartId, list[tuple[Cause, frozenset[PartId]]]] = {}
        for cause in blocked:
            if parts := split_parts(cause):
                self._by_part.setdefault(min(parts), []).append((cause, parts))

    def within(self, parts: Iterable[PartId]) -> list[tuple[Cause, frozenset[PartId]]]:
        """Return the blocked combinations that a request with ``parts`` contains."""
        if not self._by_part:
            return []
        present = frozenset(parts)
        return [
            (cause, combination)
            for part in present
            for cause, combination in self._by_part.get(part, ())
            if combination <= present
        ]

    def explaining(
        self, carriers: Mapping[PartId, set[Fingerprint]]
    ) -> list[set[Fingerprint]]:
        """Return the requests that have each blocked combination, if there are any."""
        found = (
            set.intersection(*(carriers[part] for part in combination))
            for _, combination in self.within(carriers)
        )
        return [requests for requests in found if requests]


@dataclass
class PartCounts:
    """Crashes that a part is suspected of."""

    reported: int = 0
    """All crashes that no other cause explains, confirmed or not."""
    pending: int = 0
    """Crashes that may be confirmed at any moment."""
    unexplained: list[dict[PartId, set[Fingerprint]]] = field(default_factory=list)
    """Suspects by part, for each confirmed crash that no blocked cause explains, not
    even one with this part."""
    latest_at: float = -math.inf
    first_at: float = math.inf
    last_at: float = -math.inf
    """Times of the first and the last confirmed crash."""
    carriers: list[set[Fingerprint]] = field(default_factory=list)
    """For each confirmed crash, the suspects that have the part."""
    counted: int = 0
    """Number of these crashes; those of one event may count as one."""

    @property
    def confirmed(self) -> int:
        """Return the confirmed crashes that no other cause explains."""
        return len(self.carriers)

    @property
    def is_suspect(self) -> bool:
        """Return whether requests with the part have to run in isolation."""
        return bool(self.unexplained) and self.confirmed >= SUSPECT_CRASHES

    @property
    def weight(self) -> float:
        """Return the sum over confirmed crashes of one divided by its suspects.

        The part that all prompts begin with is lost in many crashes, but each time with
        many requests.
        """
        return sum(1 / len(requests) for requests in self.carriers)

    @property
    def has_single_request(self) -> bool:
        """Return whether one request was lost with the part in all crashes."""
        return bool(set.intersection(*self.carriers))

    @property
    def is_blamed(self) -> bool:
        """Return whether the crashes suffice for a block."""
        return (
            bool(self.unexplained)
            and self.counted >= BLOCK_CRASHES
            and not self.has_single_request
        )


def count_part_crashes(
    crashes: Collection[Crash], blocked: Mapping[Cause, float], combos: BlockedParts
) -> dict[PartId, PartCounts]:
    """Return the crashes that each part is suspected of."""
    counts: dict[PartId, PartCounts] = defaultdict(PartCounts)
    judged = {id(crash): _judge(crash, blocked, combos) for crash in crashes}
    for crash in crashes:
        is_explained, unexplained_parts = judged[id(crash)]
        parts = crash.suspect_parts()
        for part in unexplained_parts:
            count = counts[part]
            count.reported += 1
            count.pending += crash.is_pending
            count.latest_at = max(count.latest_at, crash.latest_at)
            if crash.confirmed:
                count.carriers.append(parts[part])
                count.first_at = min(count.first_at, crash.at)
                count.last_at = max(count.last_at, crash.at)
                if not is_explained:
                    count.unexplained.append(parts)
    counter: EventCounter[PartId] = EventCounter()
    for event in crash_events(crashes):
        _count_event(event, judged, counter, counts)
    return counts


def _judge(
    crash: Crash, blocked: Mapping[Cause, float], combos: BlockedParts
) -> tuple[bool, list[PartId]]:
    """Return whether a blocked cause explains a crash, and the parts that remain.

    These are the parts that only requests with every such cause have.
    """
    parts = crash.suspect_parts()
    explaining = [{lost} for lost in crash.suspects() if lost in blocked]
    explaining += combos.explaining(parts)
    remaining = [
        part
        for part, carriers in parts.items()
        if all(carriers <= requests for requests in explaining)
    ]
    return bool(explaining), remaining


def _count_event(
    event: Sequence[Crash],
    judged: Mapping[int, tuple[bool, list[PartId]]],
    counter: EventCounter[PartId],
    counts: Mapping[PartId, PartCounts],
) -> None:
    """Count an event for the parts that most of its upstreams ran."""
    lost_with: Counter[PartId] = Counter()
    unexplained = idle = 0
    for crash in event:
        is_explained, parts = judged[id(crash)]
        lost_with.update(parts)
        unexplained += not is_explained
        idle += not crash.suspects()
    is_whole = has_whole_service(event)
    for part, count in counter.count(unexplained, idle, lost_with, is_whole).items():
        counts[part].counted += count


def next_attributed(
    crashes: Iterable[Crash],
    blocked: Mapping[Cause, float],
    combos: BlockedParts,
    now: float,
    served_since: float,
    is_running: Callable[[Cause], bool],
) -> frozenset[PartId]:
    """Return the next combination of parts to block, empty if there is none.

    ``served_since`` is the start of a time in which some requests completed, and
    ``is_running`` as in ``CrashHistory.block_attributed``.
    """
    settled = sorted(
        (c for c in crashes if c.confirmed and now - c.latest_at >= SETTLE_S),
        key=lambda crash: crash.at,
    )
    counts = count_part_crashes(settled, blocked, combos)
    blamed = {part: count for part, count in counts.items() if count.is_blamed}
    if not blamed:
        return frozenset()
    # Highest weight first: its block may explain the crashes of other parts.
    part = min(blamed, key=lambda key: (-blamed[key].weight, key))
    count = blamed[part]
    is_served = count.first_at <= served_since or now - count.first_at >= MAX_UNSERVED_S
    is_spread = count.last_at - count.first_at >= MIN_SPREAD_S
    if not (is_served and is_spread) or is_running(part):
        return frozenset()
    combination = _combination(part, settled, counts)
    if count.counted < TIED_LIMIT and _is_tied(part, combination, settled, counts):
        return frozenset()
    return combination


def _combination(
    part: PartId, crashes: Iterable[Crash], counts: Mapping[PartId, PartCounts]
) -> frozenset[PartId]:
    """Return a part and those that all its requests have as well, in every crash.

    Several crashes that no blocked cause explains outweigh those that one explains:
    these show nothing about a part that another cause was lost with.
    """
    lost = [crash.suspect_parts() for crash in crashes]
    present = [parts for parts in lost if part in parts]
    if len(counts[part].unexplained) >= SUSPECT_CRASHES:
        present = counts[part].unexplained
    others = (
        other
        for other in present[-1]
        if other != part
        and other in counts
        and all(parts[part] <= parts.get(other, set()) for parts in present)
    )
    fewest_first = sorted(
        others, key=lambda other: (sum(map(len, counts[other].carriers)), other)
    )
    return frozenset([part, *fewest_first[: MAX_COMBINED - 1]])


def _is_tied(
    part: PartId,
    combination: frozenset[PartId],
    crashes: Iterable[Crash],
    counts: Mapping[PartId, PartCounts],
) -> bool:
    """Return whether another part of the latest crash is as likely the cause."""
    lost = [crash.suspect_parts() for crash in crashes]
    latest = [parts for parts in lost if part in parts][-1]
    others = (counts[key] for key in latest if key in counts and key not in combination)
    return any(
        other.is_blamed and other.weight >= counts[part].weight for other in others
    )
