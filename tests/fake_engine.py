"""In-memory engine that executes orders as the platform interface specifies."""

from returns.result import Failure as Err
from returns.result import Success

from persimmonhitch.direct.engine_client import OrderOutcome, ReportFailure
from persimmonhitch.direct.engine_controller import EngineController
from persimmonhitch.direct.engine_state import EngineState
from persimmonhitch.direct.order_history import NO_GUARD
from persimmonhitch.fleet.config import EngineSpec, ModelSpec
from persimmonhitch.fleet.upstream import EngineInventory, UpstreamRecord
from persimmonhitch.ids import Adapter, Epoch, Model, Service, Upstream, Zone

SPECS = {
    Model(name): ModelSpec(Model(name), memory, 8.0, 1.7, 0.6, 8, 0.5)
    for name, memory in (("big", 80.0), ("other", 80.0), ("small", 30.0))
}
SPEC = EngineSpec(64, 100_000, 200.0, 2, 1.5, SPECS)


class Clock:
    """Manual clock; ``sleep`` advances it."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


class FakeEngine:
    """Engine with resident models; records orders that exceed its capacity."""

    def __init__(self, clock, models=("big",), adapters=(), lag=0.0):
        self.clock = clock
        self.models = {Model(name): set() for name in models}
        for name in adapters:
            self.models[Model(models[0])].add(Adapter(name))
        self.sequence = 0
        """Number of executed orders."""
        self.loaded_at = 0.0
        self.loading = None
        self.over_capacity = []
        self.log = []
        self.in_use = set()
        """Models and adapters of running requests, which their unload waits for."""
        self.unloading_adapters = set()
        self.unloading = set()
        """Models whose unload waits for running requests."""
        self.lose_answers = 0
        self.load_time = 1.7
        self.on_disk = set()
        self.delayed_orders = []
        self.memory_mb = SPEC.memory_mb
        self.lag = lag
        """Seconds by which reports are late."""
        self._reports = []
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

    def _apply_finished(self):
        if self.loading is not None and self.clock() >= self.loaded_at:
            self.models[self.loading] = set()
            self.loading = None
            self._record_report(self.loaded_at)

    def _used_slots(self):
        return sum(len(names) for names in self.models.values())

    def send_order(self, _record, order, order_count, _epoch):
        self._apply_finished()
        self.log.append((order, order_count))
        if self.lose_answers:
            self.lose_answers -= 1
            self.delayed_orders.append((order, order_count))
            return OrderOutcome.UNKNOWN
        return self.execute(order, order_count)

    def deliver_delayed(self):
        for order, expected in self.delayed_orders:
            self.execute(order, expected)
        self.delayed_orders = []

    def execute(self, order, expected):
        if expected != self.sequence or self.loading is not None or self.unloading:
            return OrderOutcome.CONFLICT
        self._record_report(self.clock() - self.lag)
        self.sequence += 1
        if order.adapter is not None:
            outcome = self._execute_for_adapter(order)
        else:
            outcome = self._execute_for_model(order)
        self._record_report(self.clock())
        return outcome

    def _execute_for_adapter(self, order):
        adapters = self.models[order.model]
        if not order.load:
            if order.adapter in self.in_use:
                self.unloading_adapters.add(order.adapter)
                return OrderOutcome.ACCEPTED
            adapters.discard(order.adapter)
            return OrderOutcome.ALREADY_DONE
        if self._used_slots() >= SPEC.adapter_slots:
            self.over_capacity.append(order)
        adapters.add(order.adapter)
        return OrderOutcome.ACCEPTED

    def _execute_for_model(self, order):
        if not order.load:
            if order.model in self.in_use:
                self.unloading.add(order.model)
            else:
                self.models.pop(order.model, None)
            return OrderOutcome.ACCEPTED
        memory = sum(SPECS[name].memory_mb for name in self.models)
        if memory + SPECS[order.model].memory_mb > self.memory_mb:
            self.over_capacity.append(order)
        self.loading, self.loaded_at = order.model, self.clock() + self.load_time
        return OrderOutcome.ACCEPTED

    def finish_requests(self):
        for adapters in self.models.values():
            adapters -= self.unloading_adapters
        for model in self.unloading:
            self.models.pop(model, None)
        self.unloading = set()
        self.in_use, self.unloading_adapters = set(), set()

    def get_report(self, _record):
        self._apply_finished()
        as_of = self.clock() - self.lag
        past = [report for at, report in self._reports if at <= as_of]
        return Success(past[-1] if self.lag and past else self._current_report())

    def _record_report(self, at):
        if self.lag:
            self._reports.append((at, self._current_report()))

    def _current_report(self):
        models = {name: frozenset(names) for name, names in self.models.items()}
        busy = self.loading is not None or bool(self.unloading)
        return EngineInventory(
            self.sequence, models, on_disk=frozenset(self.on_disk), busy=busy
        )


class UnreachableEngine(FakeEngine):
    """Engine that refuses every status request."""

    def get_report(self, _record):
        return Err(ReportFailure("refused"))


def controller_of(
    engine,
    clock,
    in_use=lambda *_: False,
    epoch=lambda: Epoch(1),
    running_requests=lambda _: {},
    guard=NO_GUARD,
):
    """Return a controller for an engine, and the inventories that it publishes."""
    published = []
    controller = EngineController(
        EngineState(engine.record, SPEC),
        engine,
        epoch,
        lambda d: published.append((clock(), sorted(d.engine.inventory.models))),
        in_use,
        clock,
        clock.sleep,
        running_requests,
        guard,
    )
    return controller, published
