"""Callers that keep their connections open after an answer."""

import contextlib
import http.client
import socket
import threading

from fleet import wait_for

from persimmonhitch.web import Answer, WebServer, server

CONNS, OPENED = 200, 450
CALLERS = 40


def connect(port):
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=3)
    conn.request("GET", "/")
    return conn


def test_idle_connections_give_way_to_new_callers(monkeypatch):
    """Guards against a ready entry that takes no connection and refuses none."""
    monkeypatch.setattr(server, "MAX_IDLE_CONNS", CONNS)
    running, release = threading.Event(), threading.Event()

    def app(environ, start_response):
        if environ["PATH_INFO"] == "/slow":
            running.set()
            release.wait(10)
        return Answer(200, {"content-length": "2"}, [b"ok"]).send(start_response)

    web = WebServer(app, "127.0.0.1", 0, 4, keep_streams=True)
    web.start()
    with contextlib.ExitStack() as stack:
        stack.callback(web.close)
        stack.callback(release.set)
        slow = http.client.HTTPConnection("127.0.0.1", web.port, timeout=10)
        slow.request("GET", "/slow")
        assert running.wait(2)
        conns = []
        for _ in range(OPENED):
            conn = connect(web.port)
            stack.callback(conn.close)
            assert conn.getresponse().read() == b"ok"
            conns.append(conn)
        assert len(web._server.active_channels) <= CONNS + 4
        release.set()
        assert slow.getresponse().read() == b"ok"
        slow.close()


def test_server_for_few_callers_keeps_their_connections():
    """Guards against a new connection for each request to a small server."""

    def app(_environ, start_response):
        return Answer(200, {"content-length": "2"}, [b"ok"]).send(start_response)

    web = WebServer(app, "127.0.0.1", 0, 6)
    web.start()
    with contextlib.ExitStack() as stack:
        stack.callback(web.close)
        conns = [connect(web.port) for _ in range(5)]
        for conn in conns:
            stack.callback(conn.close)
            assert conn.getresponse().read() == b"ok"
        newest = connect(web.port)
        stack.callback(newest.close)
        # The server accepts before it reads, and closes what it has chosen meanwhile.
        assert newest.getresponse().read() == b"ok"
        for conn in conns:
            # The library would connect again.
            conn.auto_open = 0
            conn.request("GET", "/")
            assert conn.getresponse().read() == b"ok"


def test_new_connections_are_not_taken_for_idle():
    """Guards against a reset of callers who have just connected to a busy server."""

    def app(_environ, start_response):
        return Answer(200, {"content-length": "2"}, [b"ok"]).send(start_response)

    web = WebServer(app, "127.0.0.1", 0, CALLERS)
    web.start()
    with contextlib.ExitStack() as stack:
        stack.callback(web.close)
        address = ("127.0.0.1", web.port)
        conns = []
        for count in range(1, CALLERS + 1):
            conns.append(socket.create_connection(address, 3))
            stack.callback(conns[-1].close)
            wait_for(lambda n=count: len(web._server.active_channels) == n, "a place")
        for conn in conns:
            conn.sendall(b"GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
        for conn in conns:
            assert conn.recv(9) == b"HTTP/1.1 "
