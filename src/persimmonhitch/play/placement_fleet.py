"""Simulated fleet of upstreams that executes placement moves."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..decide.placement import Move
from ..decide.targets import CopyPhase, ModelRequirement, PlacedCopy, PlacementTarget
from ..ids import Model, Upstream, Zone
from ..standin.weights import WeightStore


@dataclass
class Held:
    """A copy and the time from which it serves."""

    memory: float
    revision: str
    serves_at: float


@dataclass
class Accelerator:
    """One upstream; memory in GiB."""

    zone: Zone
    capacity: float
    copies: dict[tuple[Model, str], Held] = field(default_factory=dict)
    draining: bool = False

    def free(self) -> float:
        """Return the GiB left."""
        return self.capacity - sum(held.memory for held in self.copies.values())


class Fleet:
    """Upstreams with their copies; the weight store determines load times."""

    def __init__(self, store: WeightStore) -> None:
        self.store = store
        self.now = 0.0
        self.upstreams: dict[Upstream, Accelerator] = {}
        self.loads = 0
        self.unloads = 0

    def add(self, count: int, zones: int, capacity: float) -> None:
        """Add empty upstreams, spread over the availability zones."""
        for index in range(len(self.upstreams), len(self.upstreams) + count):
            zone = Zone(f"zone-{index % zones}")
            self.upstreams[Upstream(f"up-{index}")] = Accelerator(zone, capacity)

    def sites(self, needs: dict[Model, ModelRequirement]) -> list[PlacementTarget]:
        """Return the view of the fleet for a planner."""
        return [self._site(u, acc, needs) for u, acc in self.upstreams.items()]

    def _site(
        self, upstream: Upstream, acc: Accelerator, needs: dict[Model, ModelRequirement]
    ) -> PlacementTarget:
        current: dict[Model, PlacedCopy] = {}
        old: dict[Model, PlacedCopy] = {}
        for (model, revision), held in acc.copies.items():
            need = needs.get(model)
            wanted = need is None or need.revision == revision
            serves = held.serves_at <= self.now
            state = CopyPhase.SERVING if serves else CopyPhase.LOADING
            placed = PlacedCopy(state, held.memory, revision)
            (current if wanted else old)[model] = placed
        free, capacity = acc.free(), acc.capacity
        return PlacementTarget(
            upstream, acc.zone, capacity, free, True, acc.draining, current, old
        )

    def under_way(self, adapters: frozenset[Model]) -> tuple[int, int]:
        """Return the numbers of loading models and adapters."""
        loading = [
            model
            for acc in self.upstreams.values()
            for (model, _), held in acc.copies.items()
            if held.serves_at > self.now
        ]
        count = sum(model in adapters for model in loading)
        return len(loading) - count, count

    def apply(
        self, moves: Iterable[Move], needs: dict[Model, ModelRequirement]
    ) -> None:
        """Execute moves; a load without enough memory is a bug of the planner."""
        for move in moves:
            acc = self.upstreams[move.upstream]
            if not move.is_load:
                acc.copies.pop((move.model, move.revision), None)
                self.unloads += 1
                continue
            need = needs[move.model]
            seconds = self.store.begin(need.base is not None, self.now)
            if seconds is None:
                continue
            held = Held(need.memory, move.revision, self.now + seconds)
            acc.copies[move.model, move.revision] = held
            self.loads += 1
            if acc.free() < -1e-6:
                raise AssertionError(f"{move} overcommits {acc}")

    def serving(self, model: Model) -> list[Upstream]:
        """Return the upstreams on which a model serves."""
        return self.places().get(model, [])

    def places(self) -> dict[Model, list[Upstream]]:
        """Return the upstreams of each serving model."""
        found: dict[Model, list[Upstream]] = {}
        for upstream, acc in self.upstreams.items():
            for (name, _), held in acc.copies.items():
                if held.serves_at <= self.now:
                    found.setdefault(name, []).append(upstream)
        return found

    def unreachable(self, models: Iterable[Model]) -> list[Model]:
        """Return the models that no upstream serves."""
        served = self.places()
        return [model for model in models if model not in served]
