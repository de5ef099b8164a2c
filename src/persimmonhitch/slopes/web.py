"""Memory of the HTTP server's threads, idle and busy."""

import threading
from collections.abc import Callable, Iterable, Iterator, Sequence
from http.client import HTTPConnection
from typing import Any, Final

from waitress.server import create_server

from .base import SLOPES, Reading, Slope, resident

KIB: Final = 1024
SPARE: Final = 8
START_TIMEOUT: Final = 10.0


class Held:
    """An application whose requests wait until they are released."""

    def __init__(self, expected: int) -> None:
        self._left = expected
        self._lock = threading.Lock()
        self.all_in = threading.Event()
        self.go = threading.Event()

    def __call__(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer a request once it is released."""
        with self._lock:
            self._left -= 1
            if not self._left:
                self.all_in.set()
        self.go.wait(START_TIMEOUT)
        start("200 OK", [("Content-Length", "2")])
        return [b"ok"]


def run(sizes: Sequence[int]) -> Iterator[Reading]:
    """Measure a server with ``size`` threads, idle and busy."""
    for size in sizes:
        before = resident()
        app = Held(size)
        # select() accepts no descriptor of 1,024 or more: the server loop would fail
        # with a ValueError. poll() has no such limit.
        server = create_server(
            app,
            host="127.0.0.1",
            port=0,
            threads=size,
            connection_limit=size + SPARE,
            asyncore_use_poll=True,
        )
        thread = threading.Thread(target=server.run, daemon=True)
        thread.start()
        idle = (resident() - before) / KIB
        busy = _busy(app, server.effective_port, size, before)
        server.close()
        server.task_dispatcher.shutdown()
        yield Reading(size, (("idle KiB", idle), ("busy KiB", busy)))


def _busy(app: Held, port: int, size: int, before: int) -> float:
    conns = [HTTPConnection("127.0.0.1", port) for _ in range(size)]
    for conn in conns:
        conn.request("GET", "/")
    app.all_in.wait(START_TIMEOUT)
    busy = (resident() - before) / KIB
    app.go.set()
    for conn in conns:
        conn.getresponse().read()
        conn.close()
    return busy


SLOPES.register("web-threads")(Slope("threads", (8, 64, 256, 1024), run))
