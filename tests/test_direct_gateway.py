"""One request through an entry that calls upstreams directly."""

import json
import time

import pytest
from direct_help import (
    LAST,
    LLM,
    STREAM,
    FakeUpstream,
    Served,
    answer,
    config,
    event,
    resets,
    says,
)
from eliot import add_destinations, remove_destination
from fleet import wait_for

from persimmonhitch.verdict import ErrorCode, Failure

NOT_RUN = "X-Persimmonhitch-Not-Executed: 1\r\n"


def test_an_answer_is_passed_on_as_it_is():
    up = FakeUpstream("u1", says(answer(201, b"booked")))
    with Served(up) as served:
        reply = served.call("/book/slot/7?a=%20b", X_Other="kept")
    assert (reply.status, reply.body) == (201, b"booked")
    assert reply.headers["x-persimmonhitch-response-signature"] == "s1"
    (got,) = up.got
    assert got.line == "POST /book/slot/7?a=%20b HTTP/1.1"
    assert (got.headers["host"], got.body) == ("a.example", b"hello")
    assert got.headers["x-other"] == "kept"
    assert got.headers["x-persimmonhitch-tenant"] == "coop"
    assert got.headers["x-persimmonhitch-expected-instance"] == "u1"
    assert 3000 < int(got.headers["x-persimmonhitch-request-deadline"]) <= 4000
    assert "authorization" not in got.headers


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/book/x", "wrong", 401),
        ("/nowhere/x", "k1", 404),
        ("/open/x", "wrong", 200),
    ],
)
def test_what_is_not_allowed_reaches_no_upstream(path, key, status):
    up = FakeUpstream("u1", says(answer()))
    with Served(up) as served:
        reply = served.call(path, key=key, X_Persimmonhitch_Tenant="other")
    assert reply.status == status
    assert len(up.got) == (status == 200)
    assert all("x-persimmonhitch-tenant" not in got.headers for got in up.got)


def test_a_refusal_for_upstreams_that_take_no_connection_says_when_to_come_back():
    """Guards against callers of a service that is gone who come back at once."""
    ups = [FakeUpstream(f"u{n}", says(answer())) for n in range(2)]
    with Served(*ups) as served:
        for up in ups:
            up.end()
        reply = served.call("/book/x")
    assert (reply.status, b"not_run" in reply.body) == (503, True)
    assert float(reply.headers["retry-after"]) > 0


def test_a_request_whose_time_is_over_is_refused_and_not_sent():
    """A call has waited for a place up to the last moment of its time and gets one. No
    connection can be opened in no time; its caller was told that the entry had failed
    and that the call may have run, so a booking was not made again.
    """
    up = FakeUpstream("u1", says(answer()))
    with Served(up) as served:
        reply = served.call("/book/x", X_Persimmonhitch_Request_Deadline="0")
    assert reply.status == 503
    assert json.loads(reply.body)["error"]["verdict"] == "not_run"
    assert float(reply.headers["retry-after"]) > 0
    assert up.got == []


def test_a_full_entry_names_the_request_that_it_refuses():
    """An entry has no thread left, or is about to stop, and refuses requests before it
    looks at them. A caller complains with the id that it sent, and no line has it.
    """
    lines = []
    full = Failure(ErrorCode.OVERLOADED, "no thread is left", retry_after=0.5)
    add_destinations(lines.append)
    try:
        with Served(full=full) as served:
            reply = served.call("/book/x")
    finally:
        remove_destination(lines.append)
    assert reply.status == 503
    assert json.loads(reply.body)["error"]["request_id"] == "q1"
    (line,) = [ln for ln in lines if ln.get("reason") == full.message]
    assert (line["message_type"], line["request"]) == ("request_refused", "q1")


def test_a_refusal_of_one_upstream_is_tried_at_another():
    """One upstream is full and says that it has not run the request."""
    full = FakeUpstream("u1", says(answer(503, b"", NOT_RUN)))
    free = FakeUpstream("u2", says(answer()))
    with Served(full, free) as served:
        replies = [served.call("/book/x") for _ in range(6)]
    assert {reply.status for reply in replies} == {200}
    assert len(free.got) == 6


@pytest.mark.parametrize(
    "script",
    [
        resets(),
        resets(answer()[:40]),
        says(answer()[:-2], keep=False),
        says(answer(head="")),
        says(answer(head="X-Persimmonhitch-Request-Id: q9\r\n")),
        says(b"no answer at all\r\n\r\n", keep=False),
    ],
)
def test_what_may_not_be_repeated_runs_once(script):
    """The upstream takes a booking and its answer is lost, cut, or not its own. The
    booking may have been made; sent again it would be made twice, and a promise that
    it has not run would be false.
    """
    first, second = FakeUpstream("u1", script), FakeUpstream("u2", script)
    with Served(first, second) as served:
        reply = served.call("/book/x")
    assert reply.status in (502, 504)
    assert "x-persimmonhitch-response-signature" not in reply.headers
    assert len(first.got) + len(second.got) == 1


@pytest.mark.parametrize("script", [resets(), says(answer()[:-2], keep=False)])
def test_what_may_be_repeated_is(script):
    """A look-up meets an upstream that crashes amid its answer."""
    bad, good = FakeUpstream("u1", script), FakeUpstream("u2", says(answer()))
    with Served(bad, good) as served:
        replies = [served.call("/read/x", method="GET", body=b"") for _ in range(4)]
    assert {reply.status for reply in replies} == {200}


def test_a_failure_of_the_upstream_s_own_is_passed_on():
    up = FakeUpstream("u1", says(answer(500, b"oops")))
    with Served(up) as served:
        reply = served.call("/book/x")
    assert (reply.status, reply.body) == (500, b"oops")


def test_a_late_second_answer_goes_to_nobody():
    """An upstream sends two answers to one request. The second waits on the kept
    connection, and the next caller would get it for its own.
    """
    up = FakeUpstream("u1", says(answer(200, b"first") + answer(200, b"again")))
    with Served(up) as served:
        bodies = [served.call("/book/x").body for _ in range(4)]
    assert bodies == [b"first"] * 4


def test_a_route_s_time_ends_a_request():
    """An upstream never answers; the route gives its callers a third of a second."""
    up = FakeUpstream("u1", lambda _req, _sock: up.left.wait(5))
    with Served(up) as served:
        began = time.monotonic()
        reply = served.call("/brief/x", method="GET", body=b"")
        seconds = time.monotonic() - began
    assert reply.status == 504
    assert 0.25 < seconds < 0.8


def test_an_upstream_hears_that_its_caller_has_left():
    """A caller closes its connection while an engine works for it. An engine that does
    not hear of it goes on, and others wait for the place.
    """
    sent = []

    def endless(_req, sock):
        sock.sendall(STREAM)
        sent.append(time.monotonic())
        while True:
            sock.sendall(event(1))

    up = FakeUpstream("u1", endless, LLM)
    with Served(up) as served:
        conn = served.open("/chat/x")
        conn.getresponse().read(20)
        left_at = time.monotonic()
        conn.close()
        conn.sock = None
        assert up.left.wait(5)
        assert time.monotonic() - left_at < 0.5


def test_a_quiet_upstream_hears_that_its_caller_has_left():
    """The same while the engine has sent nothing yet: the entry waits in a read."""
    up = FakeUpstream("u1", lambda _req, sock: sock.recv(1) and False, LLM)
    with Served(up) as served:
        conn = served.open("/chat/x")
        wait_for(lambda: up.got, "the request at the upstream")
        left_at = time.monotonic()
        conn.close()
        assert up.left.wait(5)
        assert time.monotonic() - left_at < 0.5


def test_a_stream_is_passed_on_event_by_event():
    up = FakeUpstream("u1", says(STREAM, event(1), event(2), LAST), LLM)
    with Served(up) as served:
        reply = served.call("/chat/x")
    assert reply.body == b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"
    assert reply.whole
    assert up.got[0].headers["x-persimmonhitch-request-priority"] == "1"


def test_a_cut_stream_does_not_look_whole():
    """An engine crashes in the middle of an event. The half event must not reach the
    caller, and the answer must not end as if it were complete.
    """
    up = FakeUpstream("u1", resets(STREAM + event(1) + event(2)[:9]), LLM)
    with Served(up) as served:
        reply = served.call("/chat/x")
    assert reply.body == b"id: 1\ndata: t1\n\n"
    assert not reply.whole
    assert len(up.got) == 1


def test_a_stream_is_resumed_where_its_route_allows_it():
    """The same on a route whose streams may be resumed: the caller sees one stream,
    with each event once.
    """

    def engine(req, sock):
        if "last-event-id" in req.headers:
            assert req.headers["last-event-id"] == "2"
            return says(STREAM, event(3), LAST)(req, sock)
        return resets(STREAM + event(1) + event(2) + event(3)[:9])(req, sock)

    ups = [FakeUpstream(name, engine, LLM) for name in ("u1", "u2")]
    with Served(*ups) as served:
        reply = served.call("/resume/x")
    assert reply.body == b"".join(
        f"id: {n}\ndata: t{n}\n\n".encode() for n in (1, 2, 3)
    )
    assert reply.whole
    assert sum(len(up.got) for up in ups) == 2


def test_a_stream_that_ends_at_once_keeps_its_connection():
    """The caller's next request goes on the same connection."""
    up = FakeUpstream("u1", says(STREAM, event(1), LAST), LLM)
    with Served(up) as served:
        conn = served.open("/chat/x")
        reply = conn.getresponse()
        assert reply.read()
        assert not reply.will_close


def test_a_request_beyond_the_rate_is_told_when_to_come_back():
    up = FakeUpstream("u1", says(answer()))
    with Served(up, cfg=config(rate=100.0, burst=150.0)) as served:
        replies = [served.call("/book/x") for _ in range(3)]
    assert [reply.status for reply in replies] == [200, 429, 429]
    assert 0 < float(replies[1].headers["retry-after"]) <= 1.0
    assert len(up.got) == 1


def test_tokens_of_what_has_not_run_are_given_back():
    """Every upstream refuses; the account has its tokens for the next try."""
    full = FakeUpstream("u1", says(answer(503, b"", NOT_RUN)))
    with Served(full, cfg=config(rate=1.0, burst=150.0)) as served:
        statuses = [served.call("/book/x").status for _ in range(3)]
    assert statuses == [503, 503, 503]


def test_nobody_there_is_said_at_once():
    with Served() as served:
        began = time.monotonic()
        reply = served.call("/book/x")
        assert time.monotonic() - began < 0.5
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0


def test_a_refusal_after_a_lost_answer_does_not_promise_that_nothing_ran():
    """The first upstream's answer to a look-up is lost, the second is full. The look-up
    may have run at the first, whatever the second says.
    """
    lost = FakeUpstream("u1", resets())
    full = FakeUpstream("u2", says(answer(503, b"", NOT_RUN)))
    with Served(lost, full) as served:
        reply = served.call("/read/x", method="GET", body=b"")
    assert (len(lost.got), len(full.got)) == (1, 1)
    assert reply.status == 502
