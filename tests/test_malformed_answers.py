"""Answers whose status line, head or framing breaks the grammar of HTTP."""

import contextlib
import itertools
import socket
from types import SimpleNamespace

import pytest
from direct_help import (
    LAST_CHUNK,
    LLM,
    SIGNATURE,
    STREAM_HEAD,
    FakeUpstream,
    GatewayServer,
    answer,
    chunk,
    event,
    no_limits,
    sends,
)
from test_endless_answers import FailingJob

from persimmonhitch.ctl.fleet_status import ask
from persimmonhitch.decide.retries import RetryBound
from persimmonhitch.direct.engine_client import EngineClient, Order, OrderOutcome
from persimmonhitch.http_client import BoundedConnection, MalformedAnswer, read_body
from persimmonhitch.ids import Epoch, Model, Vm
from persimmonhitch.limits.retry_budgets import RetryBudgets
from persimmonhitch.platform import names
from persimmonhitch.platform.store_client import StoreClient
from persimmonhitch.sidecar.engine_api import HttpEngine, ListingError
from persimmonhitch.sidecar.ledger import Answer
from persimmonhitch.sidecar.upstream import Address, UpstreamCall
from persimmonhitch.store.era import EraState
from persimmonhitch.store.objects import Kind, StoreError
from persimmonhitch.verdict import Verdict
from persimmonhitch.wire.messages import UpstreamKind

BODY = b"x" * 2400
OK = b"HTTP/1.1 200 OK"
LENGTH = b"Content-Length: 2400"
CHUNKED = b"Transfer-Encoding: chunked"
SIGNED = SIGNATURE.strip().encode()
CHUNKS = chunk(BODY) + LAST_CHUNK
LEAVING = names.SERVER_LEAVING[0].encode() + b": 1"


def message(*fields, status=OK, body=BODY):
    """Return an answer with a signature and the given fields."""
    return b"\r\n".join([status, SIGNED, *fields, b"", body])


MALFORMED_HEADS = [
    *(
        message(b"Content-Length: " + value)
        for value in (
            *(b"abc", b"", b"-5", b"+2400", b"2400.0", b"0x960", b"2_400", b"24 00"),
            *(b"2400\x00", b"2400,", b"100, 2400", b"9" * 5000, b"9" * 19),
            "２４００".encode(),
        )
    ),
    message(b"Content-Length: 100", LENGTH),
    *(
        message(*fields)
        for line in (
            b"no field",
            b"X A: b",
            b"X-A : b",
            b" X-A: b",
            b"X\x01A: b",
            b"X\x7fA: b",
            b"X\xe9A: b",
            b"X(A): b",
            b": b",
            b"X-A: b\rContent-Length: 5",
            b"X-A: b\x00c",
            b"X-A: b\x01c",
            b"X-A: b\r\n folded",
        )
        for fields in ((line, LENGTH), (LENGTH, line))
    ),
    *(
        message(b"Transfer-Encoding: " + coding, body=CHUNKS)
        for coding in (
            *(b"", b"gzip", b"gzip, chunked", b"chunked, gzip", b"chunked, chunked"),
            *(b"xchunked", b"chunked;a=b", b"identity", b"chunk ed"),
        )
    ),
    message(CHUNKED, LENGTH, body=CHUNKS),
    message(b"no field", CHUNKED, body=CHUNKS),
    message(CHUNKED, status=b"HTTP/1.0 200 OK", body=CHUNKS),
]
MALFORMED_STATUS_LINES = [
    message(LENGTH, status=status)
    for status in (
        *(b"HTTP/1.1 %s X" % code for code in b"000 099 101 150 600 999 2000".split()),
        *(b"HTTP/1.1 2_00 X", b"HTTP/1.1 +20 X", b"HTTP/1.1 20 X", b"HTTP/1.1 abc X"),
        *(b"HTTP/%s 200 X" % version for version in b"1.x 1 1.10 0.9 2.0 x".split()),
        *(b"http/1.1 200 X", b"HTTP/1.1 200 X\x00", b"HTTP/1.1 200 X\rX-A: b"),
    )
]
MALFORMED_STATUS_LINES.append(message(status=b"HTTP/1.1 150 X"))
MALFORMED_CHUNKS = [
    message(CHUNKED, body=body)
    for body in (
        *(
            size + b"\r\n" + BODY + b"\r\n" + LAST_CHUNK
            for size in (
                *(b"", b"0x960", b"+960", b"-960", b"9_60", b" 960", b"960 ", b"9 60"),
                *(b"96g", b"960;", b"960;a b", b"960;a\rb", b"960 a", b"f" * 17),
            )
        ),
        b"960\n" + BODY + b"\r\n" + LAST_CHUNK,
        b"95f\r\n" + BODY + b"\r\n" + LAST_CHUNK,
        b"960\r\n" + BODY + b"yz" + LAST_CHUNK,
        chunk(BODY) + b"0\r\nno field\r\n\r\n",
        chunk(BODY) + b"0\r\nX A: b\r\n\r\n",
    )
]
MALFORMED = [*MALFORMED_HEADS, *MALFORMED_STATUS_LINES, *MALFORMED_CHUNKS]
ONE_OF_EACH = [
    message(b"Content-Length: 2_400"),
    message(b"no field", LENGTH),
    message(b"X A: b", LENGTH),
    message(b"Transfer-Encoding: xchunked", body=CHUNKS),
    message(LENGTH, status=b"HTTP/1.1 2_00 OK"),
    message(CHUNKED, body=b"0x" + CHUNKS),
]

VALID = {
    "bytes over 0x7f": message(b"X-A: \xe9\x85\xff", LENGTH),
    "empty value": message(b"X-A:", LENGTH),
    "blanks around values": message(b"X-A: \t b\t ", b"Content-Length:\t2400 \t"),
    "all characters of names": message(b"!#$%&'*+-.^_`|~09azAZ: b", LENGTH),
    "no blank": message(b"Content-Length:2400"),
    "leading zeros": message(b"Content-Length: " + b"0" * 5000 + b"2400"),
    "one length several times": message(LENGTH, b"Content-Length: 2400, 02400"),
    "upper case": message(b"CONTENT-LENGTH: 2400"),
    "upper case of a coding": message(b"transfer-encoding: CHUNKED", body=CHUNKS),
    "empty elements": message(b"Transfer-Encoding: , chunked", body=CHUNKS),
    "zeros of a chunk": message(CHUNKED, body=b"000" + CHUNKS),
    "upper case of a chunk": message(
        CHUNKED,
        body=chunk(BODY[:0xAB]).replace(b"ab", b"AB") + chunk(BODY[0xAB:]) + LAST_CHUNK,
    ),
    "extensions": message(
        CHUNKED, body=b'960;a;b=c ; d = "e;\\""\r\n' + BODY + b"\r\n0;a\r\n\r\n"
    ),
    "trailers": message(CHUNKED, body=chunk(BODY) + b"0\r\nX-A: b\r\nX-B:\r\n\r\n"),
    "end of the connection": message(),
    "no reason": message(LENGTH, status=b"HTTP/1.1 200 "),
    "no reason and no space": message(LENGTH, status=b"HTTP/1.1 200"),
    "reason over 0x7f": message(LENGTH, status=b"HTTP/1.1 200 \xe9t\xe9"),
    "version 1.0": message(LENGTH, status=b"HTTP/1.0 200 OK"),
    "lines without carriage return": message(LENGTH).replace(b"\r\n", b"\n"),
    "sixty fields": message(*(b"X-A%d: b" % n for n in range(60)), LENGTH),
    "interim 100": b"HTTP/1.1 100 Continue\r\n\r\n" + message(LENGTH),
    "interim 103 and 199": b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
    + b"HTTP/1.1 199 X\r\n\r\n"
    + message(LENGTH),
}

NAMES = (f"u{number}" for number in itertools.count())


@pytest.fixture(scope="module")
def gateway():
    """Return a gateway whose retries are not limited."""
    with GatewayServer(retries=RetryBudgets.of_sole_entry(RetryBound(1.0))) as server:
        yield server


def serve_from(gateway, *scripts):
    """Replace the upstreams of a gateway by new ones; return them."""
    for upstream in gateway.upstreams:
        upstream.close()
    gateway.upstreams = [FakeUpstream(next(NAMES), script) for script in scripts]
    gateway.update_upstreams()
    return gateway.upstreams


def call_until_asked(gateway, upstream, path):
    """Return the replies up to the first for which the upstream was asked."""
    replies, body = [], upstream.record.name.encode()
    while not upstream.received:
        replies.append(gateway.call(path, body=body))
    return replies


def suspected_crashes(gateway):
    """Return the upstreams that may have crashed, as peers are told."""
    updates = filter(None, (gateway.poison.next_update(), gateway.crash_update))
    return {crash.upstream for update in updates for crash in update.crashes}


def closes(data):
    """Return a script that sends an answer and closes the connection in order."""
    return sends(data, keep_alive=False)


@pytest.mark.parametrize("data", MALFORMED, ids=range(len(MALFORMED)))
def test_malformed_answer_does_not_reach_its_caller(gateway, data):
    """Guards against a body or a status that the upstream did not send."""
    (upstream,) = serve_from(gateway, closes(data))
    (reply,) = call_until_asked(gateway, upstream, "/book/x")
    assert reply.status == 502
    assert b"may_have_run" in reply.body
    assert len(upstream.received) == 1


@pytest.mark.parametrize("data", MALFORMED, ids=range(len(MALFORMED)))
def test_malformed_answer_is_no_crash_and_is_served_elsewhere(gateway, data):
    """Guards against sound requests that are suspected of crashing upstreams."""
    bad, _good = serve_from(gateway, sends(data), sends(answer()))
    replies = call_until_asked(gateway, bad, "/read/x")
    assert bad.disconnected.wait(1)
    assert {(reply.status, reply.body) for reply in replies} == {(200, b"done")}
    assert bad.record.name not in suspected_crashes(gateway)


LAST = b"\r\n0\r\nA: b\r\n\r\n"
CONTROL_BYTES = (b"\x00", b"\x08", b"\x0b", b"\r", b"\x1f", b"\x7f")


def read_answer(data):
    """Return the body of an answer, as read by the product."""
    ours, theirs = socket.socketpair()
    conn = BoundedConnection("127.0.0.1")
    conn.sock = ours
    with contextlib.closing(conn), theirs:
        theirs.sendall(data)
        theirs.shutdown(socket.SHUT_WR)
        conn.request("GET", "/", preload_content=False)
        return read_body(conn.getresponse(), len(data), 1.0)


@pytest.mark.parametrize(
    ("before", "after"),
    [
        (message(b"Content-Length: 4", body=b""), b""),
        (b"HTTP/1.1 103 X\r\nA: b\r\n\r\n" + message(CHUNKED, body=b"4;a\r\n"), LAST),
    ],
    ids=["length", "chunked"],
)
def test_control_byte_anywhere_in_head_and_framing_is_malformed(before, after):
    """Guards against a reader for which a line ends at another byte than its end."""
    assert read_answer(before + b"body" + after) == b"body"
    for byte, at in itertools.product(CONTROL_BYTES, range(len(before))):
        with pytest.raises(MalformedAnswer):
            read_answer(before[:at] + byte + before[at:] + b"body" + after)
    for byte, at in itertools.product(CONTROL_BYTES, range(len(after))):
        with pytest.raises(MalformedAnswer):
            read_answer(before + b"body" + after[:at] + byte + after[at:])


@pytest.mark.parametrize("kind", VALID)
def test_unusual_answer_reaches_its_caller(gateway, kind):
    """Guards against a check that is stricter than the grammar."""
    (upstream,) = serve_from(gateway, closes(VALID[kind]))
    (reply,) = call_until_asked(gateway, upstream, "/book/x")
    assert (reply.status, reply.body, reply.complete) == (200, BODY, True)


REFUSAL = b"HTTP/1.1 503 Busy"
NOT_RUN = names.NOT_EXECUTED.encode() + b": 1"
MALFORMED_REFUSALS = [
    message(NOT_RUN, b"Retry-After: 60", LEAVING, *fields, status=status, body=body)
    for fields, status, body in (
        ([b"X A: b", b"Content-Length: 4"], REFUSAL, b"busy"),
        ([b"Content-Length: 4_0"], REFUSAL, b"busy"),
        ([b"Content-Length: 4"], b"HTTP/1.1 0503 Busy", b"busy"),
        ([CHUNKED], REFUSAL, b"0x4\r\nbusy\r\n0\r\n\r\n"),
    )
]


@pytest.mark.parametrize("data", MALFORMED_REFUSALS, ids=range(4))
def test_malformed_refusal_is_not_believed(gateway, data):
    """Guards against a second run, and against a backoff, after a malformed refusal."""
    bad, good = serve_from(gateway, closes(data), sends(answer()))
    replies = call_until_asked(gateway, bad, "/book/x")
    assert len(good.received) == len(replies) - 1
    assert replies[-1].status == 502
    assert b"may_have_run" in replies[-1].body
    assert gateway.limits.wait_s([bad.record.name]) == 0
    gateway.leaving.apply()
    assert not gateway.draining


def test_stream_with_a_malformed_chunk_is_not_complete():
    """Guards against a stream that goes on with bytes that are no event."""
    parts = STREAM_HEAD + event(1) + b"0x" + event(2) + LAST_CHUNK
    with GatewayServer(FakeUpstream("u1", closes(parts), LLM)) as gateway:
        reply = gateway.call("/chat/x")
        assert gateway.crash_update is None
    assert not reply.complete
    assert b"t2" not in reply.body


@pytest.mark.parametrize("data", ONE_OF_EACH, ids=range(len(ONE_OF_EACH)))
def test_malformed_answer_to_the_leader_and_to_a_sidecar(data):
    """Guards against orders and reports that count as answered."""
    data = data.replace(BODY, b'{"sequence": 1, "data": []}'.ljust(2400))
    upstream = FakeUpstream("u1", closes(data.replace(OK, b"HTTP/1.1 202 X")), LLM)
    client = EngineClient(Vm("e1"), no_limits())
    order = Order(True, Model("m1"))
    outcome = client.send_order(upstream.record, order, 0, Epoch(1))
    assert outcome is OrderOutcome.UNKNOWN
    upstream = FakeUpstream("u1", closes(data), LLM)
    assert "Malformed" in client.get_report(upstream.record).failure().detail
    engine = HttpEngine(f"http://127.0.0.1:{upstream.record.port}", 1.0)
    assert engine.listing().failure() is ListingError.BROKEN
    assert engine._order("/x", {}) is Answer.UNKNOWN
    job = FailingJob()
    UpstreamCall(Address("127.0.0.1", upstream.record.port), UpstreamKind.SERVICE).run(
        job, lambda: True, SimpleNamespace()
    )
    assert job.failure.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize("data", ONE_OF_EACH, ids=range(len(ONE_OF_EACH)))
def test_malformed_reply_of_the_store_is_not_believed(data):
    """Guards against a state, or an era, that the store did not send."""
    era = names.STORE_ERA.encode() + b": 7\r\n"
    data = data.replace(SIGNED, era + SIGNED).replace(BODY, b"{}".ljust(2400))
    upstream, eras = FakeUpstream("s1", closes(data)), EraState()
    url = f"http://127.0.0.1:{upstream.record.port}"
    failure = StoreClient(url, 1.0, eras).get(Kind.FLEET, "main").failure()
    assert failure.error is StoreError.UNAVAILABLE
    assert "MalformedAnswer" in failure.detail
    assert eras.current != 7


@pytest.mark.parametrize("data", ONE_OF_EACH, ids=range(len(ONE_OF_EACH)))
def test_malformed_status_of_an_entry_is_not_shown(data):
    """Guards against a state of the fleet that no entry reported."""
    data = data.replace(BODY, b'{"status": "ready"}'.ljust(2400))
    upstream = FakeUpstream("e1", closes(data))
    assert ask(f"http://127.0.0.1:{upstream.record.port}/readyz") is None
