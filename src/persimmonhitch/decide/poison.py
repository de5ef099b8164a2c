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
suspected only if no others are left. A crash is explained if a blocked request was
among its suspects. A request suspected of ``SUSPECT_CRASHES`` runs in isolation and in
one copy, so that the next crash has one possible cause. After ``BLOCK_CRASHES``
unexplained crashes, the request is blocked for ``BLOCK_TTL_S``.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final, TypeVar

from ..ids import Fingerprint, Upstream

K = TypeVar("K")

SUSPECT_CRASHES: Final = 2
"""Crashes after which a request runs in isolation. Most requests lost in a single crash
did not cause the crash and are retried at once."""
BLOCK_CRASHES: Final = 3
"""Unexplained crashes after which a request is blocked."""
TIED_LIMIT: Final = 6
"""Crashes after which requests lost together in each of them are all blocked."""
SETTLE_S: Final = 0.6
"""Seconds after a crash until all entries have reported their lost requests; earlier, a
request may wrongly appear to be the only suspect."""
RECENT_START_S: Final = 1.0
"""Seconds from the start of its answer during which a request counts as just begun."""
BLOCK_TTL_S: Final = 3600.0
"""Duration of a block; limited since a later upstream version may run the request."""
UNCONFIRMED_TTL_S: Final = 5.0
"""Lifetime of a reported crash without confirmation."""
CRASH_TTL_S: Final = 3600.0
EVIDENCE_TTL_S: Final = 60.0
"""Seconds for which evidence against a crash overrides reports that arrive late."""
MAX_CRASHES: Final = 64
MAX_LOST: Final = 256
"""Lost requests recorded per crash; an engine runs fewer."""
MAX_EVIDENCE: Final = 1024
MAX_BLOCKED: Final = 1024


@dataclass(frozen=True)
class UpstreamInstance:
    """One run of an upstream; it may restart under the same name."""

    name: Upstream
    started_at_ms: int


@dataclass(frozen=True)
class CrashCounts:
    """Crashes that a request is suspected of."""

    reported: int = 0
    """All crashes, confirmed or not, explained or not."""
    confirmed: int = 0
    unexplained: int = 0
    """Confirmed crashes that no blocked request explains."""
    weight: float = 0.0
    """Sum over the unexplained crashes of one divided by the number of suspects."""
    latest_at: float = -math.inf
    """When the latest crash happened or was first reported, whichever is later."""


@dataclass
class _Crash:
    at: float
    """Latest reported time at which the upstream lost a request."""
    received_at: float
    """When this entry received the first report of the crash."""
    confirmed: bool = False
    lost: dict[Fingerprint, bool] = field(default_factory=dict)
    """Lost requests, and whether each had just begun or had no answer yet."""


class CrashHistory:
    """Crashes and the requests lost with them; times are monotonic seconds."""

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
        """Record requests lost with an upstream, possibly because it crashed."""
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
        """Confirm that an upstream has ended; return whether this is new."""
        crash = self._crashes.get(instance)
        if crash is None or crash.confirmed:
            return False
        crash.confirmed = True
        self._cached_counts = None
        return True

    def record_alive(self, instance: UpstreamInstance, at: float) -> bool:
        """Record that an upstream was alive; return whether this refutes a crash."""
        crash = self._crashes.get(instance)
        _record_latest(self._alive, instance, at)
        if crash is None or crash.at > at:
            return False
        del self._crashes[instance]
        self._cached_counts = None
        return True

    def record_completed(self, fingerprint: Fingerprint, at: float) -> bool:
        """Record that a request completed; return whether this clears it of a crash."""
        _record_latest(self._completed, fingerprint, at)
        cleared = False
        for crash in self._crashes.values():
            if crash.at <= at and crash.lost.pop(fingerprint, None) is not None:
                cleared = True
        if cleared:
            self._cached_counts = None
        return cleared

    def block(self, fingerprint: Fingerprint, until: float) -> bool:
        """Block a request; return whether the block is new."""
        is_new = fingerprint not in self._blocked
        self._blocked[fingerprint] = max(
            until, self._blocked.get(fingerprint, -math.inf)
        )
        if len(self._blocked) > MAX_BLOCKED:
            del self._blocked[min(self._blocked, key=self._blocked.__getitem__)]
        self._cached_counts = None
        return is_new

    # -- attribution -------------------------------------------------------------

    def block_attributed(self, now: float) -> list[Fingerprint]:
        """Block the requests to which crashes are attributed; return them."""
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
        # Highest weight first: its block may explain all crashes of other candidates.
        for _, fingerprint, counts in sorted(candidates, key=lambda c: c[:2]):
            if now - counts.latest_at < SETTLE_S:
                return None
            if counts.unexplained >= TIED_LIMIT or not self._tied(fingerprint, counts):
                return fingerprint
        return None

    def _tied(self, fingerprint: Fingerprint, counts: CrashCounts) -> bool:
        """Return whether another suspect of the latest crash has as many crashes."""
        suspects = (
            self._suspected(crash)
            for crash in self._newest_first()
            if crash.confirmed and not self._is_explained(crash)
        )
        others = next(tied for tied in suspects if fingerprint in tied) - {fingerprint}
        totals = self._counts()
        return any(totals[other].unexplained >= counts.unexplained for other in others)

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

    # -- queries -----------------------------------------------------------------

    def crash_counts(self, fingerprint: Fingerprint) -> CrashCounts | None:
        """Return the crashes that a request is suspected of."""
        return self._counts().get(fingerprint)

    def awaits_confirmation(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request may be blocked once its crashes are confirmed."""
        counts = self.crash_counts(fingerprint)
        if counts is None or counts.reported < BLOCK_CRASHES:
            return False
        return counts.confirmed < counts.reported or now - counts.latest_at < SETTLE_S

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request has to run in isolation."""
        counts = self.crash_counts(fingerprint)
        return counts is not None and counts.reported >= SUSPECT_CRASHES

    def suspects(self) -> Iterable[Fingerprint]:
        """Return all requests that have to run in isolation."""
        return filter(self.is_suspect, self._counts())

    def suspect_count(self, instance: UpstreamInstance) -> int:
        """Return the number of requests that are suspected of a crash."""
        crash = self._crashes.get(instance)
        return 0 if crash is None else len(self._suspected(crash))

    def has_crashed(self, instance: UpstreamInstance) -> bool:
        """Return whether an upstream is reported to have crashed."""
        return instance in self._crashes

    def blocked_for(self, fingerprint: Fingerprint, now: float) -> float | None:
        """Return the seconds for which a request stays blocked, None if not blocked."""
        until = self._blocked.get(fingerprint)
        return None if until is None or until <= now else until - now

    def blocked(self) -> Mapping[Fingerprint, float]:
        """Return the blocked requests and the end of each block."""
        return self._blocked

    def expire(self, now: float) -> None:
        """Remove expired crashes, blocks and evidence."""
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
