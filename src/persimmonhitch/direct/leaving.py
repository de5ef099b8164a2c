"""Upstreams that report in their answers that they leave."""

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Final

from ..decide.crashes import UpstreamInstance
from ..fleet.upstream import UpstreamRecord
from ..ids import Vm
from ..observe.logs import log
from .peer_messages import LeavingUpdate
from .poison import instance_of

UNLISTED_TTL_S: Final = 60.0
"""Seconds for which an unlisted instance stays known as leaving. The store may drop the
record of a running upstream during an outage and list it again afterwards."""


class LeavingUpstreams:
    """Passes lists of upstreams on, with the leaving ones marked as draining.

    The record of a leaving upstream may be out of date, or the store unavailable, while
    its answers already report that it leaves. Methods are thread-safe.

    Parameters
    ----------
    listener : callable
        Receives each list of records.
    publish : callable
        Sends an update to all peers.
    """

    def __init__(
        self,
        listener: Callable[[list[UpstreamRecord]], None],
        publish: Callable[[LeavingUpdate], None] = lambda _msg: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._listener = listener
        self._publish = publish
        self._clock = clock
        self._lock = threading.Lock()
        self._leaving: dict[UpstreamInstance, float] = {}
        """Time at which each leaving instance was last reported or listed."""
        self._records: list[UpstreamRecord] = []
        self._changed = threading.Event()

    def is_leaving(self, record: UpstreamRecord) -> bool:
        """Return whether an instance is known to leave."""
        return record.draining or instance_of(record) in self._leaving

    def reported(self, record: UpstreamRecord) -> None:
        """Record that an answer of an instance reports that it leaves.

        ``apply`` passes the change on. Callers may hold locks that the listener needs.
        """
        instance = instance_of(record)
        if self._add(instance, None):
            self._publish(LeavingUpdate(instance.name, instance.started_at_ms))

    def receive(self, vm: Vm, msg: LeavingUpdate, _as_of: float) -> None:
        """Record that a peer received such an answer."""
        self._add(UpstreamInstance(msg.upstream, msg.started_at_ms), vm)

    def _add(self, instance: UpstreamInstance, peer: Vm | None) -> bool:
        """Record a leaving instance; return whether it is new."""
        is_new = instance not in self._leaving
        self._leaving[instance] = self._clock()
        if is_new:
            log(
                "upstream_leaving",
                upstream=instance.name,
                born=instance.started_at_ms,
                reported_to=peer or "-",
            )
            self._changed.set()
        return is_new

    def apply(self) -> None:
        """Pass the list on again if an upstream has reported that it leaves."""
        if self._changed.is_set():
            with self._lock:
                self._notify()

    def update(self, records: Iterable[UpstreamRecord]) -> None:
        """Apply a new list of upstreams."""
        with self._lock:
            old = {instance_of(record): record for record in self._records}
            self._records = list(records)
            for record in self._records:
                instance = instance_of(record)
                previous = old.get(instance)
                if previous is not None and previous.draining and not record.draining:
                    self._return(instance)
            self._expire()
            self._notify()

    def _return(self, instance: UpstreamInstance) -> None:
        """Count an instance as staying, as its record has returned to that state."""
        if self._leaving.pop(instance, None) is not None:
            log("upstream_stays", upstream=instance.name, born=instance.started_at_ms)

    def _expire(self) -> None:
        now = self._clock()
        listed = {instance_of(record) for record in self._records}
        for instance in list(self._leaving):
            if instance in listed:
                self._leaving[instance] = now
            elif now - self._leaving[instance] > UNLISTED_TTL_S:
                del self._leaving[instance]

    def _notify(self) -> None:
        self._changed.clear()
        self._listener(
            [
                replace(record, draining=True) if self.is_leaving(record) else record
                for record in self._records
            ]
        )
