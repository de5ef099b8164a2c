"""Estimate the load of an upstream from figures of different ages.

Load pattern: an entry knows its own requests at once and those of its peers a fraction
of a second later. Each answer of an upstream states how many requests run there and how
slow the machine is at that moment. Requests of tens of milliseconds end before such
news arrives, and requests of seconds are mostly still there.

A request that was running ``age`` seconds ago is still running with probability
``exp(-age / occupancy)``, where the occupancy is the mean time for which a request
holds a slot. The estimate therefore keeps apart the requests that are still there, and
those that have ended since the news and been replaced by requests that nobody has
reported yet. If both the peers and the upstream itself report requests of other
entries, the newer report weighs more. Prompts are read one after the other, so that
``age`` seconds of reading are done since the news.

A request waits at the entry only if all upstreams are full beyond doubt: upstreams that
merely were full a moment ago would idle until the next news.

A stated slowdown says nothing after ``SLOWDOWN_PERIOD_S``. Figures that contradict what
the entries have running at the upstream are not used, since they may say that a full
upstream is idle.
"""

import math
from dataclasses import dataclass
from enum import Enum
from typing import Final

MAX_FIGURES_AGE_S: Final = 1.0
"""Age above which the stated figures of an upstream are not used."""
SLOWDOWN_PERIOD_S: Final = 0.6
"""Time after which a stated slowdown says nothing about the present."""
MAX_SLOWDOWN: Final = 10.0
"""Largest slowdown used; above it, the upstream is as good as stopped."""
DEFAULT_OCCUPANCY_S: Final = 0.1
"""Time for which a request holds a slot, until the first request has ended."""
DEFAULT_NEWS_AGE_S: Final = 0.25
"""Age of the peers' counts, until their messages have shown it."""
MEAN_WEIGHT: Final = 0.05
"""Least weight of the newest sample in a mean."""
PRIOR_SAMPLES: Final = 5
"""Samples of one upstream that weigh as much as the mean of its service."""
CHECK_WEIGHT: Final = 0.2
"""Weight of the newest answer in the comparison of stated and counted requests."""
MIN_CHECKED_ANSWERS: Final = 5
"""Answers before the figures of an upstream are judged."""
MAX_SILENT_ANSWERS: Final = 3
"""Answers in a row without figures after which an upstream counts as silent."""
MIN_UNUSABLE_S: Final = 2.0
"""Shortest time for which figures stay unused; also bounds the log lines about them."""
DOUBT_DEVIATIONS: Final = 2.0
"""Standard deviations below its expected number that a count is beyond doubt."""
IMPLAUSIBLE_RATIO: Final = 2.0
IMPLAUSIBLE_MARGIN: Final = 2.0
"""Figures are implausible while the entries count more requests than this ratio of the
stated number plus this margin. The margin covers requests that have just ended."""


class RunningMean:
    """Mean of recent samples; the first samples weigh as in a plain mean.

    The initial value weighs as much as ``samples`` samples.
    """

    def __init__(self, initial: float, samples: int = 0) -> None:
        self.value = initial
        self._count = samples

    def add(self, sample: float) -> None:
        """Add a sample."""
        self._count += 1
        weight = max(MEAN_WEIGHT, 1.0 / self._count)
        self.value += weight * (sample - self.value)


@dataclass(frozen=True)
class StatedLoad:
    """Figures of an upstream's answer, with the entry's own work at that moment."""

    requests: int
    """Requests that run or wait at the upstream."""
    own_requests: int
    """Requests of this entry among them."""
    slowdown: float
    at: float
    """Monotonic time at which the answer arrived."""


@dataclass(slots=True)
class CountedWork:
    """Work at an upstream as the entries count it."""

    own_requests: int
    own_unread_s: float
    """Time that the upstream takes to read the unread prompts of this entry."""
    peer_requests: int
    peer_unread_s: float
    news_age_s: float
    """Age of the peers' counts."""


@dataclass(slots=True)
class LoadEstimate:
    """Expected load of an upstream at one moment."""

    running: float
    """Requests that run or wait there, as reported."""
    known_running: float
    """Those of them that are still there; others have been replaced since the news."""
    certain_running: float
    """Requests that run or wait there beyond doubt."""
    known_unread: float
    """Share of the unread prompts that are still unread."""
    slowdown: float
    """How many times as long as usual work takes."""
    service_s: float
    """Usual time for which a request holds a slot there."""
    age_s: float | None
    """Age of the upstream's own figures; None if none are used."""


def remaining_share(age_s: float, occupancy_s: float) -> float:
    """Return the share of requests that still run ``age_s`` after they were seen."""
    return math.exp(-age_s / occupancy_s) if occupancy_s > 0 else 0.0


def unread_share(unread_s: float, age_s: float) -> float:
    """Return the share of prompts still unread ``age_s`` after they were seen."""
    return max(0.0, 1.0 - age_s / unread_s) if unread_s > 0 else 0.0


def effective_slowdown(stated: float, age_s: float, usual: float = 1.0) -> float:
    """Return the slowdown to expect ``age_s`` after it was stated.

    ``usual`` is the mean of what the upstream stated.
    """
    trust = max(0.0, 1.0 - age_s / SLOWDOWN_PERIOD_S)
    return usual + (min(stated, MAX_SLOWDOWN) - usual) * trust


def estimate_load(
    work: CountedWork,
    stated: StatedLoad | None,
    service_s: float,
    mean_peer_requests: float,
    now: float,
    slowdown: float = 1.0,
) -> LoadEstimate:
    """Return the expected load of an upstream.

    Parameters
    ----------
    work : CountedWork
        Work of all entries at the upstream.
    stated : StatedLoad or None
        Newest figures of the upstream, if they are usable.
    service_s : float
        Mean time for which a request holds a slot of the upstream.
    mean_peer_requests : float
        Requests of the peers at an upstream of the service, in the mean.
    now : float
        Monotonic time.
    slowdown : float
        How many times as long as usual work is expected to take.
    """
    if stated is not None and now - stated.at > MAX_FIGURES_AGE_S:
        stated = None
    age_s = now - stated.at if stated is not None else None
    slowdown = effective_slowdown(stated.slowdown, now - stated.at) if stated else 1.0
    others, left = _others(work, stated, service_s * slowdown, now)
    own = work.own_requests
    return LoadEstimate(
        running=own + others,
        known_running=own + others * left,
        certain_running=own + _certain_others(others, left, mean_peer_requests),
        known_unread=_known_unread(work),
        slowdown=slowdown,
        service_s=service_s,
        age_s=age_s,
    )


def _others(
    work: CountedWork, stated: StatedLoad | None, occupancy_s: float, now: float
) -> tuple[float, float]:
    """Return the reported requests of other entries, and the share still there."""
    peers_left = remaining_share(work.news_age_s, occupancy_s)
    if stated is None:
        return work.peer_requests, peers_left
    stated_left = remaining_share(now - stated.at, occupancy_s)
    # The variance of a count grows with the requests that have been replaced.
    peers_error, stated_error = 1.0 - peers_left**2, 1.0 - stated_left**2
    total_error = peers_error + stated_error
    weight = peers_error / total_error if total_error > 0 else 1.0
    others = max(0, stated.requests - stated.own_requests)
    expected = weight * others + (1.0 - weight) * work.peer_requests
    return expected, max(peers_left, stated_left)


def _certain_others(others: float, left: float, mean: float) -> float:
    """Return the requests of other entries that run there beyond doubt.

    Those that have ended since the news are replaced by as many as a mean upstream
    gets.
    """
    expected = others * left + mean * (1.0 - left)
    return max(0.0, expected - DOUBT_DEVIATIONS * math.sqrt(mean * (1.0 - left**2)))


def _known_unread(work: CountedWork) -> float:
    total_s = work.own_unread_s + work.peer_unread_s
    if total_s <= 0:
        return 1.0
    left = unread_share(work.peer_unread_s, work.news_age_s)
    return (work.own_unread_s + work.peer_unread_s * left) / total_s


class FiguresState(Enum):
    """Whether the stated figures of an upstream are used."""

    USABLE = "usable"
    SILENT = "silent"
    """Its answers state no figures any longer."""
    IMPLAUSIBLE = "implausible"
    """It states far fewer requests than the entries have running there."""


class FiguresCheck:
    """Judges the figures of one upstream by what the entries have running there."""

    def __init__(self) -> None:
        self.state = FiguresState.USABLE
        self.stated_mean = 0.0
        self.counted_mean = 0.0
        self._answers = 0
        self._silent_answers = 0
        self._unusable_until = 0.0

    def add_silent(self, now: float) -> bool:
        """Count an answer without figures; return whether the state has changed."""
        self._silent_answers += 1
        if self._silent_answers < MAX_SILENT_ANSWERS:
            return False
        return self._enter(FiguresState.SILENT, now)

    def add(self, stated: int, counted: int, now: float) -> bool:
        """Compare stated and counted requests; return whether the state has changed."""
        self._silent_answers = 0
        self._answers += 1
        weight = max(CHECK_WEIGHT, 1.0 / self._answers)
        self.stated_mean += weight * (stated - self.stated_mean)
        self.counted_mean += weight * (counted - self.counted_mean)
        bound = self.stated_mean * IMPLAUSIBLE_RATIO + IMPLAUSIBLE_MARGIN
        if self._answers >= MIN_CHECKED_ANSWERS and self.counted_mean > bound:
            return self._enter(FiguresState.IMPLAUSIBLE, now)
        return self._enter(FiguresState.USABLE, now)

    def _enter(self, state: FiguresState, now: float) -> bool:
        if state is FiguresState.USABLE and now < self._unusable_until:
            return False
        if state is not FiguresState.USABLE:
            self._unusable_until = now + MIN_UNUSABLE_S
        changed = state is not self.state
        self.state = state
        return changed
