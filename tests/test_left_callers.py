"""Callers that leave: their requests must not go on at upstreams."""

import math
import socket
import threading
import time

import pytest
from direct_help import (
    COOP,
    LLM,
    STREAM_HEAD,
    FakeUpstream,
    GatewayServer,
    answer,
    event,
)
from fleet import wait_for
from soak.leavers import How, LeaversSize, play
from test_stream_versions import CONTINUES, V1, V2, engine

from persimmonhitch.direct import abort
from persimmonhitch.direct.peer_messages import VersionsSeen
from persimmonhitch.ids import RequestId
from persimmonhitch.web import CallerConn

CALLER_LEFT = abort.AbortReason.CALLER_LEFT
MAX_WORK_S = 0.5
LEAVERS, BUSY_THREADS = 20, 8
EVENT_INTERVAL_S = 0.002
AHEAD = b"GET /read/x HTTP/1.1\r\nHost: a.example\r\n\r\n"
BIG_EVENT = "x" * 60_000


class StreamingUpstream(FakeUpstream):
    """Streams events until its connection closes."""

    def __init__(self, name, text):
        super().__init__(name, self._stream, LLM)
        self._text = text

    def _stream(self, _req, sock):
        sock.sendall(STREAM_HEAD)
        number = 0
        while not self.disconnected.wait(EVENT_INTERVAL_S):
            number += 1
            sock.sendall(event(number, self._text))
        return False


def channels(gateway):
    """Return the connections of the gateway's server."""
    return list(gateway.server._server.active_channels.values())


@pytest.mark.parametrize("sends_ahead", [False, True])
def test_end_without_reset_is_noticed_behind_unread_bytes(sends_ahead):
    """Guards against a connection whose end is not seen while other things wait."""
    upstream = StreamingUpstream("u1", "" if sends_ahead else BIG_EVENT)
    drained = threading.Event()
    with GatewayServer(upstream) as gateway:
        conn = gateway.open("/chat/x", X_Persimmonhitch_Request_Deadline="60000")
        wait_for(lambda: upstream.received, "the request")
        if sends_ahead:
            reader = threading.Thread(target=_drain, args=(conn.sock, drained))
            reader.start()
            conn.sock.sendall(AHEAD * 3)
            wait_for(
                lambda: any(len(item.requests) > 1 for item in channels(gateway)),
                "the requests",
            )
        else:
            wait_for(
                lambda: any(item.total_outbufs_len for item in channels(gateway)),
                "unsent bytes",
            )
        conn.sock.shutdown(socket.SHUT_WR)
        has_ended = upstream.disconnected.wait(MAX_WORK_S)
        drained.set()
        conn.close()
    assert has_ended


def _drain(sock, ended):
    sock.settimeout(0.1)
    while not ended.is_set():
        try:
            if not sock.recv(65536):
                return
        except OSError:
            continue


def test_late_check_spares_the_next_request_of_a_connection(monkeypatch):
    """Guards against an abort of an ended request that cuts another one off."""
    begun, may_end, ended = (threading.Event() for _ in range(3))
    checked = []

    def checks_late(conns, _wait_s):
        if checked:
            ended.set()
        if checked or not conns:
            return []
        checked.extend(conns)
        begun.set()
        may_end.wait(5)
        return checked

    def works(_req, sock):
        if len(upstream.received) == 1:
            begun.wait(5)
        else:
            may_end.set()
            ended.wait(5)
        sock.sendall(answer())
        return True

    monkeypatch.setattr(abort, "callers_left", checks_late)
    upstream = FakeUpstream("u1", works)
    with GatewayServer(upstream) as gateway:
        statuses = [gateway.call("/book/x").status for _ in range(2)]
        assert not upstream.disconnected.is_set()
    assert statuses == [200, 200]


def test_many_callers_that_left_are_noticed_beside_busy_threads():
    """Guards against a look that waits for the interpreter after each caller."""
    done = threading.Event()

    def spin():
        while not done.is_set():
            pass

    upstreams = [
        FakeUpstream(f"u{n}", lambda _req, _sock: done.wait(10)) for n in range(3)
    ]
    with GatewayServer(*upstreams, threads=2 * LEAVERS) as gateway:
        conns = [gateway.open("/read/x") for _ in range(LEAVERS)]
        wait_for(
            lambda: sum(len(item.received) for item in upstreams) == LEAVERS,
            "the requests",
        )
        aborts = list(gateway.watchdog._aborts)
        gateway.watchdog.stop()
        gateway.watchdog._thread.join()
        for conn in conns:
            conn.close()
        for _ in range(BUSY_THREADS):
            threading.Thread(target=spin, daemon=True).start()
        started_at = time.monotonic()
        gateway.watchdog.poll()
        seconds = time.monotonic() - started_at
        done.set()
    assert [item.reason for item in aborts] == LEAVERS * [CALLER_LEFT]
    assert seconds <= MAX_WORK_S


def test_request_ends_after_the_server_closed_its_connection():
    """Guards against an abort that fails since the server's loop was faster."""
    may_end = threading.Event()
    upstream = FakeUpstream("u1", lambda _req, _sock: may_end.wait(5))
    with GatewayServer(upstream) as gateway:
        gateway.watchdog.stop()
        conn = gateway.open("/book/x")
        wait_for(lambda: upstream.received, "the request")
        (channel,) = channels(gateway)
        handle = abort.Abort(CallerConn(channel, channel.requests[0]), math.inf)
        conn.close()
        wait_for(lambda: channel.socket is None, "the end of the connection")
        handle.check_caller()
        may_end.set()
    assert handle.reason is CALLER_LEFT


def test_resumption_of_a_caller_that_left_is_not_sent():
    """Guards against resumptions sent for callers that left while they waited."""
    engines = [engine(f"u{n}", v, CONTINUES) for n, v in enumerate((V1, V2))]
    headers = {"Resumes": "s1", "Last_Event_Id": "2"}
    with GatewayServer(*engines) as gateway:
        gateway.origins.extend_history(VersionsSeen(20_000, ()))
        conn = gateway.open("/resume/x", X_Persimmonhitch_Request_Id="r1", **headers)
        wait_for(lambda: len(gateway.watchdog), "the resumption")
        conn.close()
        wait_for(lambda: not len(gateway.watchdog), "its end")
        gateway.origins.began(RequestId("s1"), COOP, engines[0].record)
    assert [upstream.received for upstream in engines] == [[], []]


SHORT_OF_PROCESSOR = LeaversSize(cores=0.39, seconds=6.0)
TURNS_SLOW = LeaversSize(cores=0.39, slow_after_s=1.5, seconds=6.0)
UNREAD = LeaversSize(cores=0.0, rate=15.0, padding=60_000, seconds=5.0, how=How.UNREAD)


@pytest.mark.parametrize(
    ("seed", "size"), [(1, SHORT_OF_PROCESSOR), (2, UNREAD), (6, TURNS_SLOW)]
)
def test_work_ends_with_its_caller(seed, size, tmp_path):
    """Guards against work for callers that left, at an entry short of processor."""
    assert play(size, seed, tmp_path).faults() == []
