"""When loads may start: paced to what the weight store gives.

Load pattern: an availability zone comes back or goes, and hundreds of copies are
wanted at the same moment from one weight store.

Without this: all loads start at once, each of them slows down all others past the
store's number at full speed, and the models that nobody can reach get theirs no
earlier than a spare. With a store that is down, a planner that repeats its orders
each period would meet its return with a crowd.

Thresholds: loads a second, loads at once and adapters in flight are the deployment's
own figures. Up to ``BURST_S`` (2 s) of unused starts are kept, so that a planner which
looks every few seconds can use the whole rate. A failed load comes back after
``RETRY_LEAST`` (2 s), doubled at each failure up to ``RETRY_MOST`` (60 s).
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
    """Lets loads start at the weight store's pace.

    Parameters
    ----------
    rate : float
        Loads a second.
    at_once : int
        Models under way at full speed.
    adapters_at_once : int
        Adapters in flight at full speed.
    """

    rate: float
    max_models_loading: int
    max_adapters_loading: int
    round_interval_s: float = 0.0
    """Seconds between two rounds; the starts of one round are kept up to it."""
    _starts: float = 1.0
    _last_at: float | None = None

    def admit(
        self,
        moves: Iterable[Move],
        adapters: frozenset[Model],
        models_loading: int,
        adapters_loading: int,
        now: float,
    ) -> Iterator[Move]:
        """Yield the moves that may start now, in their order; unloads all may."""
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
            if free_slots[is_adapter] > 0 and self._starts >= 1.0:
                free_slots[is_adapter] -= 1
                self._starts -= 1.0
                yield move

    def _refill(self, now: float) -> None:
        elapsed = 0.0 if self._last_at is None else max(0.0, now - self._last_at)
        max_starts = max(1.0, self.rate * max(BURST_S, self.round_interval_s))
        self._starts = min(max_starts, self._starts + elapsed * self.rate)
        self._last_at = now


@dataclass
class RetryBackoff:
    """Keeps a failed load from being ordered again too soon."""

    _failures: dict[LoadTarget, tuple[int, float]] = field(default_factory=dict)

    def failed(self, target: LoadTarget, now: float) -> None:
        """Note a failure."""
        count = self._failures.get(target, (0, 0.0))[0] + 1
        delay = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2.0 ** (count - 1))
        self._failures[target] = (count, now + delay)

    def succeeded(self, target: LoadTarget) -> None:
        """Forget earlier failures."""
        self._failures.pop(target, None)

    def blocked_targets(self, now: float) -> set[LoadTarget]:
        """Return the places to leave alone for now."""
        return {target for target, (_, until) in self._failures.items() if until > now}
