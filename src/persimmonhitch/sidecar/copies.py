"""Copies of models on this sidecar's engine: their use and their orders."""

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
from .order_executor import OrderExecutor
from .settings import SidecarSettings

FIRST_LISTING_TIMEOUT_S: Final = 5.0
"""Time for which the start waits for an engine that does not answer yet."""
IDLE_POLL_S: Final = 0.02
RETRY_ELSEWHERE_S: Final = 0.1


class EngineCopies:
    """Executes orders of an engine and tracks the requests that use its copies.

    Parameters
    ----------
    cfg : SidecarSettings
        Memory, limits and the engine's address.
    open_on : callable
        Returns the number of requests that wait or run on a model.
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
        self._executor = OrderExecutor(ledger, engine, self._changed, self._wait_idle)

    def start(self, on_change: Callable[[], None]) -> None:
        """Read the engine's inventory, then poll it."""
        end = time.monotonic() + FIRST_LISTING_TIMEOUT_S
        while not self._executor.refresh() and time.monotonic() < end:
            time.sleep(self._cfg.list_period)
        self._on_change = on_change
        self._executor.start(self._cfg.list_period)

    def stop(self) -> None:
        """Accept no more orders."""
        self._executor.stop()

    def models(self) -> tuple[Model, ...]:
        """Return the names of the models and adapters that serve requests."""
        return tuple(sorted({copy.name for copy in self._executor.serving()}))

    @contextmanager
    def using(self, sub: Submit) -> Iterator[Failure | None]:
        """Yield why a request can't use its copy, or None while it is submitted.

        An unload that begins meanwhile waits for the request. Otherwise the request
        would reach an engine that has just dropped the model, and fail.
        """
        name = sub.model
        with self._entering_lock:
            self._entering[name] += 1
        try:
            self.demand.record(name, sub.cost)
            yield None if name in self.models() else _not_loaded(name)
        finally:
            with self._entering_lock:
                self._entering[name] -= 1

    def order(self, msg: Order, link: Link) -> None:
        """Execute an order; send its result over the link."""
        self._executor.submit(msg, link.send)

    def inventory(self, incarnation: Incarnation, draining: bool) -> Inventory:
        """Return the inventory for the planner."""
        cfg = self._cfg
        capacity, free, ready, epoch = self._executor.memory()
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
            copies=self._executor.copy_statuses(self.demand.rates()),
        )

    def _changed(self) -> None:
        self._on_change()

    def _wait_idle(self, copy: Copy) -> None:
        name = copy.name
        if name in self.models():
            # Another revision of the model serves requests.
            return
        end = time.monotonic() + self._cfg.stop_limit
        while self._busy(name) and time.monotonic() < end:
            time.sleep(IDLE_POLL_S)
        if self._busy(name):
            log("unload_cuts", model=name, requests=self._open_on(name))

    def _busy(self, name: Model) -> bool:
        with self._entering_lock:
            entering = self._entering[name]
        return entering > 0 or self._open_on(name) > 0


def _not_loaded(name: Model) -> Failure:
    reason = f"model {name} is not loaded at this upstream"
    return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=RETRY_ELSEWHERE_S)
