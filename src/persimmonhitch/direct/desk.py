"""Orders to one engine: what it holds, and what is asked of it, one step at a time."""

import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Final

from returns.result import Success

from ..decide.drains import DrainTime
from ..fleet.config import EngineSpec, ModelSpec
from ..fleet.upstream import Holding, UpstreamRecord
from ..ids import Adapter, Epoch, Model
from ..observe.logs import log
from .engine_client import EngineClient, Order, Outcome

ADAPTER_TIME: Final = 0.02
"""Seconds from an order to an adapter that serves; a load takes 5 to 14 ms while few
are under way."""
INCOMING_MOST: Final = 4
"""Adapters that an engine loads at the same time, by its interface."""
REPORT_AGE: Final = 0.15
"""Seconds by which reports lag; one that is asked for sooner shows the state before."""
POLL: Final = 0.1
"""Seconds between two looks at a load that is overdue."""
OVERDUE: Final = 12.0
"""Seconds after which a load that does not show counts as lost; an order that got no
answer may be carried out this late."""
UNKNOWN_FOR: Final = 1.0
"""Seconds that an engine counts as busy whose state is still to be learned."""
ASK_AGAIN: Final = 0.3
"""Seconds between two asks for a state; an engine that has crashed answers none."""
GONE_FOR: Final = 1.0
"""Seconds without orders to an address at which another instance answers."""
TRIES: Final = 3
"""Tries of one order; each further one has first read the engine's state anew."""
SOON: Final = 0.05
"""Seconds between two tries of a load whose place is about to be free."""
SOON_TRIES: Final = 5
LOAD_MARGIN: Final = 0.03
"""Seconds beyond its time after which a load from near counts as done; the report that
shows it comes some hundred ms later, and callers wait for it."""
ADAPTER_TURN: Final = 0.5
"""Seconds after the load of a model in which its engine begins no other one. It takes
no order for an adapter during a load, and where loads follow each other at once, calls
for adapters that it lacks are refused through all of them."""
KEPT_BACK: Final = 0.03
"""Seconds between the news that a model leaves and the order: calls that are on their
way to it would be refused there."""

Clock = Callable[[], float]


@dataclass
class Engine:
    """One engine as the holder of the lease knows it."""

    record: UpstreamRecord
    spec: EngineSpec
    holding: Holding | None = None
    used_at: dict[tuple[Model, Adapter], float] = field(default_factory=dict)
    ending: set[tuple[Model, Adapter]] = field(default_factory=set)
    """Adapters whose unload was ordered; they keep their places until it is done."""
    loaded_at: dict[Model, float] = field(default_factory=dict)
    loading: Model | None = None
    ready_at: float = 0.0
    drains: DrainTime = field(default_factory=DrainTime)
    leaving: frozenset[Model] = frozenset()

    def memory_taken(self) -> float:
        """Return the MB that models and adapters take, those on their way included."""
        if self.holding is None:
            return self.spec.memory
        held = set(self.holding.models)
        if self.loading is not None:
            held.add(self.loading)
        taken = sum(self._model(m).memory for m in held)
        return taken + self.adapters_memory()

    def adapters_memory(self) -> float:
        """Return the MB that adapters take or may take."""
        if self.holding is None:
            return 0.0
        most = max((m.adapter_memory for m in self.spec.models.values()), default=0.0)
        return most * self.spec.adapter_slots

    def _model(self, name: Model) -> ModelSpec:
        spec = self.spec.models.get(name)
        # A model that the configuration no longer names still takes memory.
        return spec or ModelSpec(name, self.spec.memory, 0, 0, 0, 0, 0)


class Desk:
    """Sends orders to one engine, one after the other, each on its precondition.

    Every order names the number of orders that it comes after. An engine that has
    taken another one meanwhile, or an earlier one late, refuses it, so nothing is ever
    loaded into memory that something else took.
    """

    def __init__(
        self,
        engine: Engine,
        client: EngineClient,
        epoch: Callable[[], Epoch | None],
        publish: Callable[["Desk"], None],
        in_use: Callable[[Engine, Model, Adapter], bool],
        clock: Clock = time.monotonic,
        sleep: Callable[[float], object] = time.sleep,
    ) -> None:
        self.engine = engine
        self.lock = threading.Lock()
        self._client = client
        self._epoch = epoch
        self._publish = publish
        self._in_use = in_use
        self._clock = clock
        self._sleep = sleep
        self.free_from = 0.0
        """Until then an order of another entry may be too recent."""
        self.load_from = 0.0
        """Until then adapters go before another load."""
        self.ordered_at: float | None = None
        self.asked_at: float | None = None

    def busy_for(self) -> float:
        """Return the seconds until the engine can take an order for a model."""
        now = self._clock()
        engine = self.engine
        if engine.loading is not None:
            return max(POLL, engine.ready_at - now)
        if engine.holding is None or engine.holding.busy:
            return max(UNKNOWN_FOR, self.free_from - now)
        return max(0.0, self.free_from - now, self.load_from - now)

    def to_be_learned(self) -> bool:
        """Return whether the engine's state is unknown and due to be asked for."""
        holding = self.engine.holding
        if self.engine.loading is not None or (holding and not holding.busy):
            return False
        return self.asked_at is None or self._clock() - self.asked_at >= ASK_AGAIN

    def refresh(self) -> bool:
        """Read the engine's own report; return whether it told anything."""
        self.asked_at = self._clock()
        result = self._client.report(self.engine.record)
        if not isinstance(result, Success):
            log(
                "report_failed",
                upstream=self.engine.record.name,
                error=result.failure(),
            )
            return False
        holding: Holding = result.unwrap()
        old = self.engine.holding
        if old is not None and old.orders > holding.orders:
            return False
        self._adopt(holding)
        self._log_learned(holding)
        return True

    def _adopt(self, holding: Holding) -> None:
        self.engine.holding = holding
        # What is gone, such as with its model, takes no place any more.
        self.engine.ending = {p for p in self.engine.ending if holding.has(*p)}

    def _log_learned(self, holding: Holding) -> None:
        held = [f"{m}/{'+'.join(sorted(a))}" for m, a in holding.models.items()]
        coming = [f"{m}/{'+'.join(sorted(a))}" for m, a in holding.incoming.items()]
        log(
            "engine_learned",
            upstream=self.engine.record.name,
            orders=holding.orders,
            held=",".join(held) or "-",
            coming=",".join(coming) or "-",
            busy=holding.busy,
        )

    # -- adapters ----------------------------------------------------------------

    def fetch(self, model: Model, adapter: Adapter) -> bool:
        """Have an adapter loaded; return whether it serves now."""
        with self.lock:
            if self._epoch() is None or self._clock() < self.free_from:
                return False
            if not self._start_fetch(model, adapter):
                return False
            engine = self.engine
            if engine.holding is not None and engine.holding.has(model, adapter):
                engine.used_at[model, adapter] = self._clock()
                self._publish(self)
                return True
        # Outside the lock: an engine loads several adapters at the same time.
        self._sleep(ADAPTER_TIME)
        with self.lock:
            self._add(model, adapter)
            self._publish(self)
        return True

    def _start_fetch(self, model: Model, adapter: Adapter) -> bool:
        engine = self.engine
        if engine.holding is None and not self.refresh():
            return False
        for _ in range(TRIES):
            holding = engine.holding
            if holding is None or model not in holding.models:
                return False
            if (model, adapter) in engine.ending:
                return False
            if model in engine.leaving or engine.loading is not None:
                # It takes no order for an adapter while it loads a model.
                return False
            if holding.has(model, adapter) or adapter in holding.incoming.get(
                model, frozenset()
            ):
                return True
            if holding.places_taken() >= engine.spec.adapter_slots:
                if not self._make_place():
                    return False
                continue
            outcome = self._send(Order(True, model, adapter))
            if outcome in (Outcome.ACCEPTED, Outcome.HOLDS):
                self._note_incoming(model, adapter)
                return True
            if not self._recover(outcome):
                return False
        return False

    def _note_incoming(self, model: Model, adapter: Adapter) -> None:
        holding = self.engine.holding
        assert holding is not None
        incoming = dict(holding.incoming)
        incoming[model] = incoming.get(model, frozenset()) | {adapter}
        self.engine.holding = replace(holding, incoming=incoming)

    def _add(self, model: Model, adapter: Adapter) -> None:
        holding = self.engine.holding
        if holding is None or model not in holding.models:
            return
        models, incoming = dict(holding.models), dict(holding.incoming)
        models[model] = models[model] | {adapter}
        incoming[model] = incoming.get(model, frozenset()) - {adapter}
        self.engine.holding = replace(holding, models=models, incoming=incoming)
        self.engine.used_at[model, adapter] = self._clock()

    def _make_place(self) -> bool:
        if self.engine.ending:
            return self._look_at_ending()
        return self._evict()

    def _evict(self) -> bool:
        """Unload the adapter that was used least recently and runs nothing."""
        holding = self.engine.holding
        assert holding is not None
        held = [(m, a) for m, names in holding.models.items() for a in names]
        idle = [pair for pair in held if not self._in_use(self.engine, *pair)]
        if not idle:
            log("no_adapter_place", upstream=self.engine.record.name, held=len(held))
            return False
        model, adapter = min(idle, key=lambda p: self.engine.used_at.get(p, 0.0))
        self.engine.ending.add((model, adapter))
        self._publish(self)
        outcome = self._send(Order(False, model, adapter))
        if outcome is Outcome.HOLDS:
            self._drop(model, adapter)
            return True
        if outcome is Outcome.ACCEPTED:
            # Calls use it that nobody has told of, such as those of an entry that is
            # cut off. Its place is free once they have ended and not before.
            return False
        self.engine.ending.discard((model, adapter))
        return self._recover(outcome)

    def _drop(self, model: Model, adapter: Adapter) -> None:
        holding = self.engine.holding
        assert holding is not None
        models = dict(holding.models)
        models[model] = models[model] - {adapter}
        self.engine.holding = replace(holding, models=models)
        self.engine.ending.discard((model, adapter))

    def _look_at_ending(self) -> bool:
        """Return whether an adapter whose unload waited for its calls has gone."""
        now = self._clock()
        if self.asked_at is not None and now - self.asked_at < REPORT_AGE:
            return False
        self.asked_at = now
        held = self.engine.holding
        result = self._client.report(self.engine.record)
        if held is None or not isinstance(result, Success):
            return False
        told: Holding = result.unwrap()
        if told.orders != held.orders:
            return False
        gone = [pair for pair in self.engine.ending if not told.has(*pair)]
        for model, adapter in gone:
            if held.has(model, adapter):
                self._drop(model, adapter)
        return bool(gone)

    # -- models ------------------------------------------------------------------

    def load(
        self,
        model: Model,
        victims: tuple[Model, ...],
        seconds: float,
        drain: float = 0.0,
    ) -> None:
        """Load a model after others have made room for it; returns at its end.

        ``seconds`` is the time of the load, ``drain`` that of the unloads before it.
        """
        engine = self.engine
        with self.lock:
            engine.leaving = frozenset(victims)
            engine.loading = model
            engine.ready_at = self._clock() + drain + seconds
            self._publish(self)
        try:
            if victims:
                self._sleep(KEPT_BACK)
            began = self._clock()
            if all(self._unload(victim, drain > 0) for victim in victims):
                if drain:
                    engine.drains.saw(self._clock() - began)
                self._load(model, seconds)
        finally:
            with self.lock:
                if engine.spec.adapter_slots:
                    self.load_from = self._clock() + ADAPTER_TURN
                engine.loading = None
                engine.leaving = frozenset()
                self._publish(self)

    def _load(self, model: Model, seconds: float) -> None:
        engine = self.engine
        for _ in range(TRIES):
            with self.lock:
                holding = engine.holding
                if holding is None or holding.has(model, None):
                    return
                if engine.memory_taken() > engine.spec.memory:
                    log("no_room", upstream=engine.record.name, model=model)
                    return
                outcome = self._send_soon(Order(True, model))
                if outcome not in (Outcome.ACCEPTED, Outcome.HOLDS):
                    if self._recover(outcome):
                        continue
                    return
                engine.ready_at = self._clock() + seconds
                self._publish(self)
            if seconds < engine.spec.models[model].load_cold:
                self._sleep(seconds + LOAD_MARGIN)
                self._expect(model)
                seconds = 0.0
            if self._await(lambda held: held.has(model, None), seconds):
                engine.loaded_at[model] = self._clock()
            return

    def _send_soon(self, order: Order) -> Outcome:
        """Send an order that the engine refuses until the one before is done."""
        for _ in range(SOON_TRIES):
            outcome = self._send(order)
            if outcome is not Outcome.CONFLICT:
                return outcome
            self._sleep(SOON)
        return outcome

    def _expect(self, model: Model) -> None:
        """Tell that a model serves whose load takes no longer than is known."""
        with self.lock:
            holding = self.engine.holding
            if holding is None or model in holding.models:
                return
            models = dict(holding.models)
            models[model] = frozenset()
            self.engine.holding = replace(holding, models=models)
            self._publish(self)

    def _unload(self, model: Model, runs: bool) -> bool:
        """Unload a model; ``runs`` says whether its calls are to be waited for."""
        for _ in range(TRIES):
            with self.lock:
                holding = self.engine.holding
                if holding is None:
                    return False
                if model not in holding.models:
                    return True
                outcome = self._send(Order(False, model))
                if outcome not in (Outcome.ACCEPTED, Outcome.HOLDS):
                    if self._recover(outcome):
                        continue
                    return False
                if not runs:
                    # It is gone at once, and if a call is left that nobody has told of,
                    # the engine refuses the next order until it has ended.
                    self._forget(model)
                    return True
            return self._await(lambda held: model not in held.models, 0.0)
        return False

    def _forget(self, model: Model) -> None:
        holding = self.engine.holding
        assert holding is not None
        models = {name: held for name, held in holding.models.items() if name != model}
        self.engine.holding = replace(holding, models=models)

    def _await(self, reached: Callable[[Holding], bool], seconds: float) -> bool:
        """Wait until the engine's report shows what an order asked for."""
        self._sleep(max(seconds, REPORT_AGE))
        end = self._clock() + OVERDUE
        while self._clock() < end and self._epoch() is not None:
            result = self._client.report(self.engine.record)
            if isinstance(result, Success):
                told = self._take(result.unwrap(), reached)
                if told is not None:
                    return told
            self._sleep(POLL)
        log("order_overdue", upstream=self.engine.record.name)
        with self.lock:
            self.engine.holding = None
        return False

    def _take(self, told: Holding, reached: Callable[[Holding], bool]) -> bool | None:
        """Take a report; return whether the order is done, None if not yet."""
        with self.lock:
            held = self.engine.holding
            if held is None:
                return False
            # One that is older than our last order says nothing of it.
            if told.orders < held.orders or told.busy or not reached(told):
                return None
            self._adopt(told)
            return True

    # -- orders ------------------------------------------------------------------

    def _send(self, order: Order) -> Outcome:
        holding = self.engine.holding
        epoch = self._epoch()
        if holding is None or epoch is None or self._clock() < self.free_from:
            return Outcome.FENCED
        self.ordered_at = self._clock()
        outcome = self._client.order(self.engine.record, order, holding.orders, epoch)
        log(
            "order",
            upstream=self.engine.record.name,
            load=order.load,
            model=order.model,
            adapter=order.adapter or "-",
            after=holding.orders,
            epoch=epoch,
            outcome=outcome.value,
        )
        unloaded = outcome is Outcome.HOLDS and not order.load
        if outcome is Outcome.ACCEPTED or unloaded:
            self.engine.holding = replace(holding, orders=holding.orders + 1)
        return outcome

    def _recover(self, outcome: Outcome) -> bool:
        """Learn the engine's state anew; return whether another try may help."""
        if outcome is Outcome.GONE:
            # Until its entry is removed; an order a moment later meets the same.
            self.engine.holding = None
            self.free_from = self._clock() + GONE_FOR
        if outcome in (Outcome.FENCED, Outcome.GONE, Outcome.LIMITED):
            return False
        self._sleep(REPORT_AGE)
        self.engine.holding = None
        return self.refresh()


def held_models(engine: Engine) -> Mapping[Model, tuple[Adapter, ...]]:
    """Return what calls may use at an engine, without what is about to leave."""
    if engine.holding is None:
        return {}
    ending = engine.ending
    return {
        model: tuple(sorted(name for name in names if (model, name) not in ending))
        for model, names in engine.holding.models.items()
        if model not in engine.leaving
    }
