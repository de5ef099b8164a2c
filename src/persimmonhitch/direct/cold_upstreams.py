"""Upstreams that are slow after their start, and the pace of requests to them."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ..decide.cold_start import cold_rate
from ..decide.crashes import UpstreamInstance
from ..fleet.config import FleetConfig
from ..fleet.upstream import UpstreamRecord
from ..ids import Service, Zone
from ..observe.logs import log
from .poison import instance_of


@dataclass(frozen=True)
class ColdBound:
    """Most requests in a second to a cold upstream that tolerates ``r`` per second.

    It is ``r * factor + slack``.
    """

    factor: float = 1.0
    slack: float = 0.0


AS_TOLERATED: Final = ColdBound()
"""Bound that equals the rate that an upstream tolerates."""


@dataclass(frozen=True)
class _ColdService:
    duration_s: float
    rate: float
    """Requests per second to grant at each cold upstream of the service."""


class ColdUpstreams:
    """Cold instances with the rate of each; not thread-safe, times are monotonic.

    Methods that change the state return the instances whose rate has changed.
    """

    def __init__(self, bound: ColdBound) -> None:
        self._bound = bound
        self._services: dict[Service, _ColdService] = {}
        self._records: dict[UpstreamInstance, UpstreamRecord] = {}
        self._until: dict[UpstreamInstance, float] = {}

    def __len__(self) -> int:
        return len(self._until)

    def __contains__(self, instance: UpstreamInstance) -> bool:
        return instance in self._until

    def rate(self, instance: UpstreamInstance) -> float | None:
        """Return the requests per second to grant at an instance, None if not cold."""
        if instance not in self._until:
            return None
        return self._services[self._records[instance].service].rate

    def configure(self, cfg: FleetConfig, now: float) -> set[UpstreamInstance]:
        """Apply the services of a new configuration."""
        self._services = {
            name: _ColdService(
                spec.cold_start_s,
                cold_rate(
                    spec.cold_requests_per_s,
                    spec.cold_requests_per_s * self._bound.factor + self._bound.slack,
                ),
            )
            for name, spec in cfg.services.items()
            if spec.cold_requests_per_s > 0
        }
        changed = set(self._until)
        for instance, record in self._records.items():
            if record.service not in self._services:
                self._until.pop(instance, None)
            elif self.extend(record, record.cold_until, now):
                changed.add(instance)
        return changed

    def update(
        self, records: Iterable[UpstreamRecord], now: float
    ) -> set[UpstreamInstance]:
        """Replace the list of upstreams."""
        self._records = {instance_of(record): record for record in records}
        removed = self._until.keys() - self._records.keys()
        for instance in removed:
            del self._until[instance]
        return removed | {
            instance
            for instance, record in self._records.items()
            if self.extend(record, record.cold_until, now)
        }

    def zone_returned(self, zone: Zone, now: float) -> set[UpstreamInstance]:
        """Count the upstreams of a zone as cold after an evacuation.

        The end of an evacuation is known before the records that upstreams write after
        their start.
        """
        changed = set()
        for instance, record in self._records.items():
            service = self._services.get(record.service)
            if service is None or record.zone != zone:
                continue
            if self.extend(record, now + service.duration_s, now):
                changed.add(instance)
        return changed

    def extend(self, record: UpstreamRecord, until: float, now: float) -> bool:
        """Count an upstream as cold for longer; return whether that changes its end."""
        instance = instance_of(record)
        old_until = self._until.get(instance, -math.inf)
        if instance not in self._records or record.service not in self._services:
            return False
        if until <= max(now, old_until):
            return False
        self._until[instance] = until
        if old_until <= now:
            log(
                "upstream_cold",
                upstream=instance.name,
                zone=record.zone,
                cold_for=until - now,
                rate=self.rate(instance),
            )
        return True

    def expire(self, now: float) -> set[UpstreamInstance]:
        """End the cold states whose time has passed."""
        expired = {i for i, until in self._until.items() if until <= now}
        for instance in expired:
            del self._until[instance]
            log("upstream_warm", upstream=instance.name)
        return expired
