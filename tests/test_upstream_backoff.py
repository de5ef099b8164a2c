"""Upstreams that reject requests and want none for some seconds."""

import random
import time
from dataclasses import replace

import pytest
from direct_help import (
    LEDGER,
    LLM,
    SIGNATURE,
    FakeUpstream,
    GatewayServer,
    answer,
    sends,
)

from persimmonhitch.decide.backoff import MAX_BACKOFF_S, RAMP_UP_S, Backoff
from persimmonhitch.direct.engine_client import EngineClient, Order
from persimmonhitch.ids import Epoch, Model, Vm

NOT_RUN = "X-Persimmonhitch-Not-Executed: 1\r\n"
BACKOFF_S = 1.5
TOLERANCE_S = 0.5
"""Seconds after a rejection in which requests already sent may arrive."""


class RejectingUpstream(FakeUpstream):
    """Rejects all requests with a backoff and records their arrivals."""

    def __init__(self, service=LEDGER, backoff=str(BACKOFF_S), head=NOT_RUN):
        self.received_at = []
        self.refusal = answer(503, b"", f"{head}Retry-After: {backoff}\r\n")
        super().__init__("u1", self._reject, service)

    def _reject(self, _req, sock):
        self.received_at.append(time.monotonic())
        sock.sendall(self.refusal)
        return True

    def within_backoff(self):
        """Return the requests that arrived within the first backoff."""
        first = self.received_at[0]
        return [
            at for at in self.received_at if TOLERANCE_S < at - first < BACKOFF_S - 0.01
        ]


@pytest.mark.parametrize(
    ("path", "service", "head"),
    [
        ("/book/x", LEDGER, NOT_RUN),
        ("/read/x", LEDGER, NOT_RUN),
        ("/read/x", LEDGER, ""),
        ("/chat/x", LLM, NOT_RUN),
    ],
    ids=["non-idempotent", "idempotent", "without-mark", "stream"],
)
def test_upstream_gets_no_requests_within_its_backoff(path, service, head):
    """Guards against requests that an overloaded upstream has asked not to get."""
    rejecting = RejectingUpstream(service, head=head)
    other = FakeUpstream("u2", sends(answer()), service)
    with GatewayServer(rejecting, other) as gateway:
        end = time.monotonic() + 10
        while not rejecting.received_at and time.monotonic() < end:
            gateway.call(path)
        end = rejecting.received_at[0] + BACKOFF_S
        while time.monotonic() < end:
            assert gateway.call(path).status == 200
    assert rejecting.within_backoff() == []


def test_requests_are_refused_with_the_backoff_of_the_only_upstream():
    """Guards against callers that wait, or return before the upstream wants them."""
    upstream = RejectingUpstream()
    with GatewayServer(upstream) as gateway:
        gateway.call("/book/x")
        started_at = time.monotonic()
        reply = gateway.call("/book/x")
        assert time.monotonic() - started_at < 0.3
    assert (reply.status, b"not_run" in reply.body) == (503, True)
    assert float(reply.headers["retry-after"]) >= BACKOFF_S - 0.5
    assert len(upstream.received_at) == 1


def test_request_waits_for_the_end_of_a_short_backoff():
    """Guards against a refusal although the upstream serves the request in time."""
    parts = [answer(503, b"", f"{NOT_RUN}Retry-After: 0.3\r\n")]

    def script(req, sock):
        data = parts.pop() if parts else answer()
        return sends(data)(req, sock)

    upstream = FakeUpstream("u1", script)
    with GatewayServer(upstream) as gateway:
        assert gateway.call("/read/x").status == 503
        assert gateway.call("/read/x").status == 200


@pytest.mark.parametrize(
    "head",
    [
        f"{SIGNATURE}Retry-After: 2\r\n",
        f"{NOT_RUN}Retry-After: 0\r\n",
        f"{NOT_RUN}Retry-After: -5\r\n",
        f"{NOT_RUN}Retry-After: nan\r\n",
        f"{NOT_RUN}Retry-After: Fri, 31 Dec 2027 23:59:59 GMT\r\n",
        f"{NOT_RUN}X-Persimmonhitch-Instance-Id: u9\r\nRetry-After: 2\r\n",
    ],
    ids=["success", "zero", "negative", "not-a-number", "date", "other-instance"],
)
def test_other_values_start_no_backoff(head):
    upstream = FakeUpstream(
        "u1", sends(answer(200 if SIGNATURE in head else 503, b"", head))
    )
    with GatewayServer(upstream) as gateway:
        gateway.call("/read/x")
        gateway.call("/read/x")
    assert len(upstream.received) == 2


@pytest.mark.parametrize("call", ["send_order", "get_report"])
def test_leader_sends_nothing_within_a_backoff(call):
    """Guards against orders and report requests that an upstream does not want."""
    rejecting = RejectingUpstream(LLM)
    with GatewayServer(rejecting) as gateway:
        gateway.call("/chat/x")
        client = EngineClient(Vm("e1"), gateway.limits)
        args = (Order(True, Model("m1")), 0, Epoch(1)) if call == "send_order" else ()
        getattr(client, call)(rejecting.record, *args)
    assert len(rejecting.received_at) == 1


def test_restarted_upstream_gets_requests():
    """Guards against a backoff that outlives the instance that asked for it."""
    rejecting = RejectingUpstream()
    with GatewayServer(rejecting) as gateway:
        gateway.call("/book/x")
        rejecting.record = replace(rejecting.record, started_at_ms=2)
        gateway.update_upstreams()
        gateway.limits.update_upstreams([rejecting.record])
        gateway.call("/book/x")
    assert len(rejecting.received_at) == 2


def test_upstream_whose_record_lapses_keeps_its_backoff():
    """Guards against requests that an upstream with a lapsed record does not want."""
    rejecting = RejectingUpstream()
    with GatewayServer(rejecting) as gateway:
        gateway.call("/book/x")
        for records in ([], [rejecting.record]):
            gateway.limits.update_upstreams(records)
        gateway.call("/book/x")
    assert len(rejecting.received_at) == 1


@pytest.mark.parametrize(
    ("asked", "wait"),
    [
        ([(0.0, 3.0)], 3.0),
        ([(0.0, 1.0), (0.5, 3.0)], 3.5),
        ([(0.0, 3.0), (0.5, 1.0)], 3.0),
        ([(0.0, 1e12)], MAX_BACKOFF_S),
        ([(0.0, float("inf"))], MAX_BACKOFF_S),
    ],
    ids=["one", "longer-after-shorter", "shorter-after-longer", "absurd", "infinite"],
)
def test_end_of_overlapping_backoffs(asked, wait):
    period = Backoff()
    for at, seconds in asked:
        period.extend(seconds, at, lambda: 0.0)
    assert period.wait_s(0.0) == wait
    assert period.traffic_share(wait - 0.01) == 0.0
    assert period.traffic_share(wait + RAMP_UP_S) == 1.0


def test_load_returns_gradually_after_a_backoff_of_all_entries():
    """Guards against a second overload by entries that return all at once."""
    rng, slots = random.Random(5), 64
    periods = [Backoff() for _ in range(16)]
    for period in periods:
        period.extend(3.0, 0.0, rng.random)

    def most_running(now):
        """Return the most requests that the entries together allow."""
        return max(slots * period.traffic_share(now) for period in periods)

    assert most_running(2.99) == 0
    assert most_running(3.1) <= slots / 8
    assert most_running(3.5) <= slots / 2
    assert most_running(4.6) == slots
