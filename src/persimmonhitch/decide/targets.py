"""Upstreams as placement targets, and the working state of one planning round."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from ..ids import Model, Upstream, Zone


class CopyPhase(Enum):
    """Lifecycle phase of a model copy, as the planner sees it."""

    LOADING = "loading"
    SERVING = "serving"
    UNLOADING = "leaving"


@dataclass(frozen=True)
class PlacedCopy:
    """One copy at an upstream; ``memory`` is in GiB and includes the KV cache."""

    phase: CopyPhase
    memory: float
    revision: str


@dataclass(frozen=True)
class PlacementTarget:
    """One upstream: its memory in GiB and its copies.

    ``free`` is reported by the sidecar. It is less than the capacity minus all copies
    while a delayed order may still arrive. ``accepting`` states whether the upstream
    accepts loads.
    """

    upstream: Upstream
    zone: Zone
    capacity: float
    free: float
    accepting: bool
    draining: bool
    copies: Mapping[Model, PlacedCopy]
    stale: Mapping[Model, PlacedCopy] = field(default_factory=dict)
    """Copies of revisions that the catalog no longer lists."""


@dataclass(frozen=True)
class ModelRequirement:
    """One model or adapter of the catalog, with its demand.

    ``demand`` is in tokens per second; ``wanted`` is the number of copies to run.
    """

    model: Model
    memory: float
    revision: str
    base: Model | None
    demand: float
    wanted: int
    floor: int = 1
    """Copies that the current demand requires, without a spare or delayed removals."""


class PlacementState:
    """Targets and copies after all moves chosen so far.

    Attributes
    ----------
    free, freeing : dict
        GiB per upstream that are free now, and GiB that pending unloads will free.
    reserved : set
        Upstreams whose memory is set aside for a load of a later round.
    traffic : dict
        Tokens per second that each upstream has to serve.
    """

    def __init__(
        self,
        needs: Mapping[Model, ModelRequirement],
        targets: Iterable[PlacementTarget],
    ) -> None:
        self.needs = needs
        self.targets = {target.upstream: target for target in targets}
        self.free = {
            u: target.free if target.accepting else 0.0 for u, target in self._items()
        }
        self.freeing: defaultdict[Upstream, float] = defaultdict(float)
        self.reserved: set[Upstream] = set()
        self.serving: defaultdict[Model, set[Upstream]] = defaultdict(set)
        self.loading: defaultdict[Model, set[Upstream]] = defaultdict(set)
        self.stale: defaultdict[Model, set[Upstream]] = defaultdict(set)
        self.unloading: defaultdict[Model, set[Upstream]] = defaultdict(set)
        for upstream, target in self._items():
            self._add_target(upstream, target)
        self.traffic = {
            upstream: self._traffic(target) for upstream, target in self._items()
        }

    def _items(self) -> Iterable[tuple[Upstream, PlacementTarget]]:
        return self.targets.items()

    def _add_target(self, upstream: Upstream, target: PlacementTarget) -> None:
        copies = [*target.copies.values(), *target.stale.values()]
        unaccounted = target.capacity - target.free - sum(p.memory for p in copies)
        self.freeing[upstream] += max(0.0, unaccounted)
        for model, placed in target.copies.items():
            if placed.phase is CopyPhase.UNLOADING:
                self.unloading[model].add(upstream)
                self.freeing[upstream] += placed.memory
            elif target.draining:
                continue
            elif placed.phase is CopyPhase.LOADING:
                self.loading[model].add(upstream)
            else:
                self.serving[model].add(upstream)
        for model, placed in target.stale.items():
            if placed.phase is CopyPhase.UNLOADING:
                self.freeing[upstream] += placed.memory
            elif not target.draining:
                self.stale[model].add(upstream)

    def _traffic(self, target: PlacementTarget) -> float:
        return sum(self.copy_demand(model) for model in target.copies)

    def copy_demand(self, model: Model) -> float:
        """Return the demand per copy of a model, in tokens per second."""
        need = self.needs.get(model)
        copies = len(self.serving[model]) + len(self.loading[model])
        return 0.0 if need is None else need.demand / max(1, copies)

    def copy_count(self, model: Model) -> int:
        """Return the serving and loading copies outside draining upstreams."""
        return len(self.serving[model]) + len(self.loading[model])

    def is_reachable(self, model: Model) -> bool:
        """Return whether a copy of any revision is serving or loading."""
        return bool(self.serving[model] or self.loading[model] or self.stale[model])

    def zones(self, model: Model) -> set[Zone]:
        """Return the availability zones with a serving or loading copy."""
        upstreams = self.serving[model] | self.loading[model]
        return {self.targets[upstream].zone for upstream in upstreams}

    def adapters_at(self, base: Model, target: PlacementTarget) -> list[Model]:
        """Return the adapters of a base model of which a target has copies."""
        adapters = []
        for model in target.copies:
            need = self.needs.get(model)
            if need is not None and need.base == base:
                adapters.append(model)
        return adapters

    def load(self, model: Model, upstream: Upstream) -> None:
        """Apply the start of a load."""
        need = self.needs[model]
        self.free[upstream] -= need.memory
        self.loading[model].add(upstream)
        self.traffic[upstream] += self.copy_demand(model)

    def unload(self, model: Model, upstream: Upstream) -> None:
        """Apply the unload of a model; its memory becomes free in a later round."""
        placed = self.targets[upstream].copies[model]
        self.traffic[upstream] -= self.copy_demand(model)
        self.serving[model].discard(upstream)
        self.unloading[model].add(upstream)
        self.freeing[upstream] += placed.memory

    def unload_stale(self, model: Model, upstream: Upstream) -> None:
        """Apply the unload of a stale revision."""
        self.stale[model].discard(upstream)
        self.freeing[upstream] += self.targets[upstream].stale[model].memory
