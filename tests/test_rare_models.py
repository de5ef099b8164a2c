"""Rare models beside busy ones: each is served, however many engines and models."""

from dataclasses import dataclass, field, replace

import pytest
from direct_help import no_limits
from fake_engine import Clock
from fleet import wait_for
from returns.result import Success

from persimmonhitch.direct.leader import Leader
from persimmonhitch.direct.peer_messages import EntryUpdate
from persimmonhitch.fleet.config import EngineSpec, FleetConfig, ModelSpec, ServiceSpec
from persimmonhitch.fleet.upstream import Holding, UpstreamRecord
from persimmonhitch.ids import ConfigVersion, Epoch, Model, Service, Upstream, Vm, Zone

LLM = Service("llm")
READS = 24_000.0
"""Tokens a second that an engine reads."""
LOOK_EVERY = 0.1
LOAD_COLD = 8.0
BUSY_RATE = 24_000.0
"""Tokens a second that are asked of each busy model: more than the engines can give."""
STORE_RATE = 6.5
"""Loads a second that the weight store gives."""


class Held:
    """A lease that this entry holds."""

    predecessor = None

    def epoch(self):
        return Epoch(1)

    def orders_allowed_at(self, _upstream, _leading_since):
        return 0.0


def names(prefix, count):
    return [Model(f"{prefix}{n}") for n in range(count)]


@dataclass
class Caller:
    """Calls for a model, ``tokens`` each ``every`` seconds."""

    model: Model
    tokens: float
    every: float
    asked: float = 0.0
    """Tokens asked for so far."""

    def call(self, passed):
        """Ask for what is due after some seconds; return whether that is a call."""
        before = self.asked
        self.asked = (int(passed / self.every) + 1) * self.tokens
        return self.asked > before


class OrdersTaken(Leader):
    """Gives its loads to a list instead of sending orders."""

    def __init__(self, *args):
        super().__init__(*args)
        self.begun = []

    def _start_load(self, desk, move, demand):
        desk.engine.loading = move.model
        desk.engine.evicting = frozenset(move.victims)
        desk.engine.ready_at = self._clock() + move.takes
        self.begun.append((desk, move))


@dataclass
class Fleet:
    """Engines with room for two models, whose loads take their time by a clock.

    ``held`` are the models of each engine by its number.
    """

    engines: int
    callers: list
    held: dict
    models: list
    clock: Clock = field(default_factory=Clock)
    served: set = field(default_factory=set)

    def __post_init__(self):
        specs = {
            m: ModelSpec(m, 80.0, LOAD_COLD, 1.7, 0.6, 0, 0.0) for m in self.models
        }
        spec = EngineSpec(64, 100_000, 190.0, 2, STORE_RATE, specs)
        service = ServiceSpec(LLM, "/health", 100, spec)
        cfg = FleetConfig(ConfigVersion(1), services={LLM: service})
        self.leader = OrdersTaken(
            Vm("a"),
            lambda _l: Held(),
            lambda _m: None,
            lambda _s: READS,
            no_limits(),
            self.clock,
        )
        self.leader._client = self
        self.leader.configure(cfg)
        self.holdings = {
            Upstream(f"e{n}"): Holding(
                0, dict.fromkeys(self.held.get(n, ()), frozenset())
            )
            for n in range(self.engines)
        }
        self.leader.update_upstreams([self._record(name) for name in self.holdings])
        self.leader.run_round()
        wait_for(
            lambda: all(d.engine.inventory for d in self.leader._controllers.values()),
            "the engines' state to be learned",
        )
        self.began_at = self.clock.now

    def get_report(self, record):
        return Success(self.holdings[record.name])

    def _record(self, name, draining=False):
        holding = self.holdings[name]
        return UpstreamRecord(name, LLM, "h", 80, Zone("z1"), 64, draining, 1, holding)

    def drain(self, name):
        """Have an engine tell that it is leaving."""
        self.leader.update_upstreams(
            [self._record(n, n == name) for n in self.holdings]
        )

    def run(self, seconds):
        """Play some seconds; return the models whose calls found an engine."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.sleep(LOOK_EVERY)
            passed = self.clock.now - self.began_at
            for caller in self.callers:
                if caller.call(passed) and self._is_held(caller.model):
                    self.served.add(caller.model)
            asked = {caller.model: caller.asked for caller in self.callers}
            self.leader.receive_entry_update(Vm("b"), EntryUpdate({}, asked, ()))
            self._end_loads()
            self.leader.run_round()
        return self.served

    def _is_held(self, model):
        desks = self.leader._controllers.values()
        return any(model in desk.engine.inventory.models for desk in desks)

    def _end_loads(self):
        for desk, move in self.leader.begun:
            engine = desk.engine
            if engine.loading != move.model or self.clock.now < engine.ready_at:
                continue
            models = {m: frozenset() for m in engine.inventory.models}
            for victim in move.victims:
                models.pop(victim, None)
            models[move.model] = frozenset()
            disk = engine.inventory.on_disk | frozenset(models)
            engine.inventory = replace(engine.inventory, models=models, on_disk=disk)
            engine.loading, engine.evicting = None, frozenset()
            engine.loaded_at[move.model] = self.clock.now


def busy_fleet(engines, rare):
    """Return a fleet that is full of busy models, beside callers of rare ones."""
    busy = names("busy", engines)
    held = {n: (busy[n], busy[(n + 1) % engines]) for n in range(engines)}
    callers = [Caller(model, BUSY_RATE / 10, 0.1) for model in busy] + rare
    return Fleet(engines, callers, held, busy + [caller.model for caller in rare])


@pytest.mark.parametrize("engines", [6, 24])
def test_rare_models_do_not_wait_for_each_others_loads(engines):
    """Guards against models never served where more are missing than load in turn."""
    rare = [Caller(model, 2400.0, 2.0) for model in names("rare", engines // 2)]
    fleet = busy_fleet(engines, rare)
    assert {caller.model for caller in rare} <= fleet.run(34.0)


@pytest.mark.parametrize(
    ("tokens", "every"), [(2400.0, 5.5), (600.0, 4.0), (200.0, 3.0)]
)
def test_a_missing_model_is_not_forgotten_between_two_calls(tokens, every):
    """Guards against models never served whose few calls hardly show in averages."""
    rare = Caller(Model("rare"), tokens, every)
    fleet = busy_fleet(6, [rare])
    assert rare.model in fleet.run(34.0)


def test_idle_engines_load_what_is_asked_for_first():
    """Guards against idle engines that load unasked models beside refused callers."""
    unasked, busy = names("unasked", 4), names("busy", 3)
    rare = [Caller(model, 2400.0, 2.0) for model in names("rare", 3)]
    callers = [Caller(model, BUSY_RATE / 10, 0.1) for model in busy] + rare
    held = {n: (busy[n], busy[(n + 1) % 3]) for n in range(3)}
    fleet = Fleet(6, callers, held, unasked + busy + [caller.model for caller in rare])
    fleet.run(1.0)
    loads = {move.model for _, move in fleet.leader.begun}
    assert {caller.model for caller in rare} <= loads


def test_models_of_a_leaving_engine_are_loaded_before_it_has_gone():
    """Guards against models that count as held by an engine that gets no more calls."""
    busy = names("busy", 2)
    callers = [Caller(model, BUSY_RATE / 10, 0.1) for model in busy]
    fleet = Fleet(2, callers, {0: (busy[0],), 1: (busy[1],)}, busy)
    fleet.drain(Upstream("e0"))
    fleet.run(1.0)
    loads = [(desk.engine.record.name, move.model) for desk, move in fleet.leader.begun]
    assert (Upstream("e1"), busy[0]) in loads
