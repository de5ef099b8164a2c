"""Decisions of entries that call upstreams: dispatch, health, waits and demand."""

from collections import Counter

import pytest

from persimmonhitch.decide.demand import DemandTracker
from persimmonhitch.decide.dispatch import (
    DispatchRequest,
    Step,
    UpstreamView,
    choose_upstream,
)
from persimmonhitch.decide.health import (
    EJECT_AFTER_FAILURES,
    MIN_EJECT_S,
    RAMP_UP_S,
    REJECTIONS_IN_A_ROW,
    UNRESPONSIVE_AFTER_S,
    UpstreamHealth,
    is_unresponsive,
    traffic_shares,
)
from persimmonhitch.decide.load_rate import MAX_SAVED_LOADS, LoadRateLimiter
from persimmonhitch.decide.wait_limits import (
    load_refusal,
    load_wait_deadline,
    refusal,
    wait_deadline,
)
from persimmonhitch.ids import Adapter, Model, Service, Upstream, Vm, Zone

Z1, Z2 = Zone("z1"), Zone("z2")
M1 = Model("m1")


def request(
    model=M1, adapter=None, prompt=1000, tokens=1100, event_by=5.0, deadline=5.0
):
    return DispatchRequest(
        service=Service("llm"),
        model=model,
        adapter=adapter,
        prompt_tokens=prompt,
        kv_tokens=tokens,
        rank=1,
        arrived=0.0,
        latency_target_at=1.0,
        first_event_by=event_by,
        deadline_at=deadline,
    )


def view(name="e1", zone=Z1, **overrides):
    values = {
        "slots": 4,
        "kv_capacity": 10_000,
        "running": 0,
        "kv_tokens": 0,
        "unread": 0,
        "has_model": True,
        "has_adapter": True,
    }
    return UpstreamView(Upstream(name), zone, **{**values, **overrides})


SAMPLES, MIN_BEST_SHARE = 1000, 0.8
"""Samples per choice, and the smallest share of them that chooses the best engine."""


@pytest.mark.parametrize(
    ("views", "dispatch_request", "step", "upstream"),
    [
        ([], request(), Step.NO_UPSTREAM, None),
        ([view()], request(), Step.SEND, "e1"),
        ([view(has_model=False)], request(), Step.LOAD, None),
        ([view(running=4)], request(), Step.WAIT, None),
        ([view(running=1, kv_tokens=9000)], request(), Step.WAIT, None),
        ([view(traffic_share=0.0)], request(), Step.WAIT, None),
        ([view(unread=20_000), view("e2")], request(), Step.SEND, "e2"),
        ([view(zone=Z2), view("e2")], request(), Step.SEND, "e2"),
        ([view(unread=4000), view("e2", Z2)], request(), Step.SEND, "e2"),
        ([view(has_adapter=False)], request(adapter="a"), Step.LOAD_ADAPTER, "e1"),
        (
            [view(has_adapter=False), view("e2", unread=500)],
            request(adapter=Adapter("a")),
            Step.SEND,
            "e2",
        ),
        (
            [view(has_adapter=False), view("e2", unread=5000)],
            request(adapter=Adapter("a")),
            Step.LOAD_ADAPTER,
            "e1",
        ),
        (
            [view(has_adapter=False, adapters_wait_s=4.0)],
            request(adapter=Adapter("a")),
            Step.WAIT_FOR_MODEL,
            None,
        ),
        (
            [
                view(has_adapter=False, adapters_wait_s=4.0),
                view("e2", traffic_share=0.0),
            ],
            request(adapter=Adapter("a")),
            Step.WAIT,
            None,
        ),
    ],
)
def test_choose_upstream(views, dispatch_request, step, upstream):
    choices = Counter(
        choose_upstream(
            views, dispatch_request, Z1, lambda sample=sample: sample / SAMPLES
        )
        for sample in range(SAMPLES)
    )
    assert {choice.step for choice in choices} == {step}
    (likeliest, count), *_ = choices.most_common()
    assert likeliest.upstream == upstream
    assert count >= SAMPLES * MIN_BEST_SHARE
    # Requests are shared only among engines that differ in their wait alone.
    chosen = {choice.upstream for choice in choices}
    shared = [v for v in views if v.upstream in chosen]
    assert len({(v.zone == Z1, v.has_adapter) for v in shared}) <= 1


def test_oversized_request_goes_to_an_idle_engine():
    """An idle engine that is too small for a request refuses the request itself."""
    assert choose_upstream([view(kv_capacity=500)], request(), Z1).step is Step.SEND


# -- failing upstreams -------------------------------------------------------------


def test_refused_connection_ejects_an_upstream_at_once():
    health = UpstreamHealth()
    assert health.traffic_share(0.0) == 1.0
    assert health.unreachable(0.0)
    assert health.traffic_share(MIN_EJECT_S / 2) == 0.0


def test_upstream_with_rare_failures_is_not_ejected():
    """One answer in ten fails at random at every upstream. Ejecting the upstream would
    overload the others.
    """
    health = UpstreamHealth()
    for n in range(100):
        health.failed(0.0) if n % 10 == 0 else health.succeeded(0.0)
    assert health.traffic_share(0.0) == 1.0


def test_upstream_that_fails_half_of_its_requests_is_ejected():
    """An upstream fails every second request while its health check is good."""
    health = UpstreamHealth()
    ejections = [
        health.failed(0.0) if n % 2 else health.succeeded(0.0)
        for n in range(2 * EJECT_AFTER_FAILURES)
    ]
    assert any(ejections)
    assert health.traffic_share(0.1) == 0.0


def test_ejected_upstream_returns_with_one_request_at_a_time():
    """An upstream has recovered, and all entries could send it every request at once.
    Each entry sends one request, and further requests only after its answer.
    """
    health = UpstreamHealth()
    health.unreachable(0.0)
    returned_at = MIN_EJECT_S + 0.1
    assert 0 < health.traffic_share(returned_at) * 64 < 1
    assert 0 < health.traffic_share(returned_at + 10) * 64 < 1
    health.succeeded(returned_at)
    assert health.traffic_share(returned_at + RAMP_UP_S / 2) == pytest.approx(0.5)
    assert health.traffic_share(returned_at + RAMP_UP_S) == 1.0


def test_failure_of_all_upstreams_ejects_none():
    """All engines fail every second request for some seconds. If they were ejected one
    after the other, no engine would be left, and all requests would be refused for
    longer than the failure lasts; callers saw ten seconds of refusals.
    """
    upstreams = [UpstreamHealth() for _ in range(6)]
    for health in upstreams:
        for _ in range(EJECT_AFTER_FAILURES):
            health.failed(0.0)
    assert traffic_shares(upstreams, 0.1) == [1.0] * 6


def test_failure_of_few_upstreams_ejects_them():
    upstreams = [UpstreamHealth() for _ in range(6)]
    for health in upstreams[:2]:
        for _ in range(EJECT_AFTER_FAILURES):
            health.failed(0.0)
    assert traffic_shares(upstreams, 0.1) == [0.0, 0.0, 1.0, 1.0, 1.0, 1.0]


@pytest.mark.parametrize(
    ("rejecting", "shares"),
    [(1, [0.0, 1.0, 1.0, 1.0]), (2, [0.0, 0.0, 1.0, 1.0]), (4, [1.0] * 4)],
)
def test_upstreams_that_reject_are_ejected_unless_all_do(rejecting, shares):
    """Guards against retries that are used up by an upstream that takes nothing."""
    upstreams = [UpstreamHealth() for _ in range(4)]
    for health in upstreams[:rejecting]:
        for _ in range(REJECTIONS_IN_A_ROW):
            health.rejected(0.0)
    assert traffic_shares(upstreams, 0.1) == shares


def test_upstream_that_rejects_a_few_requests_is_not_ejected():
    """Guards against a busy upstream that loses its share for single rejections."""
    health = UpstreamHealth()
    for n in range(100):
        health.rejected(0.0) if n % 5 == 0 else health.succeeded(0.0)
    assert health.traffic_share(0.0) == 1.0


def test_unreachable_upstreams_are_always_ejected():
    upstreams = [UpstreamHealth() for _ in range(3)]
    for health in upstreams:
        health.unreachable(0.0)
    assert traffic_shares(upstreams, 0.1) == [0.0, 0.0, 0.0]


def test_repeated_failure_lengthens_the_ejection():
    health = UpstreamHealth()
    health.unreachable(0.0)
    health.unreachable(MIN_EJECT_S)
    assert health.traffic_share(MIN_EJECT_S * 2.5) == 0.0


@pytest.mark.parametrize(
    ("running", "output_at", "idle_at", "now", "unresponsive"),
    [
        (0, 0.0, 0.0, 100.0, False),
        (1, 0.0, 99.9, 100.0, False),
        (1, 99.9, 0.0, 100.0, False),
        (1, 0.0, 100.0 - UNRESPONSIVE_AFTER_S * 1.1, 100.0, True),
    ],
)
def test_unresponsive_upstream(running, output_at, idle_at, now, unresponsive):
    """The VM of an engine loses power. No connection is refused, and the loss of a
    request is only noticed when its caller gives up, seconds later.
    """
    assert is_unresponsive(running, output_at, idle_at, now) is unresponsive


# -- waiting -----------------------------------------------------------------------


def test_request_waits_within_its_latency_target():
    assert wait_deadline(request()) == pytest.approx(0.9)
    assert load_wait_deadline(request()) == pytest.approx(3.0)


def test_wait_for_a_load_is_the_shortest_of_the_upstreams_that_may_be_used():
    """Guards against a wait for the load of an upstream that failed or has no model."""
    views = [
        view(has_adapter=False, adapters_wait_s=4.0),
        view("e2", has_adapter=False, adapters_wait_s=2.5),
        view("e3", has_model=False, has_adapter=False),
    ]
    choice = choose_upstream(views, request(adapter=Adapter("a")), Z1)
    assert (choice.step, choice.wait_s) == (Step.WAIT_FOR_MODEL, 2.5)


def test_load_wait_ends_before_the_caller_disconnects():
    """A caller disconnects from a stream without events after two seconds, although its
    deadline is five seconds. If its model is ready only after two and a half seconds,
    the request is refused while the caller can still retry.
    """
    assert load_wait_deadline(request(event_by=2.0)) == pytest.approx(1.6)


def test_retry_times_are_spread():
    retry_times = {refusal(Step.WAIT, request()).retry_after for _ in range(50)}
    assert len(retry_times) > 40
    assert max(retry_times) / min(retry_times) > 1.2


def test_refusal_names_the_load_time_only_if_known():
    """No engine has begun to load a model. If the refusal announced the model in half a
    second, callers would retry and be refused again, and operators would search for a
    load that does not exist.
    """
    unknown = load_refusal(Step.LOAD, request(), 2.0, 0.0, loading=False)
    known = load_refusal(Step.LOAD, request(), 2.0, 0.0, loading=True)
    assert "ready in" not in unknown.message
    assert "ready in 2.0 s" in known.message
    assert 2.0 <= known.retry_after <= 3.0


@pytest.mark.parametrize(
    ("deadline", "earliest"), [(15.0, 5.0), (60.0, 8.0), (5.0, 5 / 3), (0.9, 0.5)]
)
def test_callers_of_a_model_that_none_loads_leave_it_time_to_load(deadline, earliest):
    """Guards against callers that spend their retries before a load can end."""
    failure = load_refusal(Step.LOAD, request(deadline=deadline), 8.0, 0.0, False)
    assert earliest <= failure.retry_after <= earliest + 1.0


# -- loads and demand -----------------------------------------------------------


def test_loads_stay_within_the_weight_store_rate():
    """Loads are due on all engines at once. If they started together, the weight store
    would serve each load several times as slowly.
    """
    limiter = LoadRateLimiter()
    started = 0
    for step in range(500):
        now = step * 0.01
        if limiter.may_start(1.5, now):
            limiter.record_start(1.5, now)
            started += 1
    assert started <= 5 * 1.5 + MAX_SAVED_LOADS
    assert started >= 7


def test_demand_rises_fast_and_decays_slowly():
    demand, total = DemandTracker(), 0.0
    demand.rates(0.0)
    for step in range(1, 31):
        total += 1000.0
        demand.receive(Vm("e1"), {M1: total}, step * 0.1)
        rate = demand.rates(step * 0.1)[M1]
    assert rate > 7000
    for step in range(31, 131):
        rate = demand.rates(step * 0.1)[M1]
    assert 200 < rate < 2000


def test_totals_of_a_restarted_entry_count_from_zero():
    demand = DemandTracker()
    demand.rates(0.0)
    demand.receive(Vm("e1"), {M1: 90_000.0}, 0.1)
    demand.rates(1.0)
    before = demand.rates(2.0)[M1]
    demand.receive(Vm("e1"), {M1: 10.0}, 2.1)
    assert demand.rates(3.0)[M1] <= before
