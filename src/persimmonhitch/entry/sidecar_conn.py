"""Connection of an entry to one sidecar: link, load and attempts in flight."""

import math
import threading
import time
from functools import singledispatchmethod
from typing import Any, Final, Protocol

from returns.result import Success

from ..catalog.messages import ConfigNotice
from ..decide.routing import UpstreamLoad
from ..ids import ConfigVersion, Incarnation, Model, RequestId
from ..observe.logs import log
from ..verdict import Verdict
from ..wire.link import Link, open_link
from ..wire.messages import (
    Cancel,
    Chunk,
    End,
    Fail,
    FlowControl,
    Head,
    Hello,
    LoadReport,
    Resume,
    Submit,
    Tombstone,
    TombstoneReply,
    Welcome,
)
from .exchange import Exchange
from .sidecar_info import SidecarInfo

TOMBSTONE_TIMEOUT_S: Final = 0.5
"""Time to wait for ``TombstoneReply``, which takes one round trip."""


class VersionFeed(Protocol):
    """Interface of the configuration feed."""

    @property
    def version(self) -> ConfigVersion:
        """Return the newest configuration version of this entry."""

    def pull_if_newer(self, version: ConfigVersion) -> None:
        """Fetch the configuration if ``version`` is newer than the current version."""


class SidecarConn:
    """Link to one sidecar, with the attempts in flight on the link."""

    def __init__(self, info: SidecarInfo, secret: bytes, versions: VersionFeed) -> None:
        self.info = info
        self._versions = versions
        self.link: Link | None = None
        self.incarnation: Incarnation | None = None
        self.models: frozenset[Model] = info.models
        self.report: LoadReport | None = None
        self.reported_at = 0.0
        self._first_seen: dict[Model, float] = {}
        self.dropped_frames = 0
        self._draining = False
        self._secret = secret
        self._exchanges: dict[RequestId, tuple[Exchange, float]] = {}
        self.load = UpstreamLoad()
        self.closed = threading.Event()
        self._tombstones: dict[RequestId, threading.Event] = {}
        self._tombstone_verdicts: dict[RequestId, Verdict] = {}
        self._lock = threading.Lock()
        self.welcomed = threading.Event()

    @property
    def usable(self) -> bool:
        """Return whether the sidecar may receive new requests."""
        return self.welcomed.is_set() and not self._draining and not self.info.draining

    def connect(self, hello: Hello) -> bool:
        """Open the link; return whether that succeeded."""
        info = self.info
        result = open_link(info.host, info.port, self._secret, self, hello)
        if not isinstance(result, Success):
            return False
        link = result.unwrap()
        with self._lock:
            # The link may already have ended, and on_close run. Storing the dead
            # link then would prevent reconnection for good.
            if not link.ended.is_set():
                self.link = link
        return True

    def close(self) -> None:
        """Close the link for good; attempts no longer wait for a new link."""
        self.closed.set()
        if self.link is not None:
            self.link.close()

    def on_message(self, link: Link, msg: Any) -> None:
        """Dispatch a message from the sidecar."""
        self.receive(msg)

    def on_close(self, link: Link) -> None:
        """Signal the loss of the link to every attempt."""
        with self._lock:
            self.welcomed.clear()
            self.link = None
            exchanges = [exchange for exchange, _ in self._exchanges.values()]
        for exchange in exchanges:
            exchange.on_link_lost()

    @singledispatchmethod
    def receive(self, msg: Any) -> None:
        """Handle a message by its type; log a message of any other type."""
        log("message_unexpected", upstream=self.info.upstream, kind=type(msg).__name__)

    @receive.register
    def _(self, msg: Welcome) -> None:
        self.incarnation = msg.incarnation
        self._update_models(msg.models)
        self._draining = msg.draining
        self.welcomed.set()
        self._sync_version(msg.version)

    def _sync_version(self, theirs: ConfigVersion) -> None:
        """Announce a newer version to the sidecar, or pass its version to the feed.

        A sidecar refuses requests from entries with an outdated configuration, so it
        must learn of a new version also from an entry that sends no requests.
        """
        ours = self._versions.version
        if theirs < ours and self.link is not None:
            self.link.send(ConfigNotice(ours))
        self._versions.pull_if_newer(theirs)

    @receive.register
    def _(self, msg: LoadReport) -> None:
        self._sync_version(msg.version)
        self.report = msg
        with self._lock:
            self.load.on_report(msg)
        self.reported_at = time.monotonic()
        self._update_models(msg.models)
        self._draining = msg.draining

    @receive.register(Head)
    @receive.register(Chunk)
    @receive.register(End)
    @receive.register(Fail)
    def _(self, msg: Head | Chunk | End | Fail) -> None:
        with self._lock:
            found = self._exchanges.get(msg.request)
        if found is None or not found[0].put(msg):
            self.dropped_frames += 1

    @receive.register
    def _(self, msg: TombstoneReply) -> None:
        with self._lock:
            waiter = self._tombstones.get(msg.request)
            self._tombstone_verdicts[msg.request] = msg.verdict
        if waiter is not None:
            waiter.set()

    def _update_models(self, models: tuple[Model, ...]) -> None:
        now = time.monotonic()
        self.models = frozenset(models)
        # A copy that is still served after a link loss keeps its age: its caches are
        # warm, and treating it as new would send its requests to busier copies.
        self._first_seen = {model: self._first_seen.get(model, now) for model in models}

    def age_of(self, model: Model, now: float) -> float:
        """Return for how long a model has been served; infinity if it is unknown."""
        return now - self._first_seen[model] if model in self._first_seen else math.inf

    def submit(self, msg: Submit) -> Exchange | None:
        """Send an attempt; return None if there is no link and nothing was sent."""
        exchange = Exchange(msg.request, msg.attempt)
        exchange.on_flow = lambda resume: self._send_flow(exchange, resume)
        with self._lock:
            self._exchanges[msg.request] = (exchange, msg.cost)
            self.load.on_send(msg.cost)
        if self.link is None:
            self.forget(msg.request)
            return None
        if not self.link.send(msg):
            exchange.on_link_lost()
        return exchange

    def resume(self, exchange: Exchange, incarnation: Incarnation) -> bool:
        """Request the rest of an answer over the current link."""
        msg = Resume(
            exchange.request,
            exchange.attempt,
            incarnation,
            exchange.head_received,
            exchange.next_chunk,
        )
        return self.link is not None and self.link.send(msg)

    def _send_flow(self, exchange: Exchange, resume: bool) -> None:
        if self.link is not None:
            self.link.send(FlowControl(exchange.request, exchange.attempt, resume))

    def cancel(self, exchange: Exchange) -> None:
        """Cancel the attempt at the sidecar."""
        if self.link is not None:
            self.link.send(Cancel(exchange.request, exchange.attempt))

    def tombstone(self, request: RequestId, incarnation: Incarnation) -> Verdict:
        """Block any future run of a request at the sidecar; return its verdict."""
        waiter = threading.Event()
        with self._lock:
            self._tombstones[request] = waiter
        sent = self.link is not None and self.link.send(Tombstone(request, incarnation))
        if sent:
            waiter.wait(TOMBSTONE_TIMEOUT_S)
        with self._lock:
            del self._tombstones[request]
            return self._tombstone_verdicts.pop(request, Verdict.MAY_HAVE_RUN)

    def forget(self, request: RequestId) -> None:
        """Drop the exchange of a request; later frames are counted as dropped."""
        with self._lock:
            pending = self._exchanges.pop(request, None)
            if pending is not None:
                self.load.on_done(pending[1])
