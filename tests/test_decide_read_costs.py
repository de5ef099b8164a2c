"""Read costs of models, learned from first tokens."""

import random

import pytest

from persimmonhitch.decide.read_costs import (
    FIRST_TOKEN_S,
    MAX_FACTOR,
    MIN_FACTOR,
    REFERENCE_RATE,
    ReadCosts,
)
from persimmonhitch.ids import Model

SMALL, BIG, OTHER = Model("small"), Model("big"), Model("other")
SIZES = {SMALL: 65_000.0, BIG: 72_000.0, OTHER: 71_000.0}
PROMPT = 2000


SAMPLES = 30
"""Times that a sample is repeated; the last one differs little from the others."""


def learned(samples, sizes=SIZES):
    costs = ReadCosts(sizes)
    for model, seconds, slowdown in samples * SAMPLES:
        costs.record_solo(model, PROMPT, seconds, slowdown)
    return costs


def first_token(factor, slowdown=1.0):
    read_s = PROMPT * factor / REFERENCE_RATE
    return (read_s + FIRST_TOKEN_S) * slowdown


@pytest.mark.parametrize(
    ("samples", "model", "factor"),
    [
        ([], BIG, 1.0),
        ([(SMALL, first_token(0.13), 1.0)], SMALL, 0.13),
        ([(BIG, first_token(0.9, slowdown=2.5), 2.5)], BIG, 0.9),
        # The weights of OTHER are nearly as large as those of BIG.
        (
            [(SMALL, first_token(0.13), 1.0), (BIG, first_token(0.9), 1.0)],
            OTHER,
            0.9,
        ),
        ([(BIG, first_token(0.9), 1.0)], Model("unlisted"), 1.0),
        ([(BIG, 1e6, 1.0)] * 40, BIG, MAX_FACTOR),
        ([(BIG, 0.0, 1.0)], BIG, MIN_FACTOR),
        ([(BIG, first_token(0.9), 0.0)], BIG, 1.0),
    ],
)
def test_factor_of_a_model(samples, model, factor):
    assert learned(samples).factor(model) == pytest.approx(factor, rel=0.05)


def test_prompts_of_other_entries_do_not_make_a_model_slow():
    """Guards against a busy model whose cost seems to grow with its load."""
    rng = random.Random(5)
    costs = ReadCosts(SIZES)
    for _ in range(300):
        delay_s = rng.choice([0.0, 0.3, 0.8, 2.0])
        costs.record_solo(BIG, PROMPT, first_token(0.8) + delay_s, 1.0)
    assert 0.6 <= costs.factor(BIG) <= 1.2
