"""The holder of the orders lease, from the word of a caller to the order."""

import pytest
from fake_engine import SPEC, FakeEngine
from fleet import wait_for

from persimmonhitch.direct import leader as leader_module
from persimmonhitch.direct.leader import Leader
from persimmonhitch.direct.news import InUse, NodeNews, Want
from persimmonhitch.fleet.config import FleetConfig, ServiceSpec
from persimmonhitch.fleet.upstream import ORDERS_UNKNOWN, Holding, UpstreamRecord
from persimmonhitch.ids import (
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


def record():
    held = Holding(ORDERS_UNKNOWN, {BIG: frozenset()})
    return UpstreamRecord(
        Upstream("e1"), LLM, "10.0.0.1", 80, Zone("z1"), 64, False, 1, held
    )


def news(asked, in_use=()):
    return NodeNews({}, asked, (), in_use)


@pytest.fixture
def held(monkeypatch):
    """Yield a holder that looks at what is to be loaded only when it is told to."""
    monkeypatch.setattr(leader_module, "PERIOD", 60.0)
    made = Leader(Vm("a"), lambda _last: Held(), lambda _msg: None, lambda _s: READS)
    made._client = FakeEngine(Clock(), models=("big",))
    made._client.on_disk = {SMALL}
    made.configure(CFG)
    made.update([record()])
    made.round()
    wait_for(lambda: not made._refreshing, "the engine's state to be learned")
    made.start()
    yield made
    made.stop()


def test_a_model_that_callers_wait_for_is_ordered_at_their_word(held):
    """Calls come for a model that no engine has, and wait for half a second for the
    word that it is being loaded. A look at what is asked that comes by its period only
    takes a good part of that from them.
    """
    held.hear_node(Vm("b"), news({SMALL: 9000.0}))
    held.hear_want(Want(SMALL, None, None))
    engine = held._client
    wait_for(lambda: any(o.model == SMALL for o, _ in engine.log), "the order")


def test_what_calls_use_is_known_by_model(held):
    """Calls run at an engine that use no adapter. Taken for idle, their model would be
    unloaded first, and the engine would load nothing until they have ended.
    """
    held.hear_node(Vm("b"), news({}, (InUse(Upstream("e1"), BIG, None),)))
    assert {item.model for item in held._used()} == {BIG}
