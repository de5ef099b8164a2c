"""Placement of models whose prompts take up to eight times as long as others."""

from dataclasses import replace

import pytest
from placement_replay import SLOW_RATE, Caller, Replay, single_rate, spec_of

from persimmonhitch.decide.engine_demand import MIN_LOAD_SHARE, ServiceDemand
from persimmonhitch.ids import Model

FAST_COST = 0.13
FAST_RATE = SLOW_RATE / FAST_COST
SHARES = {"m0": 0.48, "m1": 0.18, "m2": 0.13, "m3": 0.11, "m4": 0.10}
REQUESTS_PER_S = 85.0
MODELS = [Model(f"m{n}") for n in range(66)]
COSTS = {m: FAST_COST if n % 3 == 0 else 1.0 for n, m in enumerate(MODELS)}
SPECS = {m: spec_of(m, COSTS[m] < 1.0) for m in MODELS}
READ_RATES = {m: SLOW_RATE / cost for m, cost in COSTS.items()}


def by_model(known):
    """Return the demand at the read rates that are known at a time."""
    return lambda rates, now: ServiceDemand.from_model_rates(
        rates, SPECS, known(now), FAST_RATE
    )


def busy_callers(shift=0, requests_per_s=REQUESTS_PER_S):
    """Return callers of five busy models; a shift gives their shares to others."""
    return [
        Caller(MODELS[(int(name[1:]) + shift) % 8], share * requests_per_s)
        for name, share in SHARES.items()
    ]


def fleet(make_demand, **fields):
    """Return engines on which the busy fast model alone has several copies."""
    resident = [{MODELS[10 + n], MODELS[31 + n]} for n in range(21)]
    for n, models in enumerate(resident):
        models.add(MODELS[0 if n < 10 else n - 9 if n < 17 else n + 35])
    return Replay(SPECS, COSTS, resident, make_demand, **fields)


KNOWN = by_model(lambda _now: READ_RATES)


def test_a_caller_counts_the_same_and_takes_the_time_of_its_model():
    """Guards against rare fast models that are evicted since they take little time."""
    fast, slow = MODELS[0], MODELS[1]
    demand = ServiceDemand.from_model_rates(
        {fast: 1000.0, slow: 1000.0, Model("of another service"): 1000.0},
        SPECS,
        READ_RATES,
        FAST_RATE,
    )
    assert demand.values[fast] == demand.values[slow]
    least = demand.values[fast] * MIN_LOAD_SHARE
    assert demand.loads[fast] == max(demand.loads[slow] * FAST_COST, least)
    assert demand.loads.keys() == {fast, slow}


@pytest.mark.parametrize(
    ("known", "of_fast", "of_slow"),
    [
        ({}, FAST_RATE, FAST_RATE),
        ({"m0": 150_000.0}, 150_000.0, 150_000.0),
        ({"m1": 20_000.0}, 20_000.0, 20_000.0),
        ({"m1": 20_000.0, "m0": 150_000.0}, 150_000.0, 20_000.0),
        ({"m1": 20_000.0, "m2": 30_000.0}, 24_000.0, 24_000.0),
        ({"m1": 0.0, "m0": 150_000.0, "gone": 5.0}, 150_000.0, 150_000.0),
    ],
)
def test_unknown_models_read_like_those_of_the_nearest_size(known, of_fast, of_slow):
    known = {Model(name): rate for name, rate in known.items()}
    rates = ServiceDemand.from_model_rates({}, SPECS, known, FAST_RATE).read_rates
    assert (rates[MODELS[3]], rates[MODELS[4]]) == pytest.approx((of_fast, of_slow))


@pytest.mark.parametrize(
    ("make_demand", "least", "most"),
    [(single_rate(FAST_RATE), 0.25, 1.0), (KNOWN, 0.0, 0.05)],
)
def test_busy_slow_models_get_the_copies_that_they_need(make_demand, least, most):
    """Guards against refusals at the only copy of a slow model beside idle engines."""
    replay = fleet(make_demand)
    rare = [Caller(model, 0.25, 5.0) for model in MODELS[10:]]
    for seconds, shift in ((10, 0), (8, 3), (8, 6), (8, 0)):
        replay.run(seconds, busy_callers(shift) + rare)
    assert least <= replay.refused_share(MODELS[1]) <= most
    assert replay.refused_share(MODELS[0]) == 0.0
    assert replay.refused_share(*MODELS[:8]) <= max(0.15, most)


def learned(now):
    """Return rates that become known one by one and vary by a fifth."""
    error = 0.2 if int(now / 0.6) % 2 else -0.2
    known = list(READ_RATES.items())[: max(0, int(now - 1))]
    return {model: rate * (1.0 + error) for model, rate in known}


@pytest.mark.parametrize("factor", [0.5, 1.0, 1.5])
def test_overloaded_model_gets_copies_despite_errors_of_its_rate(factor):
    """Guards against a busy model that keeps few copies since its rate is wrong."""
    replay = fleet(
        by_model(lambda _now: {m: r * factor for m, r in READ_RATES.items()})
    )
    rare = [Caller(model, 0.28, 5.0, 4.8) for model in MODELS[10:]]
    replay.run(4, busy_callers(0) + rare)
    replay.lose(5)
    replay.run(12, busy_callers(1) + rare)
    needed = 0.48 * REQUESTS_PER_S * 2400 / SLOW_RATE
    assert replay.copies(MODELS[1]) > needed
    assert replay.refused_share(*MODELS[:8]) <= 0.12


@pytest.mark.parametrize("seed", range(4))
def test_learned_rates_cause_no_swaps(seed):
    """Guards against models that evict each other when estimates of rates change."""
    counts = []
    for known in (lambda _now: READ_RATES, learned):
        replay = fleet(by_model(known), seed=seed)
        replay.run(20, busy_callers())
        loads = [move for _, move in replay.loads]
        repeated = len(loads) - len({(m.model, m.upstream) for m in loads})
        assert repeated <= 1
        counts.append(len(loads))
    assert counts[1] <= 1.5 * counts[0]


def test_copies_on_slow_engines_count_for_what_they_serve():
    """Guards against callers refused at copies on engines that have turned slow."""
    refused = {False: 0.0, True: 0.0}
    for speeds_known in refused:
        for seed in range(3):
            replay = fleet(
                KNOWN,
                speeds=[0.2] * 4 + [1.0] * 17,
                speeds_known=speeds_known,
                seed=seed,
            )
            for engine in list(replay.engines.values())[:4]:
                models = engine.view.models - {MODELS[0]} | {MODELS[1]}
                engine.view = replace(engine.view, models=models)
            replay.run(20, [Caller(MODELS[1], 19.0)])
            refused[speeds_known] += replay.refused_share(MODELS[1]) / 3
    assert refused[True] <= 0.05 < 0.1 <= refused[False]
