"""The HTTP server: waitress, bounded, with a graceful stop of our own."""

import itertools
import logging
import threading
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

import waitress
from waitress import wasyncore
from waitress.channel import HTTPChannel
from waitress.task import ErrorTask, ThreadedTaskDispatcher, WSGITask

from .http import MAX_BODY_BYTES, Answer, Body, Environ, StartResponse, json_answer

# What it would say of broken answers and of its queue is in our own logs, by request.
logging.getLogger("waitress").setLevel(logging.CRITICAL)

App = Callable[[Environ, StartResponse], Body]
RefusalBuilder = Callable[[int], Answer]
"""Makes the answer to a request that the server refuses with a status by itself."""

INTERNAL_SOCKETS: Final = 2
"""The listener and the wake-up pipe, which waitress counts as connections."""
MAX_UNSENT_BYTES: Final = 256 * 1024
"""Bytes of an answer that wait for a slow reader."""
REQUEST_LOOKAHEAD: Final = 1
"""Requests read ahead on a connection; without it a client's leave goes unseen."""
MAX_IDLE_CONNS: Final = 2000
"""Connections beside those in use; half of a small VM's descriptors."""
POLL_INTERVAL_S: Final = 0.02
"""Seconds between two looks at whether a stop has finished."""


def _plain_refusal(status: int) -> Answer:
    return json_answer(status, {"message": HTTPStatus(status).phrase})


class _Task(WSGITask):  # type: ignore[misc]
    """Closes its connection after the answer while the server leaves.

    A kept connection would go on bringing requests to a process that waits for
    its last one to end. The server alone may set the header ``Connection``, and
    it does so when the request carries it.
    """

    def set_close_on_finish(self) -> None:
        # A chunked answer has an end of its own; the library closes after it all the
        # same, and each caller of a stream would connect anew for its next request.
        chunked = self.chunked_response and self.version == "1.1"
        requested = self.request.headers.get("CONNECTION", "").lower()
        if self.channel.server.keep_streams and chunked and requested != "close":
            return
        super().set_close_on_finish()

    def build_response_header(self) -> Any:
        if self.channel.server.keep_alive_disabled:
            self.request.headers["CONNECTION"] = "close"
        return super().build_response_header()


class _ErrorTask(ErrorTask):  # type: ignore[misc]
    """Answers what the server refuses by itself in the application's own form."""

    def execute(self) -> None:
        answer = self.channel.server.refusal(self.request.error.code)
        body = b"".join(answer.body)
        self.status = f"{answer.status} {HTTPStatus(answer.status).phrase}"
        self.response_headers.extend(answer.headers.items())
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class _Channel(HTTPChannel):  # type: ignore[misc]
    task_class = _Task
    error_task_class = _ErrorTask

    def service(self) -> None:
        """Run one request; close after it if idle connections are to be closed.

        The head of its answer may have gone out before that was known, and the
        connection would stay open and idle up to the end of the process.
        """
        super().service()
        if self.server.closing_idle and not self.requests:
            self.close_when_flushed = True
            self.server.pull_trigger()


class _OnDemandDispatcher(ThreadedTaskDispatcher):  # type: ignore[misc]
    """Starts a thread when a request finds none idle, up to a limit.

    Threads that wait for requests that never come cost a process its start and its
    memory.
    """

    def __init__(self, max_threads: int) -> None:
        super().__init__()
        self._max_threads = max_threads

    def add_task(self, task: Any) -> None:
        """Queue a request for the next thread that is free."""
        with self.lock:
            self.queue.append(task)
            running = len(self.threads) - self.stop_count
            idle = running - self.active_count
            if len(self.queue) > idle and running < self._max_threads:
                self._start_thread()
            self.queue_cv.notify()

    def _start_thread(self) -> None:
        number = next(n for n in itertools.count() if n not in self.threads)
        self.threads.add(number)
        self.active_count += 1
        self.start_new_thread(self.handler_thread, number)


class WebServer:
    """Serves one WSGI application on a thread of its own.

    waitress takes any number of requests into a queue of its own before the
    application sees them. No deadline and no bound would apply to what waits
    there: a caller sees late answers, and nothing shows in any metric. With as
    many threads as connections that queue is always empty, and the limit on
    connections is the bound. Threads are started as requests need them.
    """

    def __init__(
        self,
        app: App,
        host: str,
        port: int,
        threads: int,
        refusal: RefusalBuilder = _plain_refusal,
        keep_streams: bool = False,
    ) -> None:
        # Idle connections take no thread; where callers keep many, they must not
        # keep out new ones.
        conns = MAX_IDLE_CONNS + threads if keep_streams else threads
        self._server: Any = waitress.create_server(
            app,
            host=host,
            port=port,
            _dispatcher=_OnDemandDispatcher(threads),
            threads=threads,
            connection_limit=conns + INTERNAL_SOCKETS,
            channel_request_lookahead=REQUEST_LOOKAHEAD,
            max_request_body_size=MAX_BODY_BYTES,
            clear_untrusted_proxy_headers=True,
            # VMs have no disks: bodies stay in memory, and a slow reader stops its
            # own thread long before its answer would overflow into a file.
            inbuf_overflow=2 * MAX_BODY_BYTES,
            outbuf_high_watermark=MAX_UNSENT_BYTES,
            # With select() the loop ends at the first descriptor of 1,024 or more.
            asyncore_use_poll=True,
            ident=None,
        )
        self._server.channel_class = _Channel
        self._server.keep_alive_disabled = False
        self._server.closing_idle = False
        self._server.keep_streams = keep_streams
        self._server.refusal = refusal
        self._thread = threading.Thread(
            target=self._server.run, name="web-server", daemon=True
        )

    @property
    def port(self) -> int:
        """Return the TCP port that it listens on."""
        return int(self._server.effective_port)

    def start(self) -> None:
        """Serve from now on."""
        self._thread.start()

    def disable_keep_alive(self) -> None:
        """Close each connection after its present request from now on."""
        self._server.keep_alive_disabled = True

    def stop_listening(self) -> None:
        """Close the listener; open connections go on.

        It runs on the server's own thread, since that thread walks the table of
        sockets, and closing from another one would break its walk.
        """
        closed = threading.Event()

        def close_listener() -> None:
            wasyncore.dispatcher.close(self._server)
            closed.set()

        self._server.trigger.pull_trigger(close_listener)
        closed.wait(1.0)

    def close_idle(self) -> None:
        """Close connections without a request.

        A caller that finds its connection closed opens another one elsewhere. What it
        sent on one that is kept open here would be read by a process that ends soon.
        """

        def close_all() -> None:
            self._server.closing_idle = True
            for channel in list(self._server.active_channels.values()):
                if not channel.requests and channel.request is None:
                    channel.will_close = True

        self._server.trigger.pull_trigger(close_all)

    def busy_conns(self) -> int:
        """Return how many connections have a request or unsent bytes."""
        channels = list(self._server.active_channels.values())
        return sum(1 for c in channels if c.requests or c.total_outbufs_len)

    def drain(self, timeout_s: float, forced: threading.Event) -> int:
        """Wait until no request is left; return how many are cut at the limit."""
        deadline = time.monotonic() + timeout_s
        while self.busy_conns() and time.monotonic() < deadline and not forced.is_set():
            forced.wait(POLL_INTERVAL_S)
        return self.busy_conns()

    def close(self) -> None:
        """End everything that is left."""
        self._server.task_dispatcher.shutdown(timeout=0.1)
        for channel in list(self._server.active_channels.values()):
            channel.will_close = True
        trigger_pulled = threading.Event()

        def close_trigger() -> None:
            # It may run for an earlier pull, before this one has written to the pipe.
            trigger_pulled.wait(1.0)
            self._server.trigger.close()

        self._server.trigger.pull_trigger(close_trigger)
        trigger_pulled.set()
        self._thread.join(1.0)
