"""Demand by which the leader places models, with and without read rates by model."""

import pytest
from direct_help import no_limits
from fake_engine import SPEC, FakeEngine
from fleet import wait_for
from test_direct_leader import BIG, CFG, LLM, READ_RATE, SMALL, Clock, StubElection
from test_direct_leader import record as record_of

from persimmonhitch.decide.engine_demand import ServiceDemand
from persimmonhitch.direct.leader import Leader
from persimmonhitch.ids import Upstream, Vm

RATES = {BIG: 10_000.0, SMALL: 50_000.0}
TOKENS = {BIG: 5000.0, SMALL: 5000.0}


@pytest.fixture
def make_leader():
    leaders = []

    def make(**callables):
        leader = Leader(
            Vm("a"),
            lambda _last: StubElection(),
            lambda _msg: None,
            lambda _service: READ_RATE,
            no_limits(),
            Clock(),
            **callables,
        )
        leader._client = FakeEngine(Clock(), models=("big",))
        leader.configure(CFG)
        leader.update_upstreams([record_of("e1"), record_of("e2")])
        leader.run_round()
        wait_for(lambda: not leader._refreshing, "the inventories of the engines")
        leaders.append(leader)
        return leader

    yield make
    for leader in leaders:
        leader.stop()


def demand_at(leader):
    controllers = list(leader._controllers.values())
    return leader._service_demand(CFG.services[LLM], TOKENS, controllers, 0.0)


def test_one_rate_serves_for_all_models_by_default(make_leader):
    """Guards against other decisions where upstreams state no slowdown."""
    speeds = {Upstream("e1"): 2.0}
    observed = []
    leader = make_leader(
        engine_speeds=lambda _service: speeds,
        observe_load=lambda *load: observed.append(load),
    )
    assert demand_at(leader) == ServiceDemand.from_single_rate(TOKENS, READ_RATE)
    assert observed == []


@pytest.mark.parametrize(
    ("speeds", "expected"), [({}, (1.0, 1.0)), ({"e1": 0.5}, (0.5, 1.0))]
)
def test_demand_and_speeds_are_those_of_models_and_engines(
    make_leader, speeds, expected
):
    observed = []
    leader = make_leader(
        model_read_rates=lambda service: RATES if service == LLM else None,
        engine_speeds=lambda _service: speeds,
        observe_load=lambda *load: observed.append(load),
    )
    demand = demand_at(leader)
    known = ServiceDemand.from_model_rates(TOKENS, SPEC.models, RATES, READ_RATE)
    assert (demand.values, demand.loads) == (known.values, known.loads)
    assert tuple(demand.speed(name) for name in ("e1", "e2")) == expected
    share = sum(known.loads.values()) / sum(expected)
    assert observed[-1] == (LLM, pytest.approx(share))
