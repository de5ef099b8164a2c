"""A stopping server must not accept requests that it cannot finish in time."""

import http.client
import socket
import threading

import pytest
from fleet import wait_for

from persimmonhitch.web import Answer, WebServer


class App:
    def __init__(self):
        self.calls = 0

    def __call__(self, environ, start_response):
        self.calls += 1
        return Answer(200, {"Content-Length": "2"}, [b"ok"]).send(start_response)


def test_idle_connection_is_closed_on_stop():
    """Guards against an answer aborted at the stop limit. A caller sends its next
    request over a persistent connection to a stopping entry. If the idle connection is
    closed before, the caller uses another entry, with its full timeout left.
    """
    app = App()
    server = WebServer(app, "127.0.0.1", 0, 4, keep_streams=True)
    server.start()
    conn = http.client.HTTPConnection("127.0.0.1", server.port, timeout=5)
    conn.request("GET", "/")
    assert conn.getresponse().read() == b"ok"
    server.disable_keep_alive()
    server.stop_listening()
    server.close_idle()
    assert conn.sock.recv(1) == b""
    assert app.calls == 1
    assert server.drain(1.0, threading.Event()) == 0
    server.close()


def test_close_does_not_write_to_a_closed_pipe(monkeypatch):
    """Guards against a wake-up written after the server has closed its trigger pipe."""
    server = WebServer(App(), "127.0.0.1", 0, 4)
    server.start()
    trigger = server._server.trigger
    pull, closed = trigger._physical_pull, threading.Event()
    close = trigger.close
    monkeypatch.setattr(trigger, "close", lambda: (close(), closed.set()))

    def pull_twice():
        pull()
        closed.wait(0.2)
        pull()

    monkeypatch.setattr(trigger, "_physical_pull", pull_twice)
    server.close()
    assert closed.is_set()


def test_request_that_was_not_accepted_yet_is_answered_on_stop():
    """Guards against requests that are reset with the listener of a busy process."""
    app, resume = App(), threading.Event()
    server = WebServer(app, "127.0.0.1", 0, 4, keep_streams=True)
    server.start()
    server._server.trigger.pull_trigger(lambda: resume.wait(5))
    conn = http.client.HTTPConnection("127.0.0.1", server.port, timeout=5)
    conn.request("GET", "/")
    server.disable_keep_alive()
    stop = threading.Thread(target=server.stop_listening)
    stop.start()
    server.close_idle()
    resume.set()
    assert conn.getresponse().read() == b"ok"
    stop.join()
    assert server.drain(1.0, threading.Event()) == 0
    server.close()


def test_request_of_a_caller_that_has_left_is_not_run():
    """Guards against requests that reach an upstream after their caller has left."""
    calls, started, finish, resume = [], *(threading.Event() for _ in range(3))

    def app(environ, start_response):
        calls.append(environ["PATH_INFO"])
        started.set()
        finish.wait(5)
        return Answer(200, {"Content-Length": "2"}, [b"ok"]).send(start_response)

    server = WebServer(app, "127.0.0.1", 0, 1, keep_streams=True)
    server.start()
    first, second = (
        http.client.HTTPConnection("127.0.0.1", server.port, timeout=5)
        for _ in range(2)
    )
    first.request("GET", "/first")
    started.wait(5)
    second.request("GET", "/second")
    wait_for(lambda: server._server.task_dispatcher.queue, "the second request")
    server._server.trigger.pull_trigger(lambda: resume.wait(5))
    second.close()
    finish.set()
    wait_for(lambda: not server._server.task_dispatcher.queue, "the thread")
    resume.set()
    assert first.getresponse().read() == b"ok"
    server.close()
    assert calls == ["/first"]


class StreamApp:
    """Answers ``/stream`` in two chunks, the second one after ``finish`` is set."""

    def __init__(self):
        self.started, self.finish = threading.Event(), threading.Event()

    def __call__(self, environ, start_response):
        if environ["PATH_INFO"] != "/stream":
            return Answer(200, {"Content-Length": "2"}, [b"ok"]).send(start_response)
        return Answer(200, {}, self._chunks()).send(start_response)

    def _chunks(self):
        yield b"first"
        self.started.set()
        self.finish.wait(5)
        yield b"last"


HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
BODY = b"\r\nhello"


def stop_server(server):
    server.close_idle()
    server.drain(5.0, threading.Event())
    server.close()


def read_answer(sock):
    answer = http.client.HTTPResponse(sock)
    answer.begin()
    return answer.read()


@pytest.mark.parametrize("sent", [HEAD, HEAD + BODY])
@pytest.mark.parametrize("is_read", [False, True])
def test_request_on_an_open_connection_is_answered_before_the_exit(sent, is_read):
    """Guards against requests lost on connections that are open as a process exits."""
    resume = threading.Event()
    server = WebServer(App(), "127.0.0.1", 0, 4, keep_streams=True)
    server.start()
    conn = socket.create_connection(("127.0.0.1", server.port), timeout=5)
    wait_for(lambda: server._server.active_channels, "the connection")
    (channel,) = server._server.active_channels.values()
    if not is_read:
        read = channel.readable
        channel.readable = lambda: resume.is_set() and read()
    server.disable_keep_alive()
    server.stop_listening()
    conn.sendall(sent)
    if is_read and sent == HEAD:
        wait_for(lambda: channel.request is not None, "the first part")
    stop = threading.Thread(target=stop_server, args=(server,))
    stop.start()
    stop.join(0.3)
    resume.set()
    conn.sendall((HEAD + BODY)[len(sent) :])
    assert read_answer(conn) == b"ok"
    stop.join()
    assert conn.recv(1) == b""


def test_request_that_arrives_during_the_last_stream_is_answered():
    """Guards against requests dropped with a connection whose stream has ended."""
    app = StreamApp()
    server = WebServer(app, "127.0.0.1", 0, 4, keep_streams=True)
    server.start()
    conn = socket.create_connection(("127.0.0.1", server.port), timeout=5)
    conn.sendall(b"GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
    assert app.started.wait(5)
    server.disable_keep_alive()
    server.stop_listening()
    stop = threading.Thread(target=stop_server, args=(server,))
    stop.start()
    wait_for(lambda: server._server.closing_idle, "the stop")
    (channel,) = server._server.active_channels.values()
    conn.sendall(HEAD)
    wait_for(lambda: channel.request is not None, "the first part")
    app.finish.set()
    assert read_answer(conn) == b"firstlast"
    conn.sendall(BODY)
    assert read_answer(conn) == b"ok"
    stop.join()


def test_unsent_bytes_of_an_answer_are_sent_on_stop():
    """Guards against truncated answers of callers that read slowly."""
    size = 200 * 1024

    def app(environ, start_response):
        headers = {"Content-Length": str(size)}
        return Answer(200, headers, [bytes(size)]).send(start_response)

    server = WebServer(app, "127.0.0.1", 0, 4, keep_streams=True)
    server.start()
    conn = socket.create_connection(("127.0.0.1", server.port), timeout=5)
    wait_for(lambda: server._server.active_channels, "the connection")
    (channel,) = server._server.active_channels.values()
    channel.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    conn.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    wait_for(lambda: channel.total_outbufs_len and not channel.requests, "the answer")
    server.stop_listening()
    stop = threading.Thread(target=stop_server, args=(server,))
    stop.start()
    wait_for(lambda: server._server.closing_idle, "the stop")
    assert len(read_answer(conn)) == size
    stop.join()
