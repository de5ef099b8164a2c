"""Records and inventories that upstreams report about themselves."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from ..ids import Adapter, Model, Service, SoftwareVersion, Upstream, Zone

NOT_COUNTED: Final = -1
"""``order_count`` of an inventory from a registration record, which omits the count."""


@dataclass(frozen=True)
class EngineInventory:
    """Resident and cached models of an engine after ``order_count`` orders.

    The engine counts accepted orders from zero at each start and reports the count.
    Its registration record in the store omits the count, which is then
    ``NOT_COUNTED``.
    """

    order_count: int
    models: Mapping[Model, frozenset[Adapter]]
    loading: Mapping[Model, frozenset[Adapter]] = field(default_factory=dict)
    """Adapters that are being loaded; they occupy adapter slots already."""
    in_memory: frozenset[Model] = frozenset()
    on_disk: frozenset[Model] = frozenset()
    busy: bool = False

    def has(self, model: Model, adapter: Adapter | None) -> bool:
        """Return whether a model and its adapter, if any, are resident."""
        adapters = self.models.get(model)
        return adapters is not None and (adapter is None or adapter in adapters)

    def adapter_slots_used(self) -> int:
        """Return the number of resident and loading adapters."""
        return sum(len(a) for a in self.models.values()) + sum(
            len(a) for a in self.loading.values()
        )


@dataclass(frozen=True)
class UpstreamRecord:
    """Registration record of an upstream."""

    name: Upstream
    service: Service
    host: str
    port: int
    zone: Zone
    slots: int
    draining: bool
    started_at_ms: int
    """Start time; distinguishes successive instances with the same name."""
    inventory: EngineInventory | None
    """None for an upstream of a service without models."""
    version: SoftwareVersion = SoftwareVersion("")
    """Empty if the record states none."""
    cold_s: float = 0.0
    """Seconds for which the upstream stays slow, when it wrote the record."""
    cold_until: float = -math.inf
    """Monotonic time until which the upstream counts as cold at this entry."""
