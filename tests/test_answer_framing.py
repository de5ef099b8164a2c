"""Answers of upstreams without a length or chunks, which end with their connection."""

import socket
import threading
import time
from dataclasses import dataclass
from types import SimpleNamespace

import pytest
from direct_help import (
    LAST_CHUNK,
    LEDGER,
    LLM,
    MODEL,
    SIGNATURE,
    STREAM_HEAD,
    FakeUpstream,
    GatewayServer,
    answer,
    event,
    resets,
    sends,
)

from persimmonhitch.entry.answers import upstream_answer
from persimmonhitch.ids import RequestId
from persimmonhitch.sidecar.upstream import Address, UpstreamCall
from persimmonhitch.web import WebServer
from persimmonhitch.wire.messages import UpstreamKind

UNFRAMED_HEAD = f"HTTP/1.1 200 OK\r\n{SIGNATURE}\r\n".encode()
UNFRAMED_STREAM = (
    f"HTTP/1.1 200 OK\r\n{SIGNATURE}Content-Type: text/event-stream\r\n\r\n"
).encode()
CLOSING_STREAM = STREAM_HEAD.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")


def events(*numbers):
    return b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in numbers)


@dataclass
class Received:
    """The bytes of an answer up to the end or the reset of its connection."""

    head: bytes
    body: bytes
    was_reset: bool

    @property
    def is_framed(self):
        head = self.head.lower()
        return b"content-length:" in head or b"transfer-encoding:" in head

    @property
    def looks_complete(self):
        """Whether a caller that follows the framing takes the answer for complete."""
        if b"transfer-encoding: chunked" in self.head.lower():
            return self.body.endswith(LAST_CHUNK)
        return not self.was_reset


def receive(gateway, path, version="1.1", deadline_ms=4000):
    """Send a request on a connection of its own; return the answer."""
    lines = (
        f"POST {path} HTTP/{version}",
        "Host: a.example",
        "X-Persimmonhitch-Request-Id: q1",
        f"X-Persimmonhitch-Request-Deadline: {deadline_ms}",
        f"X-Persimmonhitch-Model: {MODEL}"
        if path.startswith(("/chat", "/resume"))
        else "X-Other: 1",
        "Authorization: Bearer k1",
        "Connection: close",
        "Content-Length: 5",
    )
    with socket.create_connection(("127.0.0.1", gateway.server.port), 10) as sock:
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\nhello")
        data, was_reset = b"", False
        try:
            while part := sock.recv(65536):
                data += part
        except ConnectionResetError:
            was_reset = True
    head, _, body = data.partition(b"\r\n\r\n")
    return Received(head, body, was_reset)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(
    "tail", [b"id: 3", b"id: 3\ndata: t3\n"], ids=["within-line", "after-line"]
)
def test_stream_closed_within_an_event_does_not_look_complete(tail, version):
    """Guards against a truncated stream, closed by its engine, that looks complete."""
    parts = UNFRAMED_STREAM + events(1, 2) + tail
    upstream = FakeUpstream("u1", sends(parts, keep_alive=False), LLM)
    with GatewayServer(upstream) as gateway:
        reply = receive(gateway, "/chat/x", version)
    assert not reply.looks_complete
    assert tail not in reply.body


def test_stream_closed_within_an_event_is_resumed():
    """Guards against the loss of a stream that another engine can continue."""

    def engine(req, sock):
        if "last-event-id" in req.headers:
            assert req.headers["last-event-id"] == "2"
            return sends(STREAM_HEAD, event(3), LAST_CHUNK)(req, sock)
        parts = UNFRAMED_STREAM + events(1, 2) + b"id: 3\nda"
        return sends(parts, keep_alive=False)(req, sock)

    upstreams = [FakeUpstream(name, engine, LLM) for name in ("u1", "u2")]
    with GatewayServer(*upstreams) as gateway:
        reply = receive(gateway, "/resume/x")
    assert reply.body == events(1, 2, 3)
    assert not reply.was_reset


@pytest.mark.parametrize(
    ("path", "service", "parts"),
    [
        ("/chat/x", LLM, UNFRAMED_STREAM + events(1, 2)),
        ("/resume/x", LLM, UNFRAMED_STREAM + events(1, 2)),
        ("/book/x", LEDGER, UNFRAMED_HEAD + b"booked"),
        ("/read/x", LEDGER, UNFRAMED_HEAD + b"booked"),
        ("/read/x", LEDGER, UNFRAMED_HEAD),
    ],
    ids=["stream", "resumable-stream", "non-idempotent", "idempotent", "empty"],
)
def test_answer_that_may_be_truncated_gets_no_framing(path, service, parts):
    """Guards against a claim of completeness that the upstream did not make."""
    upstream = FakeUpstream("u1", sends(parts, keep_alive=False), service)
    with GatewayServer(upstream) as gateway:
        reply = receive(gateway, path)
    assert not reply.is_framed
    assert b"connection: close" in reply.head.lower()
    assert reply.body == parts.partition(b"\r\n\r\n")[2]
    assert not reply.was_reset


@pytest.mark.parametrize(
    ("path", "service", "parts"),
    [
        ("/brief/x", LEDGER, UNFRAMED_HEAD + b"half an ans"),
        ("/chat/x", LLM, UNFRAMED_STREAM + events(1)),
        ("/chat/x", LLM, CLOSING_STREAM + event(1)),
    ],
    ids=["plain", "unframed", "chunked"],
)
def test_answer_on_a_closing_connection_is_aborted_in_time(path, service, parts):
    """Guards against an abort without effect on an answer that ends its connection."""

    def script(_req, sock):
        sock.sendall(parts)
        return upstream.disconnected.wait(5)

    upstream = FakeUpstream("u1", script, service)
    with GatewayServer(upstream) as gateway:
        started_at = time.monotonic()
        reply = receive(gateway, path, deadline_ms=400)
        assert time.monotonic() - started_at < 0.9
    assert not reply.head.startswith(b"HTTP/1.1 200") or not reply.looks_complete


@pytest.mark.parametrize("head", [UNFRAMED_STREAM, CLOSING_STREAM])
def test_closing_connection_is_closed_when_the_caller_leaves(head):
    """Guards against an engine that works on for a caller that has left."""

    def endless(_req, sock):
        sock.sendall(head)
        while True:
            sock.sendall(event(1) if head == CLOSING_STREAM else events(1))

    upstream = FakeUpstream("u1", endless, LLM)
    with GatewayServer(upstream) as gateway:
        conn = gateway.open("/chat/x")
        response = conn.getresponse()
        response.read(20)
        response.close()
        conn.close()
        assert upstream.disconnected.wait(0.5)


@pytest.mark.parametrize("path", ["/chat/x", "/resume/x"])
def test_stream_closed_before_its_first_event_is_not_a_success(path):
    """Guards against an empty stream from an engine that crashes after its head."""
    broken = FakeUpstream("u1", sends(UNFRAMED_STREAM, keep_alive=False), LLM)
    good = FakeUpstream("u2", sends(STREAM_HEAD, event(1), LAST_CHUNK), LLM)
    upstreams = [broken] if path == "/chat/x" else [broken, good]
    with GatewayServer(*upstreams) as gateway:
        replies = [receive(gateway, path) for _ in range(4)]
    for reply in replies:
        is_success = reply.head.startswith(b"HTTP/1.1 200")
        assert is_success is (path == "/resume/x")
        assert b"data: t1" in reply.body or not is_success


def test_event_stream_of_a_plain_service_is_retried_if_truncated():
    """Guards against a truncated event stream on a route without streaming."""
    bad = FakeUpstream("u1", sends(UNFRAMED_STREAM + b"id: 1\nda", keep_alive=False))
    good = FakeUpstream("u2", sends(answer()))
    with GatewayServer(bad, good) as gateway:
        bodies = {receive(gateway, "/read/x").body for _ in range(4)}
    assert bodies == {b"done"}


def test_end_of_a_resumed_stream_without_framing_is_not_confirmed():
    """Guards against a last chunk for a stream whose second part may be truncated."""

    def engine(req, sock):
        if "last-event-id" in req.headers:
            return sends(UNFRAMED_STREAM + events(3), keep_alive=False)(req, sock)
        return resets(STREAM_HEAD + event(1) + event(2) + event(3)[:9])(req, sock)

    upstreams = [FakeUpstream(name, engine, LLM) for name in ("u1", "u2")]
    with GatewayServer(*upstreams) as gateway:
        reply = receive(gateway, "/resume/x")
    assert b"data: t3" in reply.body
    assert not reply.looks_complete


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(
    "head", [STREAM_HEAD, UNFRAMED_STREAM], ids=["chunked", "unframed"]
)
def test_reset_stream_does_not_look_complete(head, version):
    """Guards against a plain close, the end of a complete answer without framing."""
    first = event(1) if head == STREAM_HEAD else events(1)
    upstream = FakeUpstream("u1", resets(head + first), LLM)
    with GatewayServer(upstream) as gateway:
        reply = receive(gateway, "/chat/x", version)
    assert not reply.looks_complete


@pytest.mark.parametrize(
    "parts",
    [answer(200, b"whole"), answer(204, b""), answer(200, b"")],
    ids=["whole", "no-content", "empty"],
)
def test_framed_answer_keeps_its_length(parts):
    upstream = FakeUpstream("u1", sends(parts))
    with GatewayServer(upstream) as gateway:
        reply = receive(gateway, "/book/x")
    assert reply.looks_complete
    assert reply.body == parts.partition(b"\r\n\r\n")[2]
    assert b"transfer-encoding" not in reply.head.lower()


class RecordingJob(SimpleNamespace):
    """A job of a sidecar that keeps the answer of its upstream."""

    def __init__(self):
        submit = SimpleNamespace(
            method="GET", path="/x", body=b"", headers={}, request="q1", cost=1.0
        )
        super().__init__(
            submit=submit,
            deadline_at=time.monotonic() + 5,
            spans=SimpleNamespace(call=lambda: ""),
            cancelled=threading.Event(),
            flowing=threading.Event(),
            answer=None,
            body=b"",
        )
        self.flowing.set()

    def head(self, status, headers):
        self.answer = status, headers

    def chunk(self, data):
        self.body += data

    def end(self, _used):
        """Nothing follows the body."""

    def fail(self, failure):
        raise AssertionError(failure)


@pytest.mark.parametrize(
    ("parts", "is_framed"),
    [(UNFRAMED_HEAD + b"half an ans", False), (answer(200, b"whole"), True)],
    ids=["unframed", "framed"],
)
def test_sidecar_answer_keeps_its_framing(parts, is_framed):
    """Guards against a length added to an answer that a sidecar received without."""
    upstream = FakeUpstream("u1", sends(parts, keep_alive=False))
    job = RecordingJob()
    call = UpstreamCall(
        Address("127.0.0.1", upstream.record.port), UpstreamKind.SERVICE
    )
    call.run(job, lambda: True, SimpleNamespace())
    upstream.close()
    status, headers = job.answer
    reply = upstream_answer(status, headers, job.body, RequestId("q1"))
    server = WebServer(lambda _environ, start: reply.send(start), "127.0.0.1", 0, 2)
    server.start()
    try:
        received = receive(SimpleNamespace(server=server), "/x")
    finally:
        server.close()
    assert received.is_framed is is_framed
    assert received.body == job.body


@pytest.mark.parametrize(
    ("method", "parts"),
    [
        ("HEAD", f"HTTP/1.1 200 OK\r\n{SIGNATURE}Content-Length: 5\r\n\r\n".encode()),
        ("GET", f"HTTP/1.1 204 No Content\r\n{SIGNATURE}\r\n".encode()),
    ],
)
def test_answer_without_a_body_is_complete(method, parts):
    """Guards against a retry of an answer that has no body, and a closed connection."""
    upstream = FakeUpstream("u1", sends(parts))
    with GatewayServer(upstream) as gateway:
        replies = [gateway.call("/read/x", method=method, body=b"") for _ in range(2)]
        assert not upstream.disconnected.is_set()
    assert {reply.status for reply in replies} <= {200, 204}
    assert len(upstream.received) == 2
