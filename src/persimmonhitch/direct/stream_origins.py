"""Memory of the software versions that began streams, shared between entries."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Final

from ..decide.crashes import UpstreamInstance
from ..decide.stream_versions import Knowledge, Origin, VersionHistory
from ..fleet.upstream import UpstreamRecord
from ..ids import Account, RequestId, Service, SoftwareVersion, Upstream, Vm
from ..observe.logs import log
from .peer_messages import BegunStream, SeenVersion, StreamsBegan, VersionsSeen
from .poison import instance_of

MIX_S: Final = 60.0
"""Seconds for which a version counts as serving after it was last listed, so that peers
are told of new streams; longer than any stream."""
MAX_ITEMS: Final = 500
"""Streams in one message to the peers."""
UPDATE_WAIT_S: Final = 0.2
"""Seconds for which a resumption waits for a peer's report of its stream: two flush
intervals of the broadcast, and the relays."""
RESTART_MARGIN_S: Final = 1.0
"""Seconds by which the clocks of an upstream and of this entry may differ."""


@dataclass(frozen=True)
class _Begun:
    account: Account | None
    service: Service
    version: SoftwareVersion | None
    """None if two instances with different versions may have begun the stream."""
    instance: UpstreamInstance | None
    """None for a stream of another entry."""
    at: float
    at_ms: float
    """Unix time in milliseconds."""


class StreamOrigins:
    """Remembers which version began each stream; thread-safe.

    Peers are told only while several versions of a service may be serving.

    Parameters
    ----------
    publish : callable
        Sends a message to all peers.
    is_fresh : callable
        Returns whether the list of upstreams is up to date.
    max_streams : int
        Number of streams to remember; the oldest are forgotten.
    on_change : callable
        Called when ``flush`` has something to send.
    list_age_s : callable
        Returns the seconds since the store confirmed the list of upstreams.
    clock, wall_ms : callable
        Return monotonic seconds and Unix milliseconds.
    """

    def __init__(
        self,
        publish: Callable[[object], None],
        is_fresh: Callable[[], bool],
        max_streams: int,
        on_change: Callable[[], None] = lambda: None,
        list_age_s: Callable[[], float] = lambda: 0.0,
        clock: Callable[[], float] = time.monotonic,
        wall_ms: Callable[[], float] = lambda: time.time() * 1000,
    ) -> None:
        self._publish = publish
        self._is_fresh = is_fresh
        self._max_streams = max_streams
        self._on_change = on_change
        self.list_age_s = list_age_s
        self._clock = clock
        self._wall_ms = wall_ms
        self._lock = threading.Lock()
        self._received = threading.Condition(self._lock)
        self._history = VersionHistory(clock())
        self._streams: OrderedDict[RequestId, _Begun] = OrderedDict()
        self._records: dict[Upstream, UpstreamRecord] = {}
        self._unsent: dict[RequestId, _Begun] = {}
        self._mixed: set[Service] = set()

    def __len__(self) -> int:
        return len(self._streams)

    # -- what this entry observes ----------------------------------------------------

    def update(self, records: Iterable[UpstreamRecord]) -> None:
        """Apply a new list of upstreams."""
        listed = {record.name: record for record in records}
        now = self._clock()
        with self._lock:
            had_versions = bool(self._records)
            for name, record in listed.items():
                old = self._records.get(name)
                if old is not None and old.version != record.version:
                    self._forget_ambiguous(old, record)
            self._records = listed
            is_new = self._history.update(listed.values(), now)
            self._update_mixed(now)
            message = self._seen(now) if is_new and had_versions else None
        if message is not None:
            self._publish(message)

    def _forget_ambiguous(self, old: UpstreamRecord, new: UpstreamRecord) -> None:
        """Forget the version of streams that either instance may have begun."""
        earliest_ms = new.started_at_ms - RESTART_MARGIN_S * 1000
        for request_id, begun in self._streams.items():
            if begun.instance == instance_of(old) and begun.at_ms >= earliest_ms:
                self._streams[request_id] = replace(begun, version=None)
                self._unsent[request_id] = self._streams[request_id]

    def _update_mixed(self, now: float) -> None:
        """Queue the known streams of each service that now has several versions."""
        mixed = {
            service
            for service in {record.service for record in self._records.values()}
            if len(self._history.versions(service, now - MIX_S)) > 1
        }
        for service in mixed - self._mixed:
            log("versions_mixed", service=service, streams=len(self._streams))
        self._unsent.update(
            (request_id, begun)
            for request_id, begun in self._streams.items()
            if begun.service in mixed - self._mixed and begun.instance is not None
        )
        self._mixed = mixed

    def began(
        self, request_id: RequestId, account: Account | None, record: UpstreamRecord
    ) -> None:
        """Record the first event of a stream."""
        begun = _Begun(
            account,
            record.service,
            record.version,
            instance_of(record),
            self._clock(),
            self._wall_ms(),
        )
        with self._lock:
            self._remember(request_id, begun)
            if record.service not in self._mixed:
                return
            self._unsent[request_id] = begun
        self._on_change()

    def _remember(self, request_id: RequestId, begun: _Begun) -> None:
        self._streams[request_id] = begun
        self._streams.move_to_end(request_id)
        while len(self._streams) > self._max_streams:
            self._streams.popitem(last=False)

    # -- resumptions -----------------------------------------------------------------

    def origin(
        self,
        request_id: RequestId,
        account: Account | None,
        service: Service,
        max_age_s: float,
    ) -> Origin:
        """Return what is known about the version that began a stream.

        Parameters
        ----------
        request_id : RequestId
            Attempt that brought the first event; empty if not stated.
        max_age_s : float
            Longest time for which the stream may have run.
        """
        is_fresh = self._is_fresh()
        with self._lock:
            return self._origin(request_id, account, service, max_age_s, is_fresh)

    def wait_for_origin(
        self,
        request_id: RequestId,
        account: Account | None,
        service: Service,
        max_age_s: float,
        wait_s: float = UPDATE_WAIT_S,
    ) -> Origin:
        """Return ``origin``; wait for a peer's report if the version is not known."""
        is_fresh = self._is_fresh()

        def find() -> Origin:
            return self._origin(request_id, account, service, max_age_s, is_fresh)

        with self._received:
            if request_id:
                self._received.wait_for(lambda: find().knowledge.is_sufficient, wait_s)
            return find()

    def _origin(
        self,
        request_id: RequestId,
        account: Account | None,
        service: Service,
        max_age_s: float,
        is_fresh: bool,
    ) -> Origin:
        begun = self._streams.get(request_id)
        # A stream of another account is treated like an unknown one.
        if begun is not None and begun.account == account:
            if begun.version is None:
                return Origin(Knowledge.MIXED)
            return Origin(Knowledge.STREAM, begun.version)
        return self._history.origin(service, self._clock() - max_age_s, is_fresh)

    # -- peers -----------------------------------------------------------------------

    def flush(self) -> None:
        """Send the queued streams to the peers."""
        if not self._unsent:
            return
        now = self._clock()
        with self._lock:
            items, self._unsent = list(self._unsent.items()), {}
        for start in range(0, len(items), MAX_ITEMS):
            streams = tuple(
                BegunStream(
                    request_id,
                    begun.account,
                    begun.service,
                    begun.version,
                    max(0, int((now - begun.at) * 1000)),
                )
                for request_id, begun in items[start : start + MAX_ITEMS]
            )
            self._publish(StreamsBegan(streams))

    def history(self) -> VersionsSeen:
        """Return the known versions, for a peer that has started."""
        with self._lock:
            return self._seen(self._clock())

    def _seen(self, now: float) -> VersionsSeen:
        versions = tuple(
            SeenVersion(service, version, max(0, int((now - at) * 1000)))
            for (service, version), at in self._history.entries(now).items()
            if now - at < MIX_S
        )
        return VersionsSeen(max(0, int((now - self._history.since) * 1000)), versions)

    def receive_streams(self, _vm: Vm, msg: StreamsBegan, as_of: float) -> None:
        """Apply the streams that a peer has begun."""
        wall_ms, now = self._wall_ms(), self._clock()
        with self._lock:
            for item in msg.streams:
                at = as_of - item.age_ms / 1000
                begun = _Begun(
                    item.account,
                    item.service,
                    item.version,
                    None,
                    at,
                    wall_ms - (now - at) * 1000,
                )
                self._remember(item.request, begun)
            self._received.notify_all()

    def receive_versions(self, _vm: Vm, msg: VersionsSeen, as_of: float) -> None:
        """Apply the versions that a peer knows."""
        with self._lock:
            self._history.merge(
                as_of - msg.since_ms / 1000,
                (
                    (item.service, item.version, as_of - item.age_ms / 1000)
                    for item in msg.versions
                ),
            )
            self._update_mixed(self._clock())
