"""How many requests may be sent again.

Load pattern: an upstream fails under load. If each caller's request is retried, a
fleet at its limit gets twice the work just when it can serve least, and stays down
after the cause has gone. Retries are a part of the requests, a tenth, which covers the
death of one upstream in ten; ``LEAST_RATE`` a second lets a quiet entry retry at all.
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
"""Failures of one upstream that say nothing about the others."""
OUTCOME_UNKNOWN: Final = frozenset({ErrorCode.UPSTREAM_LOST, ErrorCode.INTERNAL})
"""Failures after which a request may have run."""
RETRY_RATIO: Final = 0.1
MIN_RETRIES_PER_S: Final = 1.0
MAX_SAVED: Final = 20.0


class RetryBudget:
    """Budget of retries that grows with the requests."""

    def __init__(self, ratio: float = RETRY_RATIO, limit: float = MAX_SAVED) -> None:
        self._ratio = ratio
        self._limit = limit
        self._saved = limit / 2
        self._refilled_at: float | None = None

    def on_request(self, now: float) -> None:
        """Count a first attempt."""
        self._refill(now)
        self._saved = min(self._saved + self._ratio, self._limit)

    def try_spend(self, now: float) -> bool:
        """Take one retry from the budget, or return False."""
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
    """Return whether another upstream may be tried after a failure.

    A request that may have run is sent again only if the operators' list says
    that it may be repeated; else a booking would be made twice.
    """
    if failure.verdict is Verdict.NOT_RUN:
        return failure.code in RETRYABLE_ELSEWHERE
    return repeatable and failure.code in OUTCOME_UNKNOWN
