"""Invalid input of callers and peers is rejected and does not end the process."""

import http.client
import socket
import time

import cbor2
import pytest
import test_links
from test_links import HELLO, SECRET
from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect

from persimmonhitch.entry.calls import forwarded_headers, forwarded_query, read_call
from persimmonhitch.verdict import ErrorCode, Failure
from persimmonhitch.web import Answer, Request, WebServer
from persimmonhitch.web.http import MAX_BODY_BYTES, read_request
from persimmonhitch.wire import auth
from persimmonhitch.wire.codec import MAX_FRAME_BYTES, decode, encode
from persimmonhitch.wire.messages import Head, Hello, Role

ledger = test_links.ledger
KEY = "phk_secret"
CHAT = "/v1/chat/completions"


def request(path=CHAT, body=b"{}", query="", **headers):
    all_headers = {"authorization": f"Bearer {KEY}", **headers}
    return Request("POST", path, query, all_headers, body)


@pytest.mark.parametrize(
    "req",
    [
        request(body=b"{"),
        request(body=b"\xff\xfe"),
        request(body=b"[" * 100000),
        request(body=b'{"model": 1}'),
        request(body=b'{"model": "m", "messages": [1]}'),
        request(
            body=b'{"model": "m", "messages": [{"role": "user"}], "max_tokens": 1e9}'
        ),
        request(**{"x-request-timeout": "nan"}),
        request(**{"x-request-timeout": "-1"}),
        request(**{"x-request-timeout": "1e9"}),
        request(**{"x-request-priority": "first"}),
        request("/v1/services/s/x", **{"idempotency-key": "k" * 256}),
        request("/v1/services/s/x", body=f"my key is {KEY}".encode()),
        request(f"/v1/services/s/{KEY}"),
    ],
    ids=range(13),
)
def test_bad_calls_are_rejected(req):
    result = read_call(req, 60.0, 600.0)
    assert result.failure().code is ErrorCode.BAD_REQUEST


@pytest.mark.parametrize("content_length", [str(MAX_BODY_BYTES + 1), ""])
def test_a_body_that_is_too_long_is_refused(content_length):
    class Endless:
        def read(self, count):
            return b"x" * count

    environ = {"CONTENT_LENGTH": content_length, "wsgi.input": Endless()}
    result = read_request(environ)
    assert isinstance(result.failure(), Failure)
    assert result.failure().code is ErrorCode.TOO_LARGE


def test_key_and_hop_by_hop_headers_are_removed():
    headers = {
        "connection": "close, X-Hop",
        "x-hop": "1",
        "te": "trailers",
        "authorization": f"Bearer {KEY}",
        "x-note": f"with {KEY} in it",
        "accept": "text/plain",
    }
    assert forwarded_headers(headers, KEY) == {"accept": "text/plain"}
    assert forwarded_query(f"a=1&k={KEY}&b=2", KEY) == "a=1&b=2"
    assert forwarded_query("k=phk%5Fsecret", KEY) == ""


FRAMES = {
    "text": "hello",
    "empty": b"",
    "no cbor": b"\xff\x00",
    "no list": cbor2.dumps({"a": 1}),
    "unknown kind": cbor2.dumps([9999]),
    "too few fields": cbor2.dumps([3, "r"]),
    "wrong type": cbor2.dumps([1, "one", "entry", "v", "z", "i", 1]),
    "wrong enum": cbor2.dumps([1, 1, "king", "v", "z", "i", 1]),
    "deep": b"\x81" * 5000,
    "wrong protocol": encode(Hello(99, Role.ENTRY, "v", "z", "i", 1)),
    "not for a sidecar": encode(Head("r", 1, 200, {})),
}


@pytest.mark.parametrize("frame", FRAMES.values(), ids=FRAMES.keys())
def test_bad_frame_ends_only_its_link(ledger, frame):
    """A faulty peer, or one of another version, sends an invalid frame. Its link must
    end; the sidecar and the links of other peers must not be affected.
    """
    url = f"ws://127.0.0.1:{ledger.server.port}/link"
    headers = {auth.HEADER: auth.sign(SECRET.encode(), time.time())}
    conn = connect(url, additional_headers=headers, proxy=None, legacy=True)
    conn.send(frame)
    with pytest.raises(ConnectionClosed):
        conn.recv(timeout=5)
    assert ledger.conn.welcomed.is_set()
    other = test_links.SidecarConn(ledger.conn.info, SECRET.encode(), test_links.FEED)
    assert other.connect(HELLO)


@pytest.mark.parametrize(
    "value",
    ["", "a.b.c", "1.2", auth.sign(b"other", time.time()), auth.sign(b"s", 0.0)],
    ids=["empty", "words", "short", "other secret", "old"],
)
def test_links_without_the_secret_are_refused(value):
    assert not auth.verify(b"s", value, time.time())


def test_a_frame_over_the_limit_is_not_read():
    assert "bytes" in decode(b"x" * (MAX_FRAME_BYTES + 1)).failure()


@pytest.fixture
def body_server():
    def app(environ, start_response):
        result = read_request(environ)
        size = str(result.map(lambda req: len(req.body)).value_or(0)).encode()
        return Answer(200, {"content-length": str(len(size))}, [size]).send(
            start_response
        )

    web = WebServer(app, "127.0.0.1", 0, 4)
    web.start()
    yield web
    web.close()


def framed(size, chunk_size):
    """Yield the parts of a request, up to the last byte of a body that is too long."""
    yield b"POST / HTTP/1.1\r\nHost: entry\r\n"
    is_whole = size <= MAX_BODY_BYTES
    if not chunk_size:
        yield f"Content-Length: {size}\r\n\r\n".encode()
        yield b"x" * size if is_whole else b""
        return
    yield b"Transfer-Encoding: chunked\r\n"
    for at in range(0, size, chunk_size):
        count = min(chunk_size, size - at)
        yield f"\r\n{count:x}\r\n".encode() + b"x" * count
    yield b"\r\n0\r\n\r\n" if is_whole else b""


@pytest.mark.parametrize("excess", [-1, 0, 1])
@pytest.mark.parametrize("chunk_size", [0, 1000, 2 * MAX_BODY_BYTES])
def test_the_largest_body_passes_and_no_larger_one(body_server, excess, chunk_size):
    """Guards against a refusal of a body that is as long as permitted."""
    size = MAX_BODY_BYTES + excess
    with socket.create_connection(("127.0.0.1", body_server.port), 10) as sock:
        sock.sendall(b"".join(framed(size, chunk_size)))
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        text = answer.read()
    expected = (200, str(size).encode()) if excess <= 0 else (413, text)
    assert (answer.status, text) == expected
