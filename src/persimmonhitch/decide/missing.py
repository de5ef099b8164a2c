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

ASKED_FOR: Final = 30.0
"""Seconds for which a call shows that a model is asked for."""


class Standing(Enum):
    """What became of a model that callers ask for."""

    MISSING = "missing"
    HELD = "held"
    NOT_ASKED = "not_asked"


@dataclass(frozen=True)
class Change:
    """A model that began or ceased to be missing, after ``missing_for`` seconds."""

    model: Model
    now: Standing
    missing_for: float


@dataclass
class MissingModels:
    """The models of one service that are missing; times are monotonic seconds."""

    loading: set[Model] = field(default_factory=set)
    """Overdue models that engines load."""
    _since: dict[Model, float] = field(default_factory=dict)

    def update(
        self, asked_at: Mapping[Model, float], held: Collection[Model], now: float
    ) -> list[Change]:
        """Take when each model was last asked for, and what engines hold."""
        asked = {m for m, at in asked_at.items() if now - at <= ASKED_FOR}
        changes = []
        for model in [m for m in self._since if m in held or m not in asked]:
            standing = Standing.HELD if model in held else Standing.NOT_ASKED
            passed = now - self._since.pop(model)
            changes.append(Change(model, standing, passed))
        for model in sorted(asked - self._since.keys() - set(held)):
            self._since[model] = now
            changes.append(Change(model, Standing.MISSING, 0.0))
        return changes

    def missing_for(self, now: float) -> dict[Model, float]:
        """Return the seconds for which each model has been missing."""
        return {model: now - since for model, since in self._since.items()}

    def longest_first(self) -> list[Model]:
        """Return the models in the order in which they began to be missing."""
        return sorted(self._since, key=self._since.__getitem__)
