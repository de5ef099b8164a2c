"""Callers that read slowly, beside callers that read at once."""

import contextlib
import socket
import threading
import urllib.request

import pytest
from fleet import wait_for

from persimmonhitch.decide.slow_readers import (
    SlowReader,
    max_unread_bytes,
    readers_to_drop,
)
from persimmonhitch.web import WebServer

KB, MB = 1000, 1_000_000
PLACES = 4
PART = b"x" * 65536


def reader(conn, unread=100 * KB, read=0, waiting_s=5.0, blocks=True):
    return SlowReader(conn, unread, read, waiting_s, blocks)


@pytest.mark.parametrize(
    ("readers", "dropped"),
    [
        ([reader(1), reader(2)], []),
        ([reader(1, read=9), reader(2, read=1), reader(3, read=5)], [2]),
        ([reader(1, waiting_s=0.5), reader(2, read=9), reader(3, read=9)], [2]),
        ([reader(1, unread=MB, blocks=False), reader(2, read=9)], [1]),
        ([reader(n, waiting_s=0.2) for n in range(9)], []),
        ([reader(1, blocks=False), *(reader(n, read=n) for n in (2, 3, 4))], [2]),
    ],
    ids=["room", "slowest", "not-new", "memory", "all-new", "only-those-that-help"],
)
def test_the_slowest_readers_are_dropped_at_a_bound(readers, dropped):
    found = readers_to_drop(readers, max_unread=MB, max_blocked=2)
    assert [each.conn for each in found] == dropped


@pytest.mark.parametrize("slow", [40, 200])
def test_callers_of_one_kilobyte_per_second_leave_places_to_others(slow):
    """Guards against slow callers who occupy memory and places of a small VM."""
    places, memory = 192, max_unread_bytes(160)
    unread = {conn: 90 * KB for conn in range(slow)}
    sound = {conn: 30 * KB for conn in range(1000, 1020)}
    for second in range(1, 60):
        readers = [
            reader(conn, size, read=second * KB + conn, waiting_s=second)
            for conn, size in unread.items()
        ] + [reader(conn, size, 0, 0.05, False) for conn, size in sound.items()]
        for each in readers_to_drop(readers, memory, places // 2):
            del unread[each.conn]
        assert sum(unread.values()) + sum(sound.values()) <= memory
        assert len(unread) <= places // 2
    assert len(unread) >= min(slow, 90)


@pytest.mark.parametrize(("memory_mb", "bound"), [(0, None), (160, 20 * MB)])
def test_bound_follows_the_memory_if_known(memory_mb, bound):
    assert max_unread_bytes(memory_mb) == bound


def endless_app(environ, start_response):
    if environ["PATH_INFO"] == "/sound":
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]
    start_response("200 OK", [])
    return (PART for _ in range(10_000))


@pytest.fixture
def server():
    found = WebServer(
        endless_app, "127.0.0.1", 0, PLACES, keep_streams=True, max_unread=MB
    )
    found.start()
    yield found
    found.stop_listening()
    found.close()


def read_some(sock, stopping):
    with contextlib.suppress(OSError):
        while not stopping.wait(0.005):
            sock.recv(65536)


def test_readers_of_nothing_give_their_places_to_new_callers(server):
    """Guards against places that callers who read nothing occupy for ever."""
    stopping = threading.Event()
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(
                socket.create_connection(("127.0.0.1", server.port), 10)
            )
            for _ in range(PLACES)
        ]
        for sock in socks:
            sock.sendall(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
        for sock in socks[PLACES // 2 :]:
            threading.Thread(target=read_some, args=(sock, stopping)).start()
        url = f"http://127.0.0.1:{server.port}/sound"
        answers = []
        call = threading.Thread(
            target=lambda: answers.append(
                urllib.request.urlopen(url, timeout=10).read()
            )
        )
        call.start()

        def is_answered():
            server.drop_slow_readers()
            return bool(answers)

        wait_for(is_answered, "the sound caller to be answered")
        for sock in socks[: PLACES // 2]:
            with pytest.raises(OSError):
                while sock.recv(65536):
                    pass
        assert server.busy_conns() == PLACES // 2
        stopping.set()
        call.join(10)
