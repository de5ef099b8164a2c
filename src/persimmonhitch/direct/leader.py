"""The holder of the orders lease: has models and adapters loaded where they are asked.

One entry at a time gives orders, under a lease in the store. All entries tell it what
is asked of them and what runs; it tells them what each engine holds.
"""

import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from ..decide.bursts import LoadRate
from ..decide.demand import Demand
from ..decide.residency import EngineView, Move, next_move
from ..fleet.config import EngineSpec, FleetConfig
from ..fleet.upstream import UpstreamRecord
from ..ids import Adapter, Epoch, Model, Service, Upstream, Vm
from ..observe.logs import log
from ..planner.lease import LeaseKeeper
from .desk import Desk, Engine, held_models
from .engine_client import EngineClient
from .news import HoldingNews, NodeNews, Want

PERIOD: Final = 0.1
"""Seconds between two looks at what should be loaded."""
WORKERS: Final = 24
"""Orders under way at a time, each waiting for an engine most of its time."""
PEER_NEWS_LIFE: Final = 1.0
PUBLISH_EVERY: Final = 1.0
"""Seconds after which holdings are told again, for entries that have started since."""


class Leader:
    """Gives orders while this entry holds the lease.

    Parameters
    ----------
    tell : callable
        Takes news for this entry and all others.
    guard : float
        Seconds that have to pass between orders of two entries.
    """

    def __init__(
        self,
        vm: Vm,
        lease: LeaseKeeper,
        tell: Callable[[HoldingNews], None],
        guard: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._lease = lease
        self._tell = tell
        self._guard = guard
        self._clock = clock
        self._client = EngineClient(vm)
        self._cfg: FleetConfig | None = None
        self._records: dict[Upstream, UpstreamRecord] = {}
        self._desks: dict[Upstream, Desk] = {}
        self._demand = Demand()
        self._rate = LoadRate()
        self._in_use: dict[Vm, tuple[float, frozenset[str]]] = {}
        self._active_from: float | None = None
        self._refreshing: set[Upstream] = set()
        self._told_at = 0.0
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._pool = ThreadPoolExecutor(WORKERS, thread_name_prefix="orders")
        self._thread = threading.Thread(target=self._run, name="leader", daemon=True)
        self._lease_thread = threading.Thread(
            target=self._keep_lease, name="lease", daemon=True
        )

    def start(self) -> None:
        """Seek the lease and give orders while it is held."""
        self._lease_thread.start()
        self._thread.start()

    def stop(self) -> None:
        """Give no more orders and let the next entry have the lease."""
        self._stopping.set()
        self._lease.release()

    def _keep_lease(self) -> None:
        while not self._stopping.is_set():
            try:
                self._lease.step()
            except Exception as exc:
                log("lease_step_failed", error=repr(exc))
            self._stopping.wait(self._lease.step_every)

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
            self._in_use[vm] = (now, frozenset(msg.adapters))
            self._demand.hear(vm, msg.asked, now)

    def hear_want(self, msg: Want) -> None:
        """Take what an entry is missing."""
        if not self._is_active() or msg.upstream is None or msg.adapter is None:
            return
        with self._lock:
            desk = self._desks.get(msg.upstream)
        if desk is not None:
            self._pool.submit(self._guarded, desk.fetch, msg.model, msg.adapter)

    # -- rounds ----------------------------------------------------------------------

    def _epoch(self) -> Epoch | None:
        if not self._is_active():
            return None
        return self._lease.epoch()

    def _is_active(self) -> bool:
        at = self._active_from
        return at is not None and self._clock() >= at and not self._stopping.is_set()

    def _run(self) -> None:
        while not self._stopping.wait(PERIOD):
            self._guarded(self.round)

    def _guarded(self, step: Callable[..., object], *args: object) -> None:
        try:
            step(*args)
        except Exception as exc:
            log("order_step_failed", error=repr(exc))

    def round(self) -> None:
        """Look once at what should be loaded."""
        if self._lease.epoch() is None:
            if self._active_from is not None:
                log("orders_ended")
            self._active_from = None
            return
        if self._active_from is None:
            self._begin()
        if not self._is_active():
            return
        self._open_desks()
        self._place()
        if self._clock() - self._told_at >= PUBLISH_EVERY:
            self._told_at = self._clock()
            for desk in list(self._desks.values()):
                self._publish(desk)

    def _begin(self) -> None:
        wait = self._guard if self._lease.taken_from_other else 0.0
        self._active_from = self._clock() + wait
        with self._lock:
            self._desks = {}
        self._rate = LoadRate()
        log("orders_begin", after=wait, epoch=self._lease.epoch())

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
                    self._desks[name] = self._desk(Engine(record, spec))
                else:
                    desk.engine.record = record
            fresh = [d for d in self._desks.values() if d.engine.holding is None]
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
        return Desk(engine, self._client, self._epoch, self._publish, self._runs)

    def _runs(self, engine: Engine, model: Model, adapter: Adapter) -> bool:
        name = f"{engine.record.name}/{model}/{adapter}"
        now = self._clock()
        with self._lock:
            return any(
                name in names
                for heard_at, names in self._in_use.values()
                if now - heard_at <= PEER_NEWS_LIFE
            )

    def _publish(self, desk: Desk) -> None:
        engine = desk.engine
        if engine.holding is None:
            return
        now = self._clock()
        coming = {}
        if engine.loading is not None:
            coming[engine.loading] = max(0.0, engine.ready_at - now)
        self._tell(
            HoldingNews(
                engine.record.name,
                engine.holding.born,
                engine.holding.orders,
                dict(held_models(engine)),
                coming,
            )
        )

    def _place(self) -> None:
        now = self._clock()
        with self._lock:
            cfg = self._cfg
            demand = self._demand.rates(now)
            desks = list(self._desks.values())
        if cfg is None:
            return
        for service in cfg.services.values():
            if service.engine is None:
                continue
            mine = [d for d in desks if d.engine.record.service == service.name]
            self._place_service(service.engine, demand, mine, now)

    def _place_service(
        self,
        spec: EngineSpec,
        demand: dict[Model, float],
        desks: list[Desk],
        now: float,
    ) -> None:
        by_name = {desk.engine.record.name: desk for desk in desks}
        for _ in range(len(desks)):
            views = [_view(desk) for desk in desks]
            cold = self._rate.allowed(spec.loads_per_second, now)
            move = next_move(spec.models, demand, views, cold)
            if move is None:
                return
            if move.cold:
                self._rate.take(spec.loads_per_second, now)
            self._begin_load(by_name[move.upstream], move, demand)

    def _begin_load(self, desk: Desk, move: Move, demand: dict[Model, float]) -> None:
        desk.engine.loading = move.model
        desk.engine.leaving = frozenset(move.victims)
        log(
            "load_begins",
            upstream=move.upstream,
            model=move.model,
            instead=",".join(move.victims) or "-",
            cold=move.cold,
            demand=demand.get(move.model, 0.0),
        )
        self._pool.submit(
            self._guarded, desk.load, move.model, move.victims, move.seconds
        )


def _restarted(desk: Desk, record: UpstreamRecord) -> bool:
    held, told = desk.engine.holding, record.holding
    return held is not None and told is not None and told.born > held.born


def _view(desk: Desk) -> EngineView:
    engine = desk.engine
    holding = engine.holding
    coming = frozenset({engine.loading} if engine.loading is not None else ())
    return EngineView(
        upstream=engine.record.name,
        memory=engine.spec.memory,
        adapters_memory=engine.adapters_memory(),
        models=frozenset(holding.models) if holding else frozenset(),
        open=desk.free and not engine.record.draining,
        coming=coming,
        leaving=engine.leaving,
        in_memory=holding.in_memory if holding else frozenset(),
        on_disk=holding.on_disk if holding else frozenset(),
    )
