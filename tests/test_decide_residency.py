"""Choice of the models that engines load and evict, by load pattern."""

import math
from dataclasses import replace

import pytest

from persimmonhitch.decide.drain_estimate import DrainEstimate
from persimmonhitch.decide.residency import (
    OVERDUE_AFTER_S,
    EngineView,
    next_load,
    next_overdue_load,
    next_restore,
    next_staging,
)
from persimmonhitch.fleet.config import ModelSpec
from persimmonhitch.ids import Model, Upstream

SPECS = {
    Model(name): ModelSpec(Model(name), 80.0, 8.0, 2.0, 0.6, 0, 0.0)
    for name in ("a", "b", "c", "d", "e", "f")
}


def engine(name, *models, **fields):
    resident = frozenset(Model(model) for model in models)
    on_disk = fields.pop("disk", models)
    disk = frozenset(Model(model) for model in on_disk)
    return EngineView(Upstream(name), 200.0, 1.0, resident, on_disk=disk, **fields)


READ_RATE = 24_000.0
"""Tokens per second that an engine reads."""


def demand_of(**rates):
    return {Model(name): rate / READ_RATE for name, rate in rates.items()}


def test_missing_model_is_loaded_where_its_weights_are_cached():
    """Callers request a model that is resident nowhere. Its load from the weight store
    takes four times as long, and the engine accepts no other order in this time.
    """
    engines = [engine("e1", "a", "b"), engine("e2", "c", "d", disk=("c", "d", "e"))]
    move = next_load(SPECS, demand_of(a=5000, e=4000, c=0, d=0), engines, True)
    assert (move.model, move.upstream, move.cold) == ("e", "e2", False)


def test_load_waits_for_a_busy_engine_with_cached_weights():
    engines = [
        engine("e1", "a", "b"),
        engine("e2", "c", "d", disk=("c", "d", "e"), busy_s=1.0),
    ]
    assert next_load(SPECS, demand_of(e=9000, b=0), engines, True) is None


def test_loads_of_rare_models_leave_engines_free():
    """Single requests arrive for many rare models, and each load occupies an engine for
    seconds. A busy model that is requested a moment later must find a free engine.
    """
    engines = [engine(f"e{n}", "a", "b", disk=("a", "b", "c", "d")) for n in range(6)]
    for n in range(2):
        engines[n] = engine(f"e{n}", "a", loading=frozenset({Model("f")}), busy_s=5.0)
    demand = demand_of(a=3000, b=0, c=900)
    assert next_load(SPECS, demand, engines, True) is None
    demand = demand_of(a=3000, b=0, c=900, d=9000)
    move = next_load(SPECS, demand, engines, True)
    assert move is not None and move.model == "d"


def test_overdue_rare_model_is_loaded():
    """The demand for the resident models exceeds the capacity of all engines. A model
    with rare requests has a lower value than any resident model, and all of its callers
    were refused for three quarters of a minute.
    """
    engines = [
        engine("e1", "a", "b", disk=("a", "b", "c")),
        engine("e2", "a", "d"),
    ]
    demand = demand_of(a=40_000, b=20_000, d=20_000, c=900)
    assert next_load(SPECS, demand, engines, True) is None
    c = Model("c")
    assert (
        next_overdue_load(SPECS, demand, engines, {c: OVERDUE_AFTER_S - 1}, True)
        is None
    )
    move = next_overdue_load(SPECS, demand, engines, {c: OVERDUE_AFTER_S}, True)
    assert (move.model, move.upstream, move.cold) == ("c", "e1", False)


@pytest.mark.parametrize(
    ("drain_s", "adapters_beside", "expected"),
    [(0.0, False, "e1"), (6.0, False, "e2"), (0.0, True, "e2")],
)
def test_overdue_load_disrupts_few_callers(drain_s, adapters_beside, expected):
    """Guards against overdue loads on engines where they refuse or wait the longest."""
    specs = dict(SPECS)
    if adapters_beside:
        specs[Model("a")] = replace(SPECS[Model("a")], adapter_count=8)
    engines = [
        engine("e1", "a", "d", drains={Model("d"): drain_s}),
        engine("e2", "b", "e"),
    ]
    demand = demand_of(a=9000, b=9000, d=2000, e=2100, c=900)
    missing = {Model("c"): OVERDUE_AFTER_S}
    move = next_overdue_load(specs, demand, engines, missing, True)
    assert move.upstream == expected


def test_overdue_model_that_is_loading_is_not_loaded_twice():
    engines = [engine("e1", "a", loading=frozenset({Model("c")})), engine("e2", "a")]
    missing = {Model("c"): OVERDUE_AFTER_S * 2}
    assert next_overdue_load(SPECS, demand_of(c=900), engines, missing, True) is None


@pytest.mark.parametrize(
    ("engines", "overdue_loads", "other_loads", "load_overdue", "expected"),
    [
        (9, 0, 5, False, True),
        (9, 1, 5, False, False),
        (9, 1, 5, True, True),
        (9, 1, 1, False, True),
        (24, 7, 0, False, True),
        (24, 8, 0, False, False),
        (24, 3, 5, False, False),
    ],
)
def test_overdue_loads_scale_with_the_fleet(
    engines, overdue_loads, other_loads, load_overdue, expected
):
    """Guards against overdue loads one at a time, and on all engines at once."""
    rare = [Model(f"r{n}") for n in range(overdue_loads)]
    specs = {m: ModelSpec(m, 80.0, 8.0, 2.0, 0.6, 0, 0.0) for m in rare}
    loading = [*rare, *[Model("f")] * other_loads]
    views = [engine(f"e{n}", "a", "b") for n in range(engines - len(loading))]
    views += [
        engine(
            f"l{n}",
            "a",
            loading=frozenset({model}),
            busy_s=5.0,
            load_overdue=load_overdue,
        )
        for n, model in enumerate(loading)
    ]
    demand = demand_of(a=900_000, b=900_000, c=900)
    missing = {Model("c"): OVERDUE_AFTER_S}
    move = next_overdue_load(specs | SPECS, demand, views, missing, True, rare)
    assert (move is not None) is expected


def test_models_of_equal_demand_do_not_evict_each_other():
    """Two models of about the same demand compete for one slot and must not evict each
    other repeatedly.
    """
    engines = [engine("e1", "a", "b", disk=("a", "b", "c"))]
    assert next_load(SPECS, demand_of(a=3000, b=3000, c=3500), engines, True) is None


def test_recently_loaded_model_is_not_evicted():
    settling = frozenset({Model("b")})
    engines = [engine("e1", "a", "b", disk=("a", "b", "c"), settling=settling)]
    move = next_load(SPECS, demand_of(a=5000, b=0, c=900), engines, True)
    assert move is None


def test_engine_without_drain_is_preferred():
    """Two engines could load a model. On one of them the model to evict runs streams of
    several seconds, for which its unload waits. The engine accepts no other order in
    this time, and callers of the new model are refused.
    """
    disk = ("a", "b", "c")
    engines = [
        engine("e1", "a", "b", disk=disk, drains={Model("b"): 4.0}),
        engine("e2", "a", "b", disk=disk),
    ]
    demand = demand_of(a=5000, b=0, c=9000)
    move = next_load(SPECS, demand, engines, True)
    assert (move.upstream, move.total_s) == ("e2", 2.0)
    move = next_load(SPECS, demand, engines[:1], True)
    assert (move.upstream, move.total_s) == ("e1", 6.0)


def test_drain_time_is_learned_from_unloads():
    estimate = DrainEstimate()
    for _ in range(20):
        estimate.record(7.0, 4)
    assert 6.5 < estimate.expected_s(4) <= 7.0


def test_unloads_of_models_with_few_requests_are_expected_to_be_short():
    """Guards against the eviction of a model with many streams for one with few."""
    estimate = DrainEstimate()
    assert estimate.expected_s(0) == 0.0
    drains = [estimate.expected_s(requests) for requests in (8, 1)]
    engines = [
        engine(f"e{n}", "a", "b", disk=("a", "b", "c"), drains={Model("b"): drain})
        for n, drain in enumerate(drains)
    ]
    move = next_load(SPECS, demand_of(a=5000, b=0, c=9000), engines, True)
    assert (move.upstream, move.drain_s) == ("e1", drains[1])


def test_busy_model_gets_a_second_copy():
    engines = [engine("e1", "a", "b"), engine("e2", "c", "d", disk=("a", "c", "d"))]
    move = next_load(SPECS, demand_of(a=30_000, b=9000, c=0, d=0), engines, True)
    assert (move.model, move.upstream) == ("a", "e2")


def test_loading_copy_counts():
    engines = [
        engine("e1", "a", "b"),
        engine("e2", "c", loading=frozenset({Model("e")}), busy_s=1.0),
        engine("e3", "d", "f", disk=("d", "f", "e")),
    ]
    assert next_load(SPECS, demand_of(e=4000, a=100), engines, True) is None


def test_uncached_models_are_staged_while_idle():
    engines = [engine("e1", "a", "b"), engine("e2", "a", "c")]
    move = next_staging(SPECS, demand_of(), engines, engines)
    assert move is not None and move.model in ("d", "e", "f")
    assert move.evicted == ("a",), "every model keeps a copy"
    assert next_staging(SPECS, demand_of(a=1, b=1, c=1), engines, engines) is None


def test_models_evicted_by_staging_are_restored():
    """Staging evicts a model that an operator, who knows the busy models, has placed on
    the engine. If the model were not restored, its first callers would wait for a load.
    """
    initial = {Upstream("e1"): frozenset({Model("a"), Model("b")})}
    engines = [engine("e1", "a", "d", disk=("a", "b", "d"))]
    move = next_restore(SPECS, demand_of(), engines, initial)
    assert (move.model, move.evicted) == ("b", ("d",))
    assert next_restore(SPECS, demand_of(d=5), engines, initial) is None


def test_draining_engine_accepts_no_load():
    engines = [engine("e1", "a", "b", disk=("a", "b", "c"), busy_s=math.inf)]
    assert next_load(SPECS, demand_of(c=9000, b=0), engines, True) is None


@pytest.mark.parametrize(
    ("speeds", "expected"), [((1.0, 0.5), "e2"), ((0.5, 1.0), "e3")]
)
def test_further_copies_of_busy_models_go_to_fast_engines(speeds, expected):
    """Guards against busy models on slow engines beside rare ones on fast engines."""
    disk = ("a", "c", "d")
    engines = [engine("e1", "a", "b")] + [
        engine(f"e{n}", "c", "d", disk=disk, speed=speed)
        for n, speed in enumerate(speeds, 2)
    ]
    demand = demand_of(a=40_000, b=9000, c=0, d=0)
    assert next_load(SPECS, demand, engines, True).upstream == expected


@pytest.mark.parametrize(
    ("speeds", "expected"), [((1.0, 0.5), "e2"), ((0.5, 1.0), "e1")]
)
def test_copies_on_slow_engines_are_evicted_first(speeds, expected):
    """Guards against the eviction of the copy that serves most callers."""
    disk = ("a", "b", "c")
    engines = [
        engine(f"e{n}", "a", "b", disk=disk, speed=speed)
        for n, speed in enumerate(speeds, 1)
    ]
    demand = demand_of(a=9000, b=9000, c=3000)
    assert next_load(SPECS, demand, engines, True).upstream == expected


def test_model_in_overload_gets_copies_beside_rare_models():
    """Guards against a model that keeps one copy while most callers are refused."""
    a, rare = Model("a"), [Model(name) for name in "bcdef"]
    engines = [engine("e1", "a", "b"), engine("e2", "c", "d"), engine("e3", "e", "f")]
    demand = {a: 6.0} | dict.fromkeys(rare, 0.1)
    assert next_load(SPECS, demand, engines, True) is None
    loads = {a: 12.0} | dict.fromkeys(rare, 0.1)
    move = next_load(SPECS, demand, engines, True, loads)
    assert move.model == "a"


def test_copies_go_where_other_models_leave_time():
    """Guards against two busy models on one engine while others idle."""
    engines = [engine("e1", "a", "b"), engine("e2", "b", "d"), engine("e3", "c", "d")]
    demand = demand_of(a=30_000, b=30_000, c=2000, d=2000)
    move = next_load(SPECS, demand, engines, True, demand)
    assert (move.model, move.upstream) == ("a", "e3")


@pytest.mark.parametrize(("loading", "expected"), [(True, None), (False, "f")])
def test_resident_copy_is_kept_while_the_others_are_loading(loading, expected):
    """Guards against a busy model that is resident nowhere until a load has ended."""
    a = frozenset({Model("a")})
    others = engine("e2", loading=a) if loading else engine("e2", "a")
    engines = [
        engine("e1", "a", "b", disk=("f",)),
        replace(others, busy_s=8.0),
        engine("e3", "c", loading=frozenset({Model("d")}), busy_s=8.0),
    ]
    demand = demand_of(a=6000, b=6000, c=6000, d=6000, f=5000)
    move = next_load(SPECS, demand, engines, True, demand)
    assert (move and move.model) == expected
