"""An engine in memory that takes orders as the platform's interface says."""

from returns.result import Failure as Err
from returns.result import Success

from persimmonhitch.direct.engine_client import OrderOutcome
from persimmonhitch.direct.engine_controller import EngineController, EngineState
from persimmonhitch.fleet.config import EngineSpec, ModelSpec
from persimmonhitch.fleet.upstream import EngineInventory, UpstreamRecord
from persimmonhitch.ids import Adapter, Epoch, Model, Service, Upstream, Zone

SPECS = {
    Model(name): ModelSpec(Model(name), memory, 8.0, 1.7, 0.6, 8, 0.5)
    for name, memory in (("big", 80.0), ("other", 80.0), ("small", 30.0))
}
SPEC = EngineSpec(64, 100_000, 200.0, 2, 1.5, SPECS)


class Clock:
    """A clock that tests move; ``sleep`` moves it too."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


class FakeEngine:
    """Holds models and adapters; notes when it is ordered beyond its room."""

    def __init__(self, clock, models=("big",), adapters=(), lag=0.0):
        self.clock = clock
        self.models = {Model(name): set() for name in models}
        for name in adapters:
            self.models[Model(models[0])].add(Adapter(name))
        self.orders = 0
        self.busy_until = 0.0
        self.loading = None
        self.overfull = []
        self.log = []
        self.running = set()
        """Adapters that calls use: their unload waits for these to end."""
        self.ending = set()
        self.leaving = set()
        """Models whose unload waits for the calls that use them."""
        self.lose_answers = 0
        self.load_time = 1.7
        self.on_disk = set()
        self.late = []
        self.record = UpstreamRecord(
            Upstream("e1"),
            Service("llm"),
            "10.0.0.1",
            80,
            Zone("z1"),
            64,
            False,
            1,
            None,
        )

    def _settle(self):
        if self.loading is not None and self.clock() >= self.busy_until:
            self.models[self.loading] = set()
            self.loading = None

    def _places(self):
        return sum(len(names) for names in self.models.values())

    def send_order(self, _record, order, order_count, _epoch):
        self._settle()
        self.log.append((order, order_count))
        if self.lose_answers:
            self.lose_answers -= 1
            self.late.append((order, order_count))
            return OrderOutcome.UNKNOWN
        return self.take(order, order_count)

    def run_late(self):
        for order, orders in self.late:
            self.take(order, orders)
        self.late = []

    def take(self, order, orders):
        if orders != self.orders or self.loading is not None or self.leaving:
            return OrderOutcome.CONFLICT
        self.orders += 1
        if order.adapter is not None:
            return self._adapter(order)
        return self._model(order)

    def _adapter(self, order):
        held = self.models[order.model]
        if not order.load:
            if order.adapter in self.running:
                self.ending.add(order.adapter)
                return OrderOutcome.ACCEPTED
            held.discard(order.adapter)
            return OrderOutcome.ALREADY_DONE
        if self._places() >= SPEC.adapter_slots:
            self.overfull.append(order)
        held.add(order.adapter)
        return OrderOutcome.ACCEPTED

    def _model(self, order):
        if not order.load:
            if order.model in self.running:
                self.leaving.add(order.model)
            else:
                self.models.pop(order.model, None)
            return OrderOutcome.ACCEPTED
        memory = sum(SPECS[name].memory_mb for name in self.models)
        if memory + SPECS[order.model].memory_mb > SPEC.memory_mb:
            self.overfull.append(order)
        self.loading, self.busy_until = order.model, self.clock() + self.load_time
        return OrderOutcome.ACCEPTED

    def end_runs(self):
        for held in self.models.values():
            held -= self.ending
        for model in self.leaving:
            self.models.pop(model, None)
        self.leaving = set()
        self.running, self.ending = set(), set()

    def get_report(self, _record):
        self._settle()
        models = {name: frozenset(names) for name, names in self.models.items()}
        busy = self.loading is not None or bool(self.leaving)
        return Success(
            EngineInventory(
                self.orders, models, on_disk=frozenset(self.on_disk), busy=busy
            )
        )


class DeadEngine(FakeEngine):
    """Answers nothing."""

    def get_report(self, _record):
        return Err("refused")


def desk_of(engine, clock, in_use=lambda *_: False, epoch=lambda: Epoch(1)):
    """Return a desk for an engine, and what it published."""
    told = []
    desk = EngineController(
        EngineState(engine.record, SPEC),
        engine,
        epoch,
        lambda d: told.append((clock(), sorted(d.engine.inventory.models))),
        in_use,
        clock,
        clock.sleep,
    )
    return desk, told
