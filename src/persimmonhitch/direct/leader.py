"""The leader: decides which models and adapters each engine loads.

One entry at a time sends load orders, under a lease in the store. All entries report
their demand and their requests in progress to the leader, which publishes the inventory
of each engine.
"""

import itertools
import math
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import Final

from ..decide.demand import DemandTracker
from ..decide.drain_estimate import DrainEstimate
from ..decide.engine_demand import ServiceDemand
from ..decide.engine_speeds import EngineSpeeds
from ..decide.evacuation import ZoneEvacuations, ZoneState
from ..decide.load_rate import LoadRateLimiter
from ..decide.missing import Availability, MissingModels
from ..decide.residency import (
    SETTLE_S,
    EngineView,
    Move,
    next_load,
    next_overdue_load,
    next_restore,
    next_staging,
)
from ..fleet.config import EngineSpec, FleetConfig, ServiceSpec
from ..fleet.upstream import UpstreamRecord
from ..ids import Adapter, Epoch, Model, Service, Upstream, Vm
from ..observe.logs import log
from .adapter_loads import AdapterLoads
from .engine_client import EngineClient
from .engine_controller import EngineController
from .engine_state import EngineState, usable_models
from .leader_election import LeaderElection
from .observed_engines import ObservedEngines
from .order_history import NO_GUARD, OrderGuard
from .peer_messages import (
    DrainUpdate,
    EntryUpdate,
    InventoryUpdate,
    LoadRequest,
    ModelUse,
)
from .peer_work import PeerWork
from .upstream_limits import UpstreamLimits

LastOrderTimes = Callable[[], Mapping[Upstream, float]]
ModelReadRates = Callable[[Service], Mapping[Model, float] | None]
SpeedsOfEngines = Callable[[Service], Mapping[Upstream, float]]
UsesByUpstream = Mapping[Upstream, Counter[ModelUse]]

ROUND_INTERVAL_S: Final = 0.1
"""Seconds between two placement rounds if no load request triggers one earlier."""
MIN_ROUND_INTERVAL_S: Final = 0.05
"""Minimum seconds between two rounds; many models may be missing at once, and every
entry sends a load request for each."""
MAX_WORKERS: Final = 24
"""Maximum number of concurrent adapter loads and report requests."""
INVENTORY_TIMEOUT_S: Final = 2.0
"""Maximum seconds that a new leader waits for the inventories of all engines before it
loads models. An engine that has not reported by then may never report."""
MAX_ORDER_AGE_S: Final = 60.0
"""Maximum age of a last order that is passed on with the lease; it is far above the
time between orders of two entries."""
PUBLISH_INTERVAL_S: Final = 0.5
"""Seconds between two broadcasts of all inventories, for newly started entries."""


class Leader:
    """Places models on engines and orders loads while this entry holds the lease.

    Parameters
    ----------
    make_election : callable
        Builds the leader election from a function that returns the time of the last
        order to each engine.
    broadcast : callable
        Sends an engine's inventory, or that its load waits, to this entry and all
        others.
    prompt_read_rate : callable
        Returns the prompt tokens per second that an engine of a service processes.
    send : callable
        Sends the same to the entry that requested an adapter load.
    model_read_rates : callable
        Returns the prompt tokens per second that a typical engine of a service reads of
        each model, as far as known; None if all models and engines are to count alike.
    engine_speeds : callable
        Returns the speeds of the engines of a service relative to a typical one.
    observe_load : callable
        Is told the share of the engines' time that the demand for a service takes.
    """

    def __init__(
        self,
        vm: Vm,
        make_election: Callable[[LastOrderTimes], LeaderElection],
        broadcast: Callable[[InventoryUpdate | DrainUpdate], None],
        prompt_read_rate: Callable[[Service], float],
        limits: UpstreamLimits,
        clock: Callable[[], float] = time.monotonic,
        send: Callable[[Vm, InventoryUpdate | DrainUpdate], object] = (
            lambda _vm, _update: None
        ),
        evacuations: ZoneEvacuations | None = None,
        on_leaving: Callable[[UpstreamRecord], None] = lambda _record: None,
        model_read_rates: ModelReadRates = lambda _service: None,
        engine_speeds: SpeedsOfEngines = lambda _service: {},
        observe_load: Callable[[Service, float], None] = lambda _service, _share: None,
    ) -> None:
        self._evacuations = evacuations or ZoneEvacuations()
        self.election = make_election(self._last_order_times)
        self._broadcast = broadcast
        self._prompt_read_rate = prompt_read_rate
        self._model_read_rates = model_read_rates
        self._engine_speeds = engine_speeds
        self._observe_load = observe_load
        self._speeds: defaultdict[Service, EngineSpeeds] = defaultdict(EngineSpeeds)
        self._send = send
        self._leading_since = 0.0
        self._clock = clock
        self._client = EngineClient(vm, limits, on_leaving)
        self._cfg: FleetConfig | None = None
        self._records: dict[Upstream, UpstreamRecord] = {}
        self._controllers: dict[Upstream, EngineController] = {}
        self._own_orders: dict[Upstream, float] = {}
        """When this entry sent its last order to each engine, in any term."""
        self._demand = DemandTracker()
        self._demand_rates: dict[Model, float] = {}
        self._requested_at: dict[Model, float] = {}
        self._load_rate = LoadRateLimiter()
        self._peer_work = PeerWork()
        """Requests in progress at all entries, including this one."""
        self._drain_time = DrainEstimate()
        self._active = False
        self._refreshing: set[Upstream] = set()
        # Models of each engine in the first round in which it had any.
        self._home_models: dict[Upstream, frozenset[Model]] = {}
        self._staged: set[Upstream] = set()
        """Engines that have loaded an uncached model while idle. Each engine does so
        at most once, since a request may arrive during the load."""
        self._missing: defaultdict[Service, MissingModels] = defaultdict(MissingModels)
        self._adapters = AdapterLoads(self._submit, clock)
        self._observed = ObservedEngines()
        self._published_at = 0.0
        self._published_epoch = Epoch(0)
        self._sequence_numbers = itertools.count()
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._round_due = threading.Event()
        """Set when requests wait for a model that no engine has loaded."""
        self._pool = ThreadPoolExecutor(MAX_WORKERS, thread_name_prefix="orders")
        self._thread = threading.Thread(target=self._run, name="leader", daemon=True)

    def start(self) -> None:
        """Compete for the lease and order loads while holding it."""
        self.election.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop sending orders and release the lease."""
        self._stopping.set()
        self._round_due.set()
        self.election.stop()

    def _last_order_times(self) -> dict[Upstream, float]:
        """Return when this entry or a previous leader may have sent the last orders.

        An entry that releases the lease while it still waits for orders of a previous
        leader passes this wait on to its successor. The result names each engine that
        this entry knows, so that the successor can tell which ones it does not know.
        """
        now = self._clock()
        leading_since = self._leading_since if self._active else now
        with self._lock:
            self._save_order_times()
            own, records = dict(self._own_orders), dict(self._records)
        return {
            name: max(
                now - MAX_ORDER_AGE_S,
                own.get(name, -math.inf),
                self.election.last_order_by_predecessor(name, leading_since),
            )
            for name in records
        }

    def _save_order_times(self) -> None:
        """Save the times of orders; controllers are replaced in each term."""
        for name, controller in self._controllers.items():
            if controller.last_order_at is not None:
                self._own_orders[name] = controller.last_order_at
        self._own_orders = {
            name: at for name, at in self._own_orders.items() if name in self._records
        }

    # -- inputs --------------------------------------------------------------------

    def configure(self, cfg: FleetConfig) -> None:
        """Apply a new configuration."""
        with self._lock:
            self._cfg = cfg
            for controller in self._controllers.values():
                spec = self._engine_spec(controller.engine.record.service)
                if spec is not None:
                    controller.engine.spec = spec

    def _engine_spec(self, service: Service) -> EngineSpec | None:
        service_spec = self._cfg.services.get(service) if self._cfg else None
        return service_spec.engine if service_spec else None

    def update_upstreams(self, records: Iterable[UpstreamRecord]) -> None:
        """Replace the list of upstreams."""
        with self._lock:
            self._records = {record.name: record for record in records}

    def receive_inventory_update(self, msg: InventoryUpdate) -> None:
        """Record what another leader publishes, for the time when it is succeeded."""
        with self._lock:
            self._observed.receive(msg, self._clock())

    def receive_entry_update(self, vm: Vm, msg: EntryUpdate) -> None:
        """Record the requests in progress and the demand of an entry."""
        now = self._clock()
        with self._lock:
            self._peer_work.receive(vm, msg, now)
            self._demand.receive(vm, msg.demand, now)

    def receive_load_request(self, vm: Vm, msg: LoadRequest) -> None:
        """Load a model or adapter on request of an entry.

        A missing model triggers a placement round; an adapter is loaded right away if
        an upstream is given, otherwise as soon as one with its model accepts the order.
        """
        if not self._is_active():
            return
        if msg.upstream is None or msg.adapter is None:
            if msg.adapter is not None:
                self._adapters.record_refused(msg.model, msg.adapter)
            if msg.demand:
                with self._lock:
                    self._demand.receive(vm, {msg.model: msg.demand}, self._clock())
            self._round_due.set()
            return
        with self._lock:
            controller = self._controllers.get(msg.upstream)
        if controller is not None:
            self._submit(self._load_adapter, vm, controller, msg.model, msg.adapter)

    def _load_adapter(
        self, vm: Vm, controller: EngineController, model: Model, adapter: Adapter
    ) -> None:
        if self._adapters.load(controller, model, adapter):
            for update in self._inventory_updates(controller):
                self._send(vm, update)

    # -- rounds ----------------------------------------------------------------------

    def _epoch(self) -> Epoch | None:
        return self.election.epoch() if self._is_active() else None

    def _is_active(self) -> bool:
        return self._active and not self._stopping.is_set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._round_due.wait(ROUND_INTERVAL_S)
            self._round_due.clear()
            self._run_step(self.run_round)
            self._stopping.wait(MIN_ROUND_INTERVAL_S)

    def _submit(self, step: Callable[..., object], *args: object) -> None:
        self._pool.submit(self._run_step, step, *args)

    def _run_step(self, step: Callable[..., object], *args: object) -> None:
        try:
            step(*args)
        except Exception as exc:
            log("order_step_failed", error=repr(exc))

    def run_round(self) -> None:
        """Run one placement round: order the loads that the current demand needs."""
        with self._lock:
            self._peer_work.expire(self._clock())
            self._demand_rates = self._demand.rates(self._clock())
            self._requested_at = self._demand.requested_at()
        if self.election.epoch() is None:
            if self._active:
                log("orders_ended")
            self._active = False
            self._follow_missing()
            return
        if not self._active:
            self._start_term()
        self._sync_controllers()
        uses = self._uses_by_upstream()
        self._record_adapter_uses(uses)
        self._adapters.load_refused(self._controllers.values())
        self._place_models(uses)
        if self._clock() - self._published_at >= PUBLISH_INTERVAL_S:
            self._published_at = self._clock()
            for controller in list(self._controllers.values()):
                self._publish(controller)

    def _follow_missing(self) -> None:
        """Track which models are missing while another entry is the leader."""
        now = self._clock()
        with self._lock:
            self._observed.retain(self._records)
            services = self._cfg.services.values() if self._cfg is not None else ()
            resident: defaultdict[Service, set[Model]] = defaultdict(set)
            for name, record in self._records.items():
                if self._is_available(record, now):
                    known = self._observed.get(name, record.started_at_ms)
                    resident[record.service] |= known.models
        for service in services:
            # Nothing may have been published since this entry started.
            if service.engine is not None and resident[service.name]:
                self._missing[service.name].update(
                    self._requests_for(service.engine), resident[service.name], now
                )

    def _requests_for(self, spec: EngineSpec) -> dict[Model, float]:
        """Return the time of the last request for each model of a service."""
        return {m: at for m, at in self._requested_at.items() if m in spec.models}

    def _start_term(self) -> None:
        self._leading_since = self._clock()
        with self._lock:
            self._save_order_times()
            self._controllers = {}
        self._load_rate = LoadRateLimiter()
        self._published_epoch = self.election.epoch() or self._published_epoch
        self._active = True
        predecessor = self.election.predecessor
        log(
            "orders_begin",
            epoch=self.election.epoch(),
            before=predecessor.vm if predecessor else "-",
            held_for=predecessor.held_s if predecessor else 0.0,
        )
        now = self._clock()
        for service, missing in self._missing.items():
            log("missing_known", service=service, models=_durations_text(missing, now))

    def _sync_controllers(self) -> None:
        with self._lock:
            records = dict(self._records)
            self._save_order_times()
            for name in set(self._controllers) - set(records):
                del self._controllers[name]
            for name, record in records.items():
                spec = self._engine_spec(record.service)
                if spec is None or record.inventory is None:
                    continue
                controller = self._controllers.get(name)
                if controller is None or _restarted(controller, record):
                    self._controllers[name] = self._make_controller(
                        self._make_engine(record, spec)
                    )
                else:
                    controller.engine.record = record
            # A load ordered by the previous leader may be in progress; reports include
            # its memory only on completion. Hence busy engines are polled repeatedly.
            outdated = [c for c in self._controllers.values() if c.needs_report()]
        for controller in outdated:
            if (
                controller.engine.loading is None
                and controller.engine.record.name not in self._refreshing
            ):
                self._refreshing.add(controller.engine.record.name)
                self._submit(self._refresh_inventory, controller)

    def _record_adapter_uses(self, uses: UsesByUpstream) -> None:
        """Record the adapters that running requests use, for the choice of evictions.

        Requests for a loaded adapter do not reach the leader.
        """
        now = self._clock()
        for controller in list(self._controllers.values()):
            engine = controller.engine
            for use in uses.get(engine.record.name, ()):
                if use.adapter is not None:
                    engine.adapter_used_at[use.model, use.adapter] = now

    def _refresh_inventory(self, controller: EngineController) -> None:
        try:
            with controller.lock:
                refreshed = controller.refresh()
            if refreshed:
                self._publish(controller)
        finally:
            self._refreshing.discard(controller.engine.record.name)

    def _make_engine(self, record: UpstreamRecord, spec: EngineSpec) -> EngineState:
        """Return the state of an engine, with the loads of a previous leader."""
        known = self._observed.get(record.name, record.started_at_ms)
        return EngineState(
            record,
            spec,
            drain_time=self._drain_time,
            loaded_at=dict(known.loaded_at),
            inherited_loads=dict(known.ready_at),
        )

    def _make_controller(self, engine: EngineState) -> EngineController:
        name = engine.record.name

        def epoch() -> Epoch | None:
            # A replaced controller must not send orders: its inventory is outdated.
            return self._epoch() if self._controllers.get(name) is controller else None

        controller = EngineController(
            engine,
            self._client,
            epoch,
            self._publish,
            self._is_in_use,
            running_requests=self._running_requests,
            guard=self._order_guard(name),
        )
        controller.orders_allowed_at = self.election.orders_allowed_at(
            engine.record.name, self._leading_since
        )
        return controller

    def _order_guard(self, name: Upstream) -> OrderGuard:
        """Return the guard against late orders, none after own orders of this term."""
        if self._own_orders.get(name, -math.inf) >= self._leading_since:
            return NO_GUARD
        return self.election.order_guard(name)

    def _uses_by_upstream(self) -> UsesByUpstream:
        """Return the models and adapters in use at each engine, over all entries."""
        with self._lock:
            return {
                name: self._peer_work.model_uses(name) for name in self._controllers
            }

    def _uses(self, engine: EngineState) -> Counter[ModelUse]:
        with self._lock:
            return self._peer_work.model_uses(engine.record.name)

    def _running_requests(self, engine: EngineState) -> Counter[Model]:
        return running_requests(self._uses(engine))

    def _is_in_use(self, engine: EngineState, model: Model, adapter: Adapter) -> bool:
        return ModelUse(model, adapter) in self._uses(engine)

    def _publish(self, controller: EngineController) -> None:
        for update in self._inventory_updates(controller):
            self._broadcast(update)
            if isinstance(update, InventoryUpdate):
                self.receive_inventory_update(update)

    def _inventory_updates(
        self, controller: EngineController
    ) -> list[InventoryUpdate | DrainUpdate]:
        engine = controller.engine
        if engine.inventory is None:
            return []
        now, loading = self._clock(), {}
        if engine.inventory.busy:
            loading = {
                m: max(0.0, at - now) for m, at in engine.inherited_loads.items()
            }
        if engine.loading is not None:
            loading = {engine.loading: engine.remaining_load_s(now)}
        update = InventoryUpdate(
            engine.record.name,
            engine.record.started_at_ms,
            engine.inventory.order_count,
            dict(usable_models(engine)),
            loading,
            self._published_epoch,
            next(self._sequence_numbers),
        )
        if not engine.draining:
            return [update]
        drain = DrainUpdate(
            update.upstream, update.started_at_ms, update.epoch, update.sequence
        )
        # An entry that learned of the load first would refuse requests for adapters.
        return [drain, update]

    def _place_models(self, uses: UsesByUpstream) -> None:
        now = self._clock()
        with self._lock:
            cfg = self._cfg
            demand_rates = self._demand_rates
            controllers = list(self._controllers.values())
        if cfg is None:
            return
        for service in cfg.services.values():
            if service.engine is None:
                continue
            candidates = [
                c
                for c in controllers
                if c.engine.record.service == service.name
                and self._is_available(c.engine.record, now)
            ]
            demand = self._service_demand(service, demand_rates, candidates, now)
            missing = self._missing[service.name]
            self._place_service(service.engine, missing, demand, candidates, uses, now)

    def _service_demand(
        self,
        service: ServiceSpec,
        token_rates: Mapping[Model, float],
        controllers: list[EngineController],
        now: float,
    ) -> ServiceDemand:
        read_rate = self._prompt_read_rate(service.name)
        by_model = self._model_read_rates(service.name)
        if by_model is None or service.engine is None:
            return ServiceDemand.from_single_rate(token_rates, read_rate)
        demand = ServiceDemand.from_model_rates(
            token_rates, service.engine.models, by_model, read_rate
        )
        reported = self._engine_speeds(service.name)
        names = [controller.engine.record.name for controller in controllers]
        speeds = {name: reported.get(name, 1.0) for name in names}
        averages = self._speeds[service.name].update(speeds, now)
        demand = replace(demand, speeds=averages)
        self._observe_load(service.name, demand.load_share())
        return demand

    def _is_available(self, record: UpstreamRecord, now: float) -> bool:
        """Return whether an engine accepts new requests for the time to come.

        Otherwise models of an engine that drains, or whose zone is evacuated, would be
        loaded elsewhere only after it has stopped, and requests be refused until then.
        """
        open_zone = self._evacuations.state(record.zone, now) is ZoneState.OPEN
        return open_zone and not record.draining

    def _place_service(
        self,
        spec: EngineSpec,
        missing: MissingModels,
        demand: ServiceDemand,
        controllers: list[EngineController],
        uses: UsesByUpstream,
        now: float,
    ) -> None:
        incomplete = any(c.engine.inventory is None for c in controllers)
        if incomplete and now - self._leading_since < INVENTORY_TIMEOUT_S:
            # A seemingly missing model may be resident on an engine yet to report.
            return
        by_name = {c.engine.record.name: c for c in controllers}
        running = {name: running_requests(uses[name]) for name in by_name}
        for _ in range(len(controllers)):
            views = [
                _engine_view(c, running, now, demand.speed(c.engine.record.name))
                for c in controllers
            ]
            cold_allowed = self._load_rate.may_start(spec.cold_loads_per_s, now)
            self._update_missing(spec, missing, views, now)
            move = self._overdue_move(spec, missing, demand, views, cold_allowed)
            if move is None:
                move = next_load(
                    spec.models, demand.values, views, cold_allowed, demand.loads
                )
            if move is None:
                move = self._idle_move(spec, missing, demand, views, cold_allowed)
            if move is None:
                return
            if move.cold:
                self._load_rate.record_start(spec.cold_loads_per_s, now)
            self._start_load(by_name[move.upstream], move, demand)

    def _update_missing(
        self,
        spec: EngineSpec,
        missing: MissingModels,
        views: list[EngineView],
        now: float,
    ) -> None:
        requests = self._requests_for(spec)
        resident = frozenset().union(*(view.models for view in views))
        for change in missing.update(requests, resident, now):
            if change.availability is Availability.MISSING:
                log("model_missing", model=change.model)
                continue
            log(
                "model_missing_ended",
                model=change.model,
                why=change.availability.value,
                missing_for=change.missing_for,
            )

    def _overdue_move(
        self,
        spec: EngineSpec,
        missing: MissingModels,
        demand: ServiceDemand,
        views: list[EngineView],
        cold_allowed: bool,
    ) -> Move | None:
        missing.loading &= frozenset().union(*(view.loading for view in views))
        missing_for = missing.missing_durations(self._clock())
        move = next_overdue_load(
            spec.models,
            demand.values,
            views,
            missing_for,
            cold_allowed,
            missing.loading,
            demand.loads,
        )
        if move is not None:
            missing.loading.add(move.model)
            log("model_overdue", model=move.model, missing_for=missing_for[move.model])
        return move

    def _idle_move(
        self,
        spec: EngineSpec,
        missing: MissingModels,
        demand: ServiceDemand,
        views: list[EngineView],
        cold_allowed: bool,
    ) -> Move | None:
        for view in views:
            if view.models:
                self._home_models.setdefault(view.upstream, view.models)
        unstaged = [v for v in views if v.upstream not in self._staged]
        staging = (
            next_staging(
                spec.models, demand.values, unstaged, views, missing.longest_first()
            )
            if cold_allowed
            else None
        )
        if staging is not None:
            self._staged.add(staging.upstream)
            return staging
        return next_restore(spec.models, demand.values, views, self._home_models)

    def _start_load(
        self, controller: EngineController, move: Move, demand: ServiceDemand
    ) -> None:
        controller.engine.plan_load(
            move.model, move.evicted, move.load_s, move.drain_s, self._clock()
        )
        log(
            "load_begins",
            upstream=move.upstream,
            model=move.model,
            instead=",".join(move.evicted) or "-",
            cold=move.cold,
            drain=move.drain_s,
            demand=demand.values.get(move.model, 0.0),
            **_load_fields(move, demand),
        )
        # Model loads take seconds. In the worker pool they could occupy all threads and
        # delay adapter orders, so each gets its own thread, at most one per engine.
        threading.Thread(
            target=self._run_step,
            args=(
                self._load_model,
                controller,
                move.model,
                move.evicted,
                move.load_s,
                move.drain_s,
            ),
            name="load",
            daemon=True,
        ).start()

    def _load_model(
        self,
        controller: EngineController,
        model: Model,
        evictions: tuple[Model, ...],
        load_s: float,
        drain_s: float,
    ) -> None:
        controller.load_model(model, evictions, load_s, drain_s)
        # Refused adapters are loaded before the next model load of the engine begins.
        self._round_due.set()


def running_requests(uses: Counter[ModelUse]) -> Counter[Model]:
    """Return the running requests of each model.

    Requests of one entry for the same model and adapter count as one.
    """
    running: Counter[Model] = Counter()
    for use, entries in uses.items():
        running[use.model] += entries
    return running


def _durations_text(missing: MissingModels, now: float) -> str:
    durations = missing.missing_durations(now)
    return ",".join(f"{model}:{s:.1f}" for model, s in durations.items()) or "-"


def _load_fields(move: Move, demand: ServiceDemand) -> dict[str, float]:
    """Return the log fields of a load whose model has a read rate of its own."""
    if demand.loads is None or move.model not in demand.read_rates:
        return {}
    return {
        "share": demand.loads.get(move.model, 0.0),
        "read_rate": demand.read_rates[move.model],
        "speed": demand.speed(move.upstream),
    }


def _restarted(controller: EngineController, record: UpstreamRecord) -> bool:
    return record.started_at_ms != controller.engine.record.started_at_ms


def _engine_view(
    controller: EngineController,
    running: Mapping[Upstream, Mapping[Model, int]],
    now: float,
    speed: float = 1.0,
) -> EngineView:
    engine = controller.engine
    load_times = engine.loaded_at.items()
    inventory = engine.inventory
    loading = frozenset({engine.loading} if engine.loading is not None else ())
    if inventory is not None and inventory.busy:
        loading |= engine.inherited_loads.keys()
    return EngineView(
        upstream=engine.record.name,
        memory_mb=engine.spec.memory_mb,
        adapters_memory_mb=engine.adapters_memory(),
        models=frozenset(inventory.models) if inventory else frozenset(),
        busy_s=controller.busy_s(),
        loading=loading,
        load_overdue=engine.loading is not None and now >= engine.due_at,
        evicting=engine.evicting,
        in_memory=inventory.in_memory if inventory else frozenset(),
        on_disk=inventory.on_disk if inventory else frozenset(),
        settling=frozenset(model for model, at in load_times if now - at < SETTLE_S),
        drains={
            model: engine.drain_time.expected_s(requests)
            for model, requests in running.get(engine.record.name, {}).items()
        },
        speed=speed,
    )
