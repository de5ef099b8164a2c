"""The holder of the orders lease: has models and adapters loaded where they are asked.

One entry at a time gives orders, under a lease in the store. All entries tell it what
is asked of them and what runs; it tells them what each engine holds.
"""

import itertools
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from ..decide.bursts import LoadRate
from ..decide.demand import Demand
from ..decide.drains import DrainTime
from ..decide.missing import MissingModels, Standing
from ..decide.residency import (
    SETTLED,
    EngineView,
    Move,
    next_move,
    next_overdue,
    next_return,
    next_staging,
)
from ..fleet.config import EngineSpec, FleetConfig
from ..fleet.upstream import UpstreamRecord
from ..ids import Adapter, Epoch, Model, Service, Upstream, Vm
from ..observe.logs import log
from .desk import Desk, Engine, held_models
from .engine_client import EngineClient
from .leaseholder import LeaseHolder
from .news import HoldingNews, NodeNews, Use, Want
from .peer_work import PeerWork
from .upstream_limits import UpstreamLimits

LastOrders = Callable[[], Mapping[Upstream, float]]

PERIOD: Final = 0.1
"""Seconds between two looks at what should be loaded."""
LEAST_PERIOD: Final = 0.05
"""Seconds between two looks at the word of callers; many models may be missing at once,
and every entry tells of each."""
WORKERS: Final = 24
"""Orders for adapters and questions to engines under way at a time."""
LEARN_TIME: Final = 2.0
"""Seconds at most in which a new holder learns what engines hold before it has models
loaded; one that does not answer its report in that time may answer none."""
PUBLISH_EVERY: Final = 0.5
"""Seconds after which holdings are told again, for entries that have started since."""


class Leader:
    """Gives orders while this entry holds the lease.

    Parameters
    ----------
    holder : callable
        Makes the holder of the lease, given when each engine was last ordered.
    tell : callable
        Takes what an engine holds, for this entry and all others.
    read_rate : callable
        Returns the prompt tokens a second that an engine of a service reads.
    answer : callable
        Tells one entry at once what an engine holds that it has asked about.
    """

    def __init__(
        self,
        vm: Vm,
        holder: Callable[[LastOrders], LeaseHolder],
        tell: Callable[[HoldingNews], None],
        read_rate: Callable[[Service], float],
        limits: UpstreamLimits,
        clock: Callable[[], float] = time.monotonic,
        answer: Callable[[Vm, HoldingNews], object] = lambda _vm, _news: None,
    ) -> None:
        self.lease = holder(self._last_orders)
        self._tell = tell
        self._read_rate = read_rate
        self._answer = answer
        self._began_at = 0.0
        self._clock = clock
        self._client = EngineClient(vm, limits)
        self._cfg: FleetConfig | None = None
        self._records: dict[Upstream, UpstreamRecord] = {}
        self._desks: dict[Upstream, Desk] = {}
        self._demand = Demand()
        self._rates: dict[Model, float] = {}
        self._asked_at: dict[Model, float] = {}
        self._rate = LoadRate()
        self._work = PeerWork()
        """What all entries run, this one too."""
        self._drains = DrainTime()
        self._active = False
        self._refreshing: set[Upstream] = set()
        self._homes: dict[Upstream, frozenset[Model]] = {}
        self._staged: set[Upstream] = set()
        """Engines that have loaded a far model while idle; once is enough for each,
        since callers may come at any moment."""
        self._missing: defaultdict[Service, MissingModels] = defaultdict(MissingModels)
        self._told_at = 0.0
        self._told_epoch = Epoch(0)
        self._told_numbers = itertools.count()
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._look_now = threading.Event()
        """Set when calls wait for a model that no engine has."""
        self._pool = ThreadPoolExecutor(WORKERS, thread_name_prefix="orders")
        self._thread = threading.Thread(target=self._run, name="leader", daemon=True)

    def start(self) -> None:
        """Seek the lease and give orders while it is held."""
        self.lease.start()
        self._thread.start()

    def stop(self) -> None:
        """Give no more orders and let the next entry have the lease."""
        self._stopping.set()
        self._look_now.set()
        self.lease.stop()

    def _last_orders(self) -> dict[Upstream, float]:
        with self._lock:
            desks = dict(self._desks)
        return {
            name: desk.ordered_at
            for name, desk in desks.items()
            if desk.ordered_at is not None
        }

    # -- what it is told -----------------------------------------------------------

    def configure(self, cfg: FleetConfig) -> None:
        """Take a new configuration."""
        with self._lock:
            self._cfg = cfg
            for desk in self._desks.values():
                spec = self._spec(desk.engine.record.service)
                if spec is not None:
                    desk.engine.spec = spec

    def _spec(self, service: Service) -> EngineSpec | None:
        found = self._cfg.services.get(service) if self._cfg else None
        return found.engine if found else None

    def update(self, records: Iterable[UpstreamRecord]) -> None:
        """Take the list of upstreams."""
        with self._lock:
            self._records = {record.name: record for record in records}

    def hear_node(self, vm: Vm, msg: NodeNews) -> None:
        """Take what an entry runs and what is asked of it."""
        now = self._clock()
        with self._lock:
            self._work.hear(vm, msg, now)
            self._demand.hear(vm, msg.asked, now)

    def hear_want(self, vm: Vm, msg: Want) -> None:
        """Take what an entry is missing."""
        if not self._is_active():
            return
        if msg.upstream is None or msg.adapter is None:
            if msg.asked:
                with self._lock:
                    self._demand.hear(vm, {msg.model: msg.asked}, self._clock())
            self._look_now.set()
            return
        with self._lock:
            desk = self._desks.get(msg.upstream)
        if desk is not None:
            self._pool.submit(self._guarded, self._fetch, vm, desk, msg)

    def _fetch(self, vm: Vm, desk: Desk, msg: Want) -> None:
        assert msg.adapter is not None
        if desk.fetch(msg.model, msg.adapter):
            news = self._holding_news(desk)
            if news is not None:
                self._answer(vm, news)

    # -- rounds ----------------------------------------------------------------------

    def _epoch(self) -> Epoch | None:
        return self.lease.epoch() if self._is_active() else None

    def _is_active(self) -> bool:
        return self._active and not self._stopping.is_set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._look_now.wait(PERIOD)
            self._look_now.clear()
            self._guarded(self.round)
            self._stopping.wait(LEAST_PERIOD)

    def _guarded(self, step: Callable[..., object], *args: object) -> None:
        try:
            step(*args)
        except Exception as exc:
            log("order_step_failed", error=repr(exc))

    def round(self) -> None:
        """Look once at what should be loaded."""
        with self._lock:
            self._work.expire(self._clock())
            self._rates = self._demand.rates(self._clock())
            self._asked_at = self._demand.asked_at()
        if self.lease.epoch() is None:
            if self._active:
                log("orders_ended")
            self._active = False
            return
        if not self._active:
            self._begin()
        self._open_desks()
        self._place()
        if self._clock() - self._told_at >= PUBLISH_EVERY:
            self._told_at = self._clock()
            for desk in list(self._desks.values()):
                self._publish(desk)

    def _begin(self) -> None:
        self._began_at = self._clock()
        with self._lock:
            self._desks = {}
        self._rate = LoadRate()
        self._told_epoch = self.lease.epoch() or self._told_epoch
        self._active = True
        before = self.lease.before
        log(
            "orders_begin",
            epoch=self.lease.epoch(),
            before=before.vm if before else "-",
            held_for=before.held_for if before else 0.0,
        )

    def _open_desks(self) -> None:
        with self._lock:
            records = dict(self._records)
            for name in set(self._desks) - set(records):
                del self._desks[name]
            for name, record in records.items():
                spec = self._spec(record.service)
                if spec is None or record.holding is None:
                    continue
                desk = self._desks.get(name)
                if desk is None or _restarted(desk, record):
                    self._desks[name] = self._desk(
                        Engine(record, spec, drains=self._drains)
                    )
                else:
                    desk.engine.record = record
            # An order of the last holder may be under way: what it loads takes memory
            # that no report shows before its end.
            fresh = [d for d in self._desks.values() if d.to_be_learned()]
        for desk in fresh:
            if (
                desk.engine.loading is None
                and desk.engine.record.name not in self._refreshing
            ):
                self._refreshing.add(desk.engine.record.name)
                self._pool.submit(self._guarded, self._refresh, desk)

    def _refresh(self, desk: Desk) -> None:
        try:
            with desk.lock:
                known = desk.refresh()
            if known:
                self._publish(desk)
        finally:
            self._refreshing.discard(desk.engine.record.name)

    def _desk(self, engine: Engine) -> Desk:
        name = engine.record.name

        def epoch() -> Epoch | None:
            # A step of a desk that was replaced meanwhile knows less than the new one.
            return self._epoch() if self._desks.get(name) is desk else None

        desk = Desk(engine, self._client, epoch, self._publish, self._runs)
        desk.free_from = self.lease.free_from(engine.record.name, self._began_at)
        return desk

    def _used(self) -> dict[Upstream, set[Use]]:
        """Return what calls of all entries use at each engine."""
        used: defaultdict[Upstream, set[Use]] = defaultdict(set)
        with self._lock:
            for item in self._work.running():
                used[item.upstream].update(item.uses)
        return used

    def _runs(self, engine: Engine, model: Model, adapter: Adapter) -> bool:
        with self._lock:
            return Use(model, adapter) in self._work.uses(engine.record.name)

    def _publish(self, desk: Desk) -> None:
        news = self._holding_news(desk)
        if news is not None:
            self._tell(news)

    def _holding_news(self, desk: Desk) -> HoldingNews | None:
        engine = desk.engine
        if engine.holding is None:
            return None
        now = self._clock()
        coming = {}
        if engine.loading is not None:
            coming[engine.loading] = max(0.0, engine.ready_at - now)
        return HoldingNews(
            engine.record.name,
            engine.record.born,
            engine.holding.orders,
            dict(held_models(engine)),
            coming,
            self._told_epoch,
            next(self._told_numbers),
        )

    def _place(self) -> None:
        now = self._clock()
        with self._lock:
            cfg = self._cfg
            rates = self._rates
            desks = list(self._desks.values())
        if cfg is None:
            return
        for service in cfg.services.values():
            if service.engine is None:
                continue
            mine = [d for d in desks if _stays(d, service.name)]
            engine_reads = self._read_rate(service.name)
            demand = {model: rate / engine_reads for model, rate in rates.items()}
            missing = self._missing[service.name]
            self._place_service(service.engine, missing, demand, mine, now)

    def _place_service(
        self,
        spec: EngineSpec,
        missing: MissingModels,
        demand: dict[Model, float],
        desks: list[Desk],
        now: float,
    ) -> None:
        unknown = any(desk.engine.holding is None for desk in desks)
        if unknown and now - self._began_at < LEARN_TIME:
            # What no known engine holds may well be on one that is still unknown.
            return
        by_name = {desk.engine.record.name: desk for desk in desks}
        used = {
            name: {use.model for use in uses} for name, uses in self._used().items()
        }
        for _ in range(len(desks)):
            views = [_view(desk, used, now) for desk in desks]
            cold = self._rate.allowed(spec.loads_per_second, now)
            self._note_missing(spec, missing, views, now)
            move = self._overdue_move(spec, missing, demand, views, cold)
            if move is None:
                move = next_move(spec.models, demand, views, cold)
            if move is None:
                move = self._idle_move(spec, missing, demand, views, cold)
            if move is None:
                return
            if move.cold:
                self._rate.take(spec.loads_per_second, now)
            self._begin_load(by_name[move.upstream], move, demand)

    def _note_missing(
        self,
        spec: EngineSpec,
        missing: MissingModels,
        views: list[EngineView],
        now: float,
    ) -> None:
        asked_at = {m: at for m, at in self._asked_at.items() if m in spec.models}
        held = frozenset().union(*(view.models for view in views))
        for change in missing.update(asked_at, held, now):
            if change.now is Standing.MISSING:
                log("model_missing", model=change.model)
                continue
            log(
                "model_missing_ended",
                model=change.model,
                why=change.now.value,
                missing_for=change.missing_for,
            )

    def _overdue_move(
        self,
        spec: EngineSpec,
        missing: MissingModels,
        demand: dict[Model, float],
        views: list[EngineView],
        cold: bool,
    ) -> Move | None:
        missing.loading &= frozenset().union(*(view.coming for view in views))
        missing_for = missing.missing_for(self._clock())
        move = next_overdue(
            spec.models, demand, views, missing_for, cold, missing.loading
        )
        if move is not None:
            missing.loading.add(move.model)
            log("model_overdue", model=move.model, missing_for=missing_for[move.model])
        return move

    def _idle_move(
        self,
        spec: EngineSpec,
        missing: MissingModels,
        demand: dict[Model, float],
        views: list[EngineView],
        cold: bool,
    ) -> Move | None:
        for view in views:
            if view.models:
                self._homes.setdefault(view.upstream, view.models)
        unstaged = [v for v in views if v.upstream not in self._staged]
        staging = (
            next_staging(spec.models, demand, unstaged, views, missing.longest_first())
            if cold
            else None
        )
        if staging is not None:
            self._staged.add(staging.upstream)
            return staging
        return next_return(spec.models, demand, views, self._homes)

    def _begin_load(self, desk: Desk, move: Move, demand: dict[Model, float]) -> None:
        desk.engine.loading = move.model
        desk.engine.leaving = frozenset(move.victims)
        desk.engine.ready_at = self._clock() + move.takes
        log(
            "load_begins",
            upstream=move.upstream,
            model=move.model,
            instead=",".join(move.victims) or "-",
            cold=move.cold,
            drain=move.drain,
            demand=demand.get(move.model, 0.0),
        )
        # A thread of its own, one an engine at most: loads take seconds, and orders for
        # adapters would wait for them once as many engines load as there are workers.
        threading.Thread(
            target=self._guarded,
            args=(desk.load, move.model, move.victims, move.seconds, move.drain),
            name="load",
            daemon=True,
        ).start()


def _stays(desk: Desk, service: Service) -> bool:
    """Return whether an engine is one of a service's that calls may still go to.

    Counted in, the models of one that is leaving would be loaded elsewhere only once it
    has gone, and callers be refused from the moment at which it gets no more calls.
    """
    record = desk.engine.record
    return record.service == service and not record.draining


def _restarted(desk: Desk, record: UpstreamRecord) -> bool:
    return record.born != desk.engine.record.born


def _view(desk: Desk, used: Mapping[Upstream, set[Model]], now: float) -> EngineView:
    engine = desk.engine
    loaded = engine.loaded_at.items()
    holding = engine.holding
    coming = frozenset({engine.loading} if engine.loading is not None else ())
    return EngineView(
        upstream=engine.record.name,
        memory=engine.spec.memory,
        adapters_memory=engine.adapters_memory(),
        models=frozenset(holding.models) if holding else frozenset(),
        busy_for=desk.busy_for(),
        coming=coming,
        late=engine.loading is not None and now >= engine.ready_at,
        leaving=engine.leaving,
        in_memory=holding.in_memory if holding else frozenset(),
        on_disk=holding.on_disk if holding else frozenset(),
        settling=frozenset(model for model, at in loaded if now - at < SETTLED),
        running=frozenset(used.get(engine.record.name, ())),
        drain=engine.drains.expected,
    )
