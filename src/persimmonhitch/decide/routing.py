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

HINT_TRUST: Final = 0.7
AFFINITY_BOUND: Final = 0.15
ZONE_SLACK: Final = 0.003
ADAPTER_LOAD: Final = 0.1
"""Seconds that an adapter takes to come into an engine's memory."""
CHOICES: Final = 2
START_RATE: Final = 1000.0
"""Tokens a second assumed where no candidate has been seen busy."""
RATE_NEW: Final = 0.3
"""Weight of the newest report in the rate."""
FORGET_AFTER: Final = 20
"""Idle reports in a row after which a rate is no longer believed."""
MEAN_REST: Final = 200.0
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
    work: float
    rate: float = 0.0
    share: float = 1.0
    warm_prefix: float = 0.0
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
        self._others = 0.0
        self._in_flight = 0.0
        self._idle = 0

    def on_send(self, cost: float) -> None:
        """Count a request that leaves for the upstream."""
        self._in_flight += cost

    def on_done(self, cost: float) -> None:
        """Count a request that ended."""
        self._in_flight = max(self._in_flight - cost, 0.0)

    def on_report(self, report: Report) -> None:
        """Take a report; what an idle upstream serves says nothing of its speed."""
        busy = report.queued > 0 or report.running >= report.limit
        if report.token_rate > 0.0:
            # The rate of an upstream with room is only what it was asked for. Taken
            # as its speed it would make idle upstreams look slow, and a burst would
            # be sent to the busy ones.
            seen = report.token_rate if busy else max(report.token_rate, self.rate)
            self.rate += (RATE_NEW if self.rate > 0.0 else 1.0) * (seen - self.rate)
        self._idle = self._idle + 1 if report.running == 0 else 0
        if self._idle >= FORGET_AFTER:
            # One believed to be slow gets no work with which to show otherwise.
            self.rate = 0.0
        total = report.queued_tokens + report.running * MEAN_REST
        self._others = max(total - self._in_flight, 0.0)

    @property
    def work(self) -> float:
        """Return the tokens in front of a new request."""
        return self._in_flight + self._others


def expected_completion(candidate: Candidate, req: RouteRequest) -> float:
    """Return the seconds after which a request is expected to end."""
    cost = max(req.cost - HINT_TRUST * candidate.warm_prefix, 0.0)
    loading = 0.0 if req.adapter is None or candidate.has_adapter else ADAPTER_LOAD
    return (candidate.work + cost) / candidate.rate + loading


def queue_delay(candidate: Candidate) -> float:
    """Return the seconds of work in front of a new request."""
    return candidate.work / candidate.rate


def _with_rates(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Take those whose rate is not known for as fast as the fastest.

    A fixed guess below what its peers serve made an upstream that was never busy
    look slow, and the busy ones got more work for having been seen (play, flood).
    """
    fastest = max(each.rate for each in candidates)
    usual = fastest if fastest > 0.0 else START_RATE
    return [
        each if each.rate > 0.0 else replace(each, rate=usual) for each in candidates
    ]


def choose(
    candidates: Sequence[Candidate], req: RouteRequest, rng: Random
) -> Candidate | None:
    """Return the upstream that gets a request, or None without candidates."""
    if not candidates:
        return None
    open_ = _thin(_with_rates(candidates), rng)
    near = [each for each in open_ if each.zone == req.zone]
    far = [each for each in open_ if each.zone != req.zone]
    drawn = _draw(near, rng) + _draw(far, rng)
    least = min(queue_delay(each) for each in drawn)
    drawn += [each for each in open_ if _is_warm(each, req, least)]

    def rank(each: Candidate) -> float:
        crossing = 0.0 if each.zone == req.zone else ZONE_SLACK
        return expected_completion(each, req) + crossing

    return min(drawn, key=rank)


def _thin(candidates: Sequence[Candidate], rng: Random) -> list[Candidate]:
    """Leave out an upstream as often as its share of traffic says."""
    chosen = [each for each in candidates if rng.random() < each.share]
    if chosen:
        return chosen
    most = max(each.share for each in candidates)
    return [each for each in candidates if each.share == most]


def _draw(pool: Sequence[Candidate], rng: Random) -> list[Candidate]:
    return rng.sample(pool, min(CHOICES, len(pool)))


def _is_warm(candidate: Candidate, req: RouteRequest, least: float) -> bool:
    """Return whether a warm upstream is close enough to the least loaded."""
    has_adapter = req.adapter is not None and candidate.has_adapter
    if not (candidate.warm_prefix > 0.0 or has_adapter):
        return False
    return queue_delay(candidate) <= least + AFFINITY_BOUND
