"""The planner and the baselines to which it is compared."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final, Protocol

from ..decide.copy_count import SPARE_LOAD, TARGET_LOAD, CopyCounts, copies_for
from ..decide.placement import Move, Reason, plan_moves
from ..decide.targets import ModelRequirement
from ..ids import Model, Upstream
from .placement_fleet import Fleet
from .placement_load import SPEED

Needs = dict[Model, ModelRequirement]
Asked = dict[Model, float]


class Planner(Protocol):
    """Chooses moves, once per period."""

    def moves(self, fleet: Fleet, needs: Needs, asked: Asked) -> list[Move]:
        """Return the moves for this period."""


def _bases(needs: Needs) -> dict[Model, Model]:
    return {m: need.base for m, need in needs.items() if need.base is not None}


@dataclass
class Steady:
    """The deployed planner: smoothed demand, surplus copies are kept."""

    counts: CopyCounts = field(default_factory=lambda: CopyCounts(SPEED))

    def moves(self, fleet: Fleet, needs: Needs, asked: Asked) -> list[Move]:
        """Return the moves for this period."""
        full = self.full(fleet, needs, asked)
        return list(plan_moves(full, fleet.sites(full), SPEED))

    def full(self, fleet: Fleet, needs: Needs, asked: Asked) -> Needs:
        """Return the needs with their demand and copies wanted."""
        demand = self.counts.smooth(asked, fleet.now)
        wanted = self.counts.update(demand, _bases(needs), fleet.now)
        full = {
            m: replace(
                need, demand=demand[m], wanted=wanted[m].wanted, floor=wanted[m].floor
            )
            for m, need in needs.items()
        }
        return full


class Tidy(Steady):
    """Baseline with smoothed demand that unloads surplus copies immediately."""

    def moves(self, fleet: Fleet, needs: Needs, asked: Asked) -> list[Move]:
        """Return the moves for this period."""
        full = self.full(fleet, needs, asked)
        chosen = list(plan_moves(full, fleet.sites(full), SPEED))
        return chosen + _surplus(fleet, full, chosen)


class Eager:
    """Baseline without hysteresis: copies follow the demand of the last period."""

    def moves(self, fleet: Fleet, needs: Needs, asked: Asked) -> list[Move]:
        """Return the moves for this period."""
        total = dict(asked)
        for adapter, base in _bases(needs).items():
            total[base] += asked[adapter]
        full = {}
        for model, need in needs.items():
            spare = 1 if total[model] >= SPARE_LOAD * SPEED else 0
            least = copies_for(total[model], SPEED * TARGET_LOAD)
            full[model] = replace(
                need, demand=asked[model], wanted=least + spare, floor=least
            )
        chosen = list(plan_moves(full, fleet.sites(full), SPEED))
        return chosen + _surplus(fleet, full, chosen)


def _surplus(fleet: Fleet, needs: Needs, chosen: list[Move]) -> list[Move]:
    """Return unloads of all copies above the wanted number."""
    touched = {move.model for move in chosen}
    bases = set(_bases(needs).values())
    moves = []
    places = fleet.places()
    for model, need in needs.items():
        serving = places.get(model, [])
        if model in touched or len(serving) <= need.wanted:
            continue
        for upstream in serving[need.wanted :]:
            held = fleet.upstreams[upstream].copies
            if model in bases and any(needs[m].base == model for m, _ in held):
                continue
            moves.append(Move(False, model, upstream, need.revision, Reason.RETIRED))
    return moves


@dataclass
class Static:
    """Baseline with a fixed placement by mean demand."""

    steady: Asked
    layout: dict[Upstream, list[Model]] = field(default_factory=dict)

    def moves(self, fleet: Fleet, needs: Needs, asked: Asked) -> list[Move]:
        """Return the moves for this period."""
        if not self.layout:
            return self._lay_out(fleet, needs)
        moves = []
        for upstream, models in self.layout.items():
            acc = fleet.upstreams.get(upstream)
            if acc is None:
                continue
            held = {name for name, held in acc.copies if name}
            for model in models:
                base = needs[model].base
                if model not in held and (base is None or base in held):
                    moves.append(Move(True, model, upstream, "1", Reason.UNREACHABLE))
        return moves

    def _lay_out(self, fleet: Fleet, needs: Needs) -> list[Move]:
        """Fill the empty fleet by mean demand, and keep this placement."""
        moves = Steady().moves(fleet, needs, self.steady)
        done = not moves and not any(fleet.under_way(frozenset()))
        if done and fleet.now > 0.0:
            for upstream, acc in fleet.upstreams.items():
                self.layout[upstream] = [name for name, _ in acc.copies]
        return moves


PLANNERS: Final[dict[str, Callable[[Asked], Planner]]] = {
    "static": Static,
    "no hysteresis": lambda _steady: Eager(),
    "surplus unloaded": lambda _steady: Tidy(),
    "planner": lambda _steady: Steady(),
}
