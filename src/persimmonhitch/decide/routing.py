"""Which upstream gets a request.

Load pattern: many entries with a late view of the same upstreams. If each sent its
work to the least loaded upstream of the last report, all would choose the same one
until the next report, and it would be seen overloaded while its peers idle. So the
expected completion counts the entry's own work in flight, which is known without lag,
and takes from the report only the work of others; and it is compared among two random
choices, so that entries with the same view don't act as one.

A warm prefix cache or adapter saves time, and the saving is part of the expectation.
Hints are late and may be wrong, hence ``HINT_TRUST``; and they may cost an imbalance of
``AFFINITY_BOUND`` seconds at most, a fifth of the first-token aim, since otherwise the
one upstream that holds a popular prefix takes all its work. The own zone goes first
while it is slower by no more than ``ZONE_SLACK``, about two crossings of zones.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from ..ids import Adapter, Upstream, Zone
from ..wire.messages import Report

HINT_WEIGHT: Final = 0.7
MAX_AFFINITY_DELAY_S: Final = 0.15
CROSS_ZONE_PENALTY_S: Final = 0.003
ADAPTER_LOAD_S: Final = 0.1
"""Seconds that an adapter takes to come into an engine's memory."""
SAMPLE_SIZE: Final = 2
DEFAULT_RATE: Final = 1000.0
"""Tokens a second assumed where no candidate has been seen busy."""
EWMA_WEIGHT: Final = 0.3
"""Weight of the newest report in the rate."""
MAX_IDLE_REPORTS: Final = 20
"""Idle reports in a row after which a rate is no longer believed."""
MEAN_REMAINING_TOKENS: Final = 200.0
"""Tokens assumed left of a running request of another entry."""


@dataclass(frozen=True)
class Candidate:
    """An upstream that could run a request.

    Attributes
    ----------
    work : float
        Tokens in front of a new request: own in flight and others' by report.
    rate : float
        Tokens a second it serves when busy, 0 where that is not known.
    share : float
        Part of its usual traffic it may get, from warm-up and outlier ejection.
    warm_prefix : float
        Prompt tokens that its prefix cache is believed to hold.
    has_adapter : bool
        Whether the request's adapter is believed to be loaded.
    """

    upstream: Upstream
    zone: Zone
    pending: float
    rate: float = 0.0
    share: float = 1.0
    cached_prefix: float = 0.0
    has_adapter: bool = True


@dataclass(frozen=True)
class RouteRequest:
    """What routing needs to know of a request."""

    zone: Zone
    cost: float
    adapter: Adapter | None = None


class UpstreamLoad:
    """Load of one upstream as one entry sees it.

    Counts the entry's own work without lag, and others' work from reports. ``rate``
    is the tokens a second that it serves when busy, 0 while that is not known.
    """

    def __init__(self) -> None:
        self.rate = 0.0
        self._others_tokens = 0.0
        self._in_flight_tokens = 0.0
        self._idle_reports = 0

    def on_send(self, cost: float) -> None:
        """Count a request that leaves for the upstream."""
        self._in_flight_tokens += cost

    def on_done(self, cost: float) -> None:
        """Count a request that ended."""
        self._in_flight_tokens = max(self._in_flight_tokens - cost, 0.0)

    def on_report(self, report: Report) -> None:
        """Take a report; what an idle upstream serves says nothing of its speed."""
        busy = report.queued > 0 or report.running >= report.limit
        if report.token_rate > 0.0:
            # The rate of an upstream with room is only what it was asked for. Taken
            # as its speed it would make idle upstreams look slow, and a burst would
            # be sent to the busy ones.
            rate = report.token_rate if busy else max(report.token_rate, self.rate)
            self.rate += (EWMA_WEIGHT if self.rate > 0.0 else 1.0) * (rate - self.rate)
        self._idle_reports = self._idle_reports + 1 if report.running == 0 else 0
        if self._idle_reports >= MAX_IDLE_REPORTS:
            # One believed to be slow gets no work with which to show otherwise.
            self.rate = 0.0
        reported = report.queued_tokens + report.running * MEAN_REMAINING_TOKENS
        self._others_tokens = max(reported - self._in_flight_tokens, 0.0)

    @property
    def pending(self) -> float:
        """Return the tokens in front of a new request."""
        return self._in_flight_tokens + self._others_tokens


def expected_completion(candidate: Candidate, req: RouteRequest) -> float:
    """Return the seconds after which a request is expected to end."""
    cost = max(req.cost - HINT_WEIGHT * candidate.cached_prefix, 0.0)
    load_s = 0.0 if req.adapter is None or candidate.has_adapter else ADAPTER_LOAD_S
    return (candidate.pending + cost) / candidate.rate + load_s


def queue_delay(candidate: Candidate) -> float:
    """Return the seconds of work in front of a new request."""
    return candidate.pending / candidate.rate


def _fill_missing_rates(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Take those whose rate is not known for as fast as the fastest.

    A fixed guess below what its peers serve made an upstream that was never busy
    look slow, and the busy ones got more work for having been seen (play, flood).
    """
    fastest = max(each.rate for each in candidates)
    default = fastest if fastest > 0.0 else DEFAULT_RATE
    return [
        each if each.rate > 0.0 else replace(each, rate=default) for each in candidates
    ]


def choose(
    candidates: Sequence[Candidate], req: RouteRequest, rng: Random
) -> Candidate | None:
    """Return the upstream that gets a request, or None without candidates."""
    if not candidates:
        return None
    available = _sample_by_share(_fill_missing_rates(candidates), rng)
    same_zone = [each for each in available if each.zone == req.zone]
    other_zones = [each for each in available if each.zone != req.zone]
    sampled = _sample(same_zone, rng) + _sample(other_zones, rng)
    min_delay = min(queue_delay(each) for each in sampled)
    sampled += [each for each in available if _has_affinity(each, req, min_delay)]

    def rank(candidate: Candidate) -> float:
        penalty = 0.0 if candidate.zone == req.zone else CROSS_ZONE_PENALTY_S
        return expected_completion(candidate, req) + penalty

    return min(sampled, key=rank)


def _sample_by_share(candidates: Sequence[Candidate], rng: Random) -> list[Candidate]:
    """Leave out an upstream as often as its share of traffic says."""
    kept = [each for each in candidates if rng.random() < each.share]
    if kept:
        return kept
    max_share = max(each.share for each in candidates)
    return [each for each in candidates if each.share == max_share]


def _sample(pool: Sequence[Candidate], rng: Random) -> list[Candidate]:
    return rng.sample(pool, min(SAMPLE_SIZE, len(pool)))


def _has_affinity(candidate: Candidate, req: RouteRequest, min_delay: float) -> bool:
    """Return whether a warm upstream is close enough to the least loaded."""
    has_adapter = req.adapter is not None and candidate.has_adapter
    if not (candidate.cached_prefix > 0.0 or has_adapter):
        return False
    return queue_delay(candidate) <= min_delay + MAX_AFFINITY_DELAY_S
