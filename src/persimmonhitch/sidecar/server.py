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
from .inventory_throttle import InventoryThrottle
from .load import LoadMeter
from .settings import SidecarSettings

REPORT_INTERVAL_S: Final = 1.0
"""Time between two load reports on each link."""


class SidecarServer:
    """Serves all links of this sidecar."""

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
        self._planners: dict[Link, InventoryThrottle] = {}
        self._reported = ReportedVersions()
        self._revoked = RevokedShares()
        self._server = LinkServer(cfg.host, cfg.port, cfg.secret.encode(), self._accept)
        self._reporter = threading.Thread(
            target=self._report_loop, name="report", daemon=True
        )

    @property
    def models(self) -> tuple[Model, ...]:
        """Return the models that serve requests."""
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
        """Close the listener and all links."""
        self._stopping.set()
        self._server.stop()
        for link in self._all_links():
            link.close()

    def _accept(self, link: Link) -> "SidecarServer":
        return self

    def on_message(self, link: Link, msg: Any) -> None:
        """Handle a message of a peer."""
        self.handle(msg, link)

    def on_close(self, link: Link) -> None:
        """Keep the answers of the link for a resume."""
        with self._lock:
            self._links.discard(link)
            self._planners.pop(link, None)
        self._dispatcher.link_lost.defer(link)

    @singledispatchmethod
    def handle(self, msg: Any, link: Link) -> None:
        """Handle a message by its type; an unexpected one closes the link."""
        log("message_unexpected", peer=link.peer, kind=type(msg).__name__)
        link.close()

    @handle.register
    def _(self, msg: Hello, link: Link) -> None:
        if msg.protocol != PROTOCOL:
            log("protocol_mismatch", peer=link.peer, theirs=msg.protocol, ours=PROTOCOL)
            link.close()
            return
        self._record_version(msg.version)
        link.send(self._welcome())
        with self._lock:
            if msg.role is Role.PLANNER:
                self._planners[link] = InventoryThrottle()
            else:
                self._links.add(link)

    @handle.register
    def _(self, msg: Submit, link: Link) -> None:
        self._record_version(msg.version)
        with self._lock:
            refusal = self._reported.refusal(msg.version, time.monotonic())
            refusal = refusal or self._revoked.refusal(
                msg.account, msg.lender, msg.share_generation
            )
        if refusal is not None:
            link.send(Fail.from_failure(msg.request, msg.attempt, refusal))
            return
        if self._copies is None:
            self._dispatcher.submit.defer(msg, link)
            return
        with self._copies.using(msg) as failure:
            if failure is None:
                self._dispatcher.submit.defer(msg, link)
            else:
                link.send(Fail.from_failure(msg.request, msg.attempt, failure))

    @handle.register
    def _(self, msg: Order, link: Link) -> None:
        if self._copies is None or link not in self._planners:
            log("order_unexpected", peer=link.peer)
            link.close()
            return
        self._copies.order(msg, link)

    @handle.register
    def _(self, msg: ConfigNotice, link: Link) -> None:
        self._record_version(msg.version)

    @handle.register
    def _(self, msg: ShareRevoked, link: Link) -> None:
        with self._lock:
            self._revoked.add(msg)

    @handle.register
    def _(self, msg: Cancel, link: Link) -> None:
        self._dispatcher.cancel.defer(msg)

    @handle.register
    def _(self, msg: FlowControl, link: Link) -> None:
        self._dispatcher.flow.defer(msg)

    @handle.register
    def _(self, msg: Tombstone, link: Link) -> None:
        self._dispatcher.add_tombstone.defer(msg, link)

    @handle.register
    def _(self, msg: Resume, link: Link) -> None:
        self._dispatcher.resume.defer(msg, link)

    def _record_version(self, version: ConfigVersion) -> None:
        with self._lock:
            self._reported.record(version, time.monotonic())

    @property
    def version(self) -> ConfigVersion:
        """Return the newest configuration version that an entry has reported."""
        return self._reported.newest

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
        self._send_inventory()

    def _send_inventory(self) -> None:
        if self._copies is None:
            return
        now = time.monotonic()
        msg = self._copies.inventory(self._incarnation, self.draining)
        with self._lock:
            due = [
                link
                for link, throttle in self._planners.items()
                if throttle.should_send(msg, now)
            ]
        for link in due:
            link.send(msg)

    def _report_loop(self) -> None:
        while not self._stopping.wait(REPORT_INTERVAL_S):
            self.report()

    def _all_links(self) -> list[Link]:
        with self._lock:
            return [*self._links, *self._planners]
