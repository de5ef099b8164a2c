"""Many entries, requests that crash upstreams, and updates that arrive late."""

import pytest
from poison_fleet import (
    CALM_FROM_S,
    DURATION_S,
    MAX_LATE_SENDS,
    MIN_SERVED_FRACTION,
    STEP_S,
    Fleet,
    entry_restarts,
    link_cuts,
    no_fault,
)

from persimmonhitch.ids import Fingerprint


def simulate(entries, fault, poison, seed):
    """Run a fleet with requests that crash upstreams; return it with these requests."""
    fleet = Fleet(entries, seed)
    fingerprints = [Fingerprint(f"poison-{n}") for n in range(poison)]
    number = 0
    while fleet.now < DURATION_S:
        fleet.step()
        fault(fleet)
        for _ in range(2 if fleet.now < DURATION_S - 4.0 else 0):
            number += 1
            fleet.arrivals.append((fleet.now, Fingerprint(f"call-{number}")))
            fleet.submit(fleet.arrivals[-1][1])
        for fingerprint in fingerprints:
            if fleet.rng.random() < STEP_S / 0.8:
                fleet.submit(fingerprint, poison=True)
    return fleet, fingerprints


@pytest.mark.parametrize("entries", [4, 24, 68])
@pytest.mark.parametrize("poison", [1, 4])
@pytest.mark.parametrize("fault", [no_fault, entry_restarts, link_cuts])
def test_only_requests_that_crash_upstreams_are_blocked(entries, poison, fault):
    """Guards against repeats at entries that saw no crash, and against blocks of other
    requests on the same upstreams.
    """
    fleet, fingerprints = simulate(entries, fault, poison, seed=entries + poison)
    for fingerprint in fingerprints:
        late, crashes = fleet.late_sends({fingerprint})
        assert crashes >= 3
        assert late <= MAX_LATE_SENDS, (fingerprint, crashes)
    assert fleet.refused <= set(fingerprints)
    late_calls = {
        fingerprint for at, fingerprint in fleet.arrivals if at >= CALM_FROM_S
    } - fleet.dropped
    assert len(late_calls & fleet.done) >= MIN_SERVED_FRACTION * len(late_calls)
