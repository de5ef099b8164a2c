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
RETRY_LEAST: Final = 2.0
RETRY_MOST: Final = 60.0

Place = tuple[Model, Upstream]


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
    at_once: int
    adapters_at_once: int
    period: float = 0.0
    """Seconds between two rounds; the starts of one round are kept up to it."""
    _starts: float = 1.0
    _last: float | None = None

    def admit(
        self,
        moves: Iterable[Move],
        adapters: frozenset[Model],
        models_under_way: int,
        adapters_under_way: int,
        now: float,
    ) -> Iterator[Move]:
        """Yield the moves that may start now, in their order; unloads all may."""
        self._refill(now)
        room = {
            True: self.adapters_at_once - adapters_under_way,
            False: self.at_once - models_under_way,
        }
        for move in moves:
            if not move.is_load:
                yield move
                continue
            kind = move.model in adapters
            if room[kind] > 0 and self._starts >= 1.0:
                room[kind] -= 1
                self._starts -= 1.0
                yield move

    def _refill(self, now: float) -> None:
        elapsed = 0.0 if self._last is None else max(0.0, now - self._last)
        most = max(1.0, self.rate * max(BURST_S, self.period))
        self._starts = min(most, self._starts + elapsed * self.rate)
        self._last = now


@dataclass
class RetryDelay:
    """Keeps a failed load from being ordered again too soon."""

    _failures: dict[Place, tuple[int, float]] = field(default_factory=dict)

    def failed(self, place: Place, now: float) -> None:
        """Note a failure."""
        count = self._failures.get(place, (0, 0.0))[0] + 1
        delay = min(RETRY_MOST, RETRY_LEAST * 2.0 ** (count - 1))
        self._failures[place] = (count, now + delay)

    def succeeded(self, place: Place) -> None:
        """Forget earlier failures."""
        self._failures.pop(place, None)

    def blocked(self, now: float) -> set[Place]:
        """Return the places to leave alone for now."""
        return {place for place, (_, until) in self._failures.items() if until > now}
