"""Read costs of models and engines, learned from first tokens."""

import random

import pytest

from persimmonhitch.decide.read_costs import (
    FIRST_TOKEN_S,
    MAX_FACTOR,
    MIN_FACTOR,
    REFERENCE_RATE,
    ReadCosts,
)
from persimmonhitch.ids import Model, Upstream

SMALL, BIG, OTHER = Model("small"), Model("big"), Model("other")
SIZES = {SMALL: 65_000.0, BIG: 72_000.0, OTHER: 71_000.0}
E1 = Upstream("e1")
PROMPT = 2000


def learned(samples, sizes=SIZES):
    costs = ReadCosts(sizes)
    for model, upstream, seconds, slowdown in samples:
        costs.record_solo(upstream, model, PROMPT, seconds, slowdown)
    return costs


def first_token(factor, speed=1.0, slowdown=1.0):
    read_s = PROMPT * factor / REFERENCE_RATE / speed
    return (read_s + FIRST_TOKEN_S) * slowdown


@pytest.mark.parametrize(
    ("samples", "model", "factor"),
    [
        ([], BIG, 1.0),
        ([(SMALL, E1, first_token(0.13), 1.0)], SMALL, 0.13),
        ([(BIG, E1, first_token(0.9, slowdown=2.5), 2.5)], BIG, 0.9),
        # The weights of OTHER are nearly as large as those of BIG.
        (
            [(SMALL, E1, first_token(0.13), 1.0), (BIG, E1, first_token(0.9), 1.0)],
            OTHER,
            0.9,
        ),
        ([(BIG, E1, first_token(0.9), 1.0)], Model("unlisted"), 1.0),
        ([(BIG, E1, 1e6, 1.0)], BIG, MAX_FACTOR),
        ([(BIG, E1, 0.0, 1.0)], BIG, MIN_FACTOR),
        ([(BIG, E1, first_token(0.9), 0.0)], BIG, 1.0),
    ],
)
def test_factor_of_a_model(samples, model, factor):
    assert learned(samples).factor(model) == pytest.approx(factor)


def test_speeds_of_engines_that_differ():
    """Guards against models that count as slow since slow engines have them."""
    rng = random.Random(3)
    speeds = {Upstream(f"e{n}"): (0.7, 0.7, 1.7)[n % 3] for n in range(9)}
    costs = ReadCosts(SIZES)
    for _ in range(400):
        model, factor = rng.choice([(SMALL, 0.13), (BIG, 1.0)])
        upstream = rng.choice(list(speeds))
        seconds = first_token(factor, speeds[upstream]) * rng.uniform(0.9, 1.1)
        costs.record_solo(upstream, model, PROMPT, seconds, 1.0)
    ratios = [costs.factor(BIG) / costs.speed(name) * speeds[name] for name in speeds]
    assert max(ratios) / min(ratios) < 1.6
    assert 5.0 < costs.factor(BIG) / costs.factor(SMALL) < 11.0


def test_prompts_of_other_entries_do_not_make_a_model_slow():
    """Guards against a busy model whose cost seems to grow with its load."""
    rng = random.Random(5)
    costs = ReadCosts(SIZES)
    for _ in range(300):
        delay_s = rng.choice([0.0, 0.3, 0.8, 2.0])
        costs.record_solo(E1, BIG, PROMPT, first_token(0.8) + delay_s, 1.0)
    factor = costs.factor(BIG) / costs.speed(E1)
    assert 0.6 <= factor <= 1.2


def test_engines_that_are_gone_are_forgotten():
    """Guards against memory that grows with every engine that was ever listed."""
    costs = learned([(BIG, E1, first_token(1.0), 1.0)] * 9)
    assert E1 in costs.speeds()
    costs.retain({})
    assert costs.speeds() == {}
