"""Which models engines hold, each decision under its load."""

import math

import pytest

from persimmonhitch.decide.drains import DrainTime
from persimmonhitch.decide.residency import (
    OVERDUE,
    EngineView,
    next_move,
    next_overdue,
    next_return,
    next_staging,
)
from persimmonhitch.fleet.config import ModelSpec
from persimmonhitch.ids import Model, Upstream

SPECS = {
    Model(name): ModelSpec(Model(name), 80.0, 8.0, 2.0, 0.6, 0, 0.0)
    for name in ("a", "b", "c", "d", "e", "f")
}


def engine(name, *models, **more):
    held = frozenset(Model(model) for model in models)
    on_disk = more.pop("disk", models)
    disk = frozenset(Model(model) for model in on_disk)
    return EngineView(Upstream(name), 200.0, 1.0, held, on_disk=disk, **more)


READS = 24_000.0
"""Tokens a second that an engine reads."""


def asked(**rates):
    return {Model(name): rate / READS for name, rate in rates.items()}


def test_a_missing_model_is_loaded_where_its_weights_are_near():
    """Callers ask for a model that nobody holds. From the weight store it takes four
    times as long, and the engine takes no other order meanwhile.
    """
    engines = [engine("e1", "a", "b"), engine("e2", "c", "d", disk=("c", "d", "e"))]
    move = next_move(SPECS, asked(a=5000, e=4000, c=0, d=0), engines, True)
    assert (move.model, move.upstream, move.cold) == ("e", "e2", False)


def test_a_busy_engine_near_the_weights_is_waited_for():
    engines = [
        engine("e1", "a", "b"),
        engine("e2", "c", "d", disk=("c", "d", "e"), busy_for=1.0),
    ]
    assert next_move(SPECS, asked(e=9000, b=0), engines, True) is None


def test_rare_models_leave_engines_for_busy_ones():
    """Single calls come for many rare models, and each load keeps an engine for
    seconds. A busy model that is asked for a moment later has to find an engine free.
    """
    engines = [engine(f"e{n}", "a", "b", disk=("a", "b", "c", "d")) for n in range(6)]
    for n in range(2):
        engines[n] = engine(f"e{n}", "a", coming=frozenset({Model("f")}), busy_for=5.0)
    demand = asked(a=3000, b=0, c=900)
    assert next_move(SPECS, demand, engines, True) is None
    demand = asked(a=3000, b=0, c=900, d=9000)
    move = next_move(SPECS, demand, engines, True)
    assert move is not None and move.model == "d"


def test_a_rare_model_is_loaded_in_the_end():
    """All engines are full of models that are asked for more than they can serve. One
    that is asked for now and then is worth less than any of them, and all of its
    callers were refused for three quarters of a minute.
    """
    engines = [
        engine("e1", "a", "b", disk=("a", "b", "c")),
        engine("e2", "a", "d"),
    ]
    demand = asked(a=40_000, b=20_000, d=20_000, c=900)
    assert next_move(SPECS, demand, engines, True) is None
    c = Model("c")
    assert next_overdue(SPECS, demand, engines, {c: OVERDUE - 1}, True) is None
    move = next_overdue(SPECS, demand, engines, {c: OVERDUE}, True)
    assert (move.model, move.upstream, move.cold) == ("c", "e1", False)


def test_an_overdue_model_that_is_coming_is_not_loaded_twice():
    engines = [engine("e1", "a", coming=frozenset({Model("c")})), engine("e2", "a")]
    missing = {Model("c"): OVERDUE * 2}
    assert next_overdue(SPECS, asked(c=900), engines, missing, True) is None


@pytest.mark.parametrize(
    ("engines", "overdue_loads", "other_loads", "late", "begins"),
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
def test_overdue_loads_grow_with_the_fleet_and_leave_it_room(
    engines, overdue_loads, other_loads, late, begins
):
    """Guards against one overdue load at a time, and against a fleet full of them."""
    rare = [Model(f"r{n}") for n in range(overdue_loads)]
    specs = {m: ModelSpec(m, 80.0, 8.0, 2.0, 0.6, 0, 0.0) for m in rare}
    coming = [*rare, *[Model("f")] * other_loads]
    views = [engine(f"e{n}", "a", "b") for n in range(engines - len(coming))]
    views += [
        engine(f"l{n}", "a", coming=frozenset({model}), busy_for=5.0, late=late)
        for n, model in enumerate(coming)
    ]
    demand = asked(a=900_000, b=900_000, c=900)
    missing = {Model("c"): OVERDUE}
    move = next_overdue(specs | SPECS, demand, views, missing, True, rare)
    assert (move is not None) is begins


def test_what_is_asked_for_stays():
    """Two models are asked for about as much and one place is left: they must not
    take it from each other without end.
    """
    engines = [engine("e1", "a", "b", disk=("a", "b", "c"))]
    assert next_move(SPECS, asked(a=3000, b=3000, c=3500), engines, True) is None


def test_what_was_just_loaded_stays():
    settling = frozenset({Model("b")})
    engines = [engine("e1", "a", "b", disk=("a", "b", "c"), settling=settling)]
    move = next_move(SPECS, asked(a=5000, b=0, c=900), engines, True)
    assert move is None


def test_a_place_that_is_free_at_once_goes_before_one_that_calls_hold():
    """Two engines could take a model. At one of them the model that would leave runs
    streams of seconds, and its unload waits for these; the engine takes no other order
    meanwhile, and callers of the new model are refused for as long.
    """
    running = frozenset({Model("b")})
    disk = ("a", "b", "c")
    engines = [
        engine("e1", "a", "b", disk=disk, running=running, drain=4.0),
        engine("e2", "a", "b", disk=disk),
    ]
    demand = asked(a=5000, b=0, c=9000)
    move = next_move(SPECS, demand, engines, True)
    assert (move.upstream, move.takes) == ("e2", 2.0)
    move = next_move(SPECS, demand, engines[:1], True)
    assert (move.upstream, move.takes) == ("e1", 6.0)


def test_the_wait_for_calls_is_learned_from_unloads():
    drains = DrainTime()
    for _ in range(20):
        drains.saw(7.0)
    assert 6.5 < drains.expected <= 7.0


def test_a_busy_model_gets_a_second_copy():
    engines = [engine("e1", "a", "b"), engine("e2", "c", "d", disk=("a", "c", "d"))]
    move = next_move(SPECS, asked(a=30_000, b=9000, c=0, d=0), engines, True)
    assert (move.model, move.upstream) == ("a", "e2")


def test_a_copy_that_is_coming_counts():
    engines = [
        engine("e1", "a", "b"),
        engine("e2", "c", coming=frozenset({Model("e")}), busy_for=1.0),
        engine("e3", "d", "f", disk=("d", "f", "e")),
    ]
    assert next_move(SPECS, asked(e=4000, a=100), engines, True) is None


def test_models_near_no_engine_are_staged_while_nobody_asks():
    engines = [engine("e1", "a", "b"), engine("e2", "a", "c")]
    move = next_staging(SPECS, asked(), engines, engines)
    assert move is not None and move.model in ("d", "e", "f")
    assert move.victims == ("a",), "every model keeps a copy"
    assert next_staging(SPECS, asked(a=1, b=1, c=1), engines, engines) is None


def test_what_staging_took_comes_back():
    """It was put there by whoever knows which models are busy; its first callers would
    else wait for a load.
    """
    home = {Upstream("e1"): frozenset({Model("a"), Model("b")})}
    engines = [engine("e1", "a", "d", disk=("a", "b", "d"))]
    move = next_return(SPECS, asked(), engines, home)
    assert (move.model, move.victims) == ("b", ("d",))
    assert next_return(SPECS, asked(d=5), engines, home) is None


def test_an_engine_that_leaves_takes_no_load():
    engines = [engine("e1", "a", "b", disk=("a", "b", "c"), busy_for=math.inf)]
    assert next_move(SPECS, asked(c=9000, b=0), engines, True) is None
