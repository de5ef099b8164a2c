"""An overloaded upstream that reports a request limit, behind one entry."""

import socket
import threading
import time
from dataclasses import replace

import pytest
from direct_help import (
    LAST_CHUNK,
    LEDGER,
    LLM,
    SIGNATURE,
    FakeUpstream,
    GatewayServer,
    answer,
    event,
    resets,
)
from fake_engine import Clock

from persimmonhitch.direct.upstream_limits import UpstreamLimits
from persimmonhitch.fleet.call import RateLimit

LIMIT_PER_S = 2.0
WINDOW_S, OVERAGE, SLACK = 4.0, 1.5, 5
PLAIN = "HTTP/1.1 200 X\r\n{}Content-Length: 4\r\n\r\ndone"
STREAMED = "HTTP/1.1 200 X\r\n{}Transfer-Encoding: chunked\r\n\r\n"


class LimitedUpstream(FakeUpstream):
    """Reports a limit in its answers and records when requests arrive."""

    def __init__(self, name, service=LEDGER, limit=str(LIMIT_PER_S)):
        self.limit, self.answer_s = limit, 0.0
        self.received_at = []
        super().__init__(name, self._answer, service)

    def _answer(self, req, sock):
        self.received_at.append(time.monotonic())
        threading.Event().wait(self.answer_s)
        header = f"Server-Limit: {self.limit}\r\n" if self.limit is not None else ""
        if "x-persimmonhitch-model" in req.headers:
            sock.sendall(
                STREAMED.format(SIGNATURE + header).encode() + event(1) + LAST_CHUNK
            )
        else:
            sock.sendall(PLAIN.format(SIGNATURE + header).encode())
        return True

    def max_in_window(self):
        """Return the maximum number of requests within a window."""
        return max(
            sum(at <= other < at + WINDOW_S for other in self.received_at)
            for at in self.received_at
        )


@pytest.mark.parametrize(
    ("unlisted_s", "started_at_ms", "is_kept"),
    [(0.3, 1, True), (60.0, 1, False), (0.3, 2, False)],
    ids=["lapsed", "gone", "restarted"],
)
def test_limit_of_an_unlisted_upstream(unlisted_s, started_at_ms, is_kept):
    """Guards against a limit that ends with a lapsed record or outlives its owner."""
    clock = Clock()
    limits = UpstreamLimits(lambda _msg: None, lambda: 1, clock)
    upstream = LimitedUpstream("u1")
    record = upstream.record
    upstream.close()
    limits.update_upstreams([record])
    limits.answered(record, RateLimit(0.0), clock())
    while limits.acquire_report_slot(record):
        pass
    limits.update_upstreams([])
    clock.sleep(unlisted_s)
    limits.update_upstreams([])
    back = replace(record, started_at_ms=started_at_ms)
    limits.update_upstreams([back])
    assert limits.acquire_report_slot(back) is not is_kept


def stalls(first=b""):
    """Return a script that sends some bytes and then none for a second."""

    def script(_req, sock):
        sock.sendall(first)
        threading.Event().wait(1.0)
        return False

    return script


@pytest.mark.parametrize(("path", "service"), [("/read/x", LEDGER), ("/chat/x", LLM)])
def test_a_limited_upstream_receives_no_more_than_its_limit(path, service):
    """Guards against an upstream that is overloaded although it reports a limit."""
    up = LimitedUpstream("u1", service)
    refused = []
    with GatewayServer(up) as served:
        served.call(path)
        end = time.monotonic() + WINDOW_S
        while time.monotonic() < end:
            reply = served.call(path, X_Persimmonhitch_Request_Deadline="300")
            if reply.status != 200:
                refused.append(reply)
    assert up.max_in_window() <= LIMIT_PER_S * WINDOW_S * OVERAGE + SLACK
    assert len(up.received_at) >= LIMIT_PER_S * WINDOW_S / 2
    assert {reply.status for reply in refused} == {503}
    assert all(b"not_run" in reply.body for reply in refused)
    assert all(float(reply.headers["retry-after"]) > 0 for reply in refused)


@pytest.mark.parametrize("left_s", [0.005, 0.02, 0.05, 0.08])
@pytest.mark.parametrize(("path", "service"), [("/read/x", LEDGER), ("/chat/x", LLM)])
def test_request_whose_turn_comes_at_its_deadline_is_refused(path, service, left_s):
    """Guards against requests sent so late that their callers get no answer."""
    up = LimitedUpstream("u1", service)
    with GatewayServer(up) as served:
        while served.call(path, X_Persimmonhitch_Request_Deadline="200").status == 200:
            pass
        up.answer_s = 0.1
        wait = served.limits.wait_s([up.record.name])
        arrived, started_at = len(up.received_at), time.monotonic()
        timeout_ms = str(int((wait + left_s) * 1000))
        reply = served.call(path, X_Persimmonhitch_Request_Deadline=timeout_ms)
        seconds = time.monotonic() - started_at
    assert reply.status == 503
    assert b"not_run" in reply.body
    assert len(up.received_at) == arrived
    assert seconds < wait


class FullUpstream(FakeUpstream):
    """Takes no connection: the queue of its listener is full."""

    def __init__(self):
        super().__init__("u1", resets())
        self.stop_listening()
        address = self.record.host, self.record.port
        self._listener = socket.create_server(address, backlog=0)
        self._queued = [socket.socket() for _ in range(3)]
        for conn in self._queued:
            conn.setblocking(False)
            conn.connect_ex(address)


@pytest.mark.parametrize(
    ("make_upstream", "status", "verdict", "runs"),
    [
        (FullUpstream, 503, b"not_run", 0),
        (lambda: FakeUpstream("u1", stalls()), 504, b"may_have_run", 1),
        (lambda: FakeUpstream("u1", stalls(answer()[:-1])), 504, b"may_have_run", 1),
    ],
    ids=["connect", "answer", "body"],
)
def test_deadline_names_whether_a_request_was_sent(
    make_upstream, status, verdict, runs
):
    """Guards against a wrong verdict when the time runs out during one step."""
    up = make_upstream()
    with GatewayServer(up) as served:
        reply = served.call("/read/x", X_Persimmonhitch_Request_Deadline="300")
    assert (reply.status, len(up.received)) == (status, runs)
    assert verdict in reply.body


def test_requests_above_the_limit_go_to_another_upstream():
    """Guards against refusals while another upstream has capacity."""
    ups = LimitedUpstream("u1"), LimitedUpstream("u2", limit=None)
    with GatewayServer(*ups) as served:
        statuses = {served.call("/read/x").status for _ in range(60)}
    assert statuses == {200}
    assert len(ups[0].received_at) <= LIMIT_PER_S * WINDOW_S * OVERAGE + SLACK
