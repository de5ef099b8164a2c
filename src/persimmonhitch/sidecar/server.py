"""Links of entries and the planner: their messages and the reports to them."""

import threading
import time
from functools import singledispatchmethod
from typing import Any, Final

from ..catalog.messages import ConfigNote
from ..catalog.staleness import HeardVersions
from ..ids import ConfigVersion, Model, Upstream, Vm, Zone
from ..observe.logs import log
from ..wire.link import Link, LinkServer
from ..wire.messages import (
    PROTOCOL,
    Bury,
    Cancel,
    Fail,
    Hello,
    Report,
    Resume,
    Submit,
    UpstreamKind,
    Welcome,
)
from .dispatch import Dispatcher
from .settings import SidecarSettings

REPORT_EVERY: Final = 1.0
"""Seconds between two load reports on each link."""


class SidecarServer:
    """Serves every link of this sidecar."""

    def __init__(
        self, cfg: SidecarSettings, dispatcher: Dispatcher, models: tuple[Model, ...]
    ) -> None:
        self._cfg = cfg
        self._dispatcher = dispatcher
        self._links: set[Link] = set()
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.models = models
        self._heard = HeardVersions()
        self._server = LinkServer(cfg.host, cfg.port, cfg.secret.encode(), self._accept)
        self._reporter = threading.Thread(
            target=self._report_loop, name="report", daemon=True
        )

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
        self._dispatcher.link_lost(link)

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
            self._links.add(link)

    @take.register
    def _(self, msg: Submit, link: Link) -> None:
        self._note_version(msg.version)
        with self._lock:
            refusal = self._heard.refusal(msg.version, time.monotonic())
        if refusal is not None:
            link.send(Fail.from_failure(msg.request, msg.attempt, refusal))
            return
        self._dispatcher.submit(msg, link)

    @take.register
    def _(self, msg: ConfigNote, link: Link) -> None:
        self._note_version(msg.version)

    @take.register
    def _(self, msg: Cancel, link: Link) -> None:
        self._dispatcher.cancel(msg)

    @take.register
    def _(self, msg: Bury, link: Link) -> None:
        self._dispatcher.bury(msg, link)

    @take.register
    def _(self, msg: Resume, link: Link) -> None:
        self._dispatcher.resume(msg, link)

    def _note_version(self, version: ConfigVersion) -> None:
        with self._lock:
            self._heard.note(version, time.monotonic())

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
            incarnation=self._dispatcher.incarnation,
            version=self.version,
            models=self.models,
            draining=self._dispatcher.draining,
        )

    def report(self) -> None:
        """Send a load report on every link now."""
        running, limit, queued, tokens = self._dispatcher.load()
        meter = self._dispatcher.meter
        msg = Report(
            upstream=Upstream(self._cfg.upstream),
            incarnation=self._dispatcher.incarnation,
            models=self.models,
            draining=self._dispatcher.draining,
            running=running,
            limit=limit,
            queued=queued,
            queued_tokens=tokens,
            token_rate=meter.token_rate(),
            first_token=meter.first_token_p95,
            token_gap=meter.gap_p95,
            version=self.version,
        )
        for link in self._all_links():
            link.send(msg)

    def _report_loop(self) -> None:
        while not self._stopping.wait(REPORT_EVERY):
            self.report()

    def _all_links(self) -> list[Link]:
        with self._lock:
            return list(self._links)
