"""Answers whose connection ends within their head."""

import socket
import threading

import pytest
from direct_help import (
    LAST_CHUNK,
    LLM,
    STREAM_HEAD,
    FakeUpstream,
    GatewayServer,
    answer,
    event,
    sends,
)

from persimmonhitch.platform.store_client import StoreClient
from persimmonhitch.store.objects import Kind

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


def cuts(head):
    """Return the head cut at each line end, within each line and before its end."""
    lines = head.partition(b"\r\n\r\n")[0].split(b"\r\n")
    whole = [b"\r\n".join(lines[:n]) for n in range(1, len(lines) + 1)]
    return [
        *(line + end for line in whole for end in (b"", b"\r", b"\r\n")),
        *(line[:-2] for line in whole),
    ]


CUTS = cuts(answer(200, b"12345678"))
STREAM_CUTS = cuts(STREAM_HEAD)
UNFRAMED_CUTS = cuts(answer().replace(b"Content-Length", b"X-Length"))


def closes(parts):
    """Return a script that sends some bytes and closes the connection in order."""
    return sends(*parts, keep_alive=False)


@pytest.mark.parametrize("interim", [b"", INTERIM])
@pytest.mark.parametrize("cut", [*CUTS, *UNFRAMED_CUTS])
def test_answer_that_ends_within_its_head_is_no_success(cut, interim):
    """Guards against an empty success from an engine that stopped in its head."""
    with GatewayServer(FakeUpstream("u1", closes([interim + cut]))) as gateway:
        reply = gateway.call("/book/x")
    assert reply.status == 502


def test_answer_that_ends_within_its_head_is_served_elsewhere():
    """Guards against an empty success where another upstream can answer."""
    broken = FakeUpstream("u1", closes([CUTS[-4]]))
    good = FakeUpstream("u2", sends(answer()))
    with GatewayServer(broken, good) as gateway:
        replies = [gateway.call("/read/x") for _ in range(4)]
    assert {(reply.status, reply.body) for reply in replies} == {(200, b"done")}


@pytest.mark.parametrize("cut", STREAM_CUTS)
def test_stream_that_ends_within_its_head_is_no_success(cut):
    """Guards against an empty stream that looks complete."""
    with GatewayServer(FakeUpstream("u1", closes([cut]), LLM)) as gateway:
        reply = gateway.call("/chat/x")
    assert reply.status == 502


@pytest.mark.parametrize("size", [b"0", b"00", b"0\r", b"1"])
def test_answer_that_ends_within_a_chunk_size_is_incomplete(size):
    """Guards against the first digits of a chunk size taken for the last chunk."""
    parts = [STREAM_HEAD, event(1), size]
    with GatewayServer(FakeUpstream("u1", closes(parts), LLM)) as gateway:
        reply = gateway.call("/chat/x")
    assert not reply.complete or reply.status >= 500


def test_last_chunk_without_trailers_is_complete():
    """Guards against the loss of an answer whose upstream closes early."""
    parts = [STREAM_HEAD, event(1), LAST_CHUNK[:3]]
    with GatewayServer(FakeUpstream("u1", closes(parts), LLM)) as gateway:
        reply = gateway.call("/chat/x")
    assert (reply.status, reply.complete) == (200, True)
    assert reply.body == event(1).partition(b"\r\n")[2].removesuffix(b"\r\n")


@pytest.mark.parametrize("cut", [b"\r\n", b""])
def test_store_reply_that_ends_within_its_head_is_a_failure(cut):
    """Guards against an empty object taken for the state of the store."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        sock, _ = listener.accept()
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json" + cut)
        sock.close()

    threading.Thread(target=serve, daemon=True).start()
    store = StoreClient(f"http://127.0.0.1:{listener.getsockname()[1]}", 1.0)
    result = store.list_all(Kind.UPSTREAM)
    listener.close()
    assert "IncompleteHead" in result.failure().detail
