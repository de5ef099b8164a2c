"""Upstreams as they report themselves."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from ..ids import Adapter, Model, Service, Upstream, Zone

NOT_COUNTED: Final = -1


@dataclass(frozen=True)
class EngineInventory:
    """What one engine holds, as of a number of orders that it took.

    ``orders`` starts anew with each start of the engine. An engine tells it in its own
    report; its entry in the store leaves it out, ``ORDERS_UNKNOWN``.
    """

    order_count: int
    models: Mapping[Model, frozenset[Adapter]]
    loading: Mapping[Model, frozenset[Adapter]] = field(default_factory=dict)
    """Adapters that are being loaded; they take places already."""
    in_memory: frozenset[Model] = frozenset()
    on_disk: frozenset[Model] = frozenset()
    busy: bool = False

    def has(self, model: Model, adapter: Adapter | None) -> bool:
        """Return whether a call for a model and its adapter can run there now."""
        adapters = self.models.get(model)
        return adapters is not None and (adapter is None or adapter in adapters)

    def adapter_slots_used(self) -> int:
        """Return the adapters that are there or on their way."""
        return sum(len(a) for a in self.models.values()) + sum(
            len(a) for a in self.loading.values()
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
    started_at_ms: int
    """Millisecond at which it started; tells its starts under one name apart."""
    inventory: EngineInventory | None
    """None for a plain service."""
