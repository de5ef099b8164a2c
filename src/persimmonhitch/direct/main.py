"""The entry: the HTTP front process, which calls upstreams directly.

Usage:
  persimmonhitch-direct --settings=FILE [--check]
  persimmonhitch-direct --help

Options:
  --settings=FILE  Settings in INI.
  --check          Check the settings and exit: 0 if good, 2 if not.
"""

import math
import threading
import time
from dataclasses import replace
from functools import singledispatchmethod
from pathlib import Path
from typing import Final

from docopt import docopt
from returns.result import Success

from ..allocator import limit_memory
from ..decide.admission import connections_refusal
from ..decide.body_memory import max_body_memory
from ..decide.cold_start import may_fall_back
from ..decide.conn_admission import MAX_START_S, ConnAdmission, max_requests
from ..decide.evacuation import ZoneEvacuations
from ..decide.held_answers import max_held_bytes
from ..decide.overlay import Member, Overlay
from ..decide.retry_share import LEARN_S
from ..decide.slow_readers import max_unread_bytes
from ..decide.stop_admission import StopAdmission
from ..decide.stream_versions import check_interval
from ..decide.update_rate import update_interval
from ..entry.peers import PeerMesh, listed_entries
from ..fleet.config import EMPTY_CONFIG, FleetConfig
from ..fleet.routes import RouteTable
from ..fleet.upstream import UpstreamRecord
from ..ids import Incarnation, Model, Upstream, Vm, Zone, new_incarnation
from ..kernel import Lifecycle
from ..kernel.ports import wait_for_ports
from ..kernel.service import run_service
from ..kernel.threads import failure_counts
from ..limits.retry_budgets import RetryBudgets
from ..observe.logs import log
from ..observe.metrics import Metrics
from ..planner.lease import LeaseKeeper
from ..platform.config_format import decode_config
from ..platform.headers import parse_reply
from ..platform.names import CONFIG_NAME
from ..platform.store_client import StoreClient
from ..settings import load
from ..store.era import Era, EraState
from ..store.objects import Kind
from ..store.pushes import StorePush, WatchRelay, may_follow
from ..store.registration import Registration
from ..store.watcher import View
from ..verdict import Failure
from ..web import WebServer
from ..wire.messages import PROTOCOL, Hello, Role
from .abort import Watchdog
from .admit import ActiveConfig
from .answer_memory import AnswerMemory
from .app import CallerApp, StatusApp
from .attempt_failures import STOPPING
from .blocked_requests import BlockedRequests
from .broadcast import Broadcast
from .caller_load import CallerLoad
from .cold_upstreams import ColdBound
from .connection_pool import ConnectionPool
from .crash_checks import CrashChecks
from .dispatcher import Dispatcher
from .exchange import Exchange
from .gateway import Gateway
from .history_requests import HistoryRequests
from .leader import Leader
from .leader_election import LeaderElection
from .leaving import LeavingUpstreams
from .list_checks import ListChecks
from .peer_messages import (
    BroadcastBatch,
    CrashUpdate,
    DrainUpdate,
    EntryUpdate,
    EraUpdate,
    HistoryReply,
    HistoryRequest,
    InventoryUpdate,
    LeaseReleased,
    LeaseRenewed,
    LeavingUpdate,
    LimitGrant,
    LimitRequest,
    LimitUpdate,
    LoadRequest,
    LostPartsUpdate,
    StoreProbe,
    StoreProbeReply,
    StreamQuery,
    StreamsBegan,
    VersionsSeen,
)
from .poison import PoisonGuard
from .quota import Quota
from .resumptions import Resumptions
from .settings import DirectSettings
from .stream_origins import StreamOrigins
from .update_delta import UpdateDelta
from .upstream_limits import UpstreamLimits
from .upstreams import UpstreamList
from .watchers import Listeners, make_watchers

TICK_INTERVAL_S: Final = 0.05
STATUS_THREADS: Final = 3
MAX_IDLE_STATUS_CONNS: Final = 64
"""Connections to each status address that send no request, or only a part of one."""
LEASE_NAME: Final = "orders"
LEASE_CALL_FRACTION: Final = 0.3
"""Timeout of a call to renew the lease, as a fraction of the lease's duration."""
MAX_FAILING_S: Final = 2.0
"""Seconds for which a list may not be applied before the entry is not ready."""
PORT_WAIT_MARGIN_S: Final = 2.0
"""Seconds beyond the stop limit for which a start waits for its ports."""
STOP_MARGIN_S: Final = 0.25
"""Seconds before the platform's stop limit at which remaining requests are aborted."""


class Entry:
    """The components of the process and their connections."""

    def __init__(self, cfg: DirectSettings) -> None:
        self.cfg = cfg
        self.vm = Vm(cfg.vm)
        self.incarnation = new_incarnation()
        self.max_requests = max_requests(
            cfg.threads, cfg.memory_mb, cfg.file_descriptors
        )
        self.metrics = Metrics("direct", cfg.vm)
        self.active_config = ActiveConfig(EMPTY_CONFIG, RouteTable(()))
        self.draining = threading.Event()
        self.refusing = threading.Event()
        """Set during a stop when too little time remains for new requests."""
        self._ends_at = math.inf
        """Monotonic time at which a stop aborts what still runs."""
        self._stopped = threading.Event()
        self._tick_due = threading.Event()
        self._published_models: dict[
            Upstream, tuple[frozenset[Model], frozenset[Model]]
        ] = {}
        """Resident and loading models of each engine in its last broadcast."""
        self.eras = EraState()
        store = StoreClient(cfg.store, cfg.store_timeout, self.eras)
        host, port = cfg.link[0]
        cores = cfg.cpu_share * cfg.cpu_cores
        self.overlay = Overlay(Member(self.vm, Zone(cfg.zone), cores))
        self.mesh = PeerMesh(
            self.vm,
            host,
            port,
            cfg.secret.encode(),
            self.hello,
            wanted=self._wanted_links,
        )
        self.broadcast = Broadcast(
            self.incarnation,
            self.overlay,
            self.mesh.send_frame,
            observe_age=self.metrics.update_age,
        )
        self.relay = WatchRelay(self.mesh.send_frame, observe_era=self.eras.observe)
        self.update_delta = UpdateDelta()
        self.peers: frozenset[Vm] = frozenset()
        self.leader_vm: Vm | None = None
        self._welcomed: dict[Vm, Incarnation] = {}
        """Process of each neighbour to which the history of versions was sent."""
        self._cold_count = 0
        self._blocked_count = 0
        """Values of the metrics of cold upstreams and of blocked causes."""
        self._thread_failures: dict[str, int] = {}
        self.quota = Quota(lambda: self.peers)
        self.retries = RetryBudgets(cfg.retry_bound, self._may_use_slack)
        self.watchdog = Watchdog()
        self.poison = PoisonGuard(
            self.vm,
            on_change=self._tick_due.set,
            is_isolated=self.quota.is_isolated,
            entry_count=lambda: len(self.peers) + 1,
        )
        self.limits = UpstreamLimits(
            self._request_limit,
            lambda: len(self.peers) + 1,
            on_change=self._tick_due.set,
            may_fall_back=self._may_fall_back,
            cold_bound=ColdBound(cfg.cold_overage, cfg.cold_slack),
        )
        self.evacuations = ZoneEvacuations(cfg.evacuation_ms / 1000)
        self.blocked_requests = BlockedRequests(store, self.poison, self.overlay.rank)
        self.connection_pool = ConnectionPool()
        self.crash_checks = CrashChecks(self.poison, self.connection_pool)
        self.dispatcher = Dispatcher(
            Zone(cfg.zone),
            self._request_load,
            self.poison,
            self.limits,
            evacuations=self.evacuations,
            controls_load=cfg.controls_load,
            uses_claims=bool(cfg.claims),
            metrics=self.metrics,
        )
        self.leaving = LeavingUpstreams(self._on_upstreams, self.broadcast.publish)
        self.list_checks = ListChecks(
            lambda: self.watchers[Kind.UPSTREAM].check(),
            lambda: check_interval(len(self.peers) + 1),
            self._on_list_checked,
        )
        self.origins = StreamOrigins(
            self._publish_origins,
            self.list_checks.request,
            lambda: self.watchers[Kind.UPSTREAM].confirmed_from,
            cfg.known_streams,
            self._tick_due.set,
            self._list_age_s,
        )
        self.histories = HistoryRequests(
            self.origins,
            self._publish_origins,
            self.mesh.send,
            lambda vm: vm in self.broadcast.routes.links(),
            self.list_checks.request,
        )
        self.leader = self._make_leader()
        self.election = self.leader.election
        self.upstreams = UpstreamList(
            self.leaving.update, is_leaving=self.leaving.is_leaving
        )
        listeners = Listeners(
            self._on_config,
            self.upstreams,
            self._on_entries,
            self.blocked_requests.update,
            self._on_evacuations if cfg.evacuation_ms else None,
            self.origins.observe,
        )
        self.watchers = make_watchers(
            store, listeners, self.relay.add_changes, cfg.stale_most_ms / 1000
        )
        self.relay.set_watchers(self.watchers)
        self.registration = Registration(store, Kind.ENTRY, cfg.vm)
        self.eras.on_change(self._on_era)
        self._register_handlers()
        self._make_servers()

    def _make_leader(self) -> Leader:
        cfg = self.cfg
        # A failed renewal must be detected well before the lease expires.
        lease_store = StoreClient(cfg.store, cfg.lease * LEASE_CALL_FRACTION, self.eras)
        lease = LeaseKeeper(
            lease_store,
            LEASE_NAME,
            self.vm,
            self.incarnation,
            cfg.lease,
            store_era=lambda: self.eras.current,
        )
        guard_s = cfg.order_guard_ms / 1000
        return Leader(
            self.vm,
            lambda last_order_times: LeaderElection(
                self.vm, lease, self, last_order_times, guard_s, rank=self.overlay.rank
            ),
            self._publish_inventory,
            self.dispatcher.prompt_read_rate,
            self.limits,
            send=self.mesh.send,
            evacuations=self.evacuations,
            on_leaving=self.leaving.reported,
            model_read_rates=self.dispatcher.model_read_rates,
            engine_speeds=self.dispatcher.engine_speeds,
            observe_load=self.metrics.placement_load,
        )

    @classmethod
    def from_config(cls, cfg: DirectSettings) -> "Entry":
        """Build the process from its settings."""
        return cls(cfg)

    def _register_handlers(self) -> None:
        self.mesh.on(BroadcastBatch, self.broadcast.receive)
        self.mesh.on(StorePush, lambda _vm, msg: self.relay.receive(msg))
        self.mesh.on(LoadRequest, self.leader.receive_load_request)
        self.mesh.on(InventoryUpdate, self._on_inventory_update)
        self.mesh.on(DrainUpdate, lambda _vm, msg: self.dispatcher.receive_drain(msg))
        self.mesh.on(StoreProbeReply, self.election.receive_probe_reply)
        self.mesh.on(LimitRequest, self._on_limit_request)
        self.mesh.on(
            VersionsSeen,
            lambda vm, msg: self.origins.receive_versions(vm, msg, time.monotonic()),
        )
        self.mesh.on(HistoryReply, self.histories.receive_reply)
        self.mesh.on(LimitGrant, lambda _vm, msg: self.limits.receive_grant(msg))
        on = self.broadcast.on
        on(EntryUpdate, self._on_entry_update)
        on(CrashUpdate, self.poison.receive)
        on(LostPartsUpdate, lambda _vm, msg, _at: self.poison.receive_parts(msg))
        on(LimitUpdate, self.limits.receive)
        on(LeavingUpdate, self.leaving.receive)
        on(StreamsBegan, self.origins.receive_streams)
        on(VersionsSeen, self.origins.receive_versions)
        on(StreamQuery, self.origins.receive_query)
        on(HistoryRequest, self.histories.receive_request)
        on(EraUpdate, self._on_era_update)
        on(InventoryUpdate, lambda vm, msg, _at: self._on_inventory_update(vm, msg))
        on(DrainUpdate, lambda _vm, msg, _at: self.dispatcher.receive_drain(msg))
        on(LoadRequest, lambda vm, msg, _at: self.leader.receive_load_request(vm, msg))
        on(StoreProbe, lambda vm, msg, _at: self.election.receive_probe(vm, msg))
        on(
            StoreProbeReply,
            lambda vm, msg, _at: self.election.receive_probe_reply(vm, msg),
        )
        on(LeaseReleased, lambda vm, msg, _at: self.election.receive_release(vm, msg))
        on(LeaseRenewed, lambda _vm, msg, at: self.election.receive_renewal(msg, at))

    def _make_servers(self) -> None:
        cfg = self.cfg
        gateway = Gateway(
            lambda: self.active_config,
            self.quota,
            self.dispatcher,
            Exchange(
                self.connection_pool,
                parse_reply,
                AnswerMemory(max_held_bytes(cfg.memory_mb)),
                self.metrics.answer_cut,
            ),
            self.watchdog,
            self.metrics,
            self.poison,
            self.limits,
            Resumptions(self.origins, self.metrics),
            self.retries,
            on_leaving=self.leaving.reported,
            stop_admission=StopAdmission(lambda: self._ends_at),
        )
        callers = CallerApp(gateway, self._refusal)
        status = StatusApp(self._is_ready, self.metrics)
        host, port = cfg.callers[0]
        self.server = WebServer(
            callers,
            host,
            port,
            self.max_requests,
            keep_streams=True,
            max_unread=max_unread_bytes(cfg.memory_mb),
            admission=ConnAdmission(
                self.max_requests, self._is_synced, time.monotonic() + MAX_START_S
            ),
            link_mbps=cfg.link_mbps,
            max_bodies=max_body_memory(cfg.memory_mb),
        )
        self.caller_load = CallerLoad(self.server.meter, self.metrics)
        self.status_servers = [
            WebServer(status, *address, STATUS_THREADS, max_idle=MAX_IDLE_STATUS_CONNS)
            for address in (cfg.ready[0], cfg.metrics[0])
        ]

    def hello(self) -> Hello:
        """Return the first message of each link."""
        cfg = self.cfg
        version = self.active_config.cfg.version
        return Hello(
            PROTOCOL, Role.ENTRY, self.vm, Zone(cfg.zone), self.incarnation, version
        )

    def _refusal(self) -> Failure | None:
        if self.refusing.is_set():
            return STOPPING
        return connections_refusal(len(self.watchdog), self.max_requests)

    def _is_synced(self) -> bool:
        """Return whether the configuration and all lists are known."""
        required = (Kind.FLEET, Kind.UPSTREAM, Kind.EVACUATION)
        watchers = [self.watchers[kind] for kind in required if kind in self.watchers]
        synced = all(watcher.ready.is_set() for watcher in watchers)
        return synced and self.active_config.cfg.version > 0

    def _is_ready(self) -> bool:
        """Return whether new connections are wanted.

        An entry that can't apply what the store lists would send requests to upstreams
        that have left.
        """
        is_failing = any(
            time.monotonic() - watcher.failing_since > MAX_FAILING_S
            for watcher in self.watchers.values()
        )
        return self._is_synced() and not is_failing and not self.draining.is_set()

    # -- updates ---------------------------------------------------------------------

    def _on_era_update(self, _vm: Vm, msg: EraUpdate, _as_of: float) -> None:
        self.eras.observe(Era(msg.era))

    def _on_era(self, era: Era) -> None:
        """Discard all state read before the store was restored from an older copy."""
        self.election.store_restored()
        for watcher in self.watchers.values():
            watcher.request_listing()
        self.registration.rewrite()
        self.metrics.store_era(era)
        self.broadcast.publish(EraUpdate(era), urgent=True)

    def _on_config(self, view: View) -> None:
        obj = view.objects.get(CONFIG_NAME)
        if obj is None:
            return
        result = decode_config(obj.spec)
        if not isinstance(result, Success):
            log("config_unreadable", version=obj.version, error=result.failure())
            return
        cfg: FleetConfig = result.unwrap()
        if cfg.version <= self.active_config.cfg.version:
            return
        self.quota.update(cfg)
        self.dispatcher.configure(cfg)
        self.limits.configure(cfg)
        self.leader.configure(cfg)
        self.active_config = ActiveConfig(cfg, RouteTable(cfg.routes))
        self.metrics.config_version(cfg.version)
        log("config_in_force", version=cfg.version, routes=len(cfg.routes))

    def _on_upstreams(self, records: list[UpstreamRecord]) -> None:
        self.connection_pool.keep_only(
            {(item.host, item.port) for item in records if not item.draining}
        )
        self.poison.update_upstreams(records)
        self.limits.update_upstreams(records)
        self.dispatcher.update(records)
        self.leader.update_upstreams(records)
        self.origins.update(records)

    def _on_list_checked(self, began_at: float, confirmed: bool) -> None:
        self.origins.list_checked(began_at, confirmed)
        self.histories.list_checked(began_at, confirmed)

    def _may_use_slack(self) -> bool:
        """Return whether this entry knows all others and is counted as one of them."""
        if self.draining.is_set():
            return False
        return self._list_age_s() < LEARN_S or self.quota.hears_all_peers()

    def _list_age_s(self) -> float:
        return time.monotonic() - self.watchers[Kind.UPSTREAM].view.contact_at

    def _publish_origins(self, msg: object) -> None:
        self.broadcast.publish(msg, urgent=True)

    def _on_evacuations(self, view: View) -> None:
        now = time.monotonic()
        zones = frozenset(map(Zone, view.objects))
        changes = self.evacuations.update(zones, view.unchanged_until)
        for zone in changes.begun:
            log(
                "zone_evacuated",
                zone=zone,
                version=view.objects[zone].version,
                unknown_for=now - view.unchanged_until,
                closes_in=max(0.0, self.evacuations.close_at[zone] - now),
            )
        for zone in changes.ended:
            log("zone_returned", zone=zone)
            self.limits.zone_returned(zone)
        self.metrics.evacuated_zones(len(zones))
        self._tick_due.set()

    def _may_fall_back(self, upstream: Upstream) -> bool:
        """Return whether this entry may send to a cold upstream without the leader."""
        if not self.watchers[Kind.ENTRY].ready.is_set():
            return False
        return may_fall_back(upstream, self.vm, self.peers)

    def _on_entries(self, view: View) -> None:
        others = [info for info in listed_entries(view) if info.vm != self.vm]
        self.peers = frozenset(info.vm for info in others)
        self.mesh.update_entries(others)
        self.overlay.update(Member(info.vm, info.zone, info.cores) for info in others)

    def _wanted_links(self) -> frozenset[Vm]:
        links = self.broadcast.routes.links()
        return links if self.leader_vm is None else links | {self.leader_vm}

    def _on_entry_update(self, vm: Vm, msg: EntryUpdate, as_of: float) -> None:
        self.quota.receive(vm, msg.usage, as_of)
        self.dispatcher.receive_entry_update(vm, msg, as_of)
        self.leader.receive_entry_update(vm, msg)

    def _on_inventory_update(self, vm: Vm, msg: InventoryUpdate) -> None:
        self.leader_vm = vm
        self.election.receive_inventory_update(vm, msg)
        self.leader.receive_inventory_update(msg)
        self.dispatcher.receive_inventory(msg)

    @singledispatchmethod
    def _publish_inventory(self, msg: object) -> None:
        raise TypeError(f"not an inventory message: {msg!r}")

    @_publish_inventory.register
    def _publish_drain(self, msg: DrainUpdate) -> None:
        self.dispatcher.receive_drain(msg)
        self.broadcast.publish(msg)

    @_publish_inventory.register
    def _publish_inventory_update(self, msg: InventoryUpdate) -> None:
        self.leader_vm = None
        self.dispatcher.receive_inventory(msg)
        models = frozenset(msg.models), frozenset(msg.loading)
        changed = self._published_models.get(msg.upstream) != models
        self._published_models[msg.upstream] = models
        self.broadcast.publish(msg, urgent=changed)
        if changed:
            self._tick_due.set()

    def send(self, vm: Vm, msg: object) -> bool:
        """Send a message to an entry, by broadcast if there is no link to it."""
        if not self.mesh.send(vm, msg):
            self.broadcast.publish(msg)
        return True

    def send_to_all(self, msg: object) -> None:
        """Send a message to all reachable entries."""
        self.broadcast.publish(msg)

    def peer_vms(self) -> frozenset[Vm]:
        """Return the VMs of all other entries, reachable or not."""
        return self.peers

    def restarted(self, vm: Vm, old: Incarnation) -> bool:
        """Return whether a process of a VM is known to have been replaced."""
        return self.broadcast.has_ended(vm, old)

    def _request_load(self, msg: LoadRequest) -> None:
        self.leader.receive_load_request(self.vm, msg)
        if self.election.epoch() is not None:
            return
        if self.leader_vm is None or not self.mesh.send(self.leader_vm, msg):
            self.broadcast.publish(msg)

    def _request_limit(self, msg: LimitRequest) -> None:
        """Request a grant at an upstream; without a leader, no reply arrives."""
        if self.election.epoch() is not None:
            self.limits.receive_grant(self.limits.grant(self.vm, msg))
        elif self.leader_vm is not None:
            self.mesh.send(self.leader_vm, msg)

    def _on_limit_request(self, vm: Vm, msg: LimitRequest) -> None:
        if self.election.epoch() is not None:
            self.mesh.send(vm, self.limits.grant(vm, msg))

    # -- lifecycle -------------------------------------------------------------------

    def start(self) -> None:
        """Start all components and register in the store."""
        for watcher in self.watchers.values():
            watcher.start()
        self.mesh.start()
        self.watchdog.start()
        self.crash_checks.start()
        self.list_checks.start()
        self.blocked_requests.start()
        self.leader.start()
        for server in (self.server, *self.status_servers):
            server.start()
        host, _ = self.cfg.link[0]
        bound = (host, self.mesh.port)
        link_host, link_port = (*self.cfg.advertised, bound)[0]
        self.registration.start(
            {
                "zone": self.cfg.zone,
                "region": self.cfg.region,
                "link_host": link_host,
                "link_port": link_port,
                "cores": self.overlay.local.cores,
            }
        )
        threading.Thread(target=self._tick, name="tick", daemon=True).start()
        log("started", http=self.server.port, link=self.mesh.port)

    def _tick(self) -> None:
        published_at = 0.0
        while not self._stopped.is_set():
            self._tick_due.wait(TICK_INTERVAL_S)
            self._tick_due.clear()
            try:
                self.server.resume_listening()
                self.server.measure_loop_lag()
                self.server.drop_slow_readers()
                self.server.drop_waiting_bodies()
                self.upstreams.expire()
                self.leaving.apply()
                if self.dispatcher.weighs_accounts():
                    self.dispatcher.update_usage(*self.quota.fleet_usage())
                self.dispatcher.tick()
                self.origins.flush()
                self.histories.tick()
                self._welcome_peers()
                self.metrics.known_streams(len(self.origins))
                self._update_counts()
                self.caller_load.report()
                interval_s = update_interval(len(self.peers) + 1)
                if time.monotonic() - published_at >= interval_s:
                    published_at = time.monotonic()
                    self._publish_entry_update()
                    for service, spread in self.dispatcher.load_spreads().items():
                        self.metrics.load_spread(service, spread)
                for update in (
                    self.poison.next_update(),
                    self.poison.next_parts_update(),
                    self.limits.next_update(),
                ):
                    if update is not None:
                        self.broadcast.publish(update, urgent=True)
                self.broadcast.flush()
                self.relay.flush(self._followers())
            except Exception as exc:
                log("tick_failed", error=repr(exc))

    def _welcome_peers(self) -> None:
        """Send the history of versions to the neighbours that have started."""
        for vm in self.broadcast.routes.links():
            incarnation = self.broadcast.incarnation(vm)
            if incarnation is None or self._welcomed.get(vm) == incarnation:
                continue
            if self.mesh.send(vm, self.origins.history()):
                self._welcomed[vm] = incarnation

    def _update_counts(self) -> None:
        """Set the metrics of counts that have changed."""
        failures = failure_counts()
        if failures != self._thread_failures:
            self._thread_failures = failures
            self.metrics.thread_failures(failures)
        cold, blocked = self.limits.cold_count(), len(self.poison.blocked())
        if cold != self._cold_count:
            self._cold_count = cold
            self.metrics.cold_upstreams(cold)
        if blocked != self._blocked_count:
            self._blocked_count = blocked
            self.metrics.blocked_causes(blocked)

    def _followers(self) -> frozenset[Vm]:
        """Return the entries that rely on watch events relayed by this one."""
        if not may_follow(self.cfg.stale_most_ms / 1000):
            return frozenset()
        routes = self.broadcast.routes
        return routes.children | (routes.roots if routes.is_first else frozenset())

    def _publish_entry_update(self) -> None:
        is_listed = self.registration.written.is_set()
        if is_listed and self.watchers[Kind.ENTRY].ready.is_set():
            # Entries that the store's list lacks here may send updates.
            peers = self.peers | self.quota.responsive_peers()
            self.retries.update_fleet(self.vm, peers)
        update = replace(self.dispatcher.entry_update(), usage=self.quota.tokens_used())
        self.leader.receive_entry_update(self.vm, update)
        entries = len(self.peers) + 1
        delta = self.update_delta.compute(update, time.monotonic(), entries)
        self.broadcast.publish(delta)

    def reload(self, path: Path) -> None:
        """Reload the settings; only those of the stop apply without a restart."""
        result = load(DirectSettings, path)
        if not isinstance(result, Success):
            mistakes = "; ".join(str(mistake) for mistake in result.failure())
            log("settings_refused", mistakes=mistakes)
            return
        new_cfg: DirectSettings = result.unwrap()
        changed = [f for f, v in vars(new_cfg).items() if v != getattr(self.cfg, f)]
        self.cfg = replace(
            self.cfg, stop_notice=new_cfg.stop_notice, stop_limit=new_cfg.stop_limit
        )
        log("settings_read", changed=",".join(changed) or "-")

    def stop(self, lifecycle: Lifecycle) -> None:
        """Shut down gracefully: let requests in progress finish.

        Readiness fails first and the listener stays open for a while: the balancer
        opens new connections until two of its readiness checks have failed.
        """
        self._ends_at = time.monotonic() + self.cfg.stop_limit - STOP_MARGIN_S
        self.draining.set()
        self.server.disable_keep_alive()
        threading.Thread(target=self._step_down, name="leave", daemon=True).start()
        lifecycle.forced.wait(self.cfg.stop_notice)
        self.server.stop_listening()
        self.server.close_idle()
        self.refusing.set()
        self.dispatcher.close(STOPPING)
        timeout = self._ends_at - time.monotonic()
        unfinished = self.server.drain(timeout, lifecycle.forced)
        if unfinished:
            log("stop_cut", connections=unfinished)
            self.watchdog.abort_all()
            self.server.drain(STOP_MARGIN_S / 2, lifecycle.forced)
        self._stopped.set()

    def _step_down(self) -> None:
        self.leader.stop()
        self.registration.remove()


def main(argv: list[str] | None = None) -> int:
    """Run the entry until a signal stops it."""
    args = docopt(__doc__, argv)
    path = Path(args["--settings"])
    limit_memory()

    def build(cfg: DirectSettings, lifecycle: Lifecycle) -> Entry:
        addresses = [cfg.callers[0], cfg.ready[0], cfg.metrics[0], cfg.link[0]]
        # A former process on this VM has its ports until it has stopped.
        wait_for_ports(
            addresses, cfg.stop_limit + PORT_WAIT_MARGIN_S, lifecycle.stopping
        )
        entry = Entry.from_config(cfg)
        lifecycle.on_reload(lambda: entry.reload(path))
        return entry

    return run_service("direct", DirectSettings, args, build)
