"""Decisions of entries that call upstreams directly, each under its load."""

import math

import pytest

from persimmonhitch.decide.bursts import AT_ONCE, LoadRate
from persimmonhitch.decide.demand import Demand
from persimmonhitch.decide.dispatch import Lane, Need, Step, choose
from persimmonhitch.decide.drains import DrainTime
from persimmonhitch.decide.patience import give_up_at, load_limit, refusal
from persimmonhitch.decide.residency import (
    OVERDUE,
    EngineView,
    next_move,
    next_overdue,
    next_return,
    next_staging,
)
from persimmonhitch.decide.trust import (
    FAILURES,
    OUT_FIRST,
    RETURN_SECONDS,
    SILENT,
    Trust,
    is_silent,
    parts,
)
from persimmonhitch.fleet.config import ModelSpec
from persimmonhitch.ids import Adapter, Model, Service, Upstream, Vm, Zone

Z1, Z2 = Zone("z1"), Zone("z2")
M1 = Model("m1")


def need(model=M1, adapter=None, prompt=1000, tokens=1100, event_by=5.0):
    return Need(
        service=Service("llm"),
        model=model,
        adapter=adapter,
        prompt=prompt,
        tokens=tokens,
        rank=1,
        arrived=0.0,
        aim_at=1.0,
        event_by=event_by,
        deadline_at=5.0,
    )


def lane(name="e1", zone=Z1, **more):
    values = {
        "slots": 4,
        "kv_tokens": 10_000,
        "running": 0,
        "tokens": 0,
        "unread": 0,
        "model_here": True,
        "adapter_here": True,
    }
    return Lane(Upstream(name), zone, **{**values, **more})


@pytest.mark.parametrize(
    ("lanes", "wanted", "step", "upstream"),
    [
        ([], need(), Step.NONE, None),
        ([lane()], need(), Step.SEND, "e1"),
        ([lane(model_here=False)], need(), Step.LOAD, None),
        ([lane(running=4)], need(), Step.WAIT, None),
        ([lane(running=1, tokens=9000)], need(), Step.WAIT, None),
        ([lane(trust=0.0)], need(), Step.WAIT, None),
        ([lane(unread=20_000), lane("e2")], need(), Step.SEND, "e2"),
        ([lane(zone=Z2), lane("e2")], need(), Step.SEND, "e2"),
        ([lane(unread=4000), lane("e2", Z2)], need(), Step.SEND, "e2"),
        ([lane(adapter_here=False)], need(adapter="a"), Step.FETCH, "e1"),
        (
            [lane(adapter_here=False), lane("e2", unread=500)],
            need(adapter=Adapter("a")),
            Step.SEND,
            "e2",
        ),
        (
            [lane(adapter_here=False), lane("e2", unread=5000)],
            need(adapter=Adapter("a")),
            Step.FETCH,
            "e1",
        ),
        (
            [lane(adapter_here=False, fetches=False)],
            need(adapter=Adapter("a")),
            Step.WAIT,
            None,
        ),
    ],
)
def test_where_a_call_goes(lanes, wanted, step, upstream):
    choice = choose(lanes, wanted, Z1)
    assert (choice.step, choice.upstream) == (step, upstream)


def test_a_request_larger_than_what_is_left_goes_to_an_empty_engine():
    """Alone it fits anywhere; an engine that is too small for it refuses it itself."""
    assert choose([lane(kv_tokens=500)], need(), Z1).step is Step.SEND


# -- failing upstreams -------------------------------------------------------------


def test_a_refused_connection_takes_an_upstream_out_at_once():
    trust = Trust()
    assert trust.part(0.0) == 1.0
    assert trust.unreachable(0.0)
    assert trust.part(OUT_FIRST / 2) == 0.0


def test_one_that_fails_now_and_then_stays():
    """One answer in ten fails, by chance as at all others: ejecting it would leave the
    others with more than they can take.
    """
    trust = Trust()
    for number in range(100):
        trust.failed(0.0) if number % 10 == 0 else trust.ok(0.0)
    assert trust.part(0.0) == 1.0


def test_one_that_fails_half_of_its_calls_goes():
    """An upstream fails every second request while its health check is good."""
    trust = Trust()
    outs = [trust.failed(0.0) if n % 2 else trust.ok(0.0) for n in range(2 * FAILURES)]
    assert any(outs)
    assert trust.part(0.1) == 0.0


def test_the_way_back_is_one_call_at_a_time():
    """It was down and is back. All entries at once would send it what they have; each
    sends one call, and more only once that one was answered.
    """
    trust = Trust()
    trust.unreachable(0.0)
    back = OUT_FIRST + 0.1
    assert 0 < trust.part(back) * 64 < 1
    assert 0 < trust.part(back + 10) * 64 < 1
    trust.ok(back)
    assert trust.part(back + RETURN_SECONDS / 2) == pytest.approx(0.5)
    assert trust.part(back + RETURN_SECONDS) == 1.0


def test_a_failure_that_all_share_takes_nobody_out():
    """All engines fail every second request for some seconds. Taken out one after the
    other, none would be left, and all calls would be refused for longer than the
    failure lasts; callers saw ten seconds of refusals.
    """
    trusts = [Trust() for _ in range(6)]
    for trust in trusts:
        for _ in range(FAILURES):
            trust.failed(0.0)
    assert parts(trusts, 0.1) == [1.0] * 6


def test_a_failure_of_a_few_takes_them_out():
    trusts = [Trust() for _ in range(6)]
    for trust in trusts[:2]:
        for _ in range(FAILURES):
            trust.failed(0.0)
    assert parts(trusts, 0.1) == [0.0, 0.0, 1.0, 1.0, 1.0, 1.0]


def test_what_cannot_be_reached_is_out_however_many_there_are():
    trusts = [Trust() for _ in range(3)]
    for trust in trusts:
        trust.unreachable(0.0)
    assert parts(trusts, 0.1) == [0.0, 0.0, 0.0]


def test_one_that_fails_again_stays_out_longer():
    trust = Trust()
    trust.unreachable(0.0)
    trust.unreachable(OUT_FIRST)
    assert trust.part(OUT_FIRST * 2.5) == 0.0


@pytest.mark.parametrize(
    ("running", "heard", "idle_until", "now", "silent"),
    [
        (0, 0.0, 0.0, 100.0, False),
        (1, 0.0, 99.9, 100.0, False),
        (1, 99.9, 0.0, 100.0, False),
        (1, 0.0, 100.0 - SILENT * 1.1, 100.0, True),
    ],
)
def test_silence(running, heard, idle_until, now, silent):
    """An engine's VM loses power. No connection is refused, and each call sent there
    is lost only when its caller gives up, seconds later.
    """
    assert is_silent(running, heard, idle_until, now) is silent


# -- waiting -----------------------------------------------------------------------


def test_a_call_waits_no_longer_than_its_aim():
    assert give_up_at(need()) == pytest.approx(0.9)
    assert load_limit(need()) == pytest.approx(3.0)


def test_no_call_waits_for_a_load_until_its_caller_leaves():
    """A caller leaves a stream of which nothing has come after two seconds, though its
    deadline is five. Its model is ready after two and a half: it is to be told so at
    once, while it can still come back.
    """
    assert load_limit(need(event_by=2.0)) == pytest.approx(1.6)


def test_those_refused_together_do_not_come_back_together():
    times = {refusal(Step.WAIT, need()).retry_after for _ in range(50)}
    assert len(times) > 40
    assert max(times) / min(times) > 1.2


def test_callers_are_told_what_is_known_of_a_load():
    """Nobody has begun to load a model. Told that it is ready in half a second, callers
    come back to be refused again, and whoever looks for the cause looks for a load.
    """
    unknown = refusal(Step.LOAD, need())
    known = refusal(Step.LOAD, need(), 2.0)
    assert "ready in" not in unknown.message
    assert "ready in 2.0 s" in known.message
    assert 2.0 <= known.retry_after <= 3.0


# -- placement ---------------------------------------------------------------------

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


def test_the_weight_store_s_rate_holds():
    """All engines are to load at once from the weight store, which then serves each
    several times as slowly.
    """
    rate = LoadRate()
    began = 0
    for step in range(500):
        now = step * 0.01
        if rate.allowed(1.5, now):
            rate.take(1.5, now)
            began += 1
    assert began <= 5 * 1.5 + AT_ONCE
    assert began >= 7


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


# -- demand ------------------------------------------------------------------------


def test_demand_rises_within_seconds_and_is_kept_for_a_while():
    demand, total = Demand(), 0.0
    demand.rates(0.0)
    for step in range(1, 31):
        total += 1000.0
        demand.hear(Vm("e1"), {M1: total}, step * 0.1)
        rate = demand.rates(step * 0.1)[M1]
    assert rate > 7000
    for step in range(31, 131):
        rate = demand.rates(step * 0.1)[M1]
    assert 200 < rate < 2000


def test_an_entry_that_starts_anew_counts_from_zero():
    demand = Demand()
    demand.rates(0.0)
    demand.hear(Vm("e1"), {M1: 90_000.0}, 0.1)
    demand.rates(1.0)
    before = demand.rates(2.0)[M1]
    demand.hear(Vm("e1"), {M1: 10.0}, 2.1)
    assert demand.rates(3.0)[M1] <= before
