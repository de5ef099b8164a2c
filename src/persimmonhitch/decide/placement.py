"""Placement of model copies: all models reachable, with few moves.

Load pattern: hundreds of models share few accelerators, the demand for each changes
tenfold within an hour, and upstreams fail, drain and restart without models.

A placement recomputed from scratch at each change moves models needlessly, and each
move costs a load from the rationed weight store and a cold cache. A placement that
never changes leaves a popular model on one copy and the models of a failed upstream
unreachable.

Copies above the wanted number are retained until their memory is needed, so that a dip
followed by a rise causes no move. A load uses free memory first, then the memory of
surplus copies, and relocates a sole copy only for an unreachable model or a new
revision. Hotspots get another copy only above ``HOTSPOT_LOAD`` (0.85 of an upstream's
rate, where queueing delay grows steeply), and only on an upstream below
``RELIEF_TARGET_LOAD`` (0.5), so that the load creates no new hotspot. ``MAX_LOADS``
(64) and ``MAX_SEARCHES`` (24) keep the computation of one round below its period for
590 models on 5,500 upstreams; no weight store of this platform starts that many loads
in a period of 5 s.

Invariants: an unload is only proposed while another copy serves, at most one copy of a
model unloads at a time, and a new copy serves before the one it replaces is unloaded.
docs/notes/placement.md has the measurements.
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
"""Loads per round after which no further missing copy is considered."""
MAX_HOTSPOT_LOADS: Final = 2
"""Hotspots to relieve per round."""


@dataclass(frozen=True)
class Plan:
    """Moves to make now, most urgent first, and loads for which no target was found."""

    moves: tuple[Move, ...]
    unplaced: tuple[tuple[Model, Reason], ...]


def make_plan(
    needs: Mapping[Model, ModelRequirement],
    targets: Iterable[PlacementTarget],
    rate: float,
) -> Plan:
    """Return the moves of one planning round.

    Parameters
    ----------
    needs : mapping
        All models of the catalog with their demand and wanted copies.
    targets : iterable
        All upstreams known to be alive.
    rate : float
        Tokens per second that one upstream serves.
    """
    planning = _PlanningRound(PlacementState(needs, targets), rate)
    planning.unload_retired()
    planning.load_missing()
    planning.relieve_hotspots()
    return Plan(tuple(planning.moves.items), tuple(planning.evictions.unplaced))


def plan_moves(
    needs: Mapping[Model, ModelRequirement],
    targets: Iterable[PlacementTarget],
    rate: float,
) -> tuple[Move, ...]:
    """Return the moves of ``make_plan``."""
    return make_plan(needs, targets, rate).moves


class _PlanningRound:
    """State of one planning round."""

    def __init__(self, state: PlacementState, rate: float) -> None:
        self.state = state
        self.rate = rate
        self.moves = MoveList(state, rate)
        self.evictions = EvictionPlanner(self.moves)

    def unload_retired(self) -> None:
        """Unload copies of models and revisions that the catalog no longer lists."""
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
        # Unload a stale copy only once a new one replaces it, to keep the capacity.
        return serving > 0 and serving + stale > need.wanted

    def _unload_stale(self, model: Model, upstream: Upstream) -> None:
        revision = self.state.targets[upstream].stale[model].revision
        self.state.unload_stale(model, upstream)
        move = Move(False, model, upstream, revision, Reason.REVISION)
        self.moves.items.append(move)

    def load_missing(self) -> None:
        """Load missing copies, in the order of ``Reason``."""
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
        """Unload a stale copy if a spare of the new revision finds no memory."""
        # Otherwise the stale copy waits for the spare and the spare for memory, and
        # the upstream serves the stale revision forever.
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
        # Base models first: an adapter loads only where its base model serves.
        missing.sort(key=lambda entry: (entry[0], entry[2].base is not None, entry[1]))
        return [(need, reason) for _, _, need, reason in missing]

    def _load_reason(self, need: ModelRequirement, index: int) -> Reason:
        if index == 0 and not self.state.is_reachable(need.model):
            return Reason.UNREACHABLE
        if self.state.stale[need.model] and index < need.floor:
            return Reason.REVISION
        # A spare evicts nothing. Loads for demand evict spares, and a spare that
        # evicted in turn would exchange the same memory in every round, without end.
        return Reason.DEMAND if index < need.floor else Reason.SPARE

    def relieve_hotspots(self) -> None:
        """Load another copy of the busiest model of each of the worst hotspots."""
        limit = self.rate * HOTSPOT_LOAD
        hot = [u for u, traffic in self.state.traffic.items() if traffic > limit]
        hot.sort(key=lambda upstream: -self.state.traffic[upstream])
        for upstream in hot[:MAX_HOTSPOT_LOADS]:
            self._relieve(self.state.targets[upstream])

    def _relieve(self, source: PlacementTarget) -> None:
        for model in reversed(self.moves.models_by_demand(source)):
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

__all__ = ["Move", "Plan", "Reason", "make_plan", "plan_moves"]
