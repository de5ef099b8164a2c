"""Placeholder of the rate limiter: counts on this entry alone."""

import threading
import time
from dataclasses import dataclass

from returns.result import Failure as Err
from returns.result import Result, Success

from ..catalog.model import Catalog
from ..ids import Account, Tokens
from ..verdict import ErrorCode, Failure


@dataclass(frozen=True)
class Reservation:
    """Tokens taken from an account for one request."""

    account: Account
    tokens: Tokens


@dataclass
class _Level:
    tokens: float
    at: float


class LocalLimiter:
    """One bucket an account, on this entry."""

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._levels: dict[Account, _Level] = {}
        self._lock = threading.Lock()

    def update(self, catalog: Catalog) -> None:
        """Take new plans."""
        self._catalog = catalog

    def reserve(
        self, account: Account, cost: Tokens, wait: float
    ) -> Result[Reservation, Failure]:
        """Take tokens, or refuse with when to come back."""
        plan = self._catalog.plan_of(account)
        if plan is None:
            return Err(Failure(ErrorCode.NOT_PERMITTED, "the account has no plan"))
        now = time.monotonic()
        with self._lock:
            level = self._levels.setdefault(account, _Level(plan.burst, now))
            gained = (now - level.at) * plan.rate
            level.tokens = min(plan.burst, level.tokens + gained)
            level.at = now
            if level.tokens >= cost:
                level.tokens -= cost
                return Success(Reservation(account, cost))
            back = (cost - level.tokens) / plan.rate
        reason = "the account's rate is used up"
        return Err(Failure(ErrorCode.RATE_LIMITED, reason, retry_after=back))

    def settle(self, reservation: Reservation, used: Tokens) -> None:
        """Give back what was not used."""
        with self._lock:
            level = self._levels[reservation.account]
            level.tokens += max(0.0, reservation.tokens - used)

    def close(self) -> None:
        """Do nothing."""
