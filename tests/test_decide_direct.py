"""Decisions of entries that call upstreams directly, each under its load."""

from collections import Counter

import pytest

from persimmonhitch.decide.bursts import AT_ONCE, LoadRate
from persimmonhitch.decide.demand import Demand
from persimmonhitch.decide.dispatch import Lane, Need, Step, choose
from persimmonhitch.decide.patience import give_up_at, load_limit, refusal
from persimmonhitch.decide.trust import (
    FAILURES,
    OUT_FIRST,
    RETURN_SECONDS,
    SILENT,
    Trust,
    is_silent,
    parts,
)
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


DRAWS, LIKELIEST = 1000, 0.8
"""Numbers drawn for a choice, and the least part of them that go to the best engine."""


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
            Step.WAIT_TO_FETCH,
            None,
        ),
        (
            [lane(adapter_here=False, fetches=False), lane("e2", trust=0.0)],
            need(adapter=Adapter("a")),
            Step.WAIT,
            None,
        ),
    ],
)
def test_where_a_call_goes(lanes, wanted, step, upstream):
    choices = Counter(
        choose(lanes, wanted, Z1, lambda drawn=drawn: drawn / DRAWS)
        for drawn in range(DRAWS)
    )
    assert {choice.step for choice in choices} == {step}
    (likeliest, count), *_ = choices.most_common()
    assert likeliest.upstream == upstream
    assert count >= DRAWS * LIKELIEST
    # Only engines that differ in nothing but their wait share the calls.
    taken = {choice.upstream for choice in choices}
    shared = [ln for ln in lanes if ln.upstream in taken]
    assert len({(ln.zone == Z1, ln.adapter_here) for ln in shared}) <= 1


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


# -- loads and demand -----------------------------------------------------------


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
