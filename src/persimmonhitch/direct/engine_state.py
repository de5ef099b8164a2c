"""What the leader knows of one engine: inventory, load in progress, adapters in use."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..decide.drain_estimate import DrainEstimate
from ..fleet.config import EngineSpec, ModelSpec
from ..fleet.upstream import EngineInventory, UpstreamRecord
from ..ids import Adapter, Model


@dataclass
class EngineState:
    """State of one engine as known to the leader."""

    record: UpstreamRecord
    spec: EngineSpec
    inventory: EngineInventory | None = None
    adapter_used_at: dict[tuple[Model, Adapter], float] = field(default_factory=dict)
    unloading: set[tuple[Model, Adapter]] = field(default_factory=set)
    """Adapters with an unload in progress; each occupies its slot until completion."""
    loaded_at: dict[Model, float] = field(default_factory=dict)
    """When the last load of each model was confirmed."""
    inherited_loads: dict[Model, float] = field(default_factory=dict)
    """Expected end of a load that a previous leader has ordered."""
    loading: Model | None = None
    ready_at: float = 0.0
    """Expected end of the load in progress."""
    due_at: float = 0.0
    """End of the load in progress as planned when it began."""
    drain_time: DrainEstimate = field(default_factory=DrainEstimate)
    evicting: frozenset[Model] = frozenset()
    draining: bool = False
    """Whether the load in progress waits for requests of evicted models, without any
    order. In this time the engine accepts orders for adapters."""
    load_s: float = 0.0
    """Expected time of the load in progress once it is ordered."""

    def plan_load(
        self,
        model: Model,
        evictions: Iterable[Model],
        load_s: float,
        drain_s: float,
        now: float,
    ) -> None:
        """Set the load that is to begin after the requests of evicted models.

        Parameters
        ----------
        load_s : float
            Expected time of the load.
        drain_s : float
            Expected time of the requests; 0 if the evicted models are not in use.
        now : float
            Monotonic time in seconds.
        """
        self.loading, self.evicting = model, frozenset(evictions)
        self.load_s, self.draining = load_s, drain_s > 0
        self.ready_at = self.due_at = now + drain_s + load_s

    def end_drain(self, now: float) -> None:
        """Record that the load can be ordered."""
        self.draining, self.ready_at = False, now + self.load_s

    def end_load(self) -> None:
        """Record that no load is in progress any more."""
        self.loading, self.evicting, self.draining = None, frozenset(), False

    def remaining_load_s(self, now: float) -> float:
        """Return the expected seconds until the load in progress has ended."""
        return max(0.0, self.ready_at - now, self.load_s if self.draining else 0.0)

    def memory_used(self) -> float:
        """Return the MB used by models, including one being loaded, and adapters."""
        if self.inventory is None:
            return self.spec.memory_mb
        resident = set(self.inventory.models)
        if self.loading is not None:
            resident.add(self.loading)
        used = sum(self._model_spec(m).memory_mb for m in resident)
        return used + self.adapters_memory()

    def adapters_memory(self) -> float:
        """Return the MB to reserve for adapters: all slots at the largest size."""
        if self.inventory is None:
            return 0.0
        size = max((m.adapter_mb for m in self.spec.models.values()), default=0.0)
        return size * self.spec.adapter_slots

    def _model_spec(self, name: Model) -> ModelSpec:
        spec = self.spec.models.get(name)
        # A model that was removed from the configuration still uses memory. Its size is
        # unknown, so it counts as the engine's whole memory.
        return spec or ModelSpec(name, self.spec.memory_mb, 0, 0, 0, 0, 0)


def usable_models(engine: EngineState) -> Mapping[Model, tuple[Adapter, ...]]:
    """Return the models and adapters that requests may use, without evicted ones."""
    if engine.inventory is None:
        return {}
    unloading = engine.unloading
    return {
        model: tuple(sorted(name for name in names if (model, name) not in unloading))
        for model, names in engine.inventory.models.items()
        if model not in engine.evicting
    }
