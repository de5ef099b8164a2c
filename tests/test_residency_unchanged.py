"""Choices of loads for random states of a service, compared with recorded ones."""

import random
from pathlib import Path

from persimmonhitch.decide.residency import EngineView, next_load, next_overdue_load
from persimmonhitch.fleet.config import ModelSpec
from persimmonhitch.ids import Model, Upstream

STATES = 120
RECORDED = Path(__file__).parent / "golden" / "residency_choices.txt"


def test_choices_at_one_rate_and_speed_are_as_recorded():
    """Guards against other choices for services whose upstreams state no slowdown."""
    assert list(choices()) == RECORDED.read_text().splitlines()


def choices():
    """Yield one line per state."""
    for seed in range(STATES):
        draw = random.Random(seed)
        models = [Model(f"m{n}") for n in range(draw.randint(4, 24))]
        specs = {
            m: ModelSpec(m, 80.0, 8.0, 2.0, 0.6, draw.choice((0, 4)), 0.0)
            for m in models
        }
        demand = {m: draw.paretovariate(1.0) * 0.05 for m in models}
        engines = [_engine(draw, n, models) for n in range(draw.randint(2, 12))]
        missing = {m: draw.uniform(0, 12) for m in models}
        moves = [
            next_load(specs, demand, engines, True),
            next_overdue_load(specs, demand, engines, missing, True),
        ]
        yield f"{seed} " + " ".join(_text(move) for move in moves)


def _engine(draw, number, models):
    resident = draw.sample(models, 2)
    return EngineView(
        Upstream(f"e{number}"),
        200.0,
        1.0,
        frozenset(resident),
        busy_s=draw.choice((0.0, 0.0, 1.0)),
        on_disk=frozenset(draw.sample(models, len(models) // 2)),
        drains={resident[0]: draw.uniform(0, 3)},
    )


def _text(move):
    if move is None:
        return "-"
    return f"{move.model}:{move.upstream}:{','.join(sorted(move.evicted))}"
