"""Links of entries and the planner: their messages and the reports to them."""

import threading
import time
from functools import singledispatchmethod
from typing import Any, Final

from ..catalog.messages import ConfigNotice
from ..catalog.staleness import ReportedVersions
from ..ids import ConfigVersion, Incarnation, Model, Upstream, Vm, Zone
from ..limits.messages import ShareRevoked
from ..limits.revoked import RevokedShares
from ..observe.logs import log
from ..wire.link import Link, LinkServer
from ..wire.messages import (
    PROTOCOL,
    Cancel,
    Fail,
    FlowControl,
    Hello,
    LoadReport,
    Order,
    Resume,
    Role,
    Submit,
    Tombstone,
    UpstreamKind,
    Welcome,
)
from .copies import EngineCopies
from .dispatch import DispatcherProxy
from .holdings import HoldingsNews
from .load import LoadMeter
from .settings import SidecarSettings

REPORT_EVERY: Final = 1.0
"""Seconds between two load reports on each link."""


class SidecarServer:
    """Serves every link of this sidecar."""

    def __init__(
        self,
        cfg: SidecarSettings,
        incarnation: Incarnation,
        dispatcher: DispatcherProxy,
        meter: LoadMeter,
        copies: EngineCopies | None = None,
    ) -> None:
        self._cfg = cfg
        self._incarnation = incarnation
        self._meter = meter
        self.draining = False
        self._dispatcher = dispatcher
        self._links: set[Link] = set()
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._copies = copies
        self._planners: dict[Link, HoldingsNews] = {}
        self._heard = ReportedVersions()
        self._revoked = RevokedShares()
        self._server = LinkServer(cfg.host, cfg.port, cfg.secret.encode(), self._accept)
        self._reporter = threading.Thread(
            target=self._report_loop, name="report", daemon=True
        )

    @property
    def models(self) -> tuple[Model, ...]:
        """Return the models that may be asked for here."""
        return () if self._copies is None else self._copies.models()

    @property
    def port(self) -> int:
        """Return the TCP port for links."""
        return self._server.port

    def start(self) -> None:
        """Accept links and send reports."""
        self._server.start()
        self._reporter.start()

    def stop(self) -> None:
        """End the listener and every link."""
        self._stopping.set()
        self._server.stop()
        for link in self._all_links():
            link.close()

    def _accept(self, link: Link) -> "SidecarServer":
        return self

    def on_message(self, link: Link, msg: Any) -> None:
        """Take one message of a peer."""
        self.take(msg, link)

    def on_close(self, link: Link) -> None:
        """Hold the link's answers for a resume."""
        with self._lock:
            self._links.discard(link)
            self._planners.pop(link, None)
        self._dispatcher.link_lost.defer(link)

    @singledispatchmethod
    def take(self, msg: Any, link: Link) -> None:
        """Take a message by its kind; one that has no place here ends the link."""
        log("message_unexpected", peer=link.peer, kind=type(msg).__name__)
        link.close()

    @take.register
    def _(self, msg: Hello, link: Link) -> None:
        if msg.protocol != PROTOCOL:
            log("protocol_mismatch", peer=link.peer, theirs=msg.protocol, ours=PROTOCOL)
            link.close()
            return
        self._note_version(msg.version)
        link.send(self._welcome())
        with self._lock:
            if msg.role is Role.PLANNER:
                self._planners[link] = HoldingsNews()
            else:
                self._links.add(link)

    @take.register
    def _(self, msg: Submit, link: Link) -> None:
        self._note_version(msg.version)
        with self._lock:
            refusal = self._heard.refusal(msg.version, time.monotonic())
            refusal = refusal or self._revoked.refusal(
                msg.account, msg.lender, msg.share_generation
            )
        if refusal is not None:
            link.send(Fail.from_failure(msg.request, msg.attempt, refusal))
            return
        if self._copies is None:
            self._dispatcher.submit.defer(msg, link)
            return
        with self._copies.using(msg) as missing:
            if missing is None:
                self._dispatcher.submit.defer(msg, link)
            else:
                link.send(Fail.from_failure(msg.request, msg.attempt, missing))

    @take.register
    def _(self, msg: Order, link: Link) -> None:
        if self._copies is None or link not in self._planners:
            log("order_unexpected", peer=link.peer)
            link.close()
            return
        self._copies.order(msg, link)

    @take.register
    def _(self, msg: ConfigNotice, link: Link) -> None:
        self._note_version(msg.version)

    @take.register
    def _(self, msg: ShareRevoked, link: Link) -> None:
        with self._lock:
            self._revoked.add(msg)

    @take.register
    def _(self, msg: Cancel, link: Link) -> None:
        self._dispatcher.cancel.defer(msg)

    @take.register
    def _(self, msg: FlowControl, link: Link) -> None:
        self._dispatcher.flow.defer(msg)

    @take.register
    def _(self, msg: Tombstone, link: Link) -> None:
        self._dispatcher.bury.defer(msg, link)

    @take.register
    def _(self, msg: Resume, link: Link) -> None:
        self._dispatcher.resume.defer(msg, link)

    def _note_version(self, version: ConfigVersion) -> None:
        with self._lock:
            self._heard.record(version, time.monotonic())

    @property
    def version(self) -> ConfigVersion:
        """Return the newest version that an entry has told of."""
        return self._heard.newest

    def _welcome(self) -> Welcome:
        cfg = self._cfg
        return Welcome(
            protocol=PROTOCOL,
            upstream=Upstream(cfg.upstream),
            kind=UpstreamKind(cfg.kind),
            vm=Vm(cfg.vm),
            zone=Zone(cfg.zone),
            incarnation=self._incarnation,
            version=self.version,
            models=self.models,
            draining=self.draining,
        )

    def report(self) -> None:
        """Send a load report on every link now."""
        load, meter = self._dispatcher.load().get(), self._meter
        msg = LoadReport(
            upstream=Upstream(self._cfg.upstream),
            incarnation=self._incarnation,
            models=self.models,
            draining=self.draining,
            running=load.running,
            concurrency_limit=load.limit,
            queued=load.queued,
            queued_tokens=load.queued_tokens,
            token_rate=meter.service_rate,
            first_token_s=meter.first_token_p95,
            token_gap_s=meter.gap_p95,
            version=self.version,
        )
        with self._lock:
            links = list(self._links)
        for link in links:
            link.send(msg)
        self._tell_planners()

    def _tell_planners(self) -> None:
        if self._copies is None:
            return
        now = time.monotonic()
        msg = self._copies.holdings(self._incarnation, self.draining)
        with self._lock:
            due = [link for link, news in self._planners.items() if news.due(msg, now)]
        for link in due:
            link.send(msg)

    def _report_loop(self) -> None:
        while not self._stopping.wait(REPORT_EVERY):
            self.report()

    def _all_links(self) -> list[Link]:
        with self._lock:
            return [*self._links, *self._planners]
