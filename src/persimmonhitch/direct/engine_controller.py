"""Sends load and unload orders to one engine and tracks its inventory."""

import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Final

from returns.result import Success

from ..fleet.upstream import EngineInventory
from ..ids import Adapter, Epoch, Model
from ..observe.logs import log
from .engine_client import ORDER_TIMEOUT_S, EngineClient, Order, OrderOutcome
from .engine_state import EngineState
from .order_history import NO_GUARD, OrderGuard

ADAPTER_LOAD_S: Final = 0.02
"""Seconds from an order until the adapter is ready; a load takes 5 to 14 ms while few
others are in progress."""
MAX_CONCURRENT_ADAPTER_LOADS: Final = 4
"""Adapters that an engine loads concurrently, as its interface specifies."""
REPORT_LAG_S: Final = 0.15
"""Seconds by which reports lag; until then, they show the state before an order."""
POLL_INTERVAL_S: Final = 0.1
"""Seconds between two report requests for a load that is overdue."""
CONFIRMATION_TIMEOUT_S: Final = 12.0
"""Seconds after which an order that no report confirms counts as lost; the engine
may still execute an unanswered order until then."""
MAX_DRAIN_S: Final = 12.0
"""Maximum seconds that a load waits for reported requests of evicted models; then the
unload is ordered, and the engine waits for those that still run."""
MAX_IDLE_WAIT_S: Final = 1.0
"""Seconds that a load waits for another order of the engine; then it is given up, and a
later placement round decides anew."""
UNKNOWN_STATE_BUSY_S: Final = 1.0
"""Seconds for which an engine with an unknown inventory counts as busy."""
REPORT_POLL_S: Final = 0.3
"""Minimum seconds between two report requests while the inventory is unknown; a crashed
engine answers none of them."""
REPLACED_PAUSE_S: Final = 1.0
"""Seconds without orders after another instance answered at the engine's address."""
MAX_ATTEMPTS: Final = 3
"""Attempts per order; the engine's report is read before each retry."""
CONFLICT_RETRY_S: Final = 0.05
"""Seconds between two attempts of a load order that an unfinished unload blocks."""
MAX_CONFLICT_ATTEMPTS: Final = 5
LOAD_MARGIN_S: Final = 0.03
"""Seconds added to the expected time of a load from memory or disk; then the model is
published as resident, some hundred ms before a report confirms the load."""
ADAPTER_WINDOW_S: Final = 0.5
"""Minimum seconds between two model loads of an engine. An engine accepts no adapter
orders during a model load; without a pause, consecutive loads would cause refusals of
all requests for adapters that are not loaded."""
ADAPTER_SETTLE_S: Final = 2.0
"""Seconds after its last use or load for which an adapter is not evicted for callers
that are not waiting; its own callers may be about to return."""
UNLOAD_DELAY_S: Final = 0.03
"""Seconds between the broadcast of an eviction and the unload order; without a delay,
the engine would refuse requests for the model that are already in transit."""

Clock = Callable[[], float]


class EngineController:
    """Sends orders to a single engine, one after the other, each with a precondition.

    Every order states how many orders the engine must have accepted before. If the
    engine has accepted another order since, or an earlier order arrives late, the count
    differs and the engine refuses the order. This prevents loads into memory in use.

    Parameters
    ----------
    in_use : callable
        Returns whether running requests use an adapter.
    running_requests : callable
        Returns the number of running requests of each model at the engine, as far as
        they are reported.
    """

    def __init__(
        self,
        engine: EngineState,
        client: EngineClient,
        epoch: Callable[[], Epoch | None],
        publish: Callable[["EngineController"], None],
        in_use: Callable[[EngineState, Model, Adapter], bool],
        clock: Clock = time.monotonic,
        sleep: Callable[[float], object] = time.sleep,
        running_requests: Callable[[EngineState], Mapping[Model, int]] = lambda _: {},
        guard: OrderGuard = NO_GUARD,
    ) -> None:
        self._guard = guard
        self._was_unreachable = False
        """Whether the engine did not answer since its last report."""
        self.engine = engine
        self.lock = threading.Lock()
        self._client = client
        self._epoch = epoch
        self._publish = publish
        self._in_use = in_use
        self._running_requests = running_requests
        self._clock = clock
        self._sleep = sleep
        self.orders_allowed_at = 0.0
        """Time before which no orders are sent: another entry may have sent one."""
        self.loads_allowed_at = 0.0
        """Time before which no models are loaded, so that adapters can be loaded."""
        self.last_order_at: float | None = None
        """Latest time at which the last order may arrive at the engine."""
        self.polled_at: float | None = None

    def busy_s(self) -> float:
        """Return the seconds until the engine can accept an order for a model."""
        now = self._clock()
        engine = self.engine
        if engine.loading is not None:
            return max(POLL_INTERVAL_S, engine.ready_at - now)
        if engine.inventory is None or engine.inventory.busy:
            return max(UNKNOWN_STATE_BUSY_S, self.orders_allowed_at - now)
        return max(0.0, self.orders_allowed_at - now, self.loads_allowed_at - now)

    def accepts_adapters(self) -> bool:
        """Return whether the engine is expected to accept orders for adapters now."""
        engine = self.engine
        if engine.inventory is None or engine.inventory.busy:
            return False
        if engine.loading is not None and not engine.draining:
            return False
        return self._clock() >= self.orders_allowed_at

    def needs_report(self) -> bool:
        """Return whether the inventory is unknown and a new report is due."""
        inventory = self.engine.inventory
        if self.engine.loading is not None or (inventory and not inventory.busy):
            return False
        return self.polled_at is None or self._clock() - self.polled_at >= REPORT_POLL_S

    def refresh(self) -> bool:
        """Read the engine's report; return whether it updated the inventory."""
        self.polled_at = self._clock()
        result = self._client.get_report(self.engine.record)
        if not isinstance(result, Success):
            failure = result.failure()
            self._was_unreachable |= failure.unreachable
            log(
                "report_failed",
                upstream=self.engine.record.name,
                error=failure.detail,
            )
            return False
        inventory: EngineInventory = result.unwrap()
        old = self.engine.inventory
        if old is not None and old.order_count > inventory.order_count:
            return False
        self._set_inventory(inventory)
        self._log_inventory(inventory)
        if self.last_order_at is None:
            self._wait_after_late_order(inventory.order_count)
        self._was_unreachable = False
        return True

    def _wait_after_late_order(self, order_count: int) -> None:
        allowed_at = self._guard.allowed_at(
            order_count, self._was_unreachable, self._clock()
        )
        if allowed_at <= max(self._clock(), self.orders_allowed_at):
            return
        self.orders_allowed_at = allowed_at
        log(
            "late_order_possible",
            upstream=self.engine.record.name,
            orders=order_count,
            reported=self._guard.reported_count,
            unreachable=self._was_unreachable,
            wait=allowed_at - self._clock(),
        )

    def _set_inventory(self, inventory: EngineInventory) -> None:
        old, self.engine.inventory = self.engine.inventory, inventory
        if old is not None and old.busy:
            # A load of a previous leader has ended.
            for model in inventory.models.keys() - old.models.keys():
                self.engine.loaded_at[model] = self._clock()
        if not inventory.busy:
            self.engine.inherited_loads = {}
        # An adapter that is no longer loaded, e.g. since its model was unloaded, has
        # released its slot.
        self.engine.unloading = {p for p in self.engine.unloading if inventory.has(*p)}

    def _log_inventory(self, inventory: EngineInventory) -> None:
        loaded = [f"{m}/{'+'.join(sorted(a))}" for m, a in inventory.models.items()]
        loading = [f"{m}/{'+'.join(sorted(a))}" for m, a in inventory.loading.items()]
        log(
            "engine_learned",
            upstream=self.engine.record.name,
            orders=inventory.order_count,
            held=",".join(loaded) or "-",
            coming=",".join(loading) or "-",
            busy=inventory.busy,
        )

    # -- adapters ----------------------------------------------------------------

    def load_adapter(
        self, model: Model, adapter: Adapter, waiting: bool = True
    ) -> bool:
        """Load an adapter; return whether it is ready for requests.

        Unless callers are ``waiting`` for it, adapters used lately are not evicted.
        """
        with self.lock:
            if self._epoch() is None or self._clock() < self.orders_allowed_at:
                return False
            if not self._start_adapter_load(model, adapter, waiting):
                return False
            engine = self.engine
            if engine.inventory is not None and engine.inventory.has(model, adapter):
                engine.adapter_used_at[model, adapter] = self._clock()
                self._publish(self)
                return True
        # Wait without the lock: an engine loads several adapters concurrently.
        self._sleep(ADAPTER_LOAD_S)
        with self.lock:
            self._mark_adapter_loaded(model, adapter)
            self._publish(self)
        return True

    def _start_adapter_load(
        self, model: Model, adapter: Adapter, waiting: bool
    ) -> bool:
        engine = self.engine
        if engine.inventory is None and not self.refresh():
            return False
        for _ in range(MAX_ATTEMPTS):
            inventory = engine.inventory
            if inventory is None or model not in inventory.models:
                return False
            if (model, adapter) in engine.unloading:
                return False
            if model in engine.evicting or not self.accepts_adapters():
                # An engine accepts no adapter orders during a model load.
                return False
            if inventory.has(model, adapter) or adapter in inventory.loading.get(
                model, frozenset()
            ):
                return True
            if inventory.adapter_slots_used() >= engine.spec.adapter_slots:
                if not self._free_adapter_slot(waiting):
                    return False
                continue
            outcome = self._send(Order(True, model, adapter))
            if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.ALREADY_DONE):
                self._mark_adapter_loading(model, adapter)
                return True
            if not self._resync(outcome):
                return False
        return False

    def _mark_adapter_loading(self, model: Model, adapter: Adapter) -> None:
        inventory = self.engine.inventory
        assert inventory is not None
        loading = dict(inventory.loading)
        loading[model] = loading.get(model, frozenset()) | {adapter}
        self.engine.inventory = replace(inventory, loading=loading)

    def _mark_adapter_loaded(self, model: Model, adapter: Adapter) -> None:
        inventory = self.engine.inventory
        if inventory is None or model not in inventory.models:
            return
        models, loading = dict(inventory.models), dict(inventory.loading)
        models[model] = models[model] | {adapter}
        loading[model] = loading.get(model, frozenset()) - {adapter}
        self.engine.inventory = replace(inventory, models=models, loading=loading)
        self.engine.adapter_used_at[model, adapter] = self._clock()

    def _free_adapter_slot(self, waiting: bool) -> bool:
        if self.engine.unloading:
            return self._check_unloads()
        settled_before = self._clock() - (0.0 if waiting else ADAPTER_SETTLE_S)
        return self._evict_adapter(settled_before)

    def _evict_adapter(self, settled_before: float) -> bool:
        """Unload the least recently used adapter that is not in use.

        Adapters that were used after ``settled_before`` are kept.
        """
        inventory = self.engine.inventory
        assert inventory is not None
        loaded = [(m, a) for m, names in inventory.models.items() for a in names]
        used_at = self.engine.adapter_used_at
        idle = [
            pair
            for pair in loaded
            if used_at.get(pair, 0.0) <= settled_before
            and not self._in_use(self.engine, *pair)
        ]
        if not idle:
            log("no_adapter_slot", upstream=self.engine.record.name, held=len(loaded))
            return False
        model, adapter = min(idle, key=lambda p: used_at.get(p, 0.0))
        self.engine.unloading.add((model, adapter))
        self._publish(self)
        outcome = self._send(Order(False, model, adapter))
        if outcome is OrderOutcome.ALREADY_DONE:
            self._remove_adapter(model, adapter)
            return True
        if outcome is OrderOutcome.ACCEPTED:
            # Unreported requests use the adapter, e.g. those of a disconnected entry.
            # The engine frees the slot when these requests have ended.
            return False
        self.engine.unloading.discard((model, adapter))
        return self._resync(outcome)

    def _remove_adapter(self, model: Model, adapter: Adapter) -> None:
        inventory = self.engine.inventory
        assert inventory is not None
        models = dict(inventory.models)
        models[model] = models[model] - {adapter}
        self.engine.inventory = replace(inventory, models=models)
        self.engine.unloading.discard((model, adapter))

    def _check_unloads(self) -> bool:
        """Return whether a pending unload has completed since the last report."""
        now = self._clock()
        if self.polled_at is not None and now - self.polled_at < REPORT_LAG_S:
            return False
        self.polled_at = now
        inventory = self.engine.inventory
        result = self._client.get_report(self.engine.record)
        if inventory is None or not isinstance(result, Success):
            return False
        report: EngineInventory = result.unwrap()
        if report.order_count != inventory.order_count:
            return False
        unloaded = [pair for pair in self.engine.unloading if not report.has(*pair)]
        for model, adapter in unloaded:
            if inventory.has(model, adapter):
                self._remove_adapter(model, adapter)
        return bool(unloaded)

    # -- models ------------------------------------------------------------------

    def load_model(
        self,
        model: Model,
        evictions: tuple[Model, ...],
        load_s: float,
        drain_s: float = 0.0,
    ) -> None:
        """Evict models, load another one and wait until the load has ended.

        Parameters
        ----------
        load_s : float
            Expected time of the load.
        drain_s : float
            Expected time of the evictions; 0 if the evicted models are not in use.
        """
        engine = self.engine
        with self.lock:
            engine.plan_load(model, evictions, load_s, drain_s, self._clock())
            self._publish(self)
        begun_at = drained_at = self._clock()
        loaded = False
        try:
            if evictions:
                self._sleep(UNLOAD_DELAY_S)
            started_at = self._clock()
            running = self._running_requests(engine)
            requests = max((running.get(m, 0) for m in evictions), default=0)
            in_use = drain_s > 0 and not self._drain(evictions)
            if all(self._unload_model(evicted, in_use) for evicted in evictions):
                drained_at = self._clock()
                if drain_s:
                    engine.drain_time.record(drained_at - started_at, requests)
                loaded = self._order_load(model, load_s)
        finally:
            with self.lock:
                if engine.spec.adapter_slots:
                    self.loads_allowed_at = self._clock() + ADAPTER_WINDOW_S
                engine.end_load()
                self._publish(self)
            log(
                "load_ended",
                upstream=engine.record.name,
                model=model,
                loaded=loaded,
                drained_in=drained_at - begun_at,
                expected=drain_s,
                seconds=self._clock() - begun_at,
            )

    def _drain(self, evictions: tuple[Model, ...]) -> bool:
        """Wait until no request uses the evicted models; return whether none does.

        An engine that is ordered to unload a model in use accepts no other order until
        the last of its requests has ended, and streams may run for many seconds.
        """
        engine = self.engine
        deadline = self._clock() + MAX_DRAIN_S
        while not set(evictions).isdisjoint(self._running_requests(engine)):
            if self._clock() >= deadline or self._epoch() is None:
                break
            self._sleep(POLL_INTERVAL_S)
        with self.lock:
            engine.end_drain(self._clock())
            self._publish(self)
        return set(evictions).isdisjoint(self._running_requests(engine))

    def _order_load(self, model: Model, load_s: float) -> bool:
        """Order a load and wait for its end; return whether the model is loaded."""
        engine = self.engine
        for _ in range(MAX_ATTEMPTS):
            if not self._await_idle():
                return False
            with self.lock:
                inventory = engine.inventory
                if inventory is None:
                    return False
                if inventory.has(model, None):
                    return True
                if engine.memory_used() > engine.spec.memory_mb:
                    log("no_room", upstream=engine.record.name, model=model)
                    return False
                outcome = self._send_with_retry(Order(True, model))
                if outcome not in (OrderOutcome.ACCEPTED, OrderOutcome.ALREADY_DONE):
                    if self._resync(outcome):
                        continue
                    return False
                engine.ready_at = self._clock() + load_s
                self._publish(self)
            if load_s < engine.spec.models[model].cold_load_s:
                self._sleep(load_s + LOAD_MARGIN_S)
                self._mark_model_loaded(model)
                load_s = 0.0
            if not self._wait_for_report(lambda r: r.has(model, None), load_s):
                return False
            engine.loaded_at[model] = self._clock()
            return True
        return False

    def _await_idle(self) -> bool:
        """Wait while the engine executes another order; return whether it is idle.

        A load in progress appears in no report, and its end does not change the order
        count. An order based on such a report could exceed the engine's memory.
        """
        deadline = self._clock() + MAX_IDLE_WAIT_S
        while True:
            inventory = self.engine.inventory
            if inventory is None or not inventory.busy:
                return inventory is not None
            if self._clock() >= deadline:
                return False
            self._sleep(POLL_INTERVAL_S)
            with self.lock:
                self.refresh()

    def _send_with_retry(self, order: Order) -> OrderOutcome:
        """Send an order, with retries while the engine executes the previous one."""
        for _ in range(MAX_CONFLICT_ATTEMPTS):
            outcome = self._send(order)
            if outcome is not OrderOutcome.CONFLICT:
                return outcome
            self._sleep(CONFLICT_RETRY_S)
        return outcome

    def _mark_model_loaded(self, model: Model) -> None:
        """Publish a model as resident when its expected load time has passed."""
        with self.lock:
            inventory = self.engine.inventory
            if inventory is None or model in inventory.models:
                return
            models = dict(inventory.models)
            models[model] = frozenset()
            self.engine.inventory = replace(inventory, models=models)
            self._publish(self)

    def _unload_model(self, model: Model, in_use: bool) -> bool:
        """Unload a model; if it is in use, wait until its requests have ended."""
        for _ in range(MAX_ATTEMPTS):
            with self.lock:
                inventory = self.engine.inventory
                if inventory is None:
                    return False
                if model not in inventory.models:
                    return True
                outcome = self._send(Order(False, model))
                if outcome not in (OrderOutcome.ACCEPTED, OrderOutcome.ALREADY_DONE):
                    if self._resync(outcome):
                        continue
                    return False
                if not in_use:
                    # The unload takes effect immediately. If an unreported request
                    # still uses the model, the engine refuses orders until it ends.
                    self._remove_model(model)
                    return True
            return self._wait_for_report(lambda report: model not in report.models, 0.0)
        return False

    def _remove_model(self, model: Model) -> None:
        inventory = self.engine.inventory
        assert inventory is not None
        models = {m: a for m, a in inventory.models.items() if m != model}
        self.engine.inventory = replace(inventory, models=models)

    def _wait_for_report(
        self, is_done: Callable[[EngineInventory], bool], min_wait_s: float
    ) -> bool:
        """Wait until the engine's report confirms an order."""
        self._sleep(max(min_wait_s, REPORT_LAG_S))
        deadline = self._clock() + CONFIRMATION_TIMEOUT_S
        while self._clock() < deadline and self._epoch() is not None:
            result = self._client.get_report(self.engine.record)
            if isinstance(result, Success):
                done = self._apply_report(result.unwrap(), is_done)
                if done is not None:
                    return done
            self._sleep(POLL_INTERVAL_S)
        log("order_overdue", upstream=self.engine.record.name)
        with self.lock:
            self.engine.inventory = None
        return False

    def _apply_report(
        self, report: EngineInventory, is_done: Callable[[EngineInventory], bool]
    ) -> bool | None:
        """Apply a report; return whether the order is done, None if still pending."""
        with self.lock:
            inventory = self.engine.inventory
            if inventory is None:
                return False
            # A report from before the last order does not show the order's effect.
            if (
                report.order_count < inventory.order_count
                or report.busy
                or not is_done(report)
            ):
                return None
            self._set_inventory(report)
            return True

    # -- orders ------------------------------------------------------------------

    def _send(self, order: Order) -> OrderOutcome:
        inventory = self.engine.inventory
        epoch = self._epoch()
        if inventory is None or epoch is None or self._clock() < self.orders_allowed_at:
            return OrderOutcome.FENCED
        self.last_order_at = self._clock() + ORDER_TIMEOUT_S
        outcome = self._client.send_order(
            self.engine.record, order, inventory.order_count, epoch
        )
        self.last_order_at = self._clock()
        log(
            "order",
            upstream=self.engine.record.name,
            load=order.load,
            model=order.model,
            adapter=order.adapter or "-",
            after=inventory.order_count,
            epoch=epoch,
            outcome=outcome.value,
        )
        unloaded = outcome is OrderOutcome.ALREADY_DONE and not order.load
        if outcome is OrderOutcome.ACCEPTED or unloaded:
            self.engine.inventory = replace(
                inventory, order_count=inventory.order_count + 1
            )
        return outcome

    def _resync(self, outcome: OrderOutcome) -> bool:
        """Reread the engine's report after a failure; return whether to retry."""
        if outcome is OrderOutcome.GONE:
            # Another instance runs at this address. Pause orders until the store drops
            # the old record; an immediate retry would fail likewise.
            self.engine.inventory = None
            self.orders_allowed_at = self._clock() + REPLACED_PAUSE_S
        if outcome in (
            OrderOutcome.FENCED,
            OrderOutcome.GONE,
            OrderOutcome.LIMITED,
        ):
            return False
        self._sleep(REPORT_LAG_S)
        self.engine.inventory = None
        return self.refresh()
