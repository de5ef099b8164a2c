"""Executes the planner's orders on the engine, checked by the memory ledger."""

import math
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from returns.result import Failure as Err
from returns.result import Success

from ..ids import Epoch, Model
from ..observe.logs import log
from ..wire.messages import Order, OrderDone
from ..wire.placement import Action, Copy, CopyStatus, OrderError
from .engine_api import EngineApi, ListingError
from .ledger import Answer, Begin, Ledger

MAX_CONCURRENT_ORDERS: Final = 4
"""Several, so that the slow load of a base model does not delay small adapters."""
GONE_AFTER_S: Final = {
    ListingError.REFUSED: 3.0,
    ListingError.NO_ANSWER: 30.0,
    ListingError.BROKEN: 30.0,
}
"""Time without an inventory after which the engine's copies count as gone. An engine
that refuses connections is dead; one that answers slowly may be busy."""
ERRORS: Final = {
    Answer.REFUSED: OrderError.REFUSED,
    Answer.UNKNOWN: OrderError.NO_ANSWER,
}

Done = Callable[[OrderDone], object]


def always_idle(_copy: Copy) -> None:
    """Return at once, as if no request used the copy."""


class OrderExecutor:
    """The only sender of orders to the engine.

    Parameters
    ----------
    ledger : Ledger
        Memory of the engine's accelerator.
    engine : EngineApi
        Receives the orders.
    on_change : callable
        Called without arguments after the copies that serve may have changed.
    wait_idle : callable
        Returns once no request uses a copy that accepts no new ones.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        ledger: Ledger,
        engine: EngineApi,
        on_change: Callable[[], None],
        wait_idle: Callable[[Copy], None] = always_idle,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ledger = ledger
        self._engine = engine
        self._on_change = on_change
        self._wait_idle = wait_idle
        self._clock = clock
        self._lock = threading.Lock()
        self._pool = ThreadPoolExecutor(
            MAX_CONCURRENT_ORDERS, thread_name_prefix="order"
        )
        self._stopping = threading.Event()
        self._unanswered_since: float | None = None
        self._gone = False

    def start(self, list_period: float) -> None:
        """Read the engine's inventory every ``list_period`` seconds."""
        thread = threading.Thread(
            target=self._poll_inventory,
            args=(list_period,),
            name="listing",
            daemon=True,
        )
        thread.start()

    def stop(self) -> None:
        """Accept no more orders; those in progress keep their reservations."""
        self._stopping.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def serving(self) -> tuple[Copy, ...]:
        """Return the copies that serve requests."""
        with self._lock:
            return () if self._gone else self._ledger.serving()

    def copy_statuses(self, demand: dict[Model, float]) -> tuple[CopyStatus, ...]:
        """Return all copies with their states, memory and demand."""
        with self._lock:
            entries = [] if self._gone else self._ledger.entries()
        served: Counter[Model] = Counter(c.name for c, _, _ in entries)
        return tuple(
            CopyStatus(c, s, m, demand.get(c.name, 0.0) / served[c.name])
            for c, s, m in entries
        )

    def memory(self) -> tuple[float, float, bool, Epoch]:
        """Return the capacity, the free GiB, whether loads may start, and the epoch."""
        with self._lock:
            ledger = self._ledger
            ready = ledger.ready() and not self._gone
            return ledger.capacity, ledger.free(), ready, ledger.epoch

    def observe_epoch(self, epoch: Epoch) -> bool:
        """Refuse older epochs from now on; return whether this one is current."""
        with self._lock:
            return self._ledger.observe_epoch(epoch)

    def submit(self, order: Order, done: Done) -> None:
        """Execute an order on a thread of the pool; ``done`` receives its result."""
        if self._stopping.is_set():
            self._finish(order, done, OrderError.REFUSED)
            return
        self._pool.submit(self._run, order, done)

    def refresh(self) -> bool:
        """Update the ledger from the engine's inventory; return whether it answered."""
        asked_at = self._clock()
        result = self._engine.listing()
        if isinstance(result, Err):
            self._record_no_answer(result.failure(), asked_at)
            return False
        before = set(self.serving())
        with self._lock:
            self._unanswered_since, self._gone = None, False
            self._ledger.apply_listing(result.unwrap(), asked_at, self._clock())
        if before != set(self.serving()):
            self._on_change()
        return True

    def _record_no_answer(self, why: ListingError, asked_at: float) -> None:
        # Otherwise a dead engine beside a running sidecar would count as serving, and
        # its models would not be loaded elsewhere.
        if self._unanswered_since is None:
            self._unanswered_since = asked_at
            log("engine_silent", why=why.value)
        silent = self._clock() - self._unanswered_since
        if silent >= GONE_AFTER_S[why] and not self._gone:
            log("engine_gone", why=why.value, silent=silent)
            with self._lock:
                self._gone = True
            self._on_change()

    def _poll_inventory(self, period: float) -> None:
        while not self._stopping.is_set():
            self.refresh()
            self._stopping.wait(period)

    def _run(self, order: Order, done: Done) -> None:
        try:
            error = self._execute(order)
        except Exception as exc:
            log("order_failed", order=order.order_id, error=repr(exc))
            error = OrderError.NO_ANSWER
        self._finish(order, done, error)

    def _finish(self, order: Order, done: Done, error: OrderError | None) -> None:
        text = "" if error is None else error.value
        log("order_done", order=order.order_id, action=order.action, error=text or "-")
        done(OrderDone(order.order_id, order.epoch, text))

    def _execute(self, order: Order) -> OrderError | None:
        copy = Copy(order.model, order.adapter, order.revision)
        if order.action == Action.FENCE.value:
            return None if self.observe_epoch(order.epoch) else OrderError.STALE_EPOCH
        if order.action == Action.LOAD.value:
            return self._load(copy, order.memory_gib, order.epoch)
        if order.action == Action.UNLOAD.value:
            return self._unload(copy, order.epoch)
        return OrderError.BAD_ACTION

    def _load(self, copy: Copy, memory: float, epoch: Epoch) -> OrderError | None:
        if self._gone:
            return OrderError.STARTING
        if not 0.0 < memory < math.inf:
            return OrderError.BAD_MEMORY
        with self._lock:
            begun = self._ledger.begin_load(copy, memory, epoch, self._clock())
        if isinstance(begun, Err):
            error: OrderError = begun.failure()
            return error
        if begun == Success(Begin.ALREADY):
            return None
        answer = Answer.UNKNOWN
        try:
            answer = self._engine.load(copy, memory, epoch)
        finally:
            with self._lock:
                self._ledger.end_load(copy, answer, self._clock())
        self._on_change()
        return ERRORS.get(answer)

    def _unload(self, copy: Copy, epoch: Epoch) -> OrderError | None:
        with self._lock:
            begun = self._ledger.begin_unload(copy, epoch, self._clock())
        if isinstance(begun, Err):
            error: OrderError = begun.failure()
            return error
        if begun == Success(Begin.ALREADY):
            return None
        # Entries stop sending requests first; requests that run on the copy end before
        # the engine drops it.
        self._on_change()
        answer = Answer.UNKNOWN
        try:
            self._wait_idle(copy)
            answer = self._engine.unload(copy, epoch)
        finally:
            with self._lock:
                self._ledger.end_unload(copy, answer, self._clock())
        self._on_change()
        return ERRORS.get(answer)
