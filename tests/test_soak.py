"""A short randomized soak of real entries, and every seed of it that ever failed."""

import tomllib
from pathlib import Path

import pytest
from soak.run import Size, soak

SEEDS = tomllib.loads(
    (Path(__file__).parent / "soak" / "seeds.toml").read_text(encoding="utf-8")
)["seed"]
SHORT = Size(seconds=6.0)
SHORT_SEED = 100


@pytest.mark.parametrize(
    ("seed", "size"),
    [(SHORT_SEED, SHORT), *((item["number"], Size()) for item in SEEDS)],
)
def test_promises_hold_under_faults(seed, size, tmp_path):
    """Entries are stopped, killed, paused and cut off in series while callers go on,
    upstreams crash and leave, the store fails and configurations change. A caller sees
    a booking that ran twice, an answer that is another's, or a service that stays down.
    """
    assert soak(seed, size, tmp_path).broken == []
