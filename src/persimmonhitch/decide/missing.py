"""Requested models that are resident on no engine, and for how long.

Load pattern: callers request more models than the engines have room for, and each rare
model gets a request every few seconds. All callers of a rare model are refused, and
averages of the demand hardly include their requests. A model counts as missing from the
first request that finds no engine until the model is resident, however low its demand.
An order to load the model does not suffice, since the load may be lost with its engine.
A model without requests for ``DEMAND_TTL_S`` seconds is no longer missing, since its
callers are not expected to retry.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from ..ids import Model

DEMAND_TTL_S: Final = 30.0
"""Seconds for which a request counts as demand for its model."""


class Availability(Enum):
    """Availability of a model that callers request."""

    MISSING = "missing"
    RESIDENT = "held"
    IDLE = "not_asked"


@dataclass(frozen=True)
class AvailabilityChange:
    """Change of a model's availability, and the seconds for which it was missing."""

    model: Model
    availability: Availability
    missing_for: float


@dataclass
class MissingModels:
    """Missing models of one service; times are monotonic seconds."""

    loading: set[Model] = field(default_factory=set)
    """Overdue models that engines are loading."""
    _since: dict[Model, float] = field(default_factory=dict)

    def update(
        self, demand_at: Mapping[Model, float], resident: Collection[Model], now: float
    ) -> list[AvailabilityChange]:
        """Update from the last request for each model and the resident models."""
        requested = {m for m, at in demand_at.items() if now - at <= DEMAND_TTL_S}
        changes = []
        for model in [m for m in self._since if m in resident or m not in requested]:
            state = Availability.RESIDENT if model in resident else Availability.IDLE
            duration = now - self._since.pop(model)
            changes.append(AvailabilityChange(model, state, duration))
        for model in sorted(requested - self._since.keys() - set(resident)):
            self._since[model] = now
            changes.append(AvailabilityChange(model, Availability.MISSING, 0.0))
        return changes

    def missing_durations(self, now: float) -> dict[Model, float]:
        """Return the seconds for which each model has been missing."""
        return {model: now - since for model, since in self._since.items()}

    def longest_first(self) -> list[Model]:
        """Return the missing models, longest missing first."""
        return sorted(self._since, key=self._since.__getitem__)
