"""Where the copies of models go: few moves, every model reachable.

Load pattern: hundreds of models share few accelerators, the demand for each moves
tenfold within an hour, and upstreams die, leave and come back empty.

Without this: a placement computed afresh at each change moves models that were fine
where they were. Each move costs a load from the rationed weight store and a cold
cache. A placement that never changes leaves a popular model on one copy and a
dead upstream's models unreachable.

How it keeps moves few: copies above the wanted number stay until their memory is
needed, so a dip followed by a rise costs nothing; a load takes free memory first,
then that of surplus copies, and moves a sole copy only for a model that nobody can
reach. A copy is added for heat only above ``HOT`` (0.85 of an upstream's speed, where
waiting rises steeply) and only onto an upstream below ``COOL`` (0.5), so that the move
cannot make a new hot one. ``MAX_LOADS`` (64) and ``MAX_SEARCHES`` (24) bound the work
of one round to under its period at 590 models on 5,500 upstreams; no weight store
here starts as many loads in a period of 5 s.

What always holds: an unload is only proposed while another copy serves, at most one
copy of a model leaves at a time, and the new copy serves before the old one goes.
docs/notes/placement.md has the runs.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from ..ids import Model, Upstream
from .eviction import EvictionPlanner
from .moves import Move, MoveList, Reason
from .targets import CopyPhase, ModelRequirement, PlacementState, PlacementTarget

HOTSPOT_LOAD: Final = 0.85
MAX_LOADS: Final = 64
MAX_HOTSPOT_LOADS: Final = 2


@dataclass(frozen=True)
class Plan:
    """Moves to make now, the most urgent first, and loads that find no place."""

    moves: tuple[Move, ...]
    unplaced: tuple[tuple[Model, Reason], ...]


def make_plan(
    needs: Mapping[Model, ModelRequirement],
    targets: Iterable[PlacementTarget],
    rate: float,
) -> Plan:
    """Return the moves to make now.

    Parameters
    ----------
    needs : mapping
        All models of the catalog with their demand and copies wanted.
    sites : iterable
        All upstreams that are known to live.
    speed : float
        Tokens a second that one upstream gives.
    """
    planning = _PlanningRound(PlacementState(needs, targets), rate)
    planning.unload_retired()
    planning.load_missing()
    planning.relieve_hotspots()
    return Plan(tuple(planning.moves.items), tuple(planning.evictions.unplaced))


def plan(
    needs: Mapping[Model, ModelRequirement],
    targets: Iterable[PlacementTarget],
    rate: float,
) -> tuple[Move, ...]:
    """Return the moves of ``make_plan``."""
    return make_plan(needs, targets, rate).moves


class _PlanningRound:
    """One round of planning."""

    def __init__(self, state: PlacementState, rate: float) -> None:
        self.state = state
        self.rate = rate
        self.moves = MoveList(state, rate)
        self.evictions = EvictionPlanner(self.moves)

    def unload_retired(self) -> None:
        """Unload copies of models and revisions that nobody may ask for any more."""
        for upstream, target in self.state.targets.items():
            for model, placed in target.copies.items():
                retired = model not in self.state.needs
                if retired and placed.phase is CopyPhase.SERVING:
                    self.moves.unload(model, upstream, Reason.RETIRED)
            for model, placed in target.stale.items():
                if placed.phase is CopyPhase.SERVING and self._is_replaced(model):
                    self._unload_stale(model, upstream)

    def _is_replaced(self, model: Model) -> bool:
        need = self.state.needs.get(model)
        if need is None:
            return True
        serving, stale = len(self.state.serving[model]), len(self.state.stale[model])
        # An old copy goes only for a new one, so the model keeps its strength.
        return serving > 0 and serving + stale > need.wanted

    def _unload_stale(self, model: Model, upstream: Upstream) -> None:
        revision = self.state.targets[upstream].stale[model].revision
        self.state.unload_stale(model, upstream)
        move = Move(False, model, upstream, revision, Reason.REVISION)
        self.moves.items.append(move)

    def load_missing(self) -> None:
        """Load what is missing, in the order of ``Reason``."""
        for need, reason in self._missing_copies():
            if self.moves.load_count >= MAX_LOADS:
                return
            target = self.moves.choose(need, reason)
            if target is not None:
                self.moves.load(need, target.upstream, reason)
            elif reason is Reason.SPARE:
                self._replace_stale(need)
            elif not self.evictions.is_exhausted():
                self.evictions.make_room(need, reason)

    def _replace_stale(self, need: ModelRequirement) -> None:
        """Let an old copy go where a spare of the new revision finds no place."""
        # Two copies would else wait for each other: the old one for the spare, the
        # spare for memory; it shows as a revision that never changes on an upstream.
        stale = self.state.stale[need.model]
        demand_met = len(self.state.serving[need.model]) >= need.floor
        if stale and demand_met and not self.evictions.has_pending_space(need):
            self._unload_stale(need.model, min(stale))

    def _missing_copies(self) -> list[tuple[ModelRequirement, Reason]]:
        missing: list[tuple[int, float, ModelRequirement, Reason]] = []
        for need in self.state.needs.values():
            copies = self.state.copy_count(need.model)
            for index in range(copies, need.wanted):
                reason = self._load_reason(need, index)
                demand = need.demand / (index + 1)
                missing.append((_URGENCY[reason], -demand, need, reason))
        # Bases before adapters, which need one to be there.
        missing.sort(key=lambda entry: (entry[0], entry[2].base is not None, entry[1]))
        return [(need, reason) for _, _, need, reason in missing]

    def _load_reason(self, need: ModelRequirement, index: int) -> Reason:
        if index == 0 and not self.state.is_reachable(need.model):
            return Reason.UNREACHABLE
        if self.state.stale[need.model] and index < need.floor:
            return Reason.REVISION
        # Copies above the least make no room for themselves: they are what demand
        # takes from others, and would take it back in the next round, without end.
        return Reason.DEMAND if index < need.floor else Reason.SPARE

    def relieve_hotspots(self) -> None:
        """Add a copy of the busiest model of the hottest upstreams elsewhere."""
        limit = self.rate * HOTSPOT_LOAD
        hot = [u for u, traffic in self.state.traffic.items() if traffic > limit]
        hot.sort(key=lambda upstream: -self.state.traffic[upstream])
        for upstream in hot[:MAX_HOTSPOT_LOADS]:
            self._relieve(self.state.targets[upstream])

    def _relieve(self, source: PlacementTarget) -> None:
        for model in reversed(self.moves.by_demand(source)):
            need = self.state.needs.get(model)
            if need is None or self.state.loading[model]:
                continue
            target = self.moves.choose(need, Reason.HOTSPOT)
            if target is None:
                self.evictions.make_room(need, Reason.HOTSPOT)
                return
            if not self.moves.is_busy(target):
                self.moves.load(need, target.upstream, Reason.HOTSPOT)
                return


_URGENCY: Final = {reason: index for index, reason in enumerate(Reason)}

__all__ = ["Move", "Plan", "Reason", "make_plan", "plan"]
