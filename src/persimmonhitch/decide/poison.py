"""Attribute crashes of upstreams to the requests that cause them.

Load pattern: an upstream crashes as soon as it begins to run a certain request, and the
caller repeats the request under other ids, at any entry. Each repeat costs an upstream
and all requests in progress there. These other requests are repeated as well and may be
lost in the next crash too, so that a request lost in several crashes is not necessarily
their cause.

Entries report to each other which requests were lost with an upstream, whether its
process has ended, and which requests have completed. A request that completes is
cleared of earlier crashes. The suspects of a crash are the requests that had just begun
to run or had no answer yet; requests whose answer was in progress for a time are
suspected only if no others are left. A crash is explained if a blocked cause was among
its suspects. A request suspected of ``SUSPECT_CRASHES`` runs in isolation and in one
copy, so that the next crash has one possible cause. After ``BLOCK_CRASHES`` unexplained
crashes, the request is blocked for ``BLOCK_TTL_S``. Crashes of many upstreams at one
moment count as a single crash, since their cause may lie outside the upstreams
(``crash_events``).

Requests that are all different may crash upstreams by a part that their prompts share;
``part_crashes`` attributes crashes to parts.
"""

import math
from collections import OrderedDict, defaultdict, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final, TypeVar

from ..ids import Cause, Fingerprint, PartId, Upstream
from .crash_events import EventCounter, crash_events, has_whole_service
from .crashes import (
    BLOCK_CRASHES,
    SETTLE_S,
    SUSPECT_CRASHES,
    TIED_LIMIT,
    Crash,
    ServiceSize,
    UpstreamInstance,
    is_part,
    join_parts,
)
from .part_crashes import (
    BlockedParts,
    PartCounts,
    count_part_crashes,
    next_attributed,
)

K = TypeVar("K")

RECENT_START_S: Final = 1.0
"""Seconds from the start of its answer during which a request counts as just begun."""
BLOCK_TTL_S: Final = 3600.0
"""Duration of a block; limited since a later upstream version may run the request."""
UNCONFIRMED_TTL_S: Final = 5.0
"""Lifetime of a reported crash without confirmation."""
CONFIRM_S: Final = 1.0
"""Time from a crash until the news arrives that the upstream accepts no connection."""
CRASH_TTL_S: Final = 3600.0
EVIDENCE_TTL_S: Final = 60.0
"""Seconds for which evidence against a crash overrides reports that arrive late."""
AT_TOLERANCE_S: Final = 0.01
"""Difference between two reports of the same time of a crash."""
MAX_CRASHES: Final = 64
PROOF_LEAD_S: Final = 2.0
"""Seconds before a crash from which a completed request clears its parts of the crash.
A part in constant use is thus no suspect, and one that starts to crash upstreams is one
after this time."""
MIN_SERVED: Final = 3
"""Requests that must have completed before a part of others is blamed."""
MAX_EVIDENCE: Final = 1024
MAX_BLOCKED: Final = 1024


@dataclass(slots=True)
class CrashCounts:
    """Crashes that a request is suspected of."""

    reported: int = 0
    """All crashes, confirmed or not, explained or not."""
    confirmed: int = 0
    pending: int = 0
    """Crashes that may be confirmed at any moment."""
    unexplained: int = 0
    """Confirmed crashes that no blocked request explains; those of one event may count
    as one."""
    weight: float = 0.0
    """Sum over these crashes of one divided by the number of suspects."""
    latest_at: float = -math.inf
    """When the latest crash happened or was first reported, whichever is later."""

    @property
    def is_suspect(self) -> bool:
        """Return whether the request has to run in isolation."""
        return self.reported >= SUSPECT_CRASHES


class CrashHistory:
    """Crashes and the requests lost with them; times are monotonic seconds."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[UpstreamInstance, Crash] = OrderedDict()
        self._completed: OrderedDict[Cause, float] = OrderedDict()
        self._alive: OrderedDict[UpstreamInstance, float] = OrderedDict()
        self._served: deque[float] = deque(maxlen=MIN_SERVED)
        """Times of the latest completed requests of this entry."""
        self._sizes: Mapping[UpstreamInstance, ServiceSize] = {}
        self._blocked: dict[Cause, float] = {}
        self._blocked_parts = BlockedParts()
        self._cached_counts: dict[Fingerprint, CrashCounts] | None = {}
        self._cached_parts: dict[PartId, PartCounts] | None = {}

    # -- evidence ----------------------------------------------------------------

    def record_lost(
        self,
        instance: UpstreamInstance,
        lost: Mapping[Fingerprint, bool],
        at: float,
        now: float,
    ) -> None:
        """Record requests lost with an upstream, possibly because it crashed."""
        if self._alive.get(instance, -math.inf) >= at:
            return
        crash = self._crashes.get(instance)
        if crash is None:
            crash = self._crashes[instance] = Crash(
                at, now, size=self._sizes.get(instance)
            )
        changed = at > crash.at + AT_TOLERANCE_S or not crash.lost
        changed |= at < crash.first_at - AT_TOLERANCE_S
        crash.at, crash.first_at = max(crash.at, at), min(crash.first_at, at)
        for fingerprint, is_new in lost.items():
            known = crash.lost.get(fingerprint)
            if known or known is is_new or (known is None and not crash.has_room):
                continue
            if self._completed.get(fingerprint, -math.inf) < at:
                crash.add_request(fingerprint, is_new)
                changed = True
        if len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        if changed:
            self._discard_counts()

    def update_sizes(self, sizes: Mapping[UpstreamInstance, ServiceSize]) -> None:
        """Apply the list of upstreams; a crash keeps the size listed before it."""
        self._sizes = sizes

    def record_lost_parts(
        self,
        instance: UpstreamInstance,
        lost: Mapping[Fingerprint, Iterable[PartId]],
    ) -> None:
        """Record the prompt parts of requests lost with an upstream."""
        crash = self._crashes.get(instance)
        if crash is None:
            return
        unproven = {
            fingerprint: [p for p in parts if not self._has_proof(p, crash.at)]
            for fingerprint, parts in lost.items()
        }
        if crash.add_parts(unproven):
            self._discard_counts()

    def _has_proof(self, part: PartId, at: float) -> bool:
        return self._completed.get(part, -math.inf) + PROOF_LEAD_S >= at

    def confirm(self, instance: UpstreamInstance) -> bool:
        """Confirm that an upstream has ended; return whether this is new."""
        crash = self._crashes.get(instance)
        if crash is None or crash.confirmed:
            return False
        crash.confirmed = True
        self._discard_counts()
        return True

    def record_reachable(self, instance: UpstreamInstance) -> None:
        """Record that an upstream accepts connections; it may have been restarted."""
        crash = self._crashes.get(instance)
        if crash is not None:
            crash.reachable = True
            self._discard_counts()

    def record_alive(self, instance: UpstreamInstance, at: float) -> bool:
        """Record that an upstream was alive; return whether this refutes a crash."""
        crash = self._crashes.get(instance)
        _record_latest(self._alive, instance, at)
        if crash is None or crash.at > at:
            return False
        del self._crashes[instance]
        self._discard_counts()
        return True

    def record_completed(self, cause: Cause, at: float) -> bool:
        """Record that a request, or one with a part or combination, completed.

        Return whether this clears the cause of a crash or lifts its block.
        """
        _record_latest(self._completed, cause, at)
        cleared = self._blocked.get(cause, math.inf) - BLOCK_TTL_S <= at
        if cleared:
            del self._blocked[cause]
            self._update_blocked()
        for crash in self._crashes.values():
            if is_part(cause):
                if crash.at <= at + PROOF_LEAD_S:
                    part = PartId(cause)
                    cleared |= crash.clear_part(part)
            elif crash.at <= at:
                fingerprint = Fingerprint(cause)
                cleared |= crash.clear_request(fingerprint)
        if cleared:
            self._discard_counts()
        return cleared

    def record_served(self, at: float) -> None:
        """Record that a request of this entry completed."""
        self._served.append(at)

    def block(self, cause: Cause, until: float) -> bool:
        """Block a request or parts; return whether the block is new."""
        if self.is_refuted(cause, until):
            return False
        is_new = cause not in self._blocked
        self._blocked[cause] = max(until, self._blocked.get(cause, -math.inf))
        if len(self._blocked) > MAX_BLOCKED:
            del self._blocked[min(self._blocked, key=self._blocked.__getitem__)]
        self._update_blocked()
        return is_new

    def is_refuted(self, cause: Cause, until: float) -> bool:
        """Return whether a cause completed after a block with this end began."""
        return until - BLOCK_TTL_S <= self._completed.get(cause, -math.inf)

    def _update_blocked(self) -> None:
        self._blocked_parts = BlockedParts(self._blocked)
        self._discard_counts()

    def _discard_counts(self) -> None:
        self._cached_counts = self._cached_parts = None

    # -- attribution -------------------------------------------------------------

    def block_attributed(
        self,
        now: float,
        is_informed: bool = True,
        is_running: Callable[[Cause], bool] = lambda _cause: False,
    ) -> list[Cause]:
        """Block the requests and parts to which crashes are attributed; return them.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        is_informed : bool
            Whether the reports of all entries have arrived; without them no part is
            blocked.
        is_running : callable
            Returns whether a cause runs at some upstream. Its outcome is awaited: it
            shows whether the cause crashes what runs it.
        """
        blocked = []
        while (cause := self._next_cause(now, is_informed, is_running)) is not None:
            self.block(cause, now + BLOCK_TTL_S)
            blocked.append(cause)
        return blocked

    def _next_cause(
        self, now: float, is_informed: bool, is_running: Callable[[Cause], bool]
    ) -> Cause | None:
        # A part explains more crashes than any single request that has it.
        if is_informed and any(c.is_blamed for c in self._part_counts().values()):
            parts = next_attributed(
                self._crashes.values(),
                self._blocked,
                self._blocked_parts,
                now,
                self._served[0] if len(self._served) == MIN_SERVED else -math.inf,
                is_running,
            )
            if parts:
                return join_parts(parts)
        return self._next_attributed(now, is_running)

    def _next_attributed(
        self, now: float, is_running: Callable[[Cause], bool]
    ) -> Fingerprint | None:
        candidates = [
            (-counts.weight, fingerprint, counts)
            for fingerprint, counts in self._counts().items()
            if counts.unexplained >= BLOCK_CRASHES and fingerprint not in self._blocked
        ]
        # Highest weight first: its block may explain all crashes of other candidates.
        for _, fingerprint, counts in sorted(candidates, key=lambda c: c[:2]):
            if now - counts.latest_at < SETTLE_S:
                return None
            if is_running(fingerprint):
                continue
            if counts.unexplained >= TIED_LIMIT or not self._tied(fingerprint, counts):
                return fingerprint
        return None

    def _tied(self, fingerprint: Fingerprint, counts: CrashCounts) -> bool:
        """Return whether another suspect of the latest crash has as many crashes.

        It may be a request, or a part that only other requests have.
        """
        latest = next(
            crash
            for crash in self._newest_first()
            if crash.confirmed
            and not self._is_explained(crash)
            and fingerprint in crash.suspects()
        )
        others = latest.suspects() - {fingerprint}
        totals, part_totals = self._counts(), self._part_counts()
        parts = (
            part_totals[part]
            for part, carriers in latest.suspect_parts().items()
            if part in part_totals and fingerprint not in carriers
        )
        return any(
            totals[other].unexplained >= counts.unexplained for other in others
        ) or any(
            part.is_blamed and part.counted >= counts.unexplained for part in parts
        )

    def _newest_first(self) -> list[Crash]:
        return sorted(self._crashes.values(), key=lambda crash: -crash.at)

    def _counts(self) -> dict[Fingerprint, CrashCounts]:
        if self._cached_counts is None:
            counts: dict[Fingerprint, CrashCounts] = defaultdict(CrashCounts)
            for crash in self._crashes.values():
                is_pending, latest_at = crash.is_pending, crash.latest_at
                for fingerprint in crash.suspects():
                    count = counts[fingerprint]
                    count.reported += 1
                    count.confirmed += crash.confirmed
                    count.pending += is_pending
                    if latest_at > count.latest_at:
                        count.latest_at = latest_at
            counter: EventCounter[Fingerprint] = EventCounter()
            for event in crash_events(self._crashes.values()):
                self._count_event(event, counter, counts)
            self._cached_counts = dict(counts)
        return self._cached_counts

    def _count_event(
        self,
        event: Sequence[Crash],
        counter: EventCounter[Fingerprint],
        counts: Mapping[Fingerprint, CrashCounts],
    ) -> None:
        weights: dict[Fingerprint, list[float]] = defaultdict(list)
        unexplained = [crash for crash in event if not self._is_explained(crash)]
        for crash in unexplained:
            suspects = crash.suspects()
            for fingerprint in suspects:
                weights[fingerprint].append(1 / len(suspects))
        idle = sum(not crash.suspects() for crash in unexplained)
        lost_with = {key: len(found) for key, found in weights.items()}
        is_whole = has_whole_service(event)
        found = counter.count(len(unexplained), idle, lost_with, is_whole)
        for key, count in found.items():
            counts[key].unexplained += count
            counts[key].weight += count * sum(weights[key]) / lost_with[key]

    def _part_counts(self) -> dict[PartId, PartCounts]:
        if self._cached_parts is None:
            self._cached_parts = count_part_crashes(
                self._crashes.values(), self._blocked, self._blocked_parts
            )
        return self._cached_parts

    def _is_explained(self, crash: Crash) -> bool:
        if not self._blocked:
            return False
        if any(suspect in self._blocked for suspect in crash.suspects()):
            return True
        return bool(self._blocked_parts.explaining(crash.suspect_parts()))

    # -- queries -----------------------------------------------------------------

    @property
    def is_empty(self) -> bool:
        """Return whether there is neither a crash nor a block."""
        return not (self._crashes or self._blocked)

    def crashed_at(self, instance: UpstreamInstance) -> float | None:
        """Return when an upstream lost its last request, None if it did not crash."""
        crash = self._crashes.get(instance)
        return None if crash is None else crash.at

    def crash_counts(self, fingerprint: Fingerprint) -> CrashCounts | None:
        """Return the crashes that a request is suspected of."""
        return self._counts().get(fingerprint)

    def part_counts(self, part: PartId) -> PartCounts | None:
        """Return the crashes that a part is suspected of."""
        return self._part_counts().get(part)

    def awaits_confirmation(self, cause: Cause, now: float) -> bool:
        """Return whether a suspect may be blocked once its crashes are confirmed."""
        counts = self._counts_of(cause)
        if counts is None or counts.reported < BLOCK_CRASHES:
            return False
        age_s = now - counts.latest_at
        if counts.pending and age_s < CONFIRM_S:
            return True
        return counts.confirmed >= BLOCK_CRASHES and age_s < SETTLE_S

    def _counts_of(self, cause: Cause) -> CrashCounts | PartCounts | None:
        if is_part(cause):
            return self.part_counts(PartId(cause))
        return self.crash_counts(Fingerprint(cause))

    def is_suspect(self, cause: Cause) -> bool:
        """Return whether a request, or those with a part, have to run in isolation."""
        counts = self._counts_of(cause)
        return counts is not None and counts.is_suspect

    def latest_crash_at(self, cause: Cause) -> float:
        """Return the time of the latest crash that a cause is suspected of."""
        counts = self._counts_of(cause)
        return -math.inf if counts is None else counts.latest_at

    def suspects(self) -> list[Cause]:
        """Return all requests and parts that have to run in isolation."""
        return [
            cause
            for counts in (self._counts(), self._part_counts())
            for cause, count in counts.items()
            if count.is_suspect
        ]

    def suspect_count(self, instance: UpstreamInstance) -> int:
        """Return the number of requests that are suspected of a crash."""
        crash = self._crashes.get(instance)
        return 0 if crash is None else len(crash.suspects())

    def crashed_with(self, cause: Cause) -> list[Upstream]:
        """Return the crashed upstreams at which a blocked cause was a suspect."""
        combos = BlockedParts([cause])
        return [
            instance.name
            for instance, crash in self._crashes.items()
            if crash.confirmed
            if cause in crash.suspects() or combos.explaining(crash.suspect_parts())
        ]

    def has_lost(self, cause: Cause) -> bool:
        """Return whether a request or part is a suspect of a crash."""
        return self._counts_of(cause) is not None

    def has_crashed(self, instance: UpstreamInstance) -> bool:
        """Return whether an upstream is reported to have crashed."""
        return instance in self._crashes

    def blocked_for(self, cause: Cause, now: float) -> float | None:
        """Return the seconds for which a cause stays blocked, None if not blocked."""
        until = self._blocked.get(cause)
        return None if until is None or until <= now else until - now

    def blocking(
        self, fingerprint: Fingerprint, parts: Iterable[PartId], now: float
    ) -> Cause | None:
        """Return the cause for which a request is blocked, None if it is not."""
        for cause in (fingerprint, *self.blocked_within(parts)):
            if self.blocked_for(cause, now) is not None:
                return cause
        return None

    def blocked_within(self, parts: Iterable[PartId]) -> list[Cause]:
        """Return the blocked combinations that a request with ``parts`` contains."""
        return [cause for cause, _ in self._blocked_parts.within(parts)]

    def blocked(self) -> Mapping[Cause, float]:
        """Return the blocked causes and the end of each block."""
        return self._blocked

    def expire(self, now: float) -> None:
        """Remove expired crashes, blocks and evidence."""
        sizes = len(self._crashes), len(self._blocked)
        self._crashes = OrderedDict(
            (instance, crash)
            for instance, crash in self._crashes.items()
            if now - crash.at <= (CRASH_TTL_S if crash.confirmed else UNCONFIRMED_TTL_S)
        )
        self._blocked = {key: end for key, end in self._blocked.items() if end > now}
        changed = sizes != (len(self._crashes), len(self._blocked))
        self._completed = _unexpired(self._completed, now)
        self._alive = _unexpired(self._alive, now)
        if changed:
            self._update_blocked()


def _record_latest(evidence: OrderedDict[K, float], key: K, at: float) -> None:
    evidence[key] = max(at, evidence.get(key, -math.inf))
    evidence.move_to_end(key)
    if len(evidence) > MAX_EVIDENCE:
        evidence.popitem(last=False)


def _unexpired(evidence: OrderedDict[K, float], now: float) -> OrderedDict[K, float]:
    return OrderedDict(
        (key, at) for key, at in evidence.items() if now - at <= EVIDENCE_TTL_S
    )
