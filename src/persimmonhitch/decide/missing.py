"""Models that callers ask for and no engine holds, and since when.

Load pattern: more models are asked for than engines have room for, and each rare one
gets a call every few seconds. Its callers are all refused, and averages of the demand
show hardly any of them. A model is missing from the first call that finds no engine
until an engine holds it, however little is asked of it: a load that is lost with its
engine serves nobody. Without calls for ``ASKED_FOR`` nobody is taken to come back.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from ..ids import Model

DEMAND_TTL_S: Final = 30.0
"""Seconds for which a call shows that a model is asked for."""


class Availability(Enum):
    """What became of a model that callers ask for."""

    MISSING = "missing"
    RESIDENT = "held"
    IDLE = "not_asked"


@dataclass(frozen=True)
class AvailabilityChange:
    """A model that began or ceased to be missing, after ``missing_for`` seconds."""

    model: Model
    availability: Availability
    missing_for: float


@dataclass
class MissingModels:
    """The models of one service that are missing; times are monotonic seconds."""

    loading: set[Model] = field(default_factory=set)
    """Overdue models that engines load."""
    _since: dict[Model, float] = field(default_factory=dict)

    def update(
        self, demand_at: Mapping[Model, float], resident: Collection[Model], now: float
    ) -> list[AvailabilityChange]:
        """Take when each model was last asked for, and what engines hold."""
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
        """Return the models in the order in which they began to be missing."""
        return sorted(self._since, key=self._since.__getitem__)
