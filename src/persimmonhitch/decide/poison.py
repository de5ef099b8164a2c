"""Which calls crash the upstreams that run them.

Load pattern: an upstream ends as soon as it begins to run a certain call, and the call
comes again under other request ids, at any entry. Each repeat costs an upstream and all
that runs there. What was lost beside it is repeated as well, and may be lost beside it
again, so that being there when upstreams crash is no proof.

Entries tell each other which calls were lost with an upstream, whether it has ended,
and which calls have come to their end. Whatever runs to its end is cleared of the
crashes before. A call to blame has just begun to run, or has not answered yet; one that
has been answering for a while is accused only if no other is left. A crash at which a
blocked call was lost is explained by it. A call that is accused of ``SUSPECT_CRASHES``
runs apart from others like it and in one copy, so that the next crash has one cause.
After ``CRASHES`` that nothing else explains it is blocked for ``BLOCKED_LIFE``.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final, TypeVar

from ..ids import Fingerprint, Upstream

K = TypeVar("K")

SUSPECT_CRASHES: Final = 2
"""Crashes from which on a call runs apart. After one, most have only lost an answer and
are sent again at once."""
BLOCK_CRASHES: Final = 3
"""Crashes of upstreams after which a call is blocked."""
MAX_TIED: Final = 6
"""Crashes after which calls are blocked that were lost together each time."""
SETTLE_S: Final = 0.6
"""Seconds after a crash by which all entries have told what they lost there; before
that a call may seem to have been there alone."""
RECENT_START_S: Final = 1.0
"""Seconds after the begin of its answer within which a call counts as just begun."""
BLOCK_TTL_S: Final = 3600.0
"""Seconds; after that a new version of an upstream may run the call."""
UNCONFIRMED_TTL_S: Final = 5.0
"""Seconds for which a crash is believed that nobody has confirmed."""
CRASH_TTL_S: Final = 3600.0
EVIDENCE_TTL_S: Final = 60.0
"""Seconds for which a sign of innocence stands against reports that come late."""
MAX_CRASHES: Final = 64
MAX_LOST: Final = 256
"""Calls kept of one crash; an engine runs fewer."""
MAX_EVIDENCE: Final = 1024
MAX_BLOCKED: Final = 1024


@dataclass(frozen=True)
class UpstreamInstance:
    """One life of an upstream; it may start anew under its name."""

    name: Upstream
    started_at_ms: int


@dataclass(frozen=True)
class CrashCounts:
    """Crashes that a call is accused of."""

    reported: int = 0
    """All of them, confirmed or not, explained or not."""
    confirmed: int = 0
    unexplained: int = 0
    """Confirmed ones that no blocked call explains."""
    weight: float = 0.0
    """Those, each divided by the calls that it accuses."""
    latest_at: float = -math.inf
    """When the newest of them happened, or was first heard of if that is later."""


@dataclass
class _Crash:
    at: float
    received_at: float
    """When this entry first heard of it."""
    confirmed: bool = False
    lost: dict[Fingerprint, bool] = field(default_factory=dict)
    """The calls lost there, and whether each had just begun or not yet answered."""


class CrashHistory:
    """Crashes and the calls that were lost with them; times are monotonic seconds."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[UpstreamInstance, _Crash] = OrderedDict()
        self._completed: OrderedDict[Fingerprint, float] = OrderedDict()
        self._alive: OrderedDict[UpstreamInstance, float] = OrderedDict()
        self._blocked: dict[Fingerprint, float] = {}
        self._cached_counts: dict[Fingerprint, CrashCounts] | None = {}

    # -- evidence ----------------------------------------------------------------

    def record_lost(
        self,
        instance: UpstreamInstance,
        lost: Mapping[Fingerprint, bool],
        at: float,
        now: float,
    ) -> None:
        """Take calls that were lost with an upstream, maybe since it crashed."""
        if self._alive.get(instance, -math.inf) >= at:
            return
        crash = self._crashes.setdefault(instance, _Crash(at, now))
        crash.at = max(crash.at, at)
        for fingerprint, is_new in lost.items():
            ended = self._completed.get(fingerprint, -math.inf) >= at
            if not ended and (fingerprint in crash.lost or len(crash.lost) < MAX_LOST):
                crash.lost[fingerprint] = is_new or crash.lost.get(fingerprint, False)
        if len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        self._cached_counts = None

    def confirm(self, instance: UpstreamInstance) -> bool:
        """Note that an upstream has ended; return whether that is new."""
        crash = self._crashes.get(instance)
        if crash is None or crash.confirmed:
            return False
        crash.confirmed = True
        self._cached_counts = None
        return True

    def record_alive(self, instance: UpstreamInstance, at: float) -> bool:
        """Note that an upstream lived; return whether that refutes a crash."""
        crash = self._crashes.get(instance)
        _record_latest(self._alive, instance, at)
        if crash is None or crash.at > at:
            return False
        del self._crashes[instance]
        self._cached_counts = None
        return True

    def record_completed(self, fingerprint: Fingerprint, at: float) -> bool:
        """Note that a call came to its end; return whether that clears it."""
        _record_latest(self._completed, fingerprint, at)
        cleared = False
        for crash in self._crashes.values():
            if crash.at <= at and crash.lost.pop(fingerprint, None) is not None:
                cleared = True
        if cleared:
            self._cached_counts = None
        return cleared

    def block(self, fingerprint: Fingerprint, until: float) -> bool:
        """Block a call; return whether it was not blocked before."""
        is_new = fingerprint not in self._blocked
        self._blocked[fingerprint] = max(
            until, self._blocked.get(fingerprint, -math.inf)
        )
        if len(self._blocked) > MAX_BLOCKED:
            del self._blocked[min(self._blocked, key=self._blocked.__getitem__)]
        self._cached_counts = None
        return is_new

    # -- judgement ---------------------------------------------------------------

    def block_attributed(self, now: float) -> list[Fingerprint]:
        """Block what is to blame by now; return those calls."""
        blocked = []
        while (fingerprint := self._next_attributed(now)) is not None:
            self.block(fingerprint, now + BLOCK_TTL_S)
            blocked.append(fingerprint)
        return blocked

    def _next_attributed(self, now: float) -> Fingerprint | None:
        candidates = [
            (-counts.weight, fingerprint, counts)
            for fingerprint, counts in self._counts().items()
            if counts.unexplained >= BLOCK_CRASHES and fingerprint not in self._blocked
        ]
        # The clearest first: what it explains may be all there is against others.
        for _, fingerprint, counts in sorted(candidates, key=lambda c: c[:2]):
            if now - counts.latest_at < SETTLE_S:
                return None
            if counts.unexplained >= MAX_TIED or not self._is_tied(fingerprint, counts):
                return fingerprint
        return None

    def _is_tied(self, fingerprint: Fingerprint, counts: CrashCounts) -> bool:
        """Return whether another call is as suspect at the newest crash of this one."""
        suspects = (
            self._suspected(crash)
            for crash in self._newest_first()
            if crash.confirmed and not self._is_explained(crash)
        )
        others = next(tied for tied in suspects if fingerprint in tied) - {fingerprint}
        table = self._counts()
        return any(table[other].unexplained >= counts.unexplained for other in others)

    def _newest_first(self) -> list[_Crash]:
        return sorted(self._crashes.values(), key=lambda crash: -crash.at)

    def _counts(self) -> dict[Fingerprint, CrashCounts]:
        if self._cached_counts is None:
            self._cached_counts = {}
            for crash in self._crashes.values():
                is_unexplained = crash.confirmed and not self._is_explained(crash)
                suspected = self._suspected(crash)
                for fingerprint in suspected:
                    previous = self._cached_counts.get(fingerprint, CrashCounts())
                    self._cached_counts[fingerprint] = CrashCounts(
                        previous.reported + 1,
                        previous.confirmed + crash.confirmed,
                        previous.unexplained + is_unexplained,
                        previous.weight + is_unexplained / len(suspected),
                        max(previous.latest_at, crash.at, crash.received_at),
                    )
        return self._cached_counts

    def _suspected(self, crash: _Crash) -> set[Fingerprint]:
        recent = {fingerprint for fingerprint, is_new in crash.lost.items() if is_new}
        return recent or set(crash.lost)

    def _is_explained(self, crash: _Crash) -> bool:
        return any(suspect in self._blocked for suspect in self._suspected(crash))

    # -- what is known -----------------------------------------------------------

    def crash_counts(self, fingerprint: Fingerprint) -> CrashCounts | None:
        """Return what a call is accused of."""
        return self._counts().get(fingerprint)

    def awaits_confirmation(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a call may be blocked once all is known of its crashes."""
        counts = self.crash_counts(fingerprint)
        if counts is None or counts.reported < BLOCK_CRASHES:
            return False
        return counts.confirmed < counts.reported or now - counts.latest_at < SETTLE_S

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether a call has to run apart."""
        counts = self.crash_counts(fingerprint)
        return counts is not None and counts.reported >= SUSPECT_CRASHES

    def suspects(self) -> Iterable[Fingerprint]:
        """Return all calls that have to run apart."""
        return filter(self.is_suspect, self._counts())

    def has_crashed(self, instance: UpstreamInstance) -> bool:
        """Return whether an upstream is taken to have ended."""
        return instance in self._crashes

    def blocked_for(self, fingerprint: Fingerprint, now: float) -> float | None:
        """Return the seconds for which a call stays blocked, None if it is not."""
        until = self._blocked.get(fingerprint)
        return None if until is None or until <= now else until - now

    def blocked(self) -> Mapping[Fingerprint, float]:
        """Return blocked calls with the time until which they are."""
        return self._blocked

    def expire(self, now: float) -> None:
        """Forget what is old."""
        self._crashes = OrderedDict(
            (instance, crash)
            for instance, crash in self._crashes.items()
            if now - crash.at <= (CRASH_TTL_S if crash.confirmed else UNCONFIRMED_TTL_S)
        )
        self._blocked = {key: end for key, end in self._blocked.items() if end > now}
        self._completed = _unexpired(self._completed, now)
        self._alive = _unexpired(self._alive, now)
        self._cached_counts = None


def _record_latest(evidence: OrderedDict[K, float], key: K, at: float) -> None:
    evidence[key] = max(at, evidence.get(key, -math.inf))
    evidence.move_to_end(key)
    if len(evidence) > MAX_EVIDENCE:
        evidence.popitem(last=False)


def _unexpired(evidence: OrderedDict[K, float], now: float) -> OrderedDict[K, float]:
    return OrderedDict(
        (key, at) for key, at in evidence.items() if now - at <= EVIDENCE_TTL_S
    )
