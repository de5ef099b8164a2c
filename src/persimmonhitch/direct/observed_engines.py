"""State of the engines as the leader publishes it, kept by every entry.

Load pattern: the lease moves to another entry while models have been missing for long
and loads are in progress. A new leader without this record would treat every missing
model as missing since the start of its term, load models that are about to be ready a
second time, and evict a model as soon as its load has ended.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from ..ids import Epoch, Model, Upstream
from .peer_messages import InventoryUpdate


@dataclass
class ObservedEngine:
    """One life of an engine; times are monotonic seconds."""

    started_at_ms: int
    models: frozenset[Model] = frozenset()
    """Models that requests may use."""
    loaded_at: dict[Model, float] = field(default_factory=dict)
    """When each model became usable after a load."""
    ready_at: dict[Model, float] = field(default_factory=dict)
    """Expected end of the load in progress."""
    version: tuple[Epoch, int] = (Epoch(0), 0)
    """Version of the newest inventory; older ones may arrive later."""


class ObservedEngines:
    """The engines of all services, as published by this entry or another leader."""

    def __init__(self) -> None:
        self._engines: dict[Upstream, ObservedEngine] = {}

    def receive(self, msg: InventoryUpdate, now: float) -> None:
        """Apply a published inventory."""
        old = self._engines.get(msg.upstream)
        if old is None or old.started_at_ms != msg.started_at_ms:
            old = ObservedEngine(msg.started_at_ms, frozenset(msg.models))
        if msg.inventory_version < old.version:
            return
        models = frozenset(msg.models)
        loaded = {m: at for m, at in old.loaded_at.items() if m in models}
        loaded |= dict.fromkeys(models & old.ready_at.keys() - old.models, now)
        ready_at = {model: now + seconds for model, seconds in msg.loading.items()}
        self._engines[msg.upstream] = ObservedEngine(
            msg.started_at_ms, models, loaded, ready_at, msg.inventory_version
        )

    def get(self, upstream: Upstream, started_at_ms: int) -> ObservedEngine:
        """Return what is known of one life of an engine."""
        known = self._engines.get(upstream)
        if known is None or known.started_at_ms != started_at_ms:
            return ObservedEngine(started_at_ms)
        return known

    def retain(self, upstreams: Collection[Upstream]) -> None:
        """Forget engines that are not listed any more."""
        for name in self._engines.keys() - set(upstreams):
            del self._engines[name]
