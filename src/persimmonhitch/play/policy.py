"""Set of decisions for the simulator: ours or a baseline."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final, Protocol

from returns.result import Result

from ..decide.admission import Admitted, LoadView, admit
from ..decide.concurrency import ConcurrencyLimit
from ..decide.fairness import FairQueue, QueuedRequest
from ..decide.routing import Candidate, RouteRequest, choose
from ..ids import Account, Model, Upstream
from ..verdict import Failure
from ..wire.messages import Priority
from .calls import Allowance
from .sizes import Deployment

PLACE_EVERY: Final = 2.0
"""Seconds between two rounds of placement."""


class Queue(Protocol):
    """Queue in front of one upstream."""

    @property
    def tokens(self) -> float:
        """Return the number of queued tokens."""

    def __len__(self) -> int: ...

    def push(self, item: QueuedRequest) -> None:
        """Add a request."""

    def pop(self, now: float) -> QueuedRequest | None:
        """Remove and return the next request."""

    def expire(self, now: float) -> tuple[QueuedRequest, ...]:
        """Remove and return requests that can no longer finish in time."""

    def remove_excess(self, max_tokens: float) -> tuple[QueuedRequest, ...]:
        """Remove and return requests beyond the bound."""

    def charge(self, account: Account, tokens: float, priority: Priority) -> None:
        """Adjust the charge of an account."""

    def backlog(self, account: Account, weight: float, priority: Priority) -> float:
        """Return the queued tokens ahead of a new request."""


class Limit(Protocol):
    """Limit on requests that run at once."""

    first_token_p95: float
    gap_p95: float

    @property
    def limit(self) -> int:
        """Return the maximum number of running requests."""

    def on_start(self, running: int) -> None:
        """Record the number of running requests."""

    def on_first_token(self, now: float, seconds: float) -> None:
        """Record a time to the first token."""

    def on_gap(self, now: float, seconds: float) -> None:
        """Record a time between two tokens."""

    def on_done(self, now: float, running: int) -> None:
        """Record the end of a request."""


class Rates(Protocol):
    """Limits on accounts over all entries."""

    def take(self, now: float, entry: int, account: Account, cost: float) -> bool:
        """Take tokens at one entry, or return False."""


class Placer(Protocol):
    """Decides which models are placed where."""

    moves: int

    def place(
        self, now: float, demand: dict[Model, float]
    ) -> dict[Upstream, frozenset[Model]]:
        """Return the models on each upstream; demand is in tokens per second."""


Chooser = Callable[[Sequence[Candidate], RouteRequest, Random], Candidate | None]
Admit = Callable[[LoadView, float, float, Priority, float], Result[Admitted, Failure]]


class SharedRates:
    """Exact limits over all entries, which lending of shares approximates."""

    def __init__(self, allowances: dict[Account, Allowance], entries: int) -> None:
        self._allowances = allowances
        self._levels = {name: each.burst for name, each in allowances.items()}
        self._seen = dict.fromkeys(allowances, 0.0)

    def take(self, now: float, entry: int, account: Account, cost: float) -> bool:
        """Take tokens from the account's bucket."""
        allowance = self._allowances[account]
        gained = (now - self._seen[account]) * allowance.rate
        level = min(self._levels[account] + gained, allowance.burst)
        taken = level >= cost
        self._seen[account] = now
        self._levels[account] = level - cost if taken else level
        return taken


class StaticPlacer:
    """One copy of each model, then second copies while there is room."""

    def __init__(self, size: Deployment) -> None:
        self.moves = 0
        upstreams = size.upstream_names()
        placed: dict[Upstream, set[Model]] = {name: set() for name in upstreams}
        room = size.engines * size.models_per_engine
        wanted = (size.model_names() * (room // size.models + 1))[:room]
        for model in wanted:
            free = [
                name
                for name in upstreams
                if model not in placed[name]
                and len(placed[name]) < size.models_per_engine
            ]
            if free:
                placed[min(free, key=lambda name: len(placed[name]))].add(model)
        self._placed = {name: frozenset(models) for name, models in placed.items()}

    def place(
        self, now: float, demand: dict[Model, float]
    ) -> dict[Upstream, frozenset[Model]]:
        """Return the fixed placement."""
        return self._placed


def least_completion() -> Chooser:
    """Return our chooser, which is stateless."""
    return choose


@dataclass(frozen=True)
class Policy:
    """All decisions of one run; each can be replaced by its baseline."""

    name: str
    rates: Callable[[dict[Account, Allowance], int], Rates] = SharedRates
    chooser: Callable[[], Chooser] = least_completion
    admit: Admit = admit
    queue: Callable[[], Queue] = FairQueue
    limit: Callable[[], Limit] = ConcurrencyLimit
    ejects: bool = True
    warms_up: bool = True
    placer: Callable[[Deployment], Placer] = StaticPlacer
