"""Rare models beside busy ones are served with any number of engines and models."""

from dataclasses import dataclass, field, replace

import pytest
from direct_help import no_limits
from fake_engine import Clock
from fleet import wait_for
from returns.result import Success

from persimmonhitch.direct.leader import Leader
from persimmonhitch.direct.order_history import NO_GUARD
from persimmonhitch.direct.peer_messages import EntryUpdate
from persimmonhitch.fleet.config import EngineSpec, FleetConfig, ModelSpec, ServiceSpec
from persimmonhitch.fleet.upstream import EngineInventory, UpstreamRecord
from persimmonhitch.ids import ConfigVersion, Epoch, Model, Service, Upstream, Vm, Zone

LLM = Service("llm")
READ_RATE = 24_000.0
"""Tokens per second that an engine reads."""
ROUND_INTERVAL_S = 0.1
COLD_LOAD_S = 8.0
BUSY_RATE = 24_000.0
"""Tokens per second requested of each busy model: more than the engines can serve."""
STORE_LOADS_PER_S = 6.5
"""Loads per second that the weight store serves."""


class HeldLease:
    """Election in which this entry is the leader."""

    predecessor = None

    def epoch(self):
        return Epoch(1)

    def orders_allowed_at(self, _upstream, _leading_since):
        return 0.0

    def order_guard(self, _upstream):
        return NO_GUARD


def model_names(prefix, count):
    return [Model(f"{prefix}{n}") for n in range(count)]


@dataclass
class Caller:
    """Requests for a model, with ``tokens`` each ``interval_s``."""

    model: Model
    tokens: float
    interval_s: float
    requested: float = 0.0
    """Tokens requested so far."""

    def requests_due(self, elapsed):
        """Count the requests due by some time; return whether there is a new one."""
        before = self.requested
        self.requested = (int(elapsed / self.interval_s) + 1) * self.tokens
        return self.requested > before


class RecordingLeader(Leader):
    """Leader that appends loads to a list instead of sending orders."""

    def __init__(self, *args):
        super().__init__(*args)
        self.loads = []

    def _start_load(self, controller, move, demand):
        controller.engine.plan_load(
            move.model, move.evicted, move.load_s, move.drain_s, self._clock()
        )
        self.loads.append((controller, move))


@dataclass
class Fleet:
    """Engines with room for two models, whose loads take time by a fake clock.

    ``resident`` gives the models of each engine by its number.
    """

    engines: int
    callers: list
    resident: dict
    models: list
    clock: Clock = field(default_factory=Clock)
    served: set = field(default_factory=set)

    def __post_init__(self):
        specs = {
            m: ModelSpec(m, 80.0, COLD_LOAD_S, 1.7, 0.6, 0, 0.0) for m in self.models
        }
        spec = EngineSpec(64, 100_000, 190.0, 2, STORE_LOADS_PER_S, specs)
        service = ServiceSpec(LLM, "/health", 100, spec)
        cfg = FleetConfig(ConfigVersion(1), services={LLM: service})
        self.leader = RecordingLeader(
            Vm("a"),
            lambda _l: HeldLease(),
            lambda _m: None,
            lambda _s: READ_RATE,
            no_limits(),
            self.clock,
        )
        self.leader._client = self
        self.leader.configure(cfg)
        self.inventories = {
            Upstream(f"e{n}"): EngineInventory(
                0, dict.fromkeys(self.resident.get(n, ()), frozenset())
            )
            for n in range(self.engines)
        }
        self.leader.update_upstreams([self._record(name) for name in self.inventories])
        self.leader.run_round()
        wait_for(
            lambda: all(d.engine.inventory for d in self.leader._controllers.values()),
            "the inventories of the engines",
        )
        self.started_at = self.clock.now

    def get_report(self, record):
        return Success(self.inventories[record.name])

    def _record(self, name, draining=False):
        inventory = self.inventories[name]
        return UpstreamRecord(
            name, LLM, "h", 80, Zone("z1"), 64, draining, 1, inventory
        )

    def drain(self, name):
        """Mark an engine as draining."""
        self.leader.update_upstreams(
            [self._record(n, n == name) for n in self.inventories]
        )

    def run(self, seconds):
        """Simulate some seconds; return the models whose requests found an engine."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.sleep(ROUND_INTERVAL_S)
            elapsed = self.clock.now - self.started_at
            for caller in self.callers:
                if caller.requests_due(elapsed) and self._is_resident(caller.model):
                    self.served.add(caller.model)
            totals = {caller.model: caller.requested for caller in self.callers}
            self.leader.receive_entry_update(Vm("b"), EntryUpdate({}, totals, ()))
            self._finish_loads()
            self.leader.run_round()
        return self.served

    def _is_resident(self, model):
        controllers = self.leader._controllers.values()
        return any(
            model in controller.engine.inventory.models for controller in controllers
        )

    def _finish_loads(self):
        for controller, move in self.leader.loads:
            engine = controller.engine
            if engine.loading != move.model or self.clock.now < engine.ready_at:
                continue
            models = {m: frozenset() for m in engine.inventory.models}
            for evicted in move.evicted:
                models.pop(evicted, None)
            models[move.model] = frozenset()
            disk = engine.inventory.on_disk | frozenset(models)
            engine.inventory = replace(engine.inventory, models=models, on_disk=disk)
            engine.end_load()
            engine.loaded_at[move.model] = self.clock.now


def full_fleet(engines, rare):
    """Return a fleet full of busy models that also has callers of rare models."""
    busy = model_names("busy", engines)
    resident = {n: (busy[n], busy[(n + 1) % engines]) for n in range(engines)}
    callers = [Caller(model, BUSY_RATE / 10, 0.1) for model in busy] + rare
    return Fleet(engines, callers, resident, busy + [caller.model for caller in rare])


@pytest.mark.parametrize("engines", [6, 24])
def test_loads_of_rare_models_run_in_parallel(engines):
    """Guards against models never served where many are missing at once."""
    rare = [Caller(model, 2400.0, 2.0) for model in model_names("rare", engines // 2)]
    fleet = full_fleet(engines, rare)
    assert {caller.model for caller in rare} <= fleet.run(34.0)


@pytest.mark.parametrize(
    ("tokens", "interval_s"), [(2400.0, 5.5), (600.0, 4.0), (200.0, 3.0)]
)
def test_missing_model_stays_missing_between_two_requests(tokens, interval_s):
    """Guards against models never served whose few requests hardly show in averages."""
    rare = Caller(Model("rare"), tokens, interval_s)
    fleet = full_fleet(6, [rare])
    assert rare.model in fleet.run(34.0)


def test_idle_engines_load_requested_models_first():
    """Guards against idle engines that load other models while callers are refused."""
    unused, busy = model_names("unasked", 4), model_names("busy", 3)
    rare = [Caller(model, 2400.0, 2.0) for model in model_names("rare", 3)]
    callers = [Caller(model, BUSY_RATE / 10, 0.1) for model in busy] + rare
    resident = {n: (busy[n], busy[(n + 1) % 3]) for n in range(3)}
    fleet = Fleet(
        6, callers, resident, unused + busy + [caller.model for caller in rare]
    )
    fleet.run(1.0)
    loads = {move.model for _, move in fleet.leader.loads}
    assert {caller.model for caller in rare} <= loads


def test_models_of_a_draining_engine_are_loaded_elsewhere():
    """Guards against models that count as resident on an engine that is draining."""
    busy = model_names("busy", 2)
    callers = [Caller(model, BUSY_RATE / 10, 0.1) for model in busy]
    fleet = Fleet(2, callers, {0: (busy[0],), 1: (busy[1],)}, busy)
    fleet.drain(Upstream("e0"))
    fleet.run(1.0)
    loads = [(c.engine.record.name, move.model) for c, move in fleet.leader.loads]
    assert (Upstream("e1"), busy[0]) in loads
