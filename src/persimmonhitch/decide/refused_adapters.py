"""Adapters whose callers have been refused, until the adapters are loaded.

Load pattern: an engine accepts no adapter orders while it loads a model, for up to ten
seconds, and the loads of a busy fleet follow each other with short pauses. Callers of
an adapter return every few seconds, each time during another load, and are refused all
day. A refused adapter is therefore remembered for as long as its callers are expected
to retry, and loaded as soon as an engine with its model accepts the order, whether or
not a caller is waiting at that moment. Among several, the adapter that has been refused
for longest is loaded first.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final

from ..ids import Adapter, Model
from .missing import DEMAND_TTL_S

RETRY_INTERVAL_S: Final = 0.5
"""Minimum seconds between two attempts to load the same adapter."""

ModelAdapter = tuple[Model, Adapter]


@dataclass
class _Refusals:
    first_at: float
    last_at: float
    attempted_at: float | None = None
    """When the last attempt to load the adapter began."""


@dataclass
class RefusedAdapters:
    """Refused adapters of all services; times are monotonic seconds."""

    _refusals: dict[ModelAdapter, _Refusals] = field(default_factory=dict)

    def record(self, model: Model, adapter: Adapter, now: float) -> bool:
        """Record a request that found no engine with the adapter.

        Return whether it is the first one.
        """
        known = self._refusals.get((model, adapter))
        if known is not None:
            known.last_at = now
            return False
        self._refusals[model, adapter] = _Refusals(now, now)
        return True

    def record_loaded(self, pair: ModelAdapter, now: float) -> float | None:
        """Forget an adapter that is loaded; return the seconds since its first refusal.

        The result is None if no refusal of the adapter was recorded.
        """
        known = self._refusals.pop(pair, None)
        return None if known is None else now - known.first_at

    def expire(self, now: float) -> None:
        """Forget adapters whose callers are not expected to return."""
        for pair, known in list(self._refusals.items()):
            if now - known.last_at > DEMAND_TTL_S:
                del self._refusals[pair]

    def pending(self) -> list[ModelAdapter]:
        """Return all refused adapters."""
        return list(self._refusals)

    def next_loads(
        self, models: Collection[Model], limit: int, now: float
    ) -> list[ModelAdapter]:
        """Return adapters of the given models to load now, longest refused first."""
        due = [
            pair
            for pair, known in self._refusals.items()
            if pair[0] in models
            and (
                known.attempted_at is None
                or now - known.attempted_at >= RETRY_INTERVAL_S
            )
        ]
        due.sort(key=lambda pair: self._refusals[pair].first_at)
        for pair in due[:limit]:
            self._refusals[pair].attempted_at = now
        return due[:limit]
