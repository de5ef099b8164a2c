"""Carries out the planner's orders against the engine, through the ledger."""

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
from .engine_api import EngineApi, Silence
from .ledger import Answer, Begin, Ledger

AT_ONCE: Final = 4
"""Orders carried out side by side; a slow base must not hold up small adapters."""
GONE_AFTER: Final = {
    Silence.REFUSED: 3.0,
    Silence.NO_ANSWER: 30.0,
    Silence.BROKEN: 30.0,
}
"""Seconds without a list after which the engine's copies count as gone. An engine that
takes no connection is dead; one that is slow to answer may be at work."""
ERRORS: Final = {
    Answer.REFUSED: OrderError.REFUSED,
    Answer.UNKNOWN: OrderError.NO_ANSWER,
}

Done = Callable[[OrderDone], object]


def always_idle(_copy: Copy) -> None:
    """Count a copy as free of running requests."""


class OrderDesk:
    """The only one that gives the engine orders.

    Parameters
    ----------
    ledger : Ledger
        Memory of the engine's accelerator.
    engine : EngineApi
        Where orders go.
    on_change : callable
        Called without arguments after the copies that serve may have changed.
    wait_idle : callable
        Returns once no request runs on a copy that has left service.
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
        self._pool = ThreadPoolExecutor(AT_ONCE, thread_name_prefix="order")
        self._stopping = threading.Event()
        self._silent_since: float | None = None
        self._gone = False

    def start(self, list_period: float) -> None:
        """Ask the engine for its list every ``list_period`` seconds."""
        thread = threading.Thread(
            target=self._keep_listing, args=(list_period,), name="listing", daemon=True
        )
        thread.start()

    def stop(self) -> None:
        """Take no more orders; those under way keep their reservations."""
        self._stopping.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def serving(self) -> tuple[Copy, ...]:
        """Return the copies that may take requests."""
        with self._lock:
            return () if self._gone else self._ledger.serving()

    def holdings(self, demand: dict[Model, float]) -> tuple[CopyStatus, ...]:
        """Return every copy with its state, memory and demand."""
        with self._lock:
            entries = [] if self._gone else self._ledger.entries()
        served: Counter[Model] = Counter(c.name for c, _, _ in entries)
        return tuple(
            CopyStatus(c, s, m, demand.get(c.name, 0.0) / served[c.name])
            for c, s, m in entries
        )

    def memory(self) -> tuple[float, float, bool, Epoch]:
        """Return capacity, free GiB, whether loads are allowed, and the epoch."""
        with self._lock:
            ledger = self._ledger
            ready = ledger.ready() and not self._gone
            return ledger.capacity, ledger.free(), ready, ledger.epoch

    def see_epoch(self, epoch: Epoch) -> bool:
        """Refuse older epochs from now on."""
        with self._lock:
            return self._ledger.see_epoch(epoch)

    def submit(self, order: Order, done: Done) -> None:
        """Carry out an order on a thread of its own; ``done`` gets its end."""
        if self._stopping.is_set():
            self._finish(order, done, OrderError.REFUSED)
            return
        self._pool.submit(self._run, order, done)

    def refresh(self) -> bool:
        """Set the ledger right by the engine's own list; return whether it answered."""
        asked_at = self._clock()
        result = self._engine.listing()
        if isinstance(result, Err):
            self._note_silence(result.failure(), asked_at)
            return False
        before = set(self.serving())
        with self._lock:
            self._silent_since, self._gone = None, False
            self._ledger.take_listing(result.unwrap(), asked_at, self._clock())
        if before != set(self.serving()):
            self._on_change()
        return True

    def _note_silence(self, why: Silence, asked_at: float) -> None:
        # A dead engine beside a living sidecar would else count as serving: its
        # models are not loaded elsewhere, and callers meet it for ever.
        if self._silent_since is None:
            self._silent_since = asked_at
            log("engine_silent", why=why.value)
        silent = self._clock() - self._silent_since
        if silent >= GONE_AFTER[why] and not self._gone:
            log("engine_gone", why=why.value, silent=silent)
            with self._lock:
                self._gone = True
            self._on_change()

    def _keep_listing(self, period: float) -> None:
        while not self._stopping.is_set():
            self.refresh()
            self._stopping.wait(period)

    def _run(self, order: Order, done: Done) -> None:
        try:
            error = self._carry_out(order)
        except Exception as exc:
            log("order_failed", order=order.order_id, error=repr(exc))
            error = OrderError.NO_ANSWER
        self._finish(order, done, error)

    def _finish(self, order: Order, done: Done, error: OrderError | None) -> None:
        text = "" if error is None else error.value
        log("order_done", order=order.order_id, action=order.action, error=text or "-")
        done(OrderDone(order.order_id, order.epoch, text))

    def _carry_out(self, order: Order) -> OrderError | None:
        copy = Copy(order.model, order.adapter, order.revision)
        if order.action == Action.FENCE.value:
            return None if self.see_epoch(order.epoch) else OrderError.STALE_EPOCH
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
        # Entries hear first that the copy takes no more; requests that run on it
        # end before the engine drops it.
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
