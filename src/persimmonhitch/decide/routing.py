"""Choice of the upstream for a request.

Load pattern: many entries with the same outdated view of the upstreams. If each sent
its requests to the least loaded upstream of the last report, all would choose the same
one until the next report and overload it while its peers idle. The expected completion
therefore counts the entry's own in-flight requests, which are known without delay, and
uses the report only for the load from other entries. Only a few random candidates are
compared, so that entries with the same view choose differently.

A cached prefix or a loaded adapter saves time, which the expected completion includes.
Cache hints are delayed and may be wrong, so only ``HINT_WEIGHT`` of a hint counts. They
may cost at most ``MAX_AFFINITY_DELAY_S`` of queueing delay, a fifth of the first-token
target; otherwise the one upstream that has a popular prefix would get all its requests.
An upstream in the entry's own zone is preferred while it is slower by no more than
``CROSS_ZONE_PENALTY_S``, about two zone crossings.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from ..ids import Adapter, Upstream, Zone
from ..wire.messages import LoadReport

HINT_WEIGHT: Final = 0.7
MAX_AFFINITY_DELAY_S: Final = 0.15
CROSS_ZONE_PENALTY_S: Final = 0.003
ADAPTER_LOAD_S: Final = 0.1
"""Seconds that an engine takes to load an adapter."""
SAMPLE_SIZE: Final = 2
"""Random candidates drawn from the entry's own zone, and from all other zones."""
DEFAULT_RATE: Final = 1000.0
"""Tokens per second assumed while no candidate has a known rate."""
EWMA_WEIGHT: Final = 0.3
"""Weight of the newest report in the moving average of the rate."""
MAX_IDLE_REPORTS: Final = 20
"""Consecutive idle reports after which the rate is discarded."""
MEAN_REMAINING_TOKENS: Final = 200.0
"""Remaining tokens assumed for a running request of another entry."""


@dataclass(frozen=True)
class Candidate:
    """An upstream that could run a request.

    Attributes
    ----------
    pending : float
        Tokens ahead of a new request: in flight from this entry, and reported for
        other entries.
    rate : float
        Tokens per second that the upstream serves when busy, 0 if unknown.
    share : float
        Share of its normal traffic, reduced by warm-up and outlier ejection.
    cached_prefix : float
        Prompt tokens expected to be in the prefix cache.
    has_adapter : bool
        Whether the adapter of the request is expected to be loaded.
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
    """Properties of a request that routing depends on."""

    zone: Zone
    cost: float
    adapter: Adapter | None = None


class UpstreamLoad:
    """Load of one upstream, as seen by one entry.

    Counts the entry's own requests without delay, and other entries' load by report.
    ``rate`` is the tokens per second that the upstream serves when busy, 0 if unknown.
    """

    def __init__(self) -> None:
        self.rate = 0.0
        self._others_tokens = 0.0
        self._in_flight_tokens = 0.0
        self._idle_reports = 0

    def on_send(self, cost: float) -> None:
        """Count a request sent to the upstream."""
        self._in_flight_tokens += cost

    def on_done(self, cost: float) -> None:
        """Remove a finished request from the count."""
        self._in_flight_tokens = max(self._in_flight_tokens - cost, 0.0)

    def on_report(self, report: LoadReport) -> None:
        """Update the load and, if the upstream is busy, its rate from a report."""
        busy = report.queued > 0 or report.running >= report.concurrency_limit
        if report.token_rate > 0.0:
            # An upstream with spare capacity serves only the requested tokens. If that
            # rate were taken for its capacity, idle upstreams would be considered slow,
            # and a burst would be sent to the busy ones.
            rate = report.token_rate if busy else max(report.token_rate, self.rate)
            self.rate += (EWMA_WEIGHT if self.rate > 0.0 else 1.0) * (rate - self.rate)
        self._idle_reports = self._idle_reports + 1 if report.running == 0 else 0
        if self._idle_reports >= MAX_IDLE_REPORTS:
            # An upstream considered slow gets no requests by which its rate could be
            # measured again.
            self.rate = 0.0
        reported = report.queued_tokens + report.running * MEAN_REMAINING_TOKENS
        self._others_tokens = max(reported - self._in_flight_tokens, 0.0)

    @property
    def pending(self) -> float:
        """Return the tokens ahead of a new request."""
        return self._in_flight_tokens + self._others_tokens


def expected_completion(candidate: Candidate, req: RouteRequest) -> float:
    """Return the seconds after which a request is expected to finish."""
    cost = max(req.cost - HINT_WEIGHT * candidate.cached_prefix, 0.0)
    load_s = 0.0 if req.adapter is None or candidate.has_adapter else ADAPTER_LOAD_S
    return (candidate.pending + cost) / candidate.rate + load_s


def queue_delay(candidate: Candidate) -> float:
    """Return the seconds until the pending tokens are served."""
    return candidate.pending / candidate.rate


def _fill_missing_rates(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Assume the fastest known rate for candidates whose rate is unknown.

    With a fixed default below the rate of the peers, an upstream that was never busy
    would be considered slow, and its busy peers would get more requests.
    """
    fastest = max(each.rate for each in candidates)
    default = fastest if fastest > 0.0 else DEFAULT_RATE
    return [
        each if each.rate > 0.0 else replace(each, rate=default) for each in candidates
    ]


def choose(
    candidates: Sequence[Candidate], req: RouteRequest, rng: Random
) -> Candidate | None:
    """Return the candidate for a request, or None if there are no candidates."""
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
    """Select each candidate with a probability equal to its traffic share."""
    kept = [each for each in candidates if rng.random() < each.share]
    if kept:
        return kept
    max_share = max(each.share for each in candidates)
    return [each for each in candidates if each.share == max_share]


def _sample(pool: Sequence[Candidate], rng: Random) -> list[Candidate]:
    return rng.sample(pool, min(SAMPLE_SIZE, len(pool)))


def _has_affinity(candidate: Candidate, req: RouteRequest, min_delay: float) -> bool:
    """Return whether a cached prefix or adapter is worth the queueing delay."""
    has_adapter = req.adapter is not None and candidate.has_adapter
    if not (candidate.cached_prefix > 0.0 or has_adapter):
        return False
    return queue_delay(candidate) <= min_delay + MAX_AFFINITY_DELAY_S
