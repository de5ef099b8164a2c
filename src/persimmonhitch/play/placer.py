"""Placement by the planner, with loads at the rate of the weight store."""

from dataclasses import dataclass, field
from typing import Final

from ..decide.copy_count import CopyCounts
from ..decide.pacing import LoadPacer
from ..decide.placement import Move, plan_moves
from ..decide.targets import CopyPhase, ModelRequirement, PlacedCopy, PlacementTarget
from ..ids import Model, Upstream
from .policy import PLACE_EVERY, StaticPlacer
from .sizes import Deployment

SPEED: Final = 2300.0
"""Reserved tokens per second that one simulated engine serves within the targets."""
LOAD_SECONDS: Final = 5.0
UNLOAD_SECONDS: Final = 1.0
REVISION: Final = "1"


@dataclass
class _Copy:
    """One copy on an engine and the end of its order."""

    state: CopyPhase
    until: float = 0.0


@dataclass
class _Engine:
    copies: dict[Model, _Copy] = field(default_factory=dict)

    def settle(self, now: float) -> None:
        """Complete the orders that are due."""
        for model, copy in list(self.copies.items()):
            if copy.until > now or copy.state is CopyPhase.SERVING:
                continue
            if copy.state is CopyPhase.UNLOADING:
                del self.copies[model]
            else:
                copy.state = CopyPhase.SERVING

    def serving(self) -> frozenset[Model]:
        """Return the models that may receive requests."""
        return frozenset(
            model
            for model, copy in self.copies.items()
            if copy.state is CopyPhase.SERVING
        )


class PlannedPlacer:
    """Follows the demand, starting from the placement of ``StaticPlacer``."""

    def __init__(self, size: Deployment) -> None:
        self.moves = 0
        self._size = size
        self._counts = CopyCounts(SPEED)
        self._pacer = LoadPacer(
            size.loads_rate, size.loads_at_once, size.adapters_in_flight, PLACE_EVERY
        )
        start = StaticPlacer(size).place(0.0, {})
        self._engines = {
            name: _Engine({model: _Copy(CopyPhase.SERVING) for model in sorted(models)})
            for name, models in start.items()
        }

    def place(
        self, now: float, demand: dict[Model, float]
    ) -> dict[Upstream, frozenset[Model]]:
        """Order moves for the demand; return the serving models."""
        for engine in self._engines.values():
            engine.settle(now)
        if now > 0.0:
            self._order(now, demand)
        return {name: engine.serving() for name, engine in self._engines.items()}

    def _order(self, now: float, demand: dict[Model, float]) -> None:
        moves = plan_moves(self._needs(now, demand), self._sites(), SPEED)
        loading = sum(
            copy.state is CopyPhase.LOADING
            for engine in self._engines.values()
            for copy in engine.copies.values()
        )
        for move in self._pacer.admit(moves, frozenset(), loading, 0, now):
            self._carry_out(move, now)

    def _carry_out(self, move: Move, now: float) -> None:
        copies = self._engines[move.upstream].copies
        if move.is_load:
            self.moves += 1
            copies[move.model] = _Copy(CopyPhase.LOADING, now + LOAD_SECONDS)
        else:
            copies[move.model] = _Copy(CopyPhase.UNLOADING, now + UNLOAD_SECONDS)

    def _needs(
        self, now: float, demand: dict[Model, float]
    ) -> dict[Model, ModelRequirement]:
        asked = {name: demand.get(name, 0.0) for name in self._size.model_names()}
        smooth = self._counts.smooth(asked, now)
        counts = self._counts.update(smooth, {}, now)
        return {
            name: ModelRequirement(
                model=name,
                memory=1.0,
                revision=REVISION,
                base=None,
                demand=smooth[name],
                wanted=counts[name].wanted,
                floor=counts[name].floor,
            )
            for name in asked
        }

    def _sites(self) -> list[PlacementTarget]:
        slots = float(self._size.models_per_engine)
        return [
            PlacementTarget(
                upstream=name,
                zone=self._size.zone_of(number),
                capacity=slots,
                free=slots - len(engine.copies),
                accepting=True,
                draining=False,
                copies={
                    model: PlacedCopy(copy.state, 1.0, REVISION)
                    for model, copy in engine.copies.items()
                },
            )
            for number, (name, engine) in enumerate(self._engines.items())
        ]
