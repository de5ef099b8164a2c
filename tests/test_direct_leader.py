"""The holder of the orders lease, from the word of a caller to the order."""

import math
from contextlib import contextmanager

import pytest
from direct_help import no_limits
from fake_engine import SPEC, FakeEngine
from fleet import wait_for

from persimmonhitch.direct import leader as leader_module
from persimmonhitch.direct.leader import Leader
from persimmonhitch.direct.news import NodeNews, Running, Use, Want
from persimmonhitch.fleet.config import FleetConfig, ServiceSpec
from persimmonhitch.fleet.upstream import ORDERS_UNKNOWN, Holding, UpstreamRecord
from persimmonhitch.ids import (
    Adapter,
    ConfigVersion,
    Epoch,
    Model,
    Service,
    Upstream,
    Vm,
    Zone,
)

LLM, BIG, SMALL = Service("llm"), Model("big"), Model("small")
READS = 20_000.0
CFG = FleetConfig(
    ConfigVersion(1), services={LLM: ServiceSpec(LLM, "/health", 100, SPEC)}
)


class Held:
    """A lease that this entry holds."""

    before = None

    def start(self):
        pass

    def stop(self):
        pass

    def epoch(self):
        return Epoch(1)

    def free_from(self, _upstream, _began_at):
        return 0.0


class Clock:
    """Real time would do; engines of the stand-in need one to be asked for."""

    now = 0.0

    def __call__(self):
        return self.now


def record(name="e1"):
    held = Holding(ORDERS_UNKNOWN, {BIG: frozenset()})
    return UpstreamRecord(
        Upstream(name), LLM, "10.0.0.1", 80, Zone("z1"), 64, False, 1, held
    )


def news(asked, running=()):
    return NodeNews({}, asked, running)


@contextmanager
def holder(upstreams=("e1",)):
    """Return a holder that looks at what is to be loaded only when it is told to."""
    made = Leader(
        Vm("a"),
        lambda _last: Held(),
        lambda _msg: None,
        lambda _s: READS,
        no_limits(),
    )
    made._client = FakeEngine(Clock(), models=("big",))
    made._client.on_disk = {SMALL}
    made.configure(CFG)
    made.update([record(name) for name in upstreams])
    made.round()
    wait_for(lambda: not made._refreshing, "the engines' state to be learned")
    made.start()
    yield made
    made.stop()


@pytest.fixture(autouse=True)
def _no_period(monkeypatch):
    monkeypatch.setattr(leader_module, "PERIOD", 60.0)


@pytest.fixture
def held():
    with holder() as made:
        yield made


def test_a_model_that_callers_wait_for_is_ordered_at_their_word(held):
    """Calls come for a model that no engine has, and wait for half a second for the
    word that it is being loaded. A look at what is asked that comes by its period only
    takes a good part of that from them.
    """
    held.hear_node(Vm("b"), news({SMALL: 9000.0}))
    held.hear_want(Vm("b"), Want(SMALL, None, None))
    engine = held._client
    wait_for(lambda: any(o.model == SMALL for o, _ in engine.log), "the order")


def test_adapters_do_not_wait_for_loads_of_models(monkeypatch):
    """Guards against adapters refused for seconds while many engines load models."""
    monkeypatch.setattr(leader_module, "WORKERS", 1)
    with holder(("e1", "e2")) as made:
        engine = made._client
        engine.load_time = math.inf
        made.hear_node(Vm("b"), news({SMALL: 9000.0}))
        made.hear_want(Vm("b"), Want(SMALL, None, None))
        wait_for(lambda: any(o.model == SMALL for o, _ in engine.log), "the load")
        loading = made._desks[Upstream("e1")].engine.loading
        other = Upstream("e1" if loading is None else "e2")
        made.hear_want(Vm("b"), Want(BIG, Adapter("a1"), other))
        wait_for(lambda: any(o.adapter for o, _ in engine.log), "the order", 1.0)


def test_what_calls_use_is_known_by_model(held):
    """Calls run at an engine that use no adapter. Taken for idle, their model would be
    unloaded first, and the engine would load nothing until they have ended.
    """
    at_e1 = Running(Upstream("e1"), 1, 100, 0, (Use(BIG, None),))
    held.hear_node(Vm("b"), news({}, (at_e1,)))
    assert {use.model for use in held._used()[Upstream("e1")]} == {BIG}
