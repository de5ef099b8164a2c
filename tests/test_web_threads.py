"""The web server starts its threads on demand."""

import threading
import urllib.request

import pytest
from fleet import wait_for

from persimmonhitch.web import WebServer

MAX_THREADS = 6


class BlockingApp:
    """An application whose requests block until ``released`` is set."""

    def __init__(self):
        self.running = 0
        self.released = threading.Event()
        self._lock = threading.Lock()

    def __call__(self, _environ, start_response):
        with self._lock:
            self.running += 1
        self.released.wait(10)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]


@pytest.fixture
def blocking():
    app = BlockingApp()
    server = WebServer(app, "127.0.0.1", 0, MAX_THREADS)
    server.start()
    yield app, server
    app.released.set()
    server.stop_listening()
    server.close()


def _call(server):
    urllib.request.urlopen(f"http://127.0.0.1:{server.port}/", timeout=10).read()


def test_idle_server_has_no_request_threads(blocking):
    """Otherwise dozens of entries started together have thousands of idle threads."""
    _, server = blocking
    assert not server._server.task_dispatcher.threads


def test_each_waiting_request_has_a_thread_up_to_the_limit(blocking):
    """A request queued behind another would miss its deadline without a metric."""
    app, server = blocking
    calls = [threading.Thread(target=_call, args=(server,)) for _ in range(MAX_THREADS)]
    for call in calls:
        call.start()
    wait_for(lambda: app.running == MAX_THREADS, "all requests to be running")
    assert len(server._server.task_dispatcher.threads) == MAX_THREADS
    app.released.set()
    for call in calls:
        call.join(10)
    _call(server)
    assert len(server._server.task_dispatcher.threads) == MAX_THREADS
