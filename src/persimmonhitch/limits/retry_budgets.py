"""Budgets of the retries that one entry sends to each service."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ..decide.retries import DEFAULT_BOUND, RetryBound, RetryBudget, RetryUse
from ..decide.retry_share import LEARN_S, SlackShare
from ..ids import Account, Service, Vm


@dataclass(frozen=True)
class RetrySource:
    """The request that a retry is for."""

    service: Service
    account: Account | None
    rank: int
    """Priority; lower numbers are more urgent."""


@dataclass(frozen=True)
class RetryDecision:
    """Whether a retry may be sent, and the state that decided it."""

    allowed: bool
    budget: float
    """Retries that were left."""
    slack: float
    """Part of the slack that this entry may use."""


@dataclass
class _ServiceState:
    budget: RetryBudget
    use: RetryUse
    lock: threading.Lock = field(default_factory=threading.Lock)


class RetryBudgets:
    """Budgets of one entry, a part of the bound of the fleet; thread-safe.

    Parameters
    ----------
    bound : RetryBound
        Bound of the retries that a service gets from all entries.
    in_touch : callable
        Returns whether the list of entries is up to date and this entry is in it.
    learn_s : float
        Seconds in which all other entries that are in touch learn of a new one.
    """

    def __init__(
        self,
        bound: RetryBound = DEFAULT_BOUND,
        in_touch: Callable[[], bool] = lambda: True,
        learn_s: float = LEARN_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._bound = bound
        self._in_touch = in_touch
        self._clock = clock
        self._started_at = clock()
        self._share: SlackShare | None = SlackShare(bound, learn_s)
        self._lock = threading.Lock()
        self._services: dict[Service, _ServiceState] = {}

    @classmethod
    def of_sole_entry(cls, bound: RetryBound = DEFAULT_BOUND) -> "RetryBudgets":
        """Return the budgets of an entry that has no peers and no predecessor."""
        budgets = cls(bound)
        budgets._share = None
        return budgets

    def update_fleet(self, vm: Vm, peers: frozenset[Vm]) -> None:
        """Apply a list of the other entries, once this entry itself is listed."""
        if self._share is not None:
            preceding = sum(peer < vm for peer in peers)
            with self._lock:
                self._share.update(len(peers) + 1, preceding, self._clock())

    def on_request(self, source: RetrySource) -> None:
        """Record a request that a caller has sent, whether it is admitted or not."""
        state, now = self._state(source.service), self._clock()
        with state.lock:
            state.budget.on_request(now)
            state.use.on_request(source.account, source.rank, now)

    def try_spend(
        self, source: RetrySource, takes_precedence: bool = False
    ) -> RetryDecision:
        """Decide on a retry, and count it if allowed.

        ``takes_precedence`` lets a request use the reserve whatever its rank.
        """
        state, now = self._state(source.service), self._clock()
        slack = self._slack(now)
        with state.lock:
            state.budget.slack = slack
            left = state.budget.level(now)
            reserve = state.budget.reserve
            urgent = takes_precedence or state.use.is_most_urgent(source.rank)
            may_use_reserve = urgent and state.use.is_within_part(source.account)
            allowed = state.budget.try_spend(now, 0.0 if may_use_reserve else reserve)
            if allowed and left < 1.0 + reserve:
                state.use.on_retry(source.account, now)
        return RetryDecision(allowed, left, slack)

    def _slack(self, now: float) -> float:
        if self._share is None:
            return self._bound.slack
        in_touch = self._in_touch()
        with self._lock:
            return self._share.slack(now, in_touch)

    def _state(self, service: Service) -> _ServiceState:
        with self._lock:
            state = self._services.get(service)
            if state is None:
                state = self._services[service] = self._new_state()
            return state

    def _new_state(self) -> _ServiceState:
        if self._share is None:
            budget = RetryBudget(self._bound, self._bound.slack)
        else:
            budget = RetryBudget.from_start(self._bound, self._started_at)
        return _ServiceState(budget, RetryUse(self._bound))
