"""Moves of one planning round, and the choice of a target for each load."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Final

from ..ids import Model, Upstream
from .targets import CopyPhase, ModelRequirement, PlacementState, PlacementTarget

RELIEF_TARGET_LOAD: Final = 0.5
"""Share of its rate below which an upstream may relieve a hotspot."""
LOAD_STEP: Final = 0.1
"""Difference in traffic, as a share of the rate, that target selection ignores."""
EPSILON: Final = 1e-6
"""Tolerance in GiB for rounding errors in sums of memory."""


class Reason(Enum):
    """Reason of a move; loads are sorted by reason in the order of the members."""

    UNREACHABLE = "unreachable"
    REVISION = "revision"
    DEMAND = "demand"
    SPARE = "spare"
    HOTSPOT = "heat"
    MAKE_ROOM = "make_room"
    RETIRED = "retired"


@dataclass(frozen=True)
class Move:
    """One load or unload of a copy of ``revision``."""

    is_load: bool
    model: Model
    upstream: Upstream
    revision: str
    reason: Reason


class MoveList:
    """Moves chosen so far, and the placement after them."""

    def __init__(self, state: PlacementState, rate: float) -> None:
        self.state = state
        self.rate = rate
        self.items: list[Move] = []
        self.load_count = 0

    def choose(self, need: ModelRequirement, reason: Reason) -> PlacementTarget | None:
        """Return the best target with free memory for a load, or None."""
        zones = self.state.zones(need.model)
        low_demand = (
            reason is Reason.UNREACHABLE and need.demand < self.rate * LOAD_STEP
        )
        best, best_score = None, None
        for target in self.eligible(need):
            free = self.state.free[target.upstream]
            if free + EPSILON < need.memory or target.upstream in self.state.reserved:
                continue
            traffic = 0.0 if low_demand else self._traffic_step(target)
            score = (target.zone in zones, traffic, -free)
            if best_score is None or score < best_score:
                best, best_score = target, score
        return best

    def _traffic_step(self, target: PlacementTarget) -> float:
        return self.state.traffic[target.upstream] // (self.rate * LOAD_STEP)

    def eligible(self, need: ModelRequirement) -> Iterator[PlacementTarget]:
        """Yield the targets that may load a copy, regardless of their free memory."""
        for target in self.state.targets.values():
            if not target.accepting or target.draining or need.model in target.copies:
                continue
            if target.upstream in self.state.loading[need.model]:
                continue
            if need.base is not None and not self._base_serves(need.base, target):
                continue
            yield target

    def _base_serves(self, base: Model, target: PlacementTarget) -> bool:
        placed = target.copies.get(base) or target.stale.get(base)
        if placed is None or placed.phase is not CopyPhase.SERVING:
            return False
        return target.upstream not in self.state.unloading[base]

    def is_busy(self, target: PlacementTarget) -> bool:
        """Return whether a target has too much traffic to relieve a hotspot."""
        return self.state.traffic[target.upstream] >= self.rate * RELIEF_TARGET_LOAD

    def models_by_demand(self, target: PlacementTarget) -> list[Model]:
        """Return the models of a target by increasing demand per copy."""
        return sorted(target.copies, key=lambda model: self.state.copy_demand(model))

    def load(self, need: ModelRequirement, upstream: Upstream, reason: Reason) -> None:
        """Add a load."""
        self.state.load(need.model, upstream)
        self.load_count += 1
        self.items.append(Move(True, need.model, upstream, need.revision, reason))

    def unload(self, model: Model, upstream: Upstream, reason: Reason) -> None:
        """Add an unload."""
        revision = self.state.targets[upstream].copies[model].revision
        self.state.unload(model, upstream)
        self.items.append(Move(False, model, upstream, revision, reason))
