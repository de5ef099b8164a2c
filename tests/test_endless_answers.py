"""Upstreams, the store and peers that send bytes without end."""

import contextlib
import itertools
import socket
import threading
import time
from http.client import HTTPException
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
from test_answer_framing import RecordingJob

from persimmonhitch.direct.answer_memory import AnswerMemory, HeldBody
from persimmonhitch.direct.engine_client import EngineClient, Order, OrderOutcome
from persimmonhitch.direct.events import MAX_EVENT_BYTES, EventSplitter
from persimmonhitch.direct.exchange import MAX_ANSWER_BYTES
from persimmonhitch.http_client import AnswerBoundExceeded, AnswerPart, response
from persimmonhitch.ids import Epoch, Model, Vm
from persimmonhitch.platform import names
from persimmonhitch.platform.store_client import StoreClient
from persimmonhitch.sidecar.upstream import Address, UpstreamCall
from persimmonhitch.store.objects import Kind, StoreError
from persimmonhitch.verdict import Verdict
from persimmonhitch.wire import link as links
from persimmonhitch.wire.messages import UpstreamKind

HEAD = f"HTTP/1.1 200 OK\r\n{SIGNATURE}".encode()
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS_WITHOUT_LENGTH = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
SMALL_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
PIECE_BYTES = 65536
KERNEL_BYTES = 12_000_000
"""Bytes of one connection in the buffers of both of its ends."""
DRIP_S = 0.02
CLOSE_S = 1.0

PLAIN_KINDS = {
    "interim-heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n", AnswerPart.HEAD),
    "interim-head": (b"HTTP/1.1 100 Continue\r\n", b"X-A: b\r\n", AnswerPart.HEAD),
    "header-lines": (HEAD, b"X-A: b\r\n", AnswerPart.HEAD),
    "status-line": (b"HTTP/1.1 200 ", b"x", AnswerPart.HEAD),
    "one-header": (HEAD + b"X-A: ", b"x", AnswerPart.HEAD),
    "chunk-size": (CHUNKED_HEAD, b"0", AnswerPart.FRAMING),
    "chunk-extension": (CHUNKED_HEAD + b"5;a=", b"x", AnswerPart.FRAMING),
    "trailers": (
        CHUNKED_HEAD + chunk(b"done") + b"0\r\n",
        b"X-A: b\r\n",
        AnswerPart.FRAMING,
    ),
    "body-with-length": (
        HEAD + b"Content-Length: 99999999999\r\n\r\n",
        b"x",
        AnswerPart.BODY,
    ),
    "body-without-length": (HEAD + b"\r\n", b"x", AnswerPart.BODY),
    "chunked-body": (CHUNKED_HEAD, chunk(b"x" * 1000), AnswerPart.BODY),
    "tiny-chunks": (
        CHUNKED_HEAD,
        b"1;abcdefghijklmnopqrst\r\nx\r\n",
        AnswerPart.FRAMING,
    ),
}
STREAM_KINDS = {
    "no-event": (EVENTS_WITHOUT_LENGTH, b"x", AnswerPart.EVENT),
    "blank-lines": (EVENTS_WITHOUT_LENGTH, b"\n", AnswerPart.EVENT),
    "comments": (EVENTS_WITHOUT_LENGTH, b": ping\n\n", AnswerPart.EVENT),
    "chunked": (STREAM_HEAD, chunk(b"data: " + b"x" * 1000), AnswerPart.EVENT),
}


class EndlessUpstream(FakeUpstream):
    """Sends the start of an answer and then the same bytes until it is cut off."""

    def __init__(self, name, start, piece, *service, drips=False):
        super().__init__(name, self._send, *service)
        self._start, self._drips = start, drips
        self._piece = piece if drips else piece * (PIECE_BYTES // len(piece))
        self.sent_bytes = 0
        self.began_at = self.ended_at = None

    def _send(self, _req, sock):
        self.began_at = time.monotonic()
        try:
            sock.sendall(self._start)
            while not self._drips or not self.disconnected.wait(DRIP_S):
                self.sent_bytes += sock.send(self._piece)
        finally:
            self.ended_at = time.monotonic()

    @property
    def seconds(self):
        """Seconds in which the upstream could send."""
        assert self.disconnected.wait(5)
        return self.ended_at - self.began_at


def cut_parts(gateway):
    """Return the parts for which answers were cut, as the metrics tell."""
    lines = gateway.metrics.render().decode().splitlines()
    found = [line for line in lines if line.startswith("persimmonhitch_answers_cut_t")]
    return {line.split('part="')[1].split('"')[0] for line in found}


@pytest.mark.parametrize("kind", PLAIN_KINDS)
def test_endless_plain_answer_is_cut_and_served_elsewhere(kind):
    """Guards against an answer without end that holds its caller to the deadline."""
    start, piece, part = PLAIN_KINDS[kind]
    bad = EndlessUpstream("u1", start, piece)
    good = FakeUpstream("u2", sends(answer()))
    with GatewayServer(bad, good) as gateway:
        replies = []
        while bad.began_at is None:
            replies.append(gateway.call("/read/x"))
        assert bad.seconds < CLOSE_S
        assert cut_parts(gateway) == {part.value}
    assert {(reply.status, reply.body) for reply in replies} == {(200, b"done")}
    assert bad.sent_bytes < MAX_ANSWER_BYTES + KERNEL_BYTES


@pytest.mark.parametrize("kind", PLAIN_KINDS)
def test_endless_answer_to_a_request_that_may_not_be_repeated(kind):
    """Guards against a second run, and against a success, after an endless answer."""
    bad = EndlessUpstream("u1", *PLAIN_KINDS[kind][:2])
    with GatewayServer(bad) as gateway:
        reply = gateway.call("/book/x")
    assert reply.status >= 500
    assert b"may_have_run" in reply.body
    assert len(bad.received) == 1


@pytest.mark.parametrize("kind", STREAM_KINDS)
def test_event_stream_without_events_is_cut(kind):
    """Guards against the memory and time spent on a stream that carries nothing."""
    start, piece, part = STREAM_KINDS[kind]
    bad = EndlessUpstream("u1", start, piece, LLM)
    with GatewayServer(bad) as gateway:
        conn = gateway.open("/chat/x")
        with contextlib.closing(conn), pytest.raises((OSError, HTTPException)):
            response_of_caller = conn.getresponse()
            response_of_caller.read()
            # A stream without a first event ends before its head is sent.
            assert response_of_caller.status >= 500
            raise HTTPException
        assert bad.seconds < CLOSE_S
        assert cut_parts(gateway) == {part.value}
    assert bad.sent_bytes < 2 * MAX_EVENT_BYTES + KERNEL_BYTES


def test_long_stream_of_events_is_not_cut():
    """Guards against a bound on all bytes of a stream, which may be long."""
    large = b"data: " + b"x" * 500_000 + b"\n\n"
    parts = [chunk(large)] * (2 * MAX_ANSWER_BYTES // len(large))
    upstream = FakeUpstream("u1", sends(STREAM_HEAD, *parts, LAST_CHUNK), LLM)
    with GatewayServer(upstream) as gateway:
        reply = gateway.call("/chat/x", X_Persimmonhitch_Request_Deadline="20000")
    assert reply.complete
    assert len(reply.body) == len(large) * len(parts)


@pytest.mark.parametrize(
    "kind", ["status-line", "one-header", "chunk-extension", "trailers"]
)
def test_slow_head_or_framing_is_cut_in_time(kind, monkeypatch):
    """Guards against a head sent byte by byte, which stays below its size for hours."""
    monkeypatch.setattr(response, "MAX_BLOCK_S", 0.3)
    bad = EndlessUpstream("u1", *PLAIN_KINDS[kind][:2], drips=True)
    with GatewayServer(bad) as gateway:
        reply = gateway.call("/book/x")
        assert bad.seconds < 0.3 + CLOSE_S
    assert reply.status >= 500


@pytest.mark.parametrize("drips", [True, False], ids=["slow", "fast"])
def test_endless_body_of_a_refusal_does_not_delay_the_next_attempt(drips):
    """Guards against a refused request that waits for the body of the refusal."""
    head = f"HTTP/1.1 503 Busy\r\n{names.NOT_EXECUTED}: 1\r\n\r\n".encode()
    bad = EndlessUpstream("u1", head, b"x", drips=drips)
    good = FakeUpstream("u2", sends(answer()))
    with GatewayServer(bad, good) as gateway:
        statuses = set()
        while bad.began_at is None:
            statuses.add(gateway.call("/book/x").status)
        assert bad.seconds < CLOSE_S
    assert statuses == {200}


def test_trailers_cut_short_are_not_complete():
    """Guards against a success for an answer that ends within its trailers."""
    parts = CHUNKED_HEAD + chunk(b"done") + b"0\r\nX-A: b\r\n"
    upstream = FakeUpstream("u1", sends(parts, keep_alive=False))
    with GatewayServer(upstream) as gateway:
        assert gateway.call("/book/x").status >= 500


def test_trailers_within_their_bounds_are_ignored():
    parts = CHUNKED_HEAD + chunk(b"done") + b"0\r\nX-A: b\r\n\r\n"
    upstream = FakeUpstream("u1", sends(parts))
    with GatewayServer(upstream) as gateway:
        replies = [gateway.call("/read/x") for _ in range(2)]
        assert not upstream.disconnected.is_set()
    assert {(reply.status, reply.body) for reply in replies} == {(200, b"done")}


def test_interim_head_before_an_answer_is_skipped():
    upstream = FakeUpstream("u1", sends(b"HTTP/1.1 100 Continue\r\n\r\n", answer()))
    with GatewayServer(upstream) as gateway:
        assert gateway.call("/read/x").body == b"done"


def test_total_of_endless_bodies_stays_below_its_bound():
    """Guards against many endless bodies at once, each below the bound of one."""
    memory = AnswerMemory(1_000_000)
    bad = [
        EndlessUpstream(f"u{n}", HEAD + b"\r\n", b"x", drips=False) for n in range(4)
    ]
    totals = []
    with GatewayServer(*bad, memory=memory) as gateway:
        calls = [
            threading.Thread(target=gateway.call, args=("/book/x",)) for _ in range(6)
        ]
        for call in calls:
            call.start()
        while any(call.is_alive() for call in calls):
            totals.append(memory.total)
            calls[0].join(0.001)
            calls[-1].join(0.001)
        assert cut_parts(gateway) == {"memory"}
    assert max(totals) <= 1_000_000
    assert memory.total == 0


def test_slow_reader_of_a_large_answer_gives_way_to_other_answers():
    """Guards against new answers that are cut for a large one held by a slow reader."""
    memory = AnswerMemory(15_000_000)
    large = FakeUpstream("u1", sends(answer(body=b"x" * 14_900_000)))
    other = memory.hold(lambda: None)
    with GatewayServer(large, memory=memory) as gateway:
        conn = gateway.open("/book/x")
        reply = conn.getresponse()
        held = memory.total
        other.resize(15_000_001 - held)
        assert memory.total == other.size
        with pytest.raises((OSError, HTTPException)):
            reply.read()
        conn.close()
    other.check()


def test_body_releases_memory_as_it_is_read():
    memory = AnswerMemory(1_000_000)
    held = memory.hold(lambda: None)
    held.resize(400_000)
    body = HeldBody([bytes(200_000), bytes(200_000)], held)
    totals = [memory.total for _block in body]
    body.close()
    assert (totals, memory.total) == ([400_000, 200_000], 0)


def test_small_events_are_split_in_linear_time():
    """Guards against a tail that is searched again for each of many small chunks."""
    splitter = EventSplitter(needs_data=True)
    pieces = itertools.repeat(b"x" * 8, MAX_EVENT_BYTES // 8)
    started_at = time.process_time()
    assert not [found for piece in pieces for found in splitter.feed(piece)]
    assert time.process_time() - started_at < CLOSE_S
    with pytest.raises(AnswerBoundExceeded):
        list(splitter.feed(b"x" * 8))


@pytest.mark.parametrize("cut", range(1, 9))
def test_event_ends_are_found_across_chunks(cut):
    data = b"data: a\r\n\r\ndata: b\n\n"
    splitter = EventSplitter()
    chunks = [data[at : at + cut] for at in range(0, len(data), cut)]
    found = [each.data for part in chunks for each in splitter.feed(part)]
    assert found == [b"data: a\r\n\r\n", b"data: b\n\n"]


CLIENT_KINDS = {
    "interim-heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "headers": (SMALL_HEAD + b"X-A: ", b"x"),
    "body": (SMALL_HEAD + b"\r\n", b" "),
    "chunked-body": (
        SMALL_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        chunk(b" " * 100),
    ),
    "trailers": (
        SMALL_HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
        b"X-A: b\r\n",
    ),
}


@pytest.mark.parametrize("drips", [True, False], ids=["slow", "fast"])
@pytest.mark.parametrize("kind", CLIENT_KINDS)
@pytest.mark.parametrize("call", ["report", "order"])
def test_endless_answer_of_an_engine_to_the_leader(call, kind, drips, monkeypatch):
    """Guards against a leader that reads one engine's answer and forgets the others."""
    monkeypatch.setattr(response, "MAX_BLOCK_S", 0.3)
    monkeypatch.setattr("persimmonhitch.direct.engine_client.MAX_BODY_S", 0.3)
    if kind == "interim-heads" and drips:
        kind = "headers"
    upstream = EndlessUpstream("u1", *CLIENT_KINDS[kind], LLM, drips=drips)
    client = EngineClient(Vm("e1"), no_limits())
    if call == "report":
        assert (
            "AnswerBoundExceeded" in client.get_report(upstream.record).failure().detail
        )
    else:
        order = Order(True, Model("m1"))
        outcome = client.send_order(upstream.record, order, 0, Epoch(1))
        assert outcome is OrderOutcome.UNKNOWN
    assert upstream.seconds < 0.5 + CLOSE_S
    upstream.close()


@pytest.mark.parametrize("drips", [True, False], ids=["slow", "fast"])
@pytest.mark.parametrize("kind", CLIENT_KINDS)
def test_endless_reply_of_the_store(kind, drips, monkeypatch):
    """Guards against a store's reply that fills the memory, or that never ends."""
    monkeypatch.setattr(response, "MAX_BLOCK_S", 0.3)
    monkeypatch.setattr("persimmonhitch.platform.store_client.MAX_REPLY_S", 0.3)
    if kind == "interim-heads" and drips:
        kind = "headers"
    upstream = EndlessUpstream("s1", *CLIENT_KINDS[kind], drips=drips)
    store = StoreClient(f"http://127.0.0.1:{upstream.record.port}", 1.0)
    failure = store.get(Kind.FLEET, "main").failure()
    assert failure.error is StoreError.UNAVAILABLE
    assert upstream.seconds < 1.0 + CLOSE_S
    upstream.close()


class FailingJob(RecordingJob):
    """A job of a sidecar that keeps its failure."""

    failure = None

    def fail(self, failure):
        self.failure = failure


@pytest.mark.parametrize("kind", ["interim-heads", "headers", "trailers"])
def test_endless_answer_of_the_upstream_of_a_sidecar(kind):
    """Guards against a sidecar that reads a head or trailers until the deadline."""
    upstream = EndlessUpstream("u1", *CLIENT_KINDS[kind])
    job = FailingJob()
    address = Address("127.0.0.1", upstream.record.port)
    UpstreamCall(address, UpstreamKind.SERVICE).run(
        job, lambda: True, SimpleNamespace()
    )
    assert job.failure.verdict is Verdict.MAY_HAVE_RUN
    assert upstream.seconds < CLOSE_S
    upstream.close()


class RecordingHandler:
    """Records the messages and the end of a link."""

    def __init__(self):
        self.messages = []
        self.closed = threading.Event()

    def on_message(self, _link, msg):
        self.messages.append(msg)

    def on_close(self, _link):
        self.closed.set()


def masked(first_byte, size_code, size, payload):
    """Return the start of a websocket frame of a client and its payload."""
    length = size.to_bytes(8 if size_code == 127 else 2, "big")
    return bytes([first_byte, 0x80 | size_code]) + length + bytes(4) + payload


LONG_FRAME = masked(0x82, 127, 1 << 40, b"")
FIRST_FRAGMENT = masked(0x02, 126, 1, b"x")
FRAGMENT = masked(0x00, 126, 65535, b"x" * 65535)


@pytest.mark.parametrize(
    ("start", "piece"),
    [(LONG_FRAME, b"x" * PIECE_BYTES), (FIRST_FRAGMENT, FRAGMENT)],
    ids=["frame", "fragments"],
)
def test_endless_frame_of_a_peer_ends_its_link(start, piece):
    """Guards against a link that reads a frame without end until its peer closes it."""
    handler = RecordingHandler()
    server = links.LinkServer("127.0.0.1", 0, b"s", lambda _link: handler)
    server.start()
    lines = (
        "GET /link HTTP/1.1",
        f"Host: 127.0.0.1:{server.port}",
        "Connection: Upgrade",
        "Upgrade: websocket",
        "Sec-WebSocket-Version: 13",
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
        f"{links.auth.HEADER}: {links.auth.sign(b's', time.time())}",
    )
    ends_at = time.monotonic() + CLOSE_S
    with socket.create_connection(("127.0.0.1", server.port), 5) as sock:
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        assert b" 101 " in sock.recv(4096)
        sock.sendall(start)
        with pytest.raises(OSError):
            while time.monotonic() < ends_at:
                sock.sendall(piece)
        assert handler.closed.wait(CLOSE_S)
    assert not handler.messages
    server.stop()


def test_event_after_an_endless_stream_elsewhere():
    """Guards against other callers who wait for a stream that carries nothing."""
    bad = EndlessUpstream("u1", *STREAM_KINDS["no-event"][:2], LLM)
    good = FakeUpstream("u2", sends(STREAM_HEAD, event(1), LAST_CHUNK), LLM)
    with GatewayServer(bad, good) as gateway:
        replies = [gateway.call("/resume/x") for _ in range(4)]
    assert all(b"data: t1" in reply.body for reply in replies)
