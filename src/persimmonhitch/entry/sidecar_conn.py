"""One sidecar as an entry sees it: its link, its load, what is in flight there."""

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
"""Seconds to wait for the answer to ``Tombstone``; it takes one round trip."""


class VersionFeed(Protocol):
    """What the configuration's source is asked for on reports."""

    @property
    def version(self) -> ConfigVersion:
        """Return the newest version known here."""

    def pull_if_newer(self, version: ConfigVersion) -> None:
        """Say that a sidecar knows a version."""


class SidecarConn:
    """The link to one sidecar and all attempts on it."""

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
        """Return whether new work may go there."""
        return self.welcomed.is_set() and not self._draining and not self.info.draining

    def connect(self, hello: Hello) -> bool:
        """Open the link; return whether it is open."""
        info = self.info
        result = open_link(info.host, info.port, self._secret, self, hello)
        if not isinstance(result, Success):
            return False
        link = result.unwrap()
        with self._lock:
            # A link may end before it is entered here; its end would then have
            # been told already, and a dead link would never be opened again.
            if not link.ended.is_set():
                self.link = link
        return True

    def close(self) -> None:
        """End the link; the sidecar is no longer in reach."""
        self.closed.set()
        if self.link is not None:
            self.link.close()

    def on_message(self, link: Link, msg: Any) -> None:
        """Take one message of the sidecar."""
        self.receive(msg)

    def on_close(self, link: Link) -> None:
        """Tell every attempt that its link is gone."""
        with self._lock:
            self.welcomed.clear()
            self.link = None
            exchanges = [exchange for exchange, _ in self._exchanges.values()]
        for exchange in exchanges:
            exchange.on_link_lost()

    @singledispatchmethod
    def receive(self, msg: Any) -> None:
        """Take a message by its kind; one that has no place here is logged."""
        log("message_unexpected", upstream=self.info.upstream, kind=type(msg).__name__)

    @receive.register
    def _(self, msg: Welcome) -> None:
        self.incarnation = msg.incarnation
        self._update_models(msg.models)
        self._draining = msg.draining
        self.welcomed.set()
        self._sync_version(msg.version)

    def _sync_version(self, theirs: ConfigVersion) -> None:
        """Tell the sidecar of a newer version, or learn from it of one.

        An entry with no requests would otherwise keep the news from the sidecar,
        which then could not refuse the requests of one that lags.
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
        # A copy that stays through a lost link keeps its age: its caches are warm,
        # and taking it for new would send its callers to busier copies.
        self._first_seen = {model: self._first_seen.get(model, now) for model in models}

    def age_of(self, model: Model, now: float) -> float:
        """Return for how long this entry has seen a model served here."""
        return now - self._first_seen[model] if model in self._first_seen else math.inf

    def submit(self, msg: Submit) -> Exchange | None:
        """Send an attempt; None when the link is gone and nothing was sent."""
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
        """Ask for the rest of an answer over the present link."""
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
        """Say that nobody waits for the attempt any more."""
        if self.link is not None:
            self.link.send(Cancel(exchange.request, exchange.attempt))

    def tombstone(self, request: RequestId, incarnation: Incarnation) -> Verdict:
        """Ask that a request never run from now on; return what is true of it."""
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
        """Take no more frames for a request."""
        with self._lock:
            pending = self._exchanges.pop(request, None)
            if pending is not None:
                self.load.on_done(pending[1])
