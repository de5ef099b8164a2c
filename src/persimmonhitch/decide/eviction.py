"""Make memory available for a load: evict surplus copies, relocate sole copies.

A copy is surplus while enough other copies of its model serve; ``_FLOORS`` gives the
required number for each reason of a load. A sole copy is relocated only for an
unreachable model or a new revision: it is loaded elsewhere first, and a later round
evicts the original.
"""

from typing import Final

from ..ids import Model, Upstream
from .moves import EPSILON, MoveList, Reason
from .targets import ModelRequirement, PlacementState, PlacementTarget

MAX_SEARCHES: Final = 24
"""Searches for evictions per round."""
MAX_RELOCATIONS: Final = 4
"""Number of relocations in a round after which no further relocation starts."""
MAX_RELOCATION_TARGETS: Final = 64
"""Number of upstreams, by free memory, that are considered for a relocation."""


def _keep_one(_need: ModelRequirement) -> int:
    return 1


def _floor(need: ModelRequirement) -> int:
    return need.floor


def _wanted_count(need: ModelRequirement) -> int:
    return need.wanted


_FLOORS: Final = {
    Reason.UNREACHABLE: _keep_one,
    Reason.REVISION: _keep_one,
    Reason.DEMAND: _floor,
    Reason.HOTSPOT: _floor,
}
"""Minimum number of copies of a model whose memory is needed for another model."""
RELOCATION_REASONS: Final = (Reason.UNREACHABLE, Reason.REVISION)
"""Reasons of loads for which sole copies of other models are relocated."""


class EvictionPlanner:
    """Adds evictions and relocations to the moves of one round."""

    def __init__(self, moves: MoveList) -> None:
        self.moves = moves
        self.unplaced: list[tuple[Model, Reason]] = []
        self.searches = 0
        self.relocations = 0

    @property
    def state(self) -> PlacementState:
        """Return the placement after the moves chosen so far."""
        return self.moves.state

    def is_exhausted(self) -> bool:
        """Return whether this round has used up its searches."""
        return self.searches >= MAX_SEARCHES

    def has_pending_space(self, need: ModelRequirement) -> bool:
        """Return whether free memory and pending unloads suffice for a load."""
        state = self.state
        return any(
            state.free[target.upstream] + state.freeing[target.upstream] + EPSILON
            >= need.memory
            for target in self.moves.eligible(need)
            if target.upstream not in state.reserved
        )

    def make_room(self, need: ModelRequirement, reason: Reason) -> None:
        """Evict surplus copies from the target that needs the fewest evictions."""
        self.searches += 1
        best: tuple[int, float, PlacementTarget, list[Model]] | None = None
        for target in self.moves.eligible(need):
            if target.upstream in self.state.reserved:
                continue
            if reason is Reason.HOTSPOT and self.moves.is_busy(target):
                continue
            evicted = self._evictions(need, target, reason)
            if evicted is None:
                continue
            cost = sum(self.state.copy_demand(model) for model in evicted)
            if best is None or (len(evicted), cost) < best[:2]:
                best = (len(evicted), cost, target, evicted)
        if best is not None:
            self.state.reserved.add(best[2].upstream)
            for model in best[3]:
                self.moves.unload(model, best[2].upstream, Reason.MAKE_ROOM)
        elif reason in RELOCATION_REASONS:
            move_count = len(self.moves.items)
            self._relocate_copies(need)
            if len(self.moves.items) == move_count:
                self.unplaced.append((need.model, reason))

    def _evictions(
        self, need: ModelRequirement, target: PlacementTarget, reason: Reason
    ) -> list[Model] | None:
        """Return the models to evict from a target, None if they free too little."""
        space = self.state.free[target.upstream] + self.state.freeing[target.upstream]
        if space + EPSILON >= need.memory:
            return []
        evicted: list[Model] = []
        for model in self.moves.models_by_demand(target):
            group = [*self.state.adapters_at(model, target), model]
            group = [m for m in group if m not in evicted]
            if model in evicted or model == need.base:
                continue
            if not all(self._evictable(m, target, reason) for m in group):
                continue
            evicted += group
            space += sum(target.copies[m].memory for m in group)
            if space + EPSILON >= need.memory:
                return evicted
        return None

    def _evictable(self, model: Model, target: PlacementTarget, reason: Reason) -> bool:
        state = self.state
        need = state.needs.get(model)
        serving = state.serving[model]
        if target.upstream not in serving or state.unloading[model] or need is None:
            return False
        return len(serving) > _FLOORS.get(reason, _wanted_count)(need)

    def _relocate_copies(self, need: ModelRequirement) -> None:
        """Load sole copies elsewhere, so that a later round can evict the originals."""
        if self.relocations >= MAX_RELOCATIONS:
            return
        sources = sorted(
            self.moves.eligible(need),
            key=lambda source: -self.state.free[source.upstream],
        )
        for source in sources[:MAX_RELOCATION_TARGETS]:
            if source.upstream not in self.state.reserved and self._clear(need, source):
                return
        base = None if need.base is None else self.state.needs.get(need.base)
        if base is None or self.state.loading[base.model]:
            return
        # No upstream with the base model has memory for another adapter.
        target = self.moves.choose(base, Reason.UNREACHABLE)
        if target is not None:
            self.moves.load(base, target.upstream, Reason.MAKE_ROOM)
        else:
            self.make_room(base, Reason.UNREACHABLE)

    def _clear(self, need: ModelRequirement, source: PlacementTarget) -> bool:
        """Relocate sole copies from a source; return whether this frees enough."""
        shortfall = need.memory - self.state.free[source.upstream]
        relocations: list[tuple[ModelRequirement, Upstream]] = []
        used: set[Upstream] = {source.upstream}
        for model in self.moves.models_by_demand(source):
            moved = self.state.needs.get(model)
            if moved is None or self.state.adapters_at(model, source):
                continue
            if moved.base is not None or self.state.copy_count(model) != 1:
                continue
            target = self._relocation_target(moved, used)
            if target is None:
                continue
            used.add(target.upstream)
            relocations.append((moved, target.upstream))
            shortfall -= source.copies[model].memory
            if shortfall <= EPSILON:
                break
        if shortfall > EPSILON:
            return False
        self.state.reserved.add(source.upstream)
        for moved, upstream in relocations:
            self.relocations += 1
            self.moves.load(moved, upstream, Reason.MAKE_ROOM)
        return True

    def _relocation_target(
        self, need: ModelRequirement, used: set[Upstream]
    ) -> PlacementTarget | None:
        fits = (
            target
            for target in self.moves.eligible(need)
            if target.upstream not in used | self.state.reserved
            and self.state.free[target.upstream] + EPSILON >= need.memory
        )
        return min(fits, key=lambda fit: self.state.free[fit.upstream], default=None)
