"""The list of upstreams, read from their records in the store."""

import math
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from ..decide.cold_start import cold_until
from ..fleet.upstream import UpstreamRecord
from ..ids import Upstream
from ..observe.logs import log
from ..platform.upstream_format import InvalidUpstreamRecord, decode_upstream
from ..store.era import era_of
from ..store.objects import StoredObject, Version
from ..store.watcher import View

REREGISTRATION_TIME_S: Final = 2.0
"""Seconds after the store is available again within which running upstreams re-register
if their records expired because they could not be renewed."""


@dataclass(frozen=True)
class _DecodedRecord:
    version: Version
    record: UpstreamRecord | None


class UpstreamList:
    """Decodes records, each version once, and delays removals after a store outage.

    During an outage the store may drop the records of running upstreams. If the
    list dropped them at once, all requests would be refused until they re-register.
    """

    def __init__(
        self,
        listener: Callable[[list[UpstreamRecord]], None],
        clock: Callable[[], float] = time.monotonic,
        is_leaving: Callable[[UpstreamRecord], bool] = lambda record: record.draining,
    ) -> None:
        self._is_leaving = is_leaving
        self._listener = listener
        self._clock = clock
        self._decoded: dict[str, _DecodedRecord] = {}
        self._expiring: dict[Upstream, tuple[float, UpstreamRecord]] = {}
        self._published: list[UpstreamRecord] = []

    def update(self, view: View) -> None:
        """Replace the list with the records of a new view."""
        old = {name: item.record for name, item in self._decoded.items()}
        self._decoded = {
            name: self._decode(name, obj) for name, obj in view.objects.items()
        }
        now = self._clock()
        for name, record in old.items():
            if name not in self._decoded and record is not None:
                self._on_removed(record, now, view.available_since)
        self._notify()

    def _on_removed(
        self, record: UpstreamRecord, now: float, available_since: float
    ) -> None:
        # The store does not tell an expired record from that of an upstream that left.
        held_until = available_since + REREGISTRATION_TIME_S
        held = now < held_until and not self._is_leaving(record)
        if held:
            self._expiring[record.name] = (held_until, record)
        log(
            "upstream_removed",
            upstream=record.name,
            draining=self._is_leaving(record),
            held=held,
            store_available_for=now - available_since,
        )

    def _decode(self, name: str, obj: StoredObject) -> _DecodedRecord:
        old = self._decoded.get(name)
        if old is not None and old.version == obj.version:
            return old
        try:
            record = self._keep_draining(old, obj, decode_upstream(name, obj.spec))
        except InvalidUpstreamRecord as exc:
            log("upstream_unreadable", name=name, version=obj.version, error=str(exc))
            return _DecodedRecord(obj.version, None)
        record = self._with_cold_end(old.record if old else None, record)
        self._log_change(old.record if old else None, record)
        return _DecodedRecord(obj.version, record)

    def _keep_draining(
        self, old: _DecodedRecord | None, obj: StoredObject, new: UpstreamRecord
    ) -> UpstreamRecord:
        """Keep an upstream draining if a restored store has an older record of it."""
        if old is None or old.record is None or not old.record.draining:
            return new
        restored = era_of(obj.version) > era_of(old.version)
        same_instance = old.record.started_at_ms == new.started_at_ms
        return replace(new, draining=True) if restored and same_instance else new

    def _with_cold_end(
        self, old: UpstreamRecord | None, new: UpstreamRecord
    ) -> UpstreamRecord:
        """Return a record with the time until which its upstream counts as cold."""
        is_same = old is not None and old.started_at_ms == new.started_at_ms
        previous = old.cold_until if old is not None and is_same else -math.inf
        until = cold_until(new.cold_s, self._clock(), previous)
        return replace(new, cold_until=until)

    def _log_change(self, old: UpstreamRecord | None, new: UpstreamRecord) -> None:
        changed = old is None or (old.draining, old.version) != (
            new.draining,
            new.version,
        )
        if changed:
            log(
                "upstream_seen",
                upstream=new.name,
                service=new.service,
                address=f"{new.host}:{new.port}",
                draining=new.draining,
                version=new.version or "-",
            )

    def expire(self) -> None:
        """Remove upstreams that have not re-registered in time."""
        now = self._clock()
        expired = [name for name, (until, _) in self._expiring.items() if until <= now]
        for name in expired:
            log("upstream_expired", upstream=name)
            del self._expiring[name]
        if expired:
            self._notify()

    def _notify(self) -> None:
        records = {i.record.name: i.record for i in self._decoded.values() if i.record}
        for name in records:
            self._expiring.pop(name, None)
        retained = [record for _, record in self._expiring.values()]
        self._published = [*records.values(), *retained]
        self._listener(self._published)
