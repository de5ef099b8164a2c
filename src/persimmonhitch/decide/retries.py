"""How many requests may be sent again.

Load pattern: an upstream fails under load. If each caller's request is retried, a
fleet at its limit gets twice the work just when it can serve least, and stays down
after the cause has gone. Retries are a part of the requests, a tenth, which covers the
death of one upstream in ten; ``LEAST_RATE`` a second lets a quiet entry retry at all.
"""

from typing import Final

from ..verdict import ErrorCode, Failure, Verdict

ELSEWHERE: Final = frozenset(
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
LOST: Final = frozenset({ErrorCode.UPSTREAM_LOST, ErrorCode.INTERNAL})
"""Failures after which a request may have run."""
RETRY_SHARE: Final = 0.1
LEAST_RATE: Final = 1.0
MOST_SAVED: Final = 20.0


class RetryBudget:
    """Budget of retries that grows with the requests."""

    def __init__(self, share: float = RETRY_SHARE, most: float = MOST_SAVED) -> None:
        self._share = share
        self._most = most
        self._saved = most / 2
        self._seen_at: float | None = None

    def on_request(self, now: float) -> None:
        """Count a first attempt."""
        self._refill(now)
        self._saved = min(self._saved + self._share, self._most)

    def take(self, now: float) -> bool:
        """Take one retry from the budget, or return False."""
        self._refill(now)
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _refill(self, now: float) -> None:
        last = now if self._seen_at is None else self._seen_at
        self._seen_at = max(now, last)
        gained = (self._seen_at - last) * LEAST_RATE
        self._saved = min(self._saved + gained, self._most)


def may_retry(failure: Failure, repeatable: bool) -> bool:
    """Return whether another upstream may be tried after a failure.

    A request that may have run is sent again only if the operators' list says
    that it may be repeated; else a booking would be made twice.
    """
    if failure.verdict is Verdict.NOT_RUN:
        return failure.code in ELSEWHERE
    return repeatable and failure.code in LOST
