"""The leader, from an entry's load request to the order to an engine."""

import math
import time
from contextlib import contextmanager
from dataclasses import replace

import pytest
from direct_help import no_limits
from fake_engine import SPEC, FakeEngine
from fleet import wait_for
from test_direct_dispatcher import STOPPING, WaitingRequest, make_dispatcher, request

from persimmonhitch.direct import leader as leader_module
from persimmonhitch.direct.leader import Leader
from persimmonhitch.direct.order_history import NO_GUARD
from persimmonhitch.direct.peer_messages import (
    EntryUpdate,
    InventoryUpdate,
    LoadRequest,
    ModelUse,
    UpstreamWork,
)
from persimmonhitch.fleet.config import FleetConfig, ServiceSpec
from persimmonhitch.fleet.upstream import NOT_COUNTED, EngineInventory, UpstreamRecord
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
OTHER = Model("other")
READ_RATE = 20_000.0
CFG = FleetConfig(
    ConfigVersion(1), services={LLM: ServiceSpec(LLM, "/health", 100, SPEC)}
)


class StubElection:
    """An election that this entry has won."""

    predecessor = None

    def start(self):
        pass

    def stop(self):
        pass

    def epoch(self):
        return Epoch(1)

    def orders_allowed_at(self, _upstream, _leading_since):
        return 0.0

    def order_guard(self, _upstream):
        return NO_GUARD

    def last_order_by_predecessor(self, _upstream, _leading_since):
        return -math.inf


class Clock:
    """A clock that always returns 0, as ``FakeEngine`` requires one."""

    now = 0.0

    def __call__(self):
        return self.now


def record(name="e1"):
    inventory = EngineInventory(NOT_COUNTED, {BIG: frozenset()})
    return UpstreamRecord(
        Upstream(name), LLM, "10.0.0.1", 80, Zone("z1"), 64, False, 1, inventory
    )


def entry_update(demand, work=()):
    return EntryUpdate({}, demand, work)


@contextmanager
def started_leader(upstreams=("e1",)):
    """Yield a leader that runs placement rounds only on load requests."""
    leader = Leader(
        Vm("a"),
        lambda _last: StubElection(),
        lambda _msg: None,
        lambda _s: READ_RATE,
        no_limits(),
    )
    leader._client = FakeEngine(Clock(), models=("big",))
    leader._client.on_disk = {SMALL}
    leader.configure(CFG)
    leader.update_upstreams([record(name) for name in upstreams])
    leader.run_round()
    wait_for(lambda: not leader._refreshing, "the inventories of the engines")
    leader.start()
    yield leader
    leader.stop()


@pytest.fixture(autouse=True)
def _no_periodic_rounds(monkeypatch):
    monkeypatch.setattr(leader_module, "ROUND_INTERVAL_S", 60.0)


@pytest.fixture
def leader():
    with started_leader() as running:
        yield running


def test_load_request_starts_a_round_immediately(leader):
    """Guards against load requests that wait for the next periodic round. Requests for
    a missing model wait only half a second for the report that it is being loaded.
    """
    leader.receive_entry_update(Vm("b"), entry_update({SMALL: 9000.0}))
    leader.receive_load_request(Vm("b"), LoadRequest(SMALL, None, None))
    engine = leader._client
    wait_for(lambda: any(o.model == SMALL for o, _ in engine.log), "the order")


def test_adapter_loads_do_not_wait_for_model_loads(monkeypatch):
    """Guards against adapters refused for seconds while many engines load models."""
    monkeypatch.setattr(leader_module, "MAX_WORKERS", 1)
    with started_leader(("e1", "e2")) as leader:
        engine = leader._client
        engine.load_time = math.inf
        leader.receive_entry_update(Vm("b"), entry_update({SMALL: 9000.0}))
        leader.receive_load_request(Vm("b"), LoadRequest(SMALL, None, None))
        wait_for(lambda: any(o.model == SMALL for o, _ in engine.log), "the load")
        loading = leader._controllers[Upstream("e1")].engine.loading
        idle_upstream = Upstream("e1" if loading is None else "e2")
        leader.receive_load_request(
            Vm("b"), LoadRequest(BIG, Adapter("a1"), idle_upstream)
        )
        wait_for(lambda: any(o.adapter for o, _ in engine.log), "the order", 1.0)


def test_model_used_without_an_adapter_is_in_use(leader):
    """Guards against a model that counts as idle because its requests use no adapter.
    The engine would evict the model first and load nothing until these requests end.
    """
    work = UpstreamWork(Upstream("e1"), 1, 100, 0, (ModelUse(BIG, None),))
    leader.receive_entry_update(Vm("b"), entry_update({}, (work,)))
    assert {use.model for use in leader._uses_by_upstream()[Upstream("e1")]} == {BIG}


def test_refused_adapter_is_loaded_after_the_model_load(leader):
    """Guards against adapters that are refused during each model load, never loaded."""
    engine = leader._client
    engine.load_time = 1.0
    leader.receive_entry_update(Vm("b"), entry_update({SMALL: 9000.0}))
    leader.receive_load_request(Vm("b"), LoadRequest(SMALL, None, None))
    wait_for(lambda: any(o.model == SMALL for o, _ in engine.log), "the model load")
    leader.receive_load_request(Vm("b"), LoadRequest(BIG, Adapter("a1"), None))
    engine.clock.now = 1.0
    wait_for(lambda: SMALL in engine.models, "the end of the model load")
    wait_for(lambda: Adapter("a1") in engine.models[BIG], "the adapter load")


class PassingElection(StubElection):
    """An election that another entry has won until ``epoch`` is set."""

    current = None

    def epoch(self):
        return self.current


@pytest.fixture
def follower():
    """Return a leader-to-be, its election and clock; e1 loads ``SMALL`` for 5 s."""
    election, clock = PassingElection(), Clock()
    leader = Leader(
        Vm("a"),
        lambda _last: election,
        lambda _msg: None,
        lambda _s: READ_RATE,
        no_limits(),
        clock,
    )
    leader._client = FakeEngine(clock, models=("big",))
    leader._client.loading, leader._client.loaded_at = SMALL, 5.0
    leader.configure(CFG)
    leader.update_upstreams([record()])
    loading = InventoryUpdate(
        Upstream("e1"), 1, 0, {BIG: ()}, {SMALL: 5.0}, Epoch(1), 1
    )
    leader.receive_inventory_update(loading)
    return leader, election, clock


def take_over(leader, election, clock, now):
    leader.run_round()
    clock.now, election.current = now, Epoch(2)
    leader.run_round()
    wait_for(lambda: not leader._refreshing, "the inventories of the engines")
    return leader._controllers[Upstream("e1")]


def test_new_leader_knows_how_long_models_are_missing(follower):
    """Guards against models that a new leader counts as missing since its start."""
    leader, _election, _clock = follower
    leader.receive_entry_update(Vm("b"), entry_update({OTHER: 10.0}))
    take_over(*follower, now=4.0)
    assert leader._missing[LLM].missing_durations(4.0) == {OTHER: 4.0}


def test_new_leader_knows_the_load_in_progress(follower):
    """Guards against a second load of a model that is about to be ready."""
    controller = take_over(*follower, now=4.0)
    view = leader_module._engine_view(controller, {}, 4.0)
    assert view.loading == {SMALL}
    (update,) = follower[0]._inventory_updates(controller)
    assert update.loading == {SMALL: 1.0}


def test_new_leader_keeps_a_model_whose_load_has_just_ended(follower):
    """Guards against the eviction of a model at the moment its load ends."""
    _leader, _election, clock = follower
    controller = take_over(*follower, now=4.0)
    clock.now = 5.0
    controller.refresh()
    view = leader_module._engine_view(controller, {}, time.monotonic())
    assert view.settling == {SMALL} and view.loading == frozenset()


def test_adapters_in_use_count_as_used(leader):
    """Guards against the eviction of an adapter in use that was loaded long ago."""
    controller = leader._controllers[Upstream("e1")]
    work = UpstreamWork(Upstream("e1"), 1, 100, 0, (ModelUse(BIG, Adapter("a1")),))
    leader.receive_entry_update(Vm("b"), entry_update({}, (work,)))
    leader.run_round()
    assert set(controller.engine.adapter_used_at) == {(BIG, Adapter("a1"))}


def test_report_of_a_load_that_waits_refuses_no_adapter_request(leader):
    """Guards against refusals between the report of a load and that it waits."""
    controller = leader._controllers[Upstream("e1")]
    controller.engine.plan_load(SMALL, (), 7.0, 1.0, time.monotonic())
    dispatcher = make_dispatcher(record())
    waiting = WaitingRequest(
        dispatcher, request(latency_target=2.0, model=BIG, adapter=Adapter("a1"))
    )
    for update in leader._inventory_updates(controller):
        apply = (
            dispatcher.receive_inventory
            if isinstance(update, InventoryUpdate)
            else dispatcher.receive_drain
        )
        apply(update)
        assert not any(waiter.decided.is_set() for waiter in dispatcher._waiters)
    dispatcher.close(STOPPING)
    assert waiting.outcome().failure() == STOPPING


@pytest.mark.parametrize(
    ("epoch", "sequence", "expected"), [(1, 0, True), (0, 9, True), (1, 2, False)]
)
def test_late_inventory_of_a_leader_is_ignored(follower, epoch, sequence, expected):
    """Guards against a load that ends again, or begins again, by a late message."""
    leader, _election, _clock = follower
    late = InventoryUpdate(Upstream("e1"), 1, 0, {BIG: ()}, {}, Epoch(epoch), sequence)
    leader.receive_inventory_update(late)
    known = leader._observed.get(Upstream("e1"), 1)
    assert (SMALL in known.ready_at) is expected


def test_follower_counts_models_of_another_service_as_missing(follower):
    """Guards against a model that is missing where it is asked for, not elsewhere."""
    leader, _election, _clock = follower
    leader.update_upstreams([record(), replace(record("x1"), service=Service("other"))])
    held = InventoryUpdate(Upstream("x1"), 1, 0, {OTHER: ()}, {}, Epoch(1), 2)
    leader.receive_inventory_update(held)
    leader.receive_entry_update(Vm("b"), entry_update({OTHER: 10.0}))
    leader.run_round()
    assert leader._missing[LLM].longest_first() == [OTHER]


@pytest.mark.parametrize(("loading", "expected"), [(None, 0), (SMALL, 1)])
def test_only_adapters_that_fail_to_load_count_as_refused(leader, loading, expected):
    """Guards against a second load of each adapter that a waiting caller has loaded."""
    leader._controllers[Upstream("e1")].engine.loading = loading
    leader.receive_load_request(
        Vm("b"), LoadRequest(BIG, Adapter("a1"), Upstream("e1"))
    )
    leader._pool.shutdown()
    assert len(leader._adapters.pending()) == expected
