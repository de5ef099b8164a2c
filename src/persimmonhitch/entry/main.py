"""HTTP front process behind the load balancer.

Usage:
  persimmonhitch-entry --settings=FILE [--check]
  persimmonhitch-entry --help

Options:
  --settings=FILE  Settings in INI.
  --check          Check the settings and exit: 0 if good, 2 if not.
"""

import random
import time
from typing import Final

from docopt import docopt

from ..catalog.model import Catalog
from ..catalog.sync import CatalogSync
from ..decide.admission import connections_refusal
from ..ids import Region, Vm, Zone, new_incarnation
from ..kernel import Lifecycle
from ..kernel.service import run_service
from ..limits.limiter import Limiter
from ..limits.messages import ShareRevoked
from ..limits.retry_budgets import RetryBudgets
from ..limits.share_manager import ShareManager
from ..observe.logs import announce, log
from ..observe.metrics import Metrics
from ..observe.traces import Traces
from ..platform.store_client import StoreClient
from ..store.objects import Kind, Spec
from ..store.registration import Registration
from ..store.watcher import CONTACT_MARGIN_S, WATCH_DURATION_S, View, Watcher
from ..verdict import Failure
from ..web import WebServer
from ..wire.messages import PROTOCOL, Hello, Role
from .answers import unreadable_answer
from .app import EntryApp
from .forward import Forwarder
from .gateway import Gateway, Timeouts
from .idempotency import IdempotencyRecords
from .peer_sidecars import PeerSidecars
from .peers import PeerMesh, listed_entries
from .pool import SidecarPool
from .router import Router
from .settings import EntrySettings

LIST_TTL_S: Final = WATCH_DURATION_S + CONTACT_MARGIN_S
"""Seconds since the last reply of the store for which the list of entries counts as up
to date."""


class Entry:
    """The entry process with all its components."""

    def __init__(self, cfg: EntrySettings) -> None:
        self.cfg = cfg
        self.incarnation = new_incarnation()
        self.metrics = Metrics("entry", cfg.vm)
        store = StoreClient(cfg.store, cfg.store_timeout)
        secret = cfg.secret.encode()
        self.mesh = PeerMesh(
            Vm(cfg.vm), cfg.link_host, cfg.link_port, secret, self.hello, cfg.seeds
        )
        self.limiter = Limiter(Vm(cfg.vm), self.mesh)
        self.shares = ShareManager(
            store,
            self.limiter,
            lambda: (peer.vm for peer in self.mesh.peers()),
            self._broadcast_revoked,
        )
        self.mesh.on(ShareRevoked, lambda _vm, msg: self.pool.broadcast(msg))
        rng = random.Random()
        self.sync = CatalogSync(store, self.mesh, Vm(cfg.vm), Region(cfg.region), rng)
        self.sync.feed.add_listener(self._on_catalog)
        self.pool = SidecarPool(secret, self.hello, self.sync)
        self.sidecars = Watcher(store, Kind.SIDECAR, self.pool.update)
        self.vms = Watcher(store, Kind.VM, self.pool.update_vms)
        self.entries = Watcher(store, Kind.ENTRY, self._on_entries)
        self.fallback = PeerSidecars(
            self.mesh,
            lambda: self.sidecars.view,
            self.sidecars.ready,
            self.pool.update,
        )
        self.retries = RetryBudgets(cfg.retry_bound, self._may_use_slack, LIST_TTL_S)
        self.records = IdempotencyRecords(store)
        self.registration = Registration(store, Kind.ENTRY, cfg.vm)
        self.app = self._build_app()
        self.server = WebServer(
            self.app, cfg.host, cfg.port, cfg.threads, unreadable_answer
        )

    @classmethod
    def from_config(cls, cfg: EntrySettings) -> "Entry":
        """Build the process from its settings."""
        return cls(cfg)

    def _build_app(self) -> EntryApp:
        cfg = self.cfg
        router = Router(self.pool, Zone(cfg.zone), random.Random())
        forwarder = Forwarder(
            router, self.pool.wait_for_change, self.metrics, self.retries
        )
        gateway = Gateway(
            Timeouts(cfg.default_timeout, cfg.most_timeout),
            self.sync.feed.active_catalog,
            self.limiter,
            forwarder,
            self.records,
            self.metrics,
            Traces(cfg.trace_ratio),
        )
        feed = self.sync.feed
        return EntryApp(
            gateway, self.metrics, self._ready, lambda: feed.version, self._refusal
        )

    def _refusal(self) -> Failure | None:
        return connections_refusal(self.server.busy_conns(), self.cfg.threads)

    def _ready(self) -> bool:
        # Without the sidecar list this entry would refuse every request, while
        # another entry could answer.
        listed = self.sidecars.ready.is_set() or self.fallback.ready.is_set()
        return listed and self.sync.feed.ready.is_set() and self.shares.ready()

    def _on_entries(self, view: View) -> None:
        infos = listed_entries(view)
        self.mesh.update_entries(infos)
        names = frozenset(info.vm for info in infos)
        if Vm(self.cfg.vm) in names:
            self.retries.update_fleet(Vm(self.cfg.vm), names - {Vm(self.cfg.vm)})

    def _may_use_slack(self) -> bool:
        """Return whether this entry knows all others and is counted as one of them."""
        age_s = time.monotonic() - self.entries.view.contact_at
        return age_s < LIST_TTL_S and not self.app.draining.is_set()

    def _broadcast_revoked(self, msg: ShareRevoked) -> None:
        self.pool.broadcast(msg)
        for peer in self.mesh.peers():
            self.mesh.send(peer.vm, msg)

    def _on_catalog(self, catalog: Catalog) -> None:
        self.limiter.update(catalog)
        self.shares.request_poll()
        self.metrics.config_version(catalog.version)

    def hello(self) -> Hello:
        """Return the handshake message, the first on each link."""
        return Hello(
            PROTOCOL,
            Role.ENTRY,
            Vm(self.cfg.vm),
            Zone(self.cfg.zone),
            self.incarnation,
            self.sync.version,
        )

    def start(self) -> None:
        """Start all components, then register this entry in the store."""
        for part in (self.sync, self.sidecars, self.vms, self.entries, self.pool):
            part.start()
        self.fallback.start()
        self.mesh.start()
        self.limiter.start()
        self.shares.start()
        self.records.start()
        self.server.start()
        self.registration.start(self._spec())
        log("started", port=self.server.port, link_port=self.mesh.port)
        announce(f"listening http={self.server.port} link={self.mesh.port}")

    def _spec(self) -> Spec:
        cfg = self.cfg
        return {
            "zone": cfg.zone,
            "region": cfg.region,
            "link_host": cfg.link_host,
            "link_port": self.mesh.port,
            "http_host": cfg.host,
            "http_port": self.server.port,
            "incarnation": self.incarnation,
        }

    def stop(self, lifecycle: Lifecycle) -> None:
        """Shut down without interrupting requests.

        The entry first reports that it is not ready and keeps the listener open for
        ``stop_notice`` seconds, because the load balancer sends new requests until
        it detects the change. Closing the listener at once would give callers
        refused connections.
        """
        self.app.draining.set()
        self.server.disable_keep_alive()
        lifecycle.forced.wait(self.cfg.stop_notice)
        self.server.stop_listening()
        aborted = self.server.drain(self.cfg.stop_limit, lifecycle.forced)
        if aborted:
            log("stop_cut", connections=aborted)
        self.shares.close()
        self.limiter.close()
        self.registration.remove()
        for part in (self.sync, self.sidecars, self.vms, self.entries, self.fallback):
            part.stop()
        self.records.stop()
        self.mesh.stop()
        self.pool.stop()
        self.server.close()
        self.metrics.close()


def main(argv: list[str] | None = None) -> int:
    """Run the entry until a signal ends it."""
    args = docopt(__doc__, argv)
    return run_service(
        "entry", EntrySettings, args, lambda cfg, _life: Entry.from_config(cfg)
    )
