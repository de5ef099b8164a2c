"""Start loads at the rate of the weight store.

Load pattern: an availability zone fails or recovers, and the planner orders hundreds of
copies at the same moment from one weight store.

Without pacing, all loads start at once. Each load above the number that the store
serves at full speed slows down all others, and the first copy of a model is loaded no
earlier than spare copies of other models. A planner that repeats its orders in each
period while the store is unavailable would start all of them as soon as the store is
available again.

Thresholds: loads per second, concurrent loads and concurrent adapter loads are settings
of the deployment. Up to ``BURST_S`` of unused starts are saved, so that a planner with
rounds of several seconds can use the whole rate. A failed load is retried after
``MIN_RETRY_DELAY_S``, doubled at each failure up to ``MAX_RETRY_DELAY_S``.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from ..ids import Model, Upstream
from .placement import Move

BURST_S: Final = 2.0
MIN_RETRY_DELAY_S: Final = 2.0
MAX_RETRY_DELAY_S: Final = 60.0

LoadTarget = tuple[Model, Upstream]


@dataclass
class LoadPacer:
    """Limits the start of loads to the rate of the weight store.

    Parameters
    ----------
    rate : float
        Loads per second.
    max_models_loading : int
        Concurrent model loads that the store serves at full speed.
    max_adapters_loading : int
        Concurrent adapter loads that the store serves at full speed.
    """

    rate: float
    max_models_loading: int
    max_adapters_loading: int
    round_interval_s: float = 0.0
    """Seconds between rounds of the planner; unused starts of this time are saved."""
    _saved_starts: float = 1.0
    _updated_at: float | None = None

    def admit(
        self,
        moves: Iterable[Move],
        adapters: frozenset[Model],
        models_loading: int,
        adapters_loading: int,
        now: float,
    ) -> Iterator[Move]:
        """Yield the moves that may start now, in order; unloads are never delayed."""
        self._refill(now)
        free_slots = {
            True: self.max_adapters_loading - adapters_loading,
            False: self.max_models_loading - models_loading,
        }
        for move in moves:
            if not move.is_load:
                yield move
                continue
            is_adapter = move.model in adapters
            if free_slots[is_adapter] > 0 and self._saved_starts >= 1.0:
                free_slots[is_adapter] -= 1
                self._saved_starts -= 1.0
                yield move

    def _refill(self, now: float) -> None:
        elapsed = 0.0 if self._updated_at is None else max(0.0, now - self._updated_at)
        max_starts = max(1.0, self.rate * max(BURST_S, self.round_interval_s))
        self._saved_starts = min(max_starts, self._saved_starts + elapsed * self.rate)
        self._updated_at = now


@dataclass
class RetryBackoff:
    """Exponential backoff for the retries of failed loads."""

    _failures: dict[LoadTarget, tuple[int, float]] = field(default_factory=dict)

    def record_failure(self, target: LoadTarget, now: float) -> None:
        """Record a failure."""
        count = self._failures.get(target, (0, 0.0))[0] + 1
        delay = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2.0 ** (count - 1))
        self._failures[target] = (count, now + delay)

    def record_success(self, target: LoadTarget) -> None:
        """Reset the delay."""
        self._failures.pop(target, None)

    def blocked_targets(self, now: float) -> set[LoadTarget]:
        """Return the targets whose retry is not due yet."""
        return {target for target, (_, until) in self._failures.items() if until > now}
