"""Upstreams as they report themselves."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..ids import Adapter, Model, Service, Upstream, Zone


@dataclass(frozen=True)
class Holding:
    """What one engine holds, as of a number of orders that it took.

    ``orders`` starts anew with each start of the engine, which ``born`` tells apart:
    the millisecond at which it started.
    """

    born: int
    orders: int
    models: Mapping[Model, frozenset[Adapter]]
    incoming: Mapping[Model, frozenset[Adapter]] = field(default_factory=dict)
    """Adapters that are being loaded; they take places already."""
    in_memory: frozenset[Model] = frozenset()
    on_disk: frozenset[Model] = frozenset()
    busy: bool = False

    def newer_than(self, other: "Holding") -> bool:
        """Return whether this tells of a later state than ``other``."""
        return (self.born, self.orders) > (other.born, other.orders)

    def has(self, model: Model, adapter: Adapter | None) -> bool:
        """Return whether a call for a model and its adapter can run there now."""
        adapters = self.models.get(model)
        return adapters is not None and (adapter is None or adapter in adapters)

    def places_taken(self) -> int:
        """Return the adapters that are there or on their way."""
        return sum(len(a) for a in self.models.values()) + sum(
            len(a) for a in self.incoming.values()
        )


@dataclass(frozen=True)
class UpstreamRecord:
    """One upstream by its own account."""

    name: Upstream
    service: Service
    host: str
    port: int
    zone: Zone
    slots: int
    draining: bool
    holding: Holding | None
    """None for a plain service."""
