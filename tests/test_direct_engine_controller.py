"""Orders to one engine, which must never exceed its memory or its adapter slots."""

import socket
from dataclasses import replace

import pytest
from direct_help import no_limits
from fake_engine import SPEC, Clock, FakeEngine, controller_of
from returns.result import Failure as Err

from persimmonhitch.direct.engine_client import (
    ORDER_TIMEOUT_S,
    EngineClient,
    Order,
    OrderOutcome,
    ReportFailure,
)
from persimmonhitch.direct.engine_controller import ADAPTER_SETTLE_S, ADAPTER_WINDOW_S
from persimmonhitch.direct.order_history import OrderGuard
from persimmonhitch.ids import Adapter, Epoch, Model, Vm

BIG, OTHER, SMALL = Model("big"), Model("other"), Model("small")


def test_full_engine_is_not_overloaded_by_a_new_leader():
    """Guards against a crash of a full engine after a change of the leader.

    The new leader knows the inventory but may not send orders yet. A request needs an
    adapter meanwhile. The adapter to evict must count as loaded until its unload order
    is sent, or the next load exceeds the slots and the engine crashes.
    """
    clock = Clock()
    engine = FakeEngine(clock, adapters=("a1", "a2"))
    controller, _published = controller_of(engine, clock)
    controller.refresh()
    controller.orders_allowed_at = clock() + 3.0
    assert not controller.load_adapter(BIG, Adapter("a3"))
    clock.now += 4.0
    assert controller.load_adapter(BIG, Adapter("a3"))
    assert engine.over_capacity == []
    assert len(engine.models[BIG]) == 2


def test_unanswered_orders_are_not_executed_twice():
    """Guards against an unanswered order that the engine executes seconds later, after
    another one. Its slot is in use by then, so the engine must refuse it.
    """
    clock = Clock()
    engine = FakeEngine(clock, adapters=("a1",))
    controller, _published = controller_of(engine, clock)
    engine.lose_answers = 1
    assert controller.load_adapter(BIG, Adapter("a3"))
    engine.deliver_delayed()
    assert engine.over_capacity == []
    assert engine.models[BIG] == {"a1", "a3"}


@pytest.mark.parametrize("load_time", [0.3, 0.45, 0.6, 0.8, 1.5])
def test_late_load_of_another_order_keeps_its_memory(load_time):
    """Guards against a load into the memory of an order that was executed late."""
    clock = Clock()
    engine = FakeEngine(clock, models=("small",), lag=0.2)
    engine.load_time, engine.memory_mb = load_time, 150.0
    controller, _published = controller_of(engine, clock)
    controller.engine.spec = replace(SPEC, memory_mb=engine.memory_mb)
    controller.refresh()
    engine.execute(Order(True, BIG), 0)
    controller.load_model(OTHER, (), 1.7)
    assert engine.over_capacity == []
    clock.now += load_time
    engine.get_report(None)
    assert set(engine.models) == {SMALL, BIG}


@pytest.mark.parametrize(
    ("resident", "model", "evictions", "expected"),
    [
        (("big",), OTHER, (), {"big", "other"}),
        (("big", "other"), SMALL, (), {"big", "other", "small"}),
        (("big", "other", "small"), OTHER, (), {"big", "other", "small"}),
    ],
)
def test_models_are_loaded_into_free_memory(resident, model, evictions, expected):
    clock = Clock()
    engine = FakeEngine(clock, models=resident)
    controller, _published = controller_of(engine, clock)
    controller.refresh()
    controller.load_model(model, evictions, 1.7)
    assert set(engine.models) == expected
    assert engine.over_capacity == []


def test_evicted_model_is_unloaded_before_the_load():
    clock = Clock()
    engine = FakeEngine(clock, models=("big", "other"))
    controller, _published = controller_of(engine, clock)
    controller.refresh()
    controller.load_model(SMALL, (BIG,), 1.7)
    assert set(engine.models) == {"other", "small"}
    assert [order.load for order, _ in engine.log] == [False, True]


def test_load_time_excludes_the_report_lag():
    """Guards against waiting for a report after each step of an eviction and load.

    Reports lag by some hundred ms. Waiting for two reports can take as long as the load
    itself, and requests with a low latency target would be answered late.
    """
    clock = Clock()
    engine = FakeEngine(clock, models=("big", "other"))
    controller, published = controller_of(engine, clock)
    controller.refresh()
    started_at = clock()
    controller.load_model(SMALL, (BIG,), 1.7)
    resident_at = next(at for at, models in published if "small" in models)
    assert resident_at - started_at < 1.7 + 0.1


def test_cold_load_completes_when_the_report_shows_it():
    """Guards against requests refused because a model was published before its load
    ended. A load from the weight store takes longer while other engines load, too.
    """
    clock = Clock()
    engine = FakeEngine(clock, models=("big", "other"))
    controller, published = controller_of(engine, clock)
    controller.refresh()
    engine.load_time = 12.0
    started_at = clock()
    controller.load_model(SMALL, (BIG,), 8.0)
    resident_at = next(at for at, models in published if "small" in models)
    assert resident_at - started_at > 12.0


def test_unreported_request_delays_the_load():
    """Guards against a load into memory that unreported requests still use.

    An entry is disconnected while its requests use the evicted model. The engine
    accepts the unload and waits for them to end; an earlier load would exceed its
    memory, and the engine would crash with all its requests.
    """
    clock = Clock()
    engine = FakeEngine(clock, models=("big", "other"))
    engine.in_use = {BIG}
    controller, _published = controller_of(engine, clock)
    controller.refresh()
    controller.load_model(SMALL, (BIG,), 1.7)
    assert set(engine.models) == {"big", "other"}
    engine.finish_requests()
    controller.refresh()
    controller.load_model(SMALL, (), 1.7)
    assert set(engine.models) == {"other", "small"}
    assert engine.over_capacity == []


def test_no_model_is_loaded_into_used_memory():
    """Guards against a placement that relies on memory which another load now uses."""
    clock = Clock()
    engine = FakeEngine(clock, models=("big", "other", "small"))
    controller, _published = controller_of(engine, clock)
    controller.refresh()
    engine.models.pop(SMALL)
    controller.load_model(SMALL, (), 1.7)
    assert engine.over_capacity == []


def test_adapters_in_use_are_not_unloaded():
    """Guards against the unload of an adapter in use when all slots are occupied. The
    unload would wait, and new requests for that adapter would be refused until then.
    """
    clock = Clock()
    engine = FakeEngine(clock, adapters=("a1", "a2"))
    controller, _published = controller_of(engine, clock, in_use=lambda *_: True)
    assert not controller.load_adapter(BIG, Adapter("a3"))
    assert engine.models[BIG] == {"a1", "a2"}


def test_adapter_in_use_keeps_its_slot():
    """Guards against reuse of a slot before the unload of its adapter has completed.

    An entry is disconnected while its requests use an adapter, which then seems idle.
    Its unload is accepted but waits for those requests. A load before their end would
    exceed the slots, and the engine would crash with all its requests.
    """
    clock = Clock()
    engine = FakeEngine(clock, adapters=("a1", "a2"))
    engine.in_use = {"a1", "a2"}
    controller, _published = controller_of(engine, clock)
    for _ in range(8):
        assert not controller.load_adapter(BIG, Adapter("a3"))
        clock.now += 0.25
    assert engine.over_capacity == []
    engine.finish_requests()
    assert any(
        controller.load_adapter(BIG, Adapter("a3")) or clock.sleep(0.25)
        for _ in range(4)
    )
    assert engine.over_capacity == []
    assert "a3" in engine.models[BIG]


@pytest.mark.parametrize(
    ("waiting", "idle_s", "loaded"),
    [(True, 0.5, True), (False, 0.5, False), (False, ADAPTER_SETTLE_S, True)],
)
def test_adapters_of_absent_callers_do_not_evict_each_other(waiting, idle_s, loaded):
    """Guards against adapters that are unloaded before their callers return."""
    clock = Clock()
    engine = FakeEngine(clock, adapters=("a1", "a2"))
    controller, _published = controller_of(engine, clock)
    controller.load_adapter(BIG, Adapter("a1"))
    controller.load_adapter(BIG, Adapter("a2"))
    clock.now += idle_s
    assert controller.load_adapter(BIG, Adapter("a3"), waiting) is loaded
    assert ("a3" in engine.models[BIG]) is loaded


def test_one_pending_adapter_unload_at_a_time():
    """Guards against another adapter eviction at each attempt to free a single slot."""
    clock = Clock()
    engine = FakeEngine(clock, adapters=("a1", "a2"))
    engine.in_use = {"a1", "a2"}
    controller, _published = controller_of(engine, clock)
    for _ in range(8):
        controller.load_adapter(BIG, Adapter("a3"))
        clock.now += 0.25
    assert [order.load for order, _ in engine.log] == [False]


def test_adapters_load_while_requests_of_an_evicted_model_end():
    """Guards against adapters refused for as long as streams of another model run."""
    clock = Clock()
    engine = FakeEngine(clock, models=("big", "other"))
    engine.in_use = {BIG}
    loaded = []

    def running_requests(_engine):
        if clock.now > 102.0 and not loaded:
            loaded.append(controller.load_adapter(OTHER, Adapter("a1")))
        if clock.now > 105.0:
            engine.finish_requests()
        return dict.fromkeys(engine.in_use, 1)

    controller, _published = controller_of(
        engine, clock, running_requests=running_requests
    )
    controller.refresh()
    controller.load_model(SMALL, (BIG,), 1.7, drain_s=2.0)
    assert loaded == [True]
    assert SMALL in engine.models and "a1" in engine.models[OTHER]
    assert not engine.over_capacity


def test_adapter_loads_run_between_model_loads():
    """Guards against adapters refused throughout consecutive model loads."""
    clock = Clock()
    engine = FakeEngine(clock)
    controller, _published = controller_of(engine, clock)
    controller.refresh()
    controller.load_model(SMALL, (), 1.7)
    assert 0.0 < controller.busy_s() <= ADAPTER_WINDOW_S
    assert controller.load_adapter(BIG, Adapter("a1"))
    clock.now += ADAPTER_WINDOW_S
    assert controller.busy_s() == 0.0


def test_order_in_progress_counts_until_it_may_arrive():
    """Guards against a release that gives the time of sending of a delayed order."""
    clock = Clock()
    engine = FakeEngine(clock)
    controller, _ = controller_of(engine, clock)
    during = []
    send_order = engine.send_order

    def stall(*args):
        during.append(controller.last_order_at - clock())
        clock.now += 0.4
        return send_order(*args)

    engine.send_order = stall
    controller.refresh()
    controller.load_adapter(Model("big"), Adapter("a1"))
    assert during == [ORDER_TIMEOUT_S]
    assert clock() - controller.last_order_at < 0.1


def test_order_without_an_answer_is_reset():
    """Guards against orders that a recovered link delivers after the next leader's."""
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    record = replace(FakeEngine(Clock()).record, host="127.0.0.1", port=port)
    client = EngineClient(Vm("a"), no_limits())
    outcome = client.send_order(record, Order(True, Model("m")), 0, Epoch(1))
    assert outcome is OrderOutcome.UNKNOWN
    conn, _ = listener.accept()
    with pytest.raises(ConnectionResetError):
        while conn.recv(4096):
            pass
    conn.close(), listener.close()


@pytest.mark.parametrize(
    ("late_orders", "failures", "waits"), [(0, 0, False), (1, 0, True), (0, 1, True)]
)
def test_orders_wait_after_a_late_order_of_the_previous_leader(
    late_orders, failures, waits
):
    """Guards against orders of two leaders to one engine in quick succession."""
    clock = Clock()
    engine = FakeEngine(clock)
    engine.sequence = 4 + late_orders
    controller, _published = controller_of(engine, clock, guard=OrderGuard(4, 3.0))
    get_report = engine.get_report
    for _ in range(failures):
        engine.get_report = lambda _record: Err(ReportFailure("", True))
        assert not controller.refresh()
    engine.get_report = get_report
    assert controller.refresh()
    assert controller.load_adapter(Model("big"), Adapter("a1")) is not waits
    clock.now += 3.0
    assert controller.load_adapter(Model("big"), Adapter("a2"))
