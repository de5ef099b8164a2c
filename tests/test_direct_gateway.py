"""Single requests through an entry that calls upstreams directly."""

import json
import time

import pytest
from direct_help import (
    LAST_CHUNK,
    LLM,
    STREAM_HEAD,
    FakeUpstream,
    GatewayServer,
    answer,
    config,
    event,
    resets,
    sends,
)
from eliot import add_destinations, remove_destination
from fleet import wait_for

from persimmonhitch.verdict import ErrorCode, Failure

NOT_RUN = "X-Persimmonhitch-Not-Executed: 1\r\n"


def test_answer_is_forwarded_unchanged():
    upstream = FakeUpstream("u1", sends(answer(201, b"booked")))
    with GatewayServer(upstream) as gateway:
        reply = gateway.call("/book/slot/7?a=%20b", X_Other="kept")
    assert (reply.status, reply.body) == (201, b"booked")
    assert reply.headers["x-persimmonhitch-response-signature"] == "s1"
    (received,) = upstream.received
    assert received.line == "POST /book/slot/7?a=%20b HTTP/1.1"
    assert (received.headers["host"], received.body) == ("a.example", b"hello")
    assert received.headers["x-other"] == "kept"
    assert received.headers["x-persimmonhitch-tenant"] == "coop"
    assert received.headers["x-persimmonhitch-expected-instance"] == "u1"
    assert 3000 < int(received.headers["x-persimmonhitch-request-deadline"]) <= 4000
    assert "authorization" not in received.headers


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/book/x", "wrong", 401),
        ("/nowhere/x", "k1", 404),
        ("/open/x", "wrong", 200),
    ],
)
def test_rejected_requests_reach_no_upstream(path, key, status):
    upstream = FakeUpstream("u1", sends(answer()))
    with GatewayServer(upstream) as gateway:
        reply = gateway.call(path, key=key, X_Persimmonhitch_Tenant="other")
    assert reply.status == status
    assert len(upstream.received) == (status == 200)
    assert all(
        "x-persimmonhitch-tenant" not in req.headers for req in upstream.received
    )


def test_refusal_for_unreachable_upstreams_has_retry_after():
    """Guards against immediate retries by callers of an unreachable service."""
    upstreams = [FakeUpstream(f"u{n}", sends(answer())) for n in range(2)]
    with GatewayServer(*upstreams) as gateway:
        for upstream in upstreams:
            upstream.stop_listening()
        reply = gateway.call("/book/x")
    assert (reply.status, b"not_run" in reply.body) == (503, True)
    assert float(reply.headers["retry-after"]) > 0


def test_expired_request_is_refused_and_not_sent():
    """A request gets a slot only at its deadline, too late to open a connection. The
    answer was an internal error with the verdict may_have_run, so that the caller did
    not repeat a booking.
    """
    upstream = FakeUpstream("u1", sends(answer()))
    with GatewayServer(upstream) as gateway:
        reply = gateway.call("/book/x", X_Persimmonhitch_Request_Deadline="0")
    assert reply.status == 503
    assert json.loads(reply.body)["error"]["verdict"] == "not_run"
    assert float(reply.headers["retry-after"]) > 0
    assert upstream.received == []


def test_early_refusal_carries_the_request_id():
    """An entry without a free thread, or about to stop, refuses requests before
    admission. Without the request id in the log, the refusal can't be found.
    """
    lines = []
    full = Failure(ErrorCode.OVERLOADED, "no thread is left", retry_after=0.5)
    add_destinations(lines.append)
    try:
        with GatewayServer(refusal=full) as gateway:
            reply = gateway.call("/book/x")
    finally:
        remove_destination(lines.append)
    assert reply.status == 503
    assert json.loads(reply.body)["error"]["request_id"] == "q1"
    (line,) = [logged for logged in lines if logged.get("reason") == full.message]
    assert (line["message_type"], line["request"]) == ("request_refused", "q1")


def test_request_refused_by_one_upstream_is_sent_to_another():
    """One upstream is full and answers that the request was not executed."""
    full = FakeUpstream("u1", sends(answer(503, b"", NOT_RUN)))
    free = FakeUpstream("u2", sends(answer()))
    with GatewayServer(full, free) as gateway:
        replies = [gateway.call("/book/x") for _ in range(6)]
    assert {reply.status for reply in replies} == {200}
    assert len(free.received) == 6


@pytest.mark.parametrize(
    "script",
    [
        resets(),
        resets(answer()[:40]),
        sends(answer()[:-2], keep_alive=False),
        sends(answer(head="")),
        sends(answer(head="X-Persimmonhitch-Request-Id: q9\r\n")),
        sends(b"no answer at all\r\n\r\n", keep_alive=False),
    ],
)
def test_non_idempotent_request_is_sent_once(script):
    """An upstream receives a booking, and its answer is lost, truncated or belongs to
    another request. The booking may have been executed: a retry would execute it twice,
    and the verdict not_run would be false.
    """
    first, second = FakeUpstream("u1", script), FakeUpstream("u2", script)
    with GatewayServer(first, second) as gateway:
        reply = gateway.call("/book/x")
    assert reply.status in (502, 504)
    assert "x-persimmonhitch-response-signature" not in reply.headers
    assert len(first.received) + len(second.received) == 1


@pytest.mark.parametrize("script", [resets(), sends(answer()[:-2], keep_alive=False)])
def test_idempotent_request_is_retried(script):
    """The upstream of a read request crashes while it answers."""
    bad, good = FakeUpstream("u1", script), FakeUpstream("u2", sends(answer()))
    with GatewayServer(bad, good) as gateway:
        replies = [gateway.call("/read/x", method="GET", body=b"") for _ in range(4)]
    assert {reply.status for reply in replies} == {200}


def test_upstream_error_answer_is_forwarded():
    upstream = FakeUpstream("u1", sends(answer(500, b"oops")))
    with GatewayServer(upstream) as gateway:
        reply = gateway.call("/book/x")
    assert (reply.status, reply.body) == (500, b"oops")


def test_surplus_answer_is_discarded():
    """An upstream sends two answers to one request. The second stays unread on the
    pooled connection, and the next caller would receive it.
    """
    upstream = FakeUpstream("u1", sends(answer(200, b"first") + answer(200, b"again")))
    with GatewayServer(upstream) as gateway:
        bodies = [gateway.call("/book/x").body for _ in range(4)]
    assert bodies == [b"first"] * 4


def test_route_timeout_ends_a_request():
    """An upstream never answers; the timeout of the route is 0.3 s."""
    upstream = FakeUpstream("u1", lambda _req, _sock: upstream.disconnected.wait(5))
    with GatewayServer(upstream) as gateway:
        started_at = time.monotonic()
        reply = gateway.call("/brief/x", method="GET", body=b"")
        seconds = time.monotonic() - started_at
    assert reply.status == 504
    assert 0.25 < seconds < 0.8


def test_upstream_connection_closes_when_the_caller_leaves():
    """A caller disconnects while an engine processes its request. Unless the upstream
    connection closes, the engine continues, and its slot stays occupied.
    """
    sent = []

    def endless(_req, sock):
        sock.sendall(STREAM_HEAD)
        sent.append(time.monotonic())
        while True:
            sock.sendall(event(1))

    upstream = FakeUpstream("u1", endless, LLM)
    with GatewayServer(upstream) as gateway:
        conn = gateway.open("/chat/x")
        conn.getresponse().read(20)
        closed_at = time.monotonic()
        conn.close()
        conn.sock = None
        assert upstream.disconnected.wait(5)
        assert time.monotonic() - closed_at < 0.5


def test_idle_upstream_connection_closes_when_the_caller_leaves():
    """As above, before the first byte of the answer: the entry is blocked in a read."""
    upstream = FakeUpstream("u1", lambda _req, sock: sock.recv(1) and False, LLM)
    with GatewayServer(upstream) as gateway:
        conn = gateway.open("/chat/x")
        wait_for(lambda: upstream.received, "the request at the upstream")
        closed_at = time.monotonic()
        conn.close()
        assert upstream.disconnected.wait(5)
        assert time.monotonic() - closed_at < 0.5


def test_stream_events_are_forwarded():
    upstream = FakeUpstream(
        "u1", sends(STREAM_HEAD, event(1), event(2), LAST_CHUNK), LLM
    )
    with GatewayServer(upstream) as gateway:
        reply = gateway.call("/chat/x")
    assert reply.body == b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"
    assert reply.complete
    assert upstream.received[0].headers["x-persimmonhitch-request-priority"] == "1"


def test_truncated_stream_does_not_look_complete():
    """An engine crashes within an event. The caller must not receive the partial event,
    and the answer must not end as if it were complete.
    """
    upstream = FakeUpstream("u1", resets(STREAM_HEAD + event(1) + event(2)[:9]), LLM)
    with GatewayServer(upstream) as gateway:
        reply = gateway.call("/chat/x")
    assert reply.body == b"id: 1\ndata: t1\n\n"
    assert not reply.complete
    assert len(upstream.received) == 1


def test_stream_is_resumed_on_a_resumable_route():
    """As above, on a route with resumable streams: the caller receives one stream that
    contains each event once.
    """

    def engine(req, sock):
        if "last-event-id" in req.headers:
            assert req.headers["last-event-id"] == "2"
            return sends(STREAM_HEAD, event(3), LAST_CHUNK)(req, sock)
        return resets(STREAM_HEAD + event(1) + event(2) + event(3)[:9])(req, sock)

    upstreams = [FakeUpstream(name, engine, LLM) for name in ("u1", "u2")]
    with GatewayServer(*upstreams) as gateway:
        reply = gateway.call("/resume/x")
    assert reply.body == b"".join(
        f"id: {n}\ndata: t{n}\n\n".encode() for n in (1, 2, 3)
    )
    assert reply.complete
    assert sum(len(upstream.received) for upstream in upstreams) == 2


def test_short_stream_keeps_the_caller_connection_open():
    """The caller can send the next request on the same connection."""
    upstream = FakeUpstream("u1", sends(STREAM_HEAD, event(1), LAST_CHUNK), LLM)
    with GatewayServer(upstream) as gateway:
        conn = gateway.open("/chat/x")
        reply = conn.getresponse()
        assert reply.read()
        assert not reply.will_close


def test_rate_limited_request_has_retry_after():
    upstream = FakeUpstream("u1", sends(answer()))
    with GatewayServer(upstream, cfg=config(rate=100.0, burst=150.0)) as gateway:
        replies = [gateway.call("/book/x") for _ in range(3)]
    assert [reply.status for reply in replies] == [200, 429, 429]
    assert 0 < float(replies[1].headers["retry-after"]) <= 1.0
    assert len(upstream.received) == 1


def test_tokens_of_unexecuted_requests_are_refunded():
    """All upstreams refuse; the account keeps its tokens for the next request."""
    full = FakeUpstream("u1", sends(answer(503, b"", NOT_RUN)))
    with GatewayServer(full, cfg=config(rate=1.0, burst=150.0)) as gateway:
        statuses = [gateway.call("/book/x").status for _ in range(3)]
    assert statuses == [503, 503, 503]


def test_request_without_upstreams_is_refused_at_once():
    with GatewayServer() as gateway:
        started_at = time.monotonic()
        reply = gateway.call("/book/x")
        assert time.monotonic() - started_at < 0.5
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0


def test_refusal_after_a_lost_answer_is_not_reported_as_not_run():
    """The first upstream's answer to a read request is lost, the second upstream is
    full. The first may have executed the request, whatever the second answers.
    """
    lost = FakeUpstream("u1", resets())
    full = FakeUpstream("u2", sends(answer(503, b"", NOT_RUN)))
    with GatewayServer(lost, full) as gateway:
        reply = gateway.call("/read/x", method="GET", body=b"")
    assert (len(lost.received), len(full.received)) == (1, 1)
    assert reply.status == 502
