"""Memory of the software versions that began streams, shared between entries."""

import math
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
from ..platform.upstream_format import InvalidUpstreamRecord, decode_upstream
from ..store.objects import StoredObject
from ..store.watcher import View
from .abort import Abort
from .peer_messages import (
    BegunStream,
    SeenVersion,
    StreamQuery,
    StreamsBegan,
    VersionsSeen,
)
from .poison import instance_of

MIX_S: Final = 60.0
"""Seconds for which a version counts as serving after it was last listed, so that peers
are told of new streams; longer than any stream."""
MAX_ITEMS: Final = 500
"""Streams in one message to the peers."""
UPDATE_WAIT_S: Final = 0.4
"""Seconds for which a resumption waits for a peer's report of its stream: those until
the query, and two flush intervals of the broadcast with the relays of each."""
QUERY_DELAY_S: Final = 0.05
"""Seconds without a report or a confirmation after which peers are asked."""
MAX_REPORT_DELAY_S: Final = 0.5
"""Seconds after which the report of a stream asks for a check of the list, if no call
of the entry's watch has confirmed it by then."""
CHECK_WAIT_S: Final = 1.0
"""Seconds for which a resumption waits for the store to confirm the list of upstreams;
a connection that has gone silent fails earlier."""
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
    request_check : callable
        Asks for a check of the list of upstreams; ``list_checked`` receives its result.
    confirmed_from : callable
        Returns the monotonic time up to which the store has confirmed the list of
        upstreams.
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
        request_check: Callable[[], None],
        confirmed_from: Callable[[], float],
        max_streams: int,
        on_change: Callable[[], None] = lambda: None,
        list_age_s: Callable[[], float] = lambda: 0.0,
        clock: Callable[[], float] = time.monotonic,
        wall_ms: Callable[[], float] = lambda: time.time() * 1000,
    ) -> None:
        self._publish = publish
        self._request_check = request_check
        self._max_streams = max_streams
        self._on_change = on_change
        self._confirmed_from = confirmed_from
        self.list_age_s = list_age_s
        self._clock = clock
        self._wall_ms = wall_ms
        self._lock = threading.RLock()
        self._received = threading.Condition(self._lock)
        self._history = VersionHistory(clock())
        self._streams: OrderedDict[RequestId, _Begun] = OrderedDict()
        self._records: dict[Upstream, UpstreamRecord] = {}
        self._unsent: dict[RequestId, _Begun] = {}
        self._mixed: set[Service] = set()
        self._check_failed_from = -math.inf
        """Time at which the newest check that failed began."""
        self.gaps = 0
        """Number of times that the list has missed changes, its first one included."""

    def __len__(self) -> int:
        return len(self._streams)

    # -- what this entry observes ----------------------------------------------------

    def update(self, records: Iterable[UpstreamRecord]) -> None:
        """Apply a new list of upstreams."""
        listed = {record.name: record for record in records}
        now = self._clock()
        with self._lock:
            had_versions = bool(self._records)
            for record in listed.values():
                self._check_restart(record)
            self._records = listed
            is_new = self._history.update(listed.values(), now)
            self._update_mixed(now)
            message = self._seen(now) if is_new and had_versions else None
        if message is not None:
            self._publish(message)

    def observe(self, view: View) -> None:
        """Apply which changes a new view of the upstreams' records shows.

        Versions that joined and left between two views began streams, too.
        """
        now = self._clock()
        records = [r for r in map(_decode, view.superseded) if r is not None]
        with self._lock:
            if self._history.set_own_since(view.complete_since):
                self.gaps += 1
            for record in records:
                self._check_restart(record)
            message = None
            if self._history.record((r.service, r.version, now) for r in records):
                self._update_mixed(now)
                message = self._seen(now)
        if message is not None:
            self._publish(message)

    def list_checked(self, began_at: float, confirmed: bool) -> None:
        """Apply the result of a check of the list, and when its call began."""
        with self._received:
            if not confirmed:
                self._check_failed_from = began_at
            self._received.notify_all()
        self._on_change()

    def _check_restart(self, new: UpstreamRecord) -> None:
        """Forget the version of streams that this or an older instance has begun."""
        old = self._records.get(new.name)
        if old is None or old.version == new.version:
            return
        earliest_ms = new.started_at_ms - RESTART_MARGIN_S * 1000
        for request_id, begun in self._streams.items():
            instance = begun.instance
            if instance is None or instance.name != new.name:
                continue
            is_older = instance.started_at_ms <= new.started_at_ms
            if is_older and begun.version != new.version and begun.at_ms >= earliest_ms:
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
            listed = self._records.get(record.name)
            if listed is not None and listed.version != record.version:
                # The upstream has started again since the request was sent to it.
                begun = replace(begun, version=None)
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

    def broke_off(self, request_id: RequestId) -> None:
        """Hasten the report of a stream that its caller may resume at a peer."""
        if request_id in self._unsent:
            self._request_check()

    # -- resumptions -----------------------------------------------------------------

    def wait_for_origin(
        self,
        request_id: RequestId,
        account: Account | None,
        service: Service,
        max_age_s: float,
        max_wait_s: float = math.inf,
        abort: Abort | None = None,
    ) -> Origin:
        """Return what is known about the version that began a stream.

        Waits for a peer's report of the stream, and for the store to confirm the list
        if one version alone is known. A confirmation from before the call proves
        nothing: upstreams may have joined, begun the stream and left since.

        Parameters
        ----------
        request_id : RequestId
            Attempt that brought the first event; empty if not stated.
        max_age_s : float
            Longest time for which the stream may have run.
        max_wait_s : float
            Longest time to wait, in seconds.
        abort : Abort or None
            Ends the wait.
        """
        abort = abort or Abort(None, math.inf)
        abort.set_action(self._wake)
        asked_at, started_at = self._clock(), time.monotonic()
        report_wait_s = min(max_wait_s, UPDATE_WAIT_S) if request_id else 0.0
        check_wait_s = min(max_wait_s, CHECK_WAIT_S)
        may_query = bool(request_id)
        while True:
            with self._received:
                origin = self._origin(
                    request_id,
                    account,
                    service,
                    asked_at - max_age_s,
                    self._confirmed_from() >= asked_at,
                )
                wait_s = 0.0 if origin.knowledge.is_sufficient else report_wait_s
                has_failed = self._check_failed_from >= asked_at
                if origin.knowledge is Knowledge.STALE_VIEW and not has_failed:
                    wait_s = max(wait_s, check_wait_s)
                    self._request_check()
                now = time.monotonic()
                left_s = started_at + wait_s - now
                if left_s <= 0 or abort.reason is not None:
                    return origin
                if may_query:
                    left_s = min(left_s, started_at + QUERY_DELAY_S - now)
                if left_s > 0:
                    self._received.wait(left_s)
                    continue
            may_query = False
            self._publish(StreamQuery(request_id))

    def _wake(self) -> None:
        with self._received:
            self._received.notify_all()

    def _origin(
        self,
        request_id: RequestId,
        account: Account | None,
        service: Service,
        oldest: float,
        is_fresh: bool,
    ) -> Origin:
        begun = self._streams.get(request_id)
        # A stream of another account is treated like an unknown one.
        if begun is not None and begun.account == account:
            if begun.version is None:
                return Origin(Knowledge.MIXED)
            if begun.instance is not None and not self._is_confirmed(begun):
                return Origin(Knowledge.STALE_VIEW)
            return Origin(Knowledge.STREAM, begun.version)
        return self._history.origin(service, oldest, is_fresh)

    def _is_confirmed(self, begun: _Begun) -> bool:
        """Return whether the record of the upstream was up to date at the first event.

        Otherwise the upstream may have started again with another version before.
        """
        return self._confirmed_from() >= begun.at

    # -- peers -----------------------------------------------------------------------

    def flush(self) -> None:
        """Send the queued streams whose version is certain to the peers."""
        if not self._unsent:
            return
        now = self._clock()
        with self._lock:
            items = [i for i in self._unsent.items() if self._is_confirmed(i[1])]
            for request_id, _begun in items:
                del self._unsent[request_id]
            due_at = now - MAX_REPORT_DELAY_S
            if any(begun.at < due_at for begun in self._unsent.values()):
                self._request_check()
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

    def history_ms(self) -> int:
        """Return for how many milliseconds the history is complete."""
        with self._lock:
            return self._since_ms(self._clock())

    def has_full_history(self) -> bool:
        """Return whether the history reaches as far as those of peers may."""
        return self.history_ms() >= MIX_S * 1000

    def extend_history(self, seen: VersionsSeen) -> None:
        """Add the history of a peer that is complete up to now."""
        now = self._clock()
        with self._received:
            self._record_versions(seen, now)
            self._history.extend(now - seen.since_ms / 1000)
            self._received.notify_all()

    def _record_versions(self, seen: VersionsSeen, as_of: float) -> None:
        self._history.record(
            (item.service, item.version, as_of - item.age_ms / 1000)
            for item in seen.versions
        )
        self._update_mixed(self._clock())

    def _seen(self, now: float) -> VersionsSeen:
        versions = tuple(
            SeenVersion(service, version, max(0, int((now - at) * 1000)))
            for (service, version), at in self._history.entries(now).items()
            if now - at < MIX_S
        )
        return VersionsSeen(self._since_ms(now), versions)

    def _since_ms(self, now: float) -> int:
        # Versions that were last listed earlier are not told to peers.
        return int(1000 * min(MIX_S, max(0.0, now - self._history.since)))

    def receive_query(self, _vm: Vm, msg: StreamQuery, _as_of: float) -> None:
        """Report a stream to all peers if this entry has begun it."""
        with self._lock:
            begun = self._streams.get(msg.request)
            if begun is None or begun.instance is None:
                return
            self._unsent[msg.request] = begun
            if not self._is_confirmed(begun):
                self._request_check()
        self._on_change()

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
        """Apply the versions that a peer knows.

        They extend no history: the peer's list may have been out of date by then.
        """
        with self._lock:
            self._record_versions(msg, as_of)


def _decode(obj: StoredObject) -> UpstreamRecord | None:
    """Return the upstream of a record that is not listed any more, if readable."""
    try:
        return decode_upstream(obj.name, obj.spec)
    except InvalidUpstreamRecord:
        # The list logs records that it can't read.
        return None
