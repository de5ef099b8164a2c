"""Copies of models at this sidecar's engine: who may use them, who orders them."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from ..ids import Incarnation, Model, Upstream, Vm, Zone
from ..observe.logs import log
from ..verdict import ErrorCode, Failure
from ..wire.link import Link
from ..wire.messages import Order, Submit
from ..wire.placement import Copy, Inventory
from .demand import DemandMeter
from .engine_api import HttpEngine
from .ledger import Ledger
from .orders import OrderDesk
from .settings import SidecarSettings

FIRST_LISTING: Final = 5.0
"""Seconds that the start waits for an engine that does not answer yet."""
IDLE_LOOK: Final = 0.02
RETRY_ELSEWHERE: Final = 0.1


class EngineCopies:
    """The order desk of an engine, with the requests that use its copies.

    Parameters
    ----------
    cfg : SidecarSettings
        Memory, limits and the engine's address.
    open_on : callable
        Number of requests that wait or run on a model here.
    """

    def __init__(self, cfg: SidecarSettings, open_on: Callable[[Model], int]) -> None:
        self._cfg = cfg
        self._open_on = open_on
        self._entering: Counter[Model] = Counter()
        self._entering_lock = threading.Lock()
        self._on_change: Callable[[], None] = lambda: None
        self.demand = DemandMeter()
        ledger = Ledger(cfg.memory, cfg.order_limit, time.monotonic())
        engine = HttpEngine(cfg.url, cfg.order_timeout)
        self._desk = OrderDesk(ledger, engine, self._changed, self._wait_idle)

    def start(self, on_change: Callable[[], None]) -> None:
        """Learn what the engine holds, and keep knowing it."""
        end = time.monotonic() + FIRST_LISTING
        while not self._desk.refresh() and time.monotonic() < end:
            time.sleep(self._cfg.list_period)
        self._on_change = on_change
        self._desk.start(self._cfg.list_period)

    def stop(self) -> None:
        """Take no more orders."""
        self._desk.stop()

    def models(self) -> tuple[Model, ...]:
        """Return the names that may be asked for here."""
        return tuple(sorted({copy.name for copy in self._desk.serving()}))

    @contextmanager
    def using(self, sub: Submit) -> Iterator[Failure | None]:
        """Yield why a request can't use its copy, or None while it is handed on.

        An unload that begins meanwhile waits for it: the request would else reach
        an engine that has just dropped the model, and its caller get an error.
        """
        name = sub.model
        with self._entering_lock:
            self._entering[name] += 1
        try:
            self.demand.asked(name, sub.cost)
            yield None if name in self.models() else _not_here(name)
        finally:
            with self._entering_lock:
                self._entering[name] -= 1

    def order(self, msg: Order, link: Link) -> None:
        """Carry out an order; its end goes back over the link."""
        self._desk.submit(msg, link.send)

    def holdings(self, incarnation: Incarnation, draining: bool) -> Inventory:
        """Return what is held, for the planner."""
        cfg = self._cfg
        capacity, free, ready, epoch = self._desk.memory()
        return Inventory(
            upstream=Upstream(cfg.upstream),
            vm=Vm(cfg.vm),
            zone=Zone(cfg.zone),
            incarnation=incarnation,
            epoch=epoch,
            capacity_gib=capacity,
            free_gib=free,
            accepts_loads=ready,
            draining=draining,
            copies=self._desk.holdings(self.demand.rates()),
        )

    def _changed(self) -> None:
        self._on_change()

    def _wait_idle(self, copy: Copy) -> None:
        name = copy.name
        if name in self.models():
            # Another revision of it serves here on.
            return
        end = time.monotonic() + self._cfg.stop_limit
        while self._busy(name) and time.monotonic() < end:
            time.sleep(IDLE_LOOK)
        if self._busy(name):
            log("unload_cuts", model=name, requests=self._open_on(name))

    def _busy(self, name: Model) -> bool:
        with self._entering_lock:
            entering = self._entering[name]
        return entering > 0 or self._open_on(name) > 0


def _not_here(name: Model) -> Failure:
    reason = f"model {name} is not loaded at this upstream"
    return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=RETRY_ELSEWHERE)
