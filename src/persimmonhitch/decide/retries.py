"""Retry budget and the failures that may be retried at another upstream.

Load pattern: an upstream fails under load. If each request were retried, a fleet at its
limit would get twice the load when its capacity is lowest, and would remain overloaded
after the failure has ended. Retries are limited to a tenth of the requests, which
covers the loss of one upstream in ten. ``MIN_RETRIES_PER_S`` allows retries to an entry
with few requests.
"""

from typing import Final

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
RETRY_RATIO: Final = 0.1
"""Retries added to the budget per request."""
MIN_RETRIES_PER_S: Final = 1.0
MAX_SAVED: Final = 20.0
"""Maximum number of retries that a budget accumulates."""


class RetryBudget:
    """Budget of retries, proportional to the number of requests."""

    def __init__(self, ratio: float = RETRY_RATIO, limit: float = MAX_SAVED) -> None:
        self._ratio = ratio
        self._limit = limit
        self._saved = limit / 2
        self._refilled_at: float | None = None

    def on_request(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._refill(now)
        self._saved = min(self._saved + self._ratio, self._limit)

    def level(self, now: float) -> float:
        """Return the number of retries that may be spent now."""
        self._refill(now)
        return self._saved

    def try_spend(self, now: float) -> bool:
        """Spend one retry; return False if the budget is empty."""
        self._refill(now)
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _refill(self, now: float) -> None:
        last = now if self._refilled_at is None else self._refilled_at
        self._refilled_at = max(now, last)
        gained = (self._refilled_at - last) * MIN_RETRIES_PER_S
        self._saved = min(self._saved + gained, self._limit)


def may_retry(failure: Failure, repeatable: bool) -> bool:
    """Return whether a failed request may be retried at another upstream.

    A request that may have run is retried only if the operators have listed it as
    repeatable. Otherwise its effect, such as a booking, could occur twice.
    """
    if failure.verdict is Verdict.NOT_RUN:
        return failure.code in RETRYABLE_ELSEWHERE
    return repeatable and failure.code in OUTCOME_UNKNOWN
