"""Requests that crash the upstreams that run them, through one entry."""

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


class Crashing(FakeUpstream):
    """Ends like a process does when it runs ``POISON``; others may run beside it."""

    def __init__(self, name, service, hold=False):
        self._socks = []
        self._ended = threading.Event()
        self._hold = hold
        self.runs = 0
        super().__init__(name, self._answer, service)

    def _answer(self, req, sock):
        self._socks.append(sock)
        if req.body == POISON:
            self.runs += 1
            self._crash(sock)
            return False
        if self._hold:
            self._ended.wait(5)
            return False
        whole = STREAM_HEAD + event(1) + LAST_CHUNK if self._is_model(req) else answer()
        sock.sendall(whole)
        return True

    def _is_model(self, req):
        return "x-persimmonhitch-model" in req.headers

    def _crash(self, _sock):
        self.stop_listening()
        self._ended.set()
        for sock in self._socks:
            sock.shutdown(socket.SHUT_RDWR)


def crashed(upstreams):
    return sum(upstream.runs for upstream in upstreams)


@pytest.mark.parametrize(
    ("path", "service"),
    [("/read/x", LEDGER), ("/book/x", LEDGER), ("/resume/x", LLM), ("/chat/x", LLM)],
)
def test_a_request_that_crashed_three_upstreams_is_sent_to_no_other(path, service):
    """Guards against repeats, under new ids, that crash one upstream after another."""
    made = [Crashing(f"u{n}", service) for n in range(6)]
    with GatewayServer(*made) as served:
        for n in range(9):
            last = served.call(path, body=POISON, X_Persimmonhitch_Request_Id=f"p{n}")
            if last.status == 503:
                break
        other = served.call(path, body=b"another", X_Persimmonhitch_Request_Id="good")
    assert crashed(made) == 3
    assert last.status == 503
    assert b"not_run" in last.body
    assert float(last.headers["retry-after"]) > 0
    assert (other.status, other.complete) == (200, True)


@pytest.mark.parametrize("head", [b"", STREAM_HEAD])
def test_a_stream_is_accused_whether_its_head_came_or_not(head):
    """Guards against blame for what had a head, where the guilty call's was lost."""
    up = FakeUpstream("u1", resets(head), LLM)
    with GatewayServer(up) as served:
        served.call("/chat/x")
        wait_for(
            lambda: served.crash_update is not None and served.crash_update.crashes,
            "the news",
        )
        (crash,) = served.crash_update.crashes
    assert set(crash.lost.values()) == {True}
