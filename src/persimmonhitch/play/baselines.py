"""Baselines for each decision."""

from collections import deque
from collections.abc import Sequence
from dataclasses import replace
from itertools import count
from random import Random
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..decide.admission import Admitted, LoadView
from ..decide.fairness import QueuedRequest
from ..decide.routing import Candidate, RouteRequest
from ..ids import Account
from ..verdict import ErrorCode, Failure
from ..wire.messages import Priority
from .calls import Allowance
from .placer import PlannedPlacer
from .policy import Chooser, Policy, SharedRates, StaticPlacer

QUEUE_LENGTH: Final = 200
FIXED_LIMIT: Final = 48


class FcfsQueue:
    """First-come, first-served queue."""

    def __init__(self) -> None:
        self._items: deque[QueuedRequest] = deque()
        self.tokens = 0.0

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: QueuedRequest) -> None:
        """Add a request at the end."""
        self._items.append(item)
        self.tokens += item.cost

    def pop(self, now: float) -> QueuedRequest | None:
        """Remove and return the first request."""
        if not self._items:
            return None
        item = self._items.popleft()
        self.tokens -= item.cost
        return item

    def expire(self, now: float) -> tuple[QueuedRequest, ...]:
        """Remove and return requests whose deadline has passed."""
        late = tuple(item for item in self._items if item.deadline_at <= now)
        for item in late:
            self._items.remove(item)
            self.tokens -= item.cost
        return late

    def remove_excess(self, max_tokens: float) -> tuple[QueuedRequest, ...]:
        """Remove nothing; the bound applies to new requests."""
        return ()

    def charge(self, account: Account, tokens: float, priority: Priority) -> None:
        """Do nothing; accounts are not charged."""

    def backlog(self, account: Account, weight: float, priority: Priority) -> float:
        """Return the tokens of all queued requests."""
        return self.tokens


class FixedLimit:
    """Constant limit of concurrent requests."""

    first_token_p95 = 0.0
    gap_p95 = 0.0
    limit = FIXED_LIMIT

    def on_start(self, running: int) -> None:
        """Do nothing."""

    def on_first_token(self, now: float, seconds: float) -> None:
        """Do nothing."""

    def on_gap(self, now: float, seconds: float) -> None:
        """Do nothing."""

    def on_done(self, now: float, running: int) -> None:
        """Do nothing."""


class EqualSplit:
    """Rate and burst of each account split equally among the entries."""

    def __init__(self, allowances: dict[Account, Allowance], entries: int) -> None:
        split = {
            name: replace(each, rate=each.rate / entries, burst=each.burst / entries)
            for name, each in allowances.items()
        }
        self._entries = [SharedRates(split, 1) for _ in range(entries)]

    def take(self, now: float, entry: int, account: Account, cost: float) -> bool:
        """Take tokens from the share of the entry."""
        return self._entries[entry].take(now, 0, account, cost)


def round_robin() -> Chooser:
    """Return a round-robin chooser."""
    turn = count()

    def take(
        candidates: Sequence[Candidate], req: RouteRequest, rng: Random
    ) -> Candidate | None:
        if not candidates:
            return None
        return candidates[next(turn) % len(candidates)]

    return take


def admit_by_length(
    view: LoadView,
    cost: float,
    remaining_s: float,
    priority: Priority,
    service_s: float = 0.0,
) -> Result[Admitted, Failure]:
    """Admit requests while the queue has room, whatever their deadline."""
    # In units of the mean cost of a call, so that the bound is a number of requests.
    if view.backlog > QUEUE_LENGTH * 700.0:
        return Err(Failure(ErrorCode.OVERLOADED, "queue is full", retry_after=1.0))
    return Success(Admitted(0.0))


OURS: Final = Policy("ours", placer=PlannedPlacer)
BASELINE: Final = Policy(
    "baseline",
    rates=EqualSplit,
    chooser=round_robin,
    admit=admit_by_length,
    queue=FcfsQueue,
    limit=FixedLimit,
    ejects=False,
    warms_up=False,
)
SINGLE: Final = (
    replace(OURS, name="rates: equal split", rates=EqualSplit),
    replace(OURS, name="routing: round robin", chooser=round_robin),
    replace(OURS, name="admission: by length", admit=admit_by_length),
    replace(OURS, name="queue: first-come", queue=FcfsQueue),
    replace(OURS, name="limit: fixed", limit=FixedLimit),
    replace(OURS, name="outliers: none", ejects=False),
    replace(OURS, name="placement: static", placer=StaticPlacer),
)
"""Our decisions with one replaced by its baseline."""
