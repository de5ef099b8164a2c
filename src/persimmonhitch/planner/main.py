"""Places models on upstreams; one planner at a time holds the lease.

Usage:
  persimmonhitch-planner --settings=FILE [--check]
  persimmonhitch-planner --help

Options:
  --settings=FILE  Settings in INI.
  --check          Check the settings and exit: 0 if good, 2 if not.
"""

import threading
import time
from typing import Any

import pykka
from docopt import docopt

from ..catalog.feed import CatalogFeed
from ..catalog.store_source import StoreSource
from ..decide.pacing import LoadPacer
from ..entry.sidecar_info import SidecarInfo
from ..ids import ConfigVersion, Vm, Zone, new_incarnation
from ..kernel import Lifecycle
from ..kernel.service import run_service
from ..observe.logs import announce, log
from ..platform.store_client import StoreClient
from ..store.objects import Kind
from ..store.watcher import View, Watcher
from ..wire.messages import PROTOCOL, Hello, Role, UpstreamKind
from .lease import RENEWALS_PER_LEASE, LeaseKeeper
from .links import Dialer
from .planning import CatalogRead, PlanningActor, PlanningConfig, SidecarsListed, Tick
from .round import RoundPlanner
from .settings import PlannerSettings


class PlannerProcess:
    """Components of the planner process."""

    def __init__(self, cfg: PlannerSettings) -> None:
        self.cfg = cfg
        self._stopping = threading.Event()
        self._incarnation = new_incarnation()
        self._store = StoreClient(cfg.store, cfg.store_timeout)
        self._lease = LeaseKeeper(
            self._store, cfg.lease, Vm(cfg.vm), self._incarnation, cfg.lease_duration
        )
        pacer = LoadPacer(
            cfg.load_rate, cfg.load_at_once, cfg.adapters_at_once, cfg.period
        )
        self._actor: pykka.ActorRef[Any] = PlanningActor.start(
            self._lease,
            RoundPlanner(cfg.upstream_tokens, pacer),
            PlanningConfig(cfg.settle),
            self._incarnation,
            time.monotonic,
        )
        self._dialer = Dialer(cfg.secret.encode(), self._hello, self._send)
        self._watcher: Watcher | None = None
        feed = CatalogFeed()
        feed.add_listener(lambda catalog: self._send(CatalogRead(catalog)))
        # Only the leader watches the catalog, so a change sends one event, not one to
        # each standby planner.
        self._source = StoreSource(
            self._store, feed, lambda: self._lease.epoch() is not None
        )

    @classmethod
    def from_config(cls, cfg: PlannerSettings) -> "PlannerProcess":
        """Create the process from its settings."""
        return cls(cfg)

    def start(self) -> None:
        """Start to compete for the lease and to plan while it is held."""
        self._send(self._dialer)
        self._repeat(self.cfg.lease_duration / RENEWALS_PER_LEASE, self._step_lease)
        self._repeat(self.cfg.period, lambda: self._send(Tick()))
        self._source.start()
        log("started", lease=self.cfg.lease, incarnation=self._incarnation)
        announce("started")

    def stop(self, _lifecycle: Lifecycle) -> None:
        """Stop giving orders, then release the lease to the next leader."""
        self._stopping.set()
        self._source.stop()
        pykka.ActorRegistry.stop_all()
        self._dialer.stop()
        self._lease.release()

    def _repeat(self, interval_s: float, task: Any) -> None:
        def run() -> None:
            while not self._stopping.is_set():
                task()
                self._stopping.wait(interval_s)

        threading.Thread(target=run, daemon=True).start()

    def _step_lease(self) -> None:
        self._lease.step()
        active = (self._lease.epoch() or self._lease.caretaker_epoch()) is not None
        if active and self._watcher is None:
            self._watcher = Watcher(self._store, Kind.SIDECAR, self._on_sidecars)
            self._watcher.start()
        if not active and self._watcher is not None:
            self._watcher.stop()
            self._watcher = None

    def _on_sidecars(self, view: View) -> None:
        sidecars = (SidecarInfo.from_object(obj) for obj in view.objects.values())
        engines = (
            info
            for info in sidecars
            if info is not None and info.kind is UpstreamKind.ENGINE
        )
        regions = frozenset(self.cfg.regions)
        selected = (info for info in engines if not regions or info.region in regions)
        self._send(SidecarsListed({info.upstream: info for info in selected}))

    def _hello(self) -> Hello:
        cfg = self.cfg
        version = ConfigVersion(0)
        vm, zone = Vm(cfg.vm), Zone(cfg.zone)
        return Hello(PROTOCOL, Role.PLANNER, vm, zone, self._incarnation, version)

    def _send(self, message: Any) -> None:
        try:
            self._actor.tell(message)
        except pykka.ActorDeadError:
            log("planning_actor_stopped", dropped=type(message).__name__)


def main(argv: list[str] | None = None) -> int:
    """Run the planner until a signal stops it."""
    args = docopt(__doc__, argv)
    return run_service(
        "planner",
        PlannerSettings,
        args,
        lambda cfg, _lifecycle: PlannerProcess.from_config(cfg),
    )
