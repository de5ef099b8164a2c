"""Orders to one engine, which must never hold more than it has room for."""

import pytest
from fake_engine import Clock, FakeEngine, desk_of

from persimmonhitch.direct.engine_controller import ADAPTER_WINDOW_S
from persimmonhitch.ids import Adapter, Model

BIG, OTHER, SMALL = Model("big"), Model("other"), Model("small")


def test_full_engine_is_not_overloaded_by_a_new_leader():
    """A new holder of the lease learns at once what an engine holds, but may not order
    it yet, since the orders of the one before are too recent. A call wants an adapter
    meanwhile. The adapter that was to make room for it must count as held until its
    unload has really been sent; else the next load goes to a full engine, which
    crashes, and all of its callers lose their answers.
    """
    clock = Clock()
    engine = FakeEngine(clock, adapters=("a1", "a2"))
    controller, _published = desk_of(engine, clock)
    controller.refresh()
    controller.orders_allowed_at = clock() + 3.0
    assert not controller.load_adapter(BIG, Adapter("a3"))
    clock.now += 4.0
    assert controller.load_adapter(BIG, Adapter("a3"))
    assert engine.overfull == []
    assert len(engine.models[BIG]) == 2


def test_unanswered_orders_are_not_executed_twice():
    """An order gets no answer and the engine carries it out seconds later, after
    another one. By then its place is taken; the engine must refuse it.
    """
    clock = Clock()
    engine = FakeEngine(clock, adapters=("a1",))
    controller, _published = desk_of(engine, clock)
    engine.lose_answers = 1
    assert controller.load_adapter(BIG, Adapter("a3"))
    engine.run_late()
    assert engine.overfull == []
    assert engine.models[BIG] == {"a1", "a3"}


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
    controller, _published = desk_of(engine, clock)
    controller.refresh()
    controller.load_model(model, evictions, 1.7)
    assert set(engine.models) == expected
    assert engine.overfull == []


def test_evicted_model_is_unloaded_before_the_load():
    clock = Clock()
    engine = FakeEngine(clock, models=("big", "other"))
    controller, _published = desk_of(engine, clock)
    controller.refresh()
    controller.load_model(SMALL, (BIG,), 1.7)
    assert set(engine.models) == {"other", "small"}
    assert [order.load for order, _ in engine.log] == [False, True]


def test_load_time_excludes_the_report_lag():
    """A model that runs nothing makes room for one that callers wait for. The engine's
    reports show each step some hundred ms late; waited for twice, they take as long as
    the load itself, and callers whose aim is not much more get their answers late.
    """
    clock = Clock()
    engine = FakeEngine(clock, models=("big", "other"))
    controller, published = desk_of(engine, clock)
    controller.refresh()
    started_at = clock()
    controller.load_model(SMALL, (BIG,), 1.7)
    serves_at = next(at for at, models in published if "small" in models)
    assert serves_at - started_at < 1.7 + 0.1


def test_cold_load_completes_when_the_report_shows_it():
    """How long it takes depends on the loads of all engines; told too soon, callers
    are sent to it and refused there.
    """
    clock = Clock()
    engine = FakeEngine(clock, models=("big", "other"))
    controller, published = desk_of(engine, clock)
    controller.refresh()
    engine.load_time = 12.0
    started_at = clock()
    controller.load_model(SMALL, (BIG,), 8.0)
    serves_at = next(at for at, models in published if "small" in models)
    assert serves_at - started_at > 12.0


def test_unreported_request_delays_the_load():
    """An entry is cut off while its calls use the model that is to make room. The
    engine accepts the unload and waits for them. A load that it took before they have
    ended would be more than it has room for, and it would crash with all its calls.
    """
    clock = Clock()
    engine = FakeEngine(clock, models=("big", "other"))
    engine.running = {BIG}
    controller, _published = desk_of(engine, clock)
    controller.refresh()
    controller.load_model(SMALL, (BIG,), 1.7)
    assert set(engine.models) == {"big", "other"}
    engine.end_runs()
    controller.refresh()
    controller.load_model(SMALL, (), 1.7)
    assert set(engine.models) == {"other", "small"}
    assert engine.overfull == []


def test_no_model_is_loaded_into_used_memory():
    """The plan counted on room that another load has taken meanwhile."""
    clock = Clock()
    engine = FakeEngine(clock, models=("big", "other", "small"))
    controller, _published = desk_of(engine, clock)
    controller.refresh()
    engine.models.pop(SMALL)
    controller.load_model(SMALL, (), 1.7)
    assert engine.overfull == []


def test_adapters_in_use_are_not_unloaded():
    """All places of an engine are taken by adapters that run calls: an unload would
    wait for them, and every new call for those adapters would be refused meanwhile.
    """
    clock = Clock()
    engine = FakeEngine(clock, adapters=("a1", "a2"))
    controller, _published = desk_of(engine, clock, in_use=lambda *_: True)
    assert not controller.load_adapter(BIG, Adapter("a3"))
    assert engine.models[BIG] == {"a1", "a2"}


def test_adapter_in_use_keeps_its_slot():
    """An entry is cut off from the others while its calls use an adapter, so that the
    adapter looks idle. Its unload is accepted and waits for those calls. Counted as
    gone at once, its place would be given to another adapter; the engine, ordered
    beyond its places, would crash with all of its calls.
    """
    clock = Clock()
    engine = FakeEngine(clock, adapters=("a1", "a2"))
    engine.running = {"a1", "a2"}
    controller, _published = desk_of(engine, clock)
    for _ in range(8):
        assert not controller.load_adapter(BIG, Adapter("a3"))
        clock.now += 0.25
    assert engine.overfull == []
    engine.end_runs()
    assert any(
        controller.load_adapter(BIG, Adapter("a3")) or clock.sleep(0.25)
        for _ in range(4)
    )
    assert engine.overfull == []
    assert "a3" in engine.models[BIG]


def test_one_pending_adapter_unload_at_a_time():
    """The same: one place is wanted, so one adapter leaves, not one at each try."""
    clock = Clock()
    engine = FakeEngine(clock, adapters=("a1", "a2"))
    engine.running = {"a1", "a2"}
    controller, _published = desk_of(engine, clock)
    for _ in range(8):
        controller.load_adapter(BIG, Adapter("a3"))
        clock.now += 0.25
    assert [order.load for order, _ in engine.log] == [False]


def test_adapter_loads_run_between_model_loads():
    """Guards against adapters that are refused while an engine loads model on model."""
    clock = Clock()
    engine = FakeEngine(clock)
    controller, _published = desk_of(engine, clock)
    controller.refresh()
    controller.load_model(SMALL, (), 1.7)
    assert 0.0 < controller.busy_for() <= ADAPTER_WINDOW_S
    assert controller.load_adapter(BIG, Adapter("a1"))
    clock.now += ADAPTER_WINDOW_S
    assert controller.busy_for() == 0.0
