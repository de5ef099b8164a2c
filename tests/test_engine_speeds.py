"""Speeds of engines for the placement of models."""

import math

import pytest

from persimmonhitch.decide.engine_speeds import SPEED_LIMITS, EngineSpeeds
from persimmonhitch.ids import Upstream

FAST, SLOW = Upstream("fast"), Upstream("slow")


def averages(speeds_at, seconds=30.0):
    """Return the averages after some seconds of speeds by time."""
    speeds, now = EngineSpeeds(), 0.0
    known = {}
    while now < seconds:
        known = speeds.update(speeds_at(now), now)
        now += 0.1
    return known


@pytest.mark.parametrize(
    ("fast", "slow", "expected"),
    [
        (1.0, 1.0, (1.0, 1.0)),
        (1.05, 0.97, (1.0, 1.0)),
        (1.7, 0.7, (1.7, 0.7)),
        (0.6, 0.6, (0.6, 0.6)),
        (math.inf, 0.0, tuple(reversed(SPEED_LIMITS))),
    ],
)
def test_speeds_count_once_one_differs_by_more_than_a_tenth(fast, slow, expected):
    known = averages(lambda _now: {FAST: fast, SLOW: slow})
    assert (known[FAST], known[SLOW]) == pytest.approx(expected)


def test_speeds_of_a_moment_are_averaged():
    """Guards against copies that are placed for a speed that has gone by then."""
    known = averages(lambda now: {FAST: 1.0, SLOW: 0.4 if int(now / 0.6) % 4 else 1.0})
    assert known[SLOW] == pytest.approx(0.55, abs=0.1)


def test_speed_of_a_new_engine_is_known_within_a_second():
    """Guards against a slow engine that counts as typical for the time of a load."""
    known = averages(lambda now: {FAST: 1.0} | ({SLOW: 0.5} if now > 29 else {}))
    assert known == pytest.approx({FAST: 1.0, SLOW: 0.5})


def test_engines_that_have_gone_are_forgotten():
    known = averages(lambda now: {FAST: 1.0} | ({SLOW: 0.5} if now < 5 else {}))
    assert known == {FAST: 1.0}
