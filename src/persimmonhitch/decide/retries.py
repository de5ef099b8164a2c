"""Budget of the retries that all entries together send to one service.

Load pattern: an upstream fails under load. If each request were retried, a fleet at its
limit would get twice the load when its capacity is lowest, and would remain overloaded
after the failure has ended. Operators therefore bound the retries that a service gets
in any window to a share of its requests plus a slack, over all entries.

Entries can't agree on each retry: they are cut off from each other, restart, or fail
together. Each entry keeps to its own part of the bound instead, the share of its own
requests plus a part of the slack. The parts add up to the bound whichever entry gets
the requests, without messages. ``decide/retry_share.py`` divides the slack.

The part holds for each interval up to the length of the window, not for one window at a
time. Retries that were saved in calm and retries that are due in the next window would
otherwise meet in a window that begins in between.

When few retries are left, requests of one account must not use up those of the others,
and night work not those of urgent requests. The lower half of the budget is a reserve
for urgent requests, of which each account gets the share of its own requests.
"""

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from ..ids import Account
from ..verdict import ErrorCode, Failure, Verdict

RETRYABLE_ELSEWHERE: Final = frozenset(
    {
        ErrorCode.STALE_INCARNATION,
        ErrorCode.STALE_CONFIG,
        ErrorCode.SHUTTING_DOWN,
        ErrorCode.NO_UPSTREAM,
        ErrorCode.UPSTREAM_LOST,
        ErrorCode.OVERLOADED,
        ErrorCode.MODEL_LOADING,
    }
)
"""Failures of one upstream that do not predict a failure at the others."""
OUTCOME_UNKNOWN: Final = frozenset({ErrorCode.UPSTREAM_LOST, ErrorCode.INTERNAL})
"""Failures that leave unknown whether the request ran."""
RESERVED_SHARE: Final = 0.5
"""Share of a budget that is left to the most urgent requests. Each account may use as
much of it as its own requests allow."""


@dataclass(frozen=True)
class RetryBound:
    """Operators' bound of the retries that a service gets from all entries."""

    ratio: float = 0.1
    """Retries per request."""
    window_s: float = 10.0
    slack: float = 10.0
    """Retries in each window beyond the ratio."""


DEFAULT_BOUND: Final = RetryBound()
"""Bound that applies if operators set none."""


@dataclass
class RetryBudget:
    """Retries of one entry to one service; times are monotonic seconds."""

    bound: RetryBound = DEFAULT_BOUND
    slack: float = DEFAULT_BOUND.slack
    """Part of the slack that this entry may use."""
    _credit: float = 0.0
    """Retries that all requests so far allow, less the retries sent."""
    _peaks: deque[tuple[float, float]] = field(default_factory=deque)
    """Earlier values of ``_credit`` above all later ones, each with its end time."""

    @classmethod
    def from_start(cls, bound: RetryBound, started_at: float) -> "RetryBudget":
        """Return the budget of a process whose predecessor may have used its own."""
        budget = cls(bound, 1.0)
        budget._peaks.append((started_at, 1.0))
        return budget

    @property
    def reserve(self) -> float:
        """Return the retries that only some requests may use."""
        return RESERVED_SHARE * max(0.0, self.slack - 1.0)

    def on_request(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._expire(now)
        self._credit += self.bound.ratio
        while self._peaks and self._peaks[-1][1] <= self._credit:
            self._peaks.pop()

    def level(self, now: float) -> float:
        """Return the number of retries that may be sent now."""
        self._expire(now)
        peak = self._peaks[0][1] if self._peaks else self._credit
        return self.slack + self._credit - peak

    def try_spend(self, now: float, keep: float = 0.0) -> bool:
        """Spend one retry if more than ``keep`` are left; return whether it was."""
        if self.level(now) < 1.0 + keep:
            return False
        self._peaks.append((now, self._credit))
        self._credit -= 1.0
        return True

    def _expire(self, now: float) -> None:
        while self._peaks and self._peaks[0][0] <= now - self.bound.window_s:
            self._peaks.popleft()


@dataclass
class _Use:
    requests: int = 0
    retries: int = 0


@dataclass
class RetryUse:
    """Who uses the reserve of one service, and the most urgent rank of its requests.

    Counts by account cover one to two windows.
    """

    bound: RetryBound = DEFAULT_BOUND
    _since: float = -math.inf
    _current: dict[Account | None, _Use] = field(default_factory=dict)
    _previous: dict[Account | None, _Use] = field(default_factory=dict)
    _ranks: tuple[int | None, int | None] = (None, None)
    """Lowest number of a rank in the current and in the previous period."""

    def on_request(self, account: Account | None, rank: int, now: float) -> None:
        """Record a request."""
        self._advance(now)
        self._current.setdefault(account, _Use()).requests += 1
        lowest, before = self._ranks
        self._ranks = rank if lowest is None else min(rank, lowest), before

    def on_retry(self, account: Account | None, now: float) -> None:
        """Record a retry from the reserve."""
        self._advance(now)
        self._current.setdefault(account, _Use()).retries += 1

    def is_within_part(self, account: Account | None) -> bool:
        """Return whether an account has used no more than its part of the reserve."""
        uses = (self._current.get(account), self._previous.get(account))
        requests = sum(use.requests for use in uses if use)
        retries = sum(use.retries for use in uses if use)
        return retries < 1 + self.bound.ratio * requests

    def is_most_urgent(self, rank: int) -> bool:
        """Return whether no request is more urgent than those of a rank."""
        return all(lowest is None or rank <= lowest for lowest in self._ranks)

    def _advance(self, now: float) -> None:
        if now - self._since < self.bound.window_s:
            return
        self._since = now
        self._previous, self._current = self._current, {}
        self._ranks = None, self._ranks[0]


def may_retry(failure: Failure, repeatable: bool) -> bool:
    """Return whether a failed request may be retried at another upstream.

    A request that may have run is retried only if the operators have listed it as
    repeatable. Otherwise its effect, such as a booking, could occur twice.
    """
    if failure.verdict is Verdict.NOT_RUN:
        return failure.code in RETRYABLE_ELSEWHERE
    return repeatable and failure.code in OUTCOME_UNKNOWN
