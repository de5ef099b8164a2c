"""Many entries, and requests that crash upstreams by a part that they share."""

import itertools

import pytest
from poison_fleet import (
    MAX_LATE_SENDS,
    MIN_SERVED_FRACTION,
    STEP_S,
    Fleet,
    entry_restarts,
    link_cuts,
    no_fault,
)

from persimmonhitch.ids import Fingerprint, PartId

FIRST_PARTS = [PartId("part-f0"), PartId("part-f1")]
SUBJECTS = [PartId(f"part-s{n}") for n in range(30)]
PART_GAP_S = 0.35
"""Mean seconds between two requests with one of the parts that crash upstreams."""
PART_CRASHES = 5
"""Crashes after which the operators' bound on sends holds."""
DURATION_S, CALM_FROM_S, LAST_ARRIVAL_S = 16.0, 10.0, 13.0


def simulate_parts(entries, fault, bad_parts, seed):
    """Run a fleet with requests that share parts which crash upstreams.

    Return it with the requests that have each part. No two requests are alike, and all
    have a first part and a subject in common with others.
    """
    fleet = Fleet(entries, seed)
    requests = {PartId(f"part-bad{n}"): set() for n in range(bad_parts)}

    def submit(kind, *parts):
        fingerprint = Fingerprint(f"{kind}-{len(fleet.parts)}")
        first, subject = fleet.rng.choice(FIRST_PARTS), fleet.rng.choice(SUBJECTS)
        fleet.parts[fingerprint] = (first, *parts, subject)
        if not parts:
            fleet.arrivals.append((fleet.now, fingerprint))
        fleet.submit(fingerprint, poison=bool(parts))
        return fingerprint

    while fleet.now < DURATION_S:
        fleet.step()
        fault(fleet)
        for _ in range(2 if fleet.now < LAST_ARRIVAL_S else 0):
            submit("good")
        for part, sent in requests.items():
            if fleet.rng.random() < STEP_S / PART_GAP_S:
                sent.add(submit("bad", part))
    return fleet, requests


@pytest.mark.parametrize(
    ("entries", "bad_parts", "fault"),
    [
        *itertools.product([4, 24], [1, 2], [no_fault, entry_restarts, link_cuts]),
        (68, 1, no_fault),
    ],
)
def test_only_parts_that_crash_upstreams_are_blocked(entries, bad_parts, fault):
    """Guards against crashes by a common part, and blocks of other shared parts."""
    fleet, requests = simulate_parts(entries, fault, bad_parts, seed=entries)
    for part, sent in requests.items():
        late, crashes = fleet.late_sends(sent, after=PART_CRASHES)
        assert crashes >= 3
        assert late <= MAX_LATE_SENDS, (part, crashes)
    assert fleet.refused <= set().union(*requests.values())
    late_calls = {
        fingerprint for at, fingerprint in fleet.arrivals if at >= CALM_FROM_S
    } - fleet.dropped
    assert len(late_calls & fleet.done) >= MIN_SERVED_FRACTION * len(late_calls)
