"""Choice of upstreams for requests, and ejection of outliers."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from persimmonhitch.decide.outliers import OutlierDetector
from persimmonhitch.decide.routing import (
    Candidate,
    RouteRequest,
    UpstreamLoad,
    choose,
)
from persimmonhitch.wire.messages import LoadReport

REQ = RouteRequest("z1", 300.0)
IDLE = Candidate("u1", "z1", 0.0)


def report(queued=0, running=0, rate=0.0, limit=16):
    tokens = queued * 100.0
    return LoadReport(
        "u", "i", (), False, running, limit, queued, tokens, rate, 0.1, 0.02, 1
    )


def shares(candidates, req=REQ, count=2000):
    rng = Random(7)
    counts = Counter(choose(candidates, req, rng).upstream for _ in range(count))
    return {each.upstream: counts[each.upstream] / count for each in candidates}


@pytest.mark.parametrize(
    ("second", "low", "high"),
    [
        ({"zone": "z2"}, 0.99, 1.0),
        ({"zone": "z2", "cached_prefix": 100.0}, 0.0, 0.01),
        ({"zone": "z1", "pending": 100.0}, 0.99, 1.0),
        ({"zone": "z1", "pending": 100.0, "cached_prefix": 200.0}, 0.0, 0.01),
        ({"zone": "z1", "pending": 400.0, "cached_prefix": 250.0}, 0.99, 1.0),
        ({"zone": "z1", "share": 0.0, "cached_prefix": 250.0}, 1.0, 1.0),
    ],
)
def test_choice_between_two(second, low, high):
    measured = shares([IDLE, replace(IDLE, upstream="u2", **second)])
    assert low <= measured["u1"] <= high


def test_no_candidates_and_only_ejected_candidates():
    assert choose([], REQ, Random(1)) is None
    assert choose([replace(IDLE, share=0.0)], REQ, Random(1)) is not None


def test_warming_copy_receives_its_traffic_share():
    got = shares([replace(IDLE, share=0.3), replace(IDLE, upstream="u2", pending=500)])
    assert got["u1"] == pytest.approx(0.3, abs=0.04)


def test_adapter_affinity_is_bounded():
    req = replace(REQ, adapter="x")
    without_adapter = replace(IDLE, has_adapter=False)
    lightly_loaded = replace(IDLE, upstream="u2", pending=90.0)
    heavily_loaded = replace(IDLE, upstream="u2", pending=500.0)
    assert shares([without_adapter, lightly_loaded], req)["u2"] > 0.99
    assert shares([without_adapter, heavily_loaded], req)["u2"] < 0.01


def test_shared_report_does_not_cause_herding():
    """Eight entries use the same report for a second while 400 requests arrive.

    If the entries relied on the report alone, all would choose the upstream reported
    as idle, and its callers would wait while other upstreams have spare capacity.
    """
    rng = Random(3)
    names = [f"u{number}" for number in range(6)]
    entries = [{name: UpstreamLoad() for name in names} for _ in range(8)]
    for view in entries:
        for name in names:
            view[name].on_report(report(running=0 if name == "u0" else 2, rate=900))
    counts = Counter()
    for number in range(400):
        view = entries[number % 8]
        candidates = [Candidate(n, "z", v.pending, v.rate) for n, v in view.items()]
        chosen = choose(candidates, REQ, rng).upstream
        view[chosen].on_send(300.0)
        counts[chosen] += 1
    assert max(counts.values()) <= 1.5 * 400 / 6


def test_low_rate_of_an_idle_upstream_is_ignored():
    """An idle upstream reports few tokens per second.

    Used as its speed, that rate would send a burst to the busy upstreams instead.
    """
    load = UpstreamLoad()
    for _ in range(30):
        load.on_report(report(queued=3, running=16, rate=800.0))
    assert load.rate == pytest.approx(800, abs=1)
    load.on_report(report(rate=5.0))
    assert load.rate == pytest.approx(800, abs=1)
    load.on_send(300.0)
    assert load.pending == 300.0
    load.on_done(300.0)
    assert load.pending == 0.0


@pytest.mark.parametrize("rate", [0.0, 20.0])
def test_low_rate_expires_while_the_upstream_is_idle(rate):
    """A sidecar reports no rate yet, or reported a low one once, and is idle since.

    With the low rate, its expected completion stays minutes away, no entry sends it a
    request, and callers queue at its peers (simulation, pattern flood).
    """
    load = UpstreamLoad()
    for _ in range(40):
        load.on_report(report(queued=2, running=16, rate=rate))
    assert load.rate == rate
    for _ in range(30):
        load.on_report(report())
    busy = replace(IDLE, pending=3000.0, rate=800.0)
    assert shares([busy, replace(IDLE, upstream="u2", rate=load.rate)])["u2"] == 1.0


def test_unknown_rate_defaults_to_the_fastest_peer():
    """One upstream has a known rate, its peer was never busy and has none.

    With a default rate below that of the busy upstream, the peer would get less than
    half of the requests while the other has a queue (simulation, pattern flood).
    """
    busy = replace(IDLE, pending=1500.0, rate=2500.0)
    assert shares([busy, replace(IDLE, upstream="u2", pending=900.0)])["u2"] == 1.0


COPIES = {"m": ("u0", "u1", "u2", "u3", "u4", "u5")}


def run_latency(detector, factors, copies=COPIES, start=0.0, seconds=5, gap_s=0.03):
    """Feed latencies, scaled by upstream; return the copies with reduced traffic."""
    for tick in range(int(seconds * 10)):
        now = start + tick / 10
        for model, peers in copies.items():
            for upstream in peers:
                measured_s = gap_s * factors.get(upstream, 1.0) * (1 + tick % 3 / 10)
                detector.on_latency(now, upstream, model, measured_s)
        detector.update(now, copies)
    return [
        f"{model}/{upstream}"
        for model, peers in copies.items()
        for upstream in peers
        if detector.traffic_share(now, upstream, model) < 1.0
    ]


@pytest.mark.parametrize(
    ("factors", "copies", "ejected"),
    [
        ({}, COPIES, []),
        ({"u1": 1.5}, COPIES, []),
        ({"u1": 5.0}, COPIES, ["m/u1"]),
        ({"u1": 5.0, "u2": 5.0}, COPIES, ["m/u1", "m/u2"]),
        ({f"u{n}": 5.0 for n in range(6)}, COPIES, []),
        ({f"u{n}": 5.0 for n in range(3)}, COPIES, ["m/u0", "m/u1"]),
        ({"u0": 5.0}, {"m": ("u0", "u1")}, ["m/u0"]),
        ({"u0": 5.0}, {"m": ("u0", "u1"), "n": ("u0",)}, ["m/u0"]),
        ({"u0": 5.0, "u1": 5.0}, {"m": ("u0", "u1")}, []),
        ({"u0": 5.0}, {"n": ("u0",)}, []),
    ],
)
def test_slow_upstreams_are_ejected(factors, copies, ejected):
    """One upstream, all upstreams under load, or the only copy of a model is slow.

    Without ejection, callers wait at the slow upstream. Too many ejections overload
    the others or leave a model without a copy.
    """
    assert run_latency(OutlierDetector(), factors, copies) == ejected


def test_busy_upstream_with_idle_peers_is_not_ejected():
    """One upstream has most of the load, and its idle peers a fifth of its latency.

    Ejecting the busy upstream would shift a popular model's callers to the next
    busiest, and so on, until most of the fleet is idle.
    """
    detector = OutlierDetector()
    assert run_latency(detector, {"u1": 5.0}, gap_s=0.009) == []


def test_failing_upstream_is_ejected_and_ramps_up_again():
    """An upstream fails every request for a time and then recovers."""
    detector = OutlierDetector()
    run_latency(detector, {}, seconds=1)
    for _ in range(5):
        detector.on_failure("u1")
    detector.update(1.0, COPIES)
    got = [detector.traffic_share(now, "u1", "m") for now in (5.0, 11.0, 16.0, 21.0)]
    assert got == pytest.approx([0.0, 0.1, 0.55, 1.0])


def test_repeated_ejection_lasts_longer():
    detector = OutlierDetector()
    run_latency(detector, {"u1": 5.0}, seconds=3)
    assert detector.traffic_share(3.0, "u1", "m") == 0.0
    run_latency(detector, {"u1": 5.0}, start=14.0, seconds=3)
    assert detector.traffic_share(30.0, "u1", "m") == 0.0
    detector.remove("u1")
    assert detector.traffic_share(30.0, "u1", "m") == 1.0
