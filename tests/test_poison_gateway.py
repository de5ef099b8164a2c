"""Requests that crash their upstreams, sent through one entry."""

import socket
import threading

import pytest
from direct_help import (
    LAST_CHUNK,
    LEDGER,
    LLM,
    STREAM_HEAD,
    FakeUpstream,
    GatewayServer,
    answer,
    event,
    resets,
)
from fleet import wait_for

POISON = b"crash you"


class CrashingUpstream(FakeUpstream):
    """Crashes, with all connections reset, when it runs ``POISON``."""

    def __init__(self, name, service, hang=False):
        self._sockets = []
        self._crashed = threading.Event()
        self._hang = hang
        self.runs = 0
        super().__init__(name, self._answer, service)

    def _answer(self, req, sock):
        self._sockets.append(sock)
        if req.body == POISON:
            self.runs += 1
            self._crash(sock)
            return False
        if self._hang:
            self._crashed.wait(5)
            return False
        reply = STREAM_HEAD + event(1) + LAST_CHUNK if self._is_model(req) else answer()
        sock.sendall(reply)
        return True

    def _is_model(self, req):
        return "x-persimmonhitch-model" in req.headers

    def _crash(self, _sock):
        self.stop_listening()
        self._crashed.set()
        for sock in self._sockets:
            sock.shutdown(socket.SHUT_RDWR)


def crash_count(upstreams):
    return sum(upstream.runs for upstream in upstreams)


@pytest.mark.parametrize(
    ("path", "service"),
    [("/read/x", LEDGER), ("/book/x", LEDGER), ("/resume/x", LLM), ("/chat/x", LLM)],
)
def test_a_request_that_crashed_three_upstreams_is_sent_to_no_other(path, service):
    """Guards against repeats with new request ids that crash ever more upstreams."""
    upstreams = [CrashingUpstream(f"u{n}", service) for n in range(6)]
    with GatewayServer(*upstreams) as served:
        for n in range(9):
            reply = served.call(path, body=POISON, X_Persimmonhitch_Request_Id=f"p{n}")
            if reply.status == 503:
                break
        good = served.call(path, body=b"another", X_Persimmonhitch_Request_Id="good")
    assert crash_count(upstreams) == 3
    assert reply.status == 503
    assert b"not_run" in reply.body
    assert float(reply.headers["retry-after"]) > 0
    assert (good.status, good.complete) == (200, True)


@pytest.mark.parametrize("head", [b"", STREAM_HEAD])
def test_a_stream_is_a_suspect_with_or_without_a_response_head(head):
    """Guards against suspecting only streams whose response head had arrived."""
    up = FakeUpstream("u1", resets(head), LLM)
    with GatewayServer(up) as served:
        served.call("/chat/x")
        wait_for(
            lambda: served.crash_update is not None and served.crash_update.crashes,
            "the crash update",
        )
        (crash,) = served.crash_update.crashes
    assert set(crash.lost.values()) == {True}
