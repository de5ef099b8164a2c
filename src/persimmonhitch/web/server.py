"""The HTTP server: waitress with a connection limit and a graceful stop."""

import itertools
import logging
import select
import socket
import threading
import time
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Any, Final

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.task import ErrorTask, ThreadedTaskDispatcher, WSGITask
from waitress.utilities import RequestEntityTooLarge

from ..decide.body_memory import FREE_BODY_BYTES, BodyMemory
from ..decide.conn_admission import ConnAdmission
from ..kernel.threads import service_thread
from ..observe.logs import SampledLog
from .caller_conn import CallerConn, silent_s
from .http import (
    CONN,
    DROP,
    MAX_BODY_BYTES,
    Answer,
    Body,
    Environ,
    StartResponse,
    UnframedBody,
    json_answer,
)
from .listener import Listener, close_in_order, reset_on_close
from .load import LoadMeter
from .slow_readers import SlowReaders

# The application logs failed responses by request; waitress would log them again.
logging.getLogger("waitress").setLevel(logging.CRITICAL)

App = Callable[[Environ, StartResponse], Body]
RefusalBuilder = Callable[[int], Answer]
"""Builds the response to a request that the server itself refuses with a status."""

INTERNAL_SOCKETS: Final = 2
"""The listener and the trigger pipe, which waitress counts as connections."""
MAX_UNSENT_BYTES: Final = 256 * 1024
"""Maximum buffered bytes of a response to a slow client."""
MIN_UNSENT_BYTES: Final = 64 * 1024
"""Buffered bytes that any client may have: several seconds of a stream."""
REQUEST_LOOKAHEAD: Final = 1
"""Requests read ahead per connection; with 0 a client's disconnect is not detected."""
MAX_IDLE_CONNS: Final = 2000
"""Connections without a request; half of the file descriptors of a small VM."""
NO_FRAMING: Final = "persimmonhitch.no_framing"
"""Key in the environment of a request whose answer ends with its connection."""
MAX_BODY_LINES_PER_S: Final = 20
"""Log lines per second for bodies that are not read."""
MAX_FRAMED_BYTES: Final = 2 * MAX_BODY_BYTES
"""Largest body with the framing of its chunks."""
CHUNKED_LINE: Final = b"Transfer-Encoding: chunked\r\n"
"""Header line that waitress adds to each HTTP/1.1 answer without a length."""
MIN_MEASURED_REQUESTS: Final = 8
"""Requests in progress from which on the loop is measured; with fewer it keeps up."""
POLL_INTERVAL_S: Final = 0.02
"""Seconds between two checks whether all connections are closed."""


def _is_readable(sock: socket.socket) -> bool:
    """Return whether a socket has data, a new connection, or was closed by its peer."""
    poller = select.poll()
    try:
        poller.register(sock, select.POLLIN)
    except ValueError:
        # The server thread has closed the socket.
        return False
    return bool(poller.poll(0))


def _marking_unframed(app: App) -> App:
    """Return an application that marks the environments of unframed answers."""

    def marking_app(environ: Environ, start_response: StartResponse) -> Body:
        body = app(environ, start_response)
        environ[NO_FRAMING] = isinstance(body, UnframedBody)
        return body

    return marking_app


def _plain_refusal(status: int) -> Answer:
    return json_answer(status, {"message": HTTPStatus(status).phrase})


class _Task(WSGITask):  # type: ignore[misc]
    """Closes its connection after the response if keep-alive is disabled.

    A persistent connection would deliver further requests to a process that waits for
    its last request to complete. Only waitress may set the ``Connection`` header of a
    response; it sends ``close`` if the request contains ``Connection: close``.
    """

    chunked_response: bool = False

    def get_environment(self) -> Environ:
        environ: Environ = super().get_environment()
        environ[DROP] = partial(self.channel.drop_request, self.request)
        environ[CONN] = CallerConn(self.channel, self.request)
        return environ

    def set_close_on_finish(self) -> None:
        # A chunked response is self-delimiting, so its connection can be reused.
        # waitress closes it, and each client would reconnect after every stream.
        chunked = self.chunked_response and self.version == "1.1"
        conn_header = self.request.headers.get("CONNECTION", "").lower()
        if self.channel.server.keep_streams and chunked and conn_header != "close":
            return
        super().set_close_on_finish()

    def build_response_header(self) -> bytes:
        no_framing = self.get_environment().get(NO_FRAMING, False)
        if self.channel.server.keep_alive_disabled or no_framing:
            self.request.headers["CONNECTION"] = "close"
        head: bytes = super().build_response_header()
        if no_framing and self.chunked_response:
            self.chunked_response = False
            head = head.replace(CHUNKED_LINE, b"", 1)
        if self._ends_with_connection():
            # Whatever ends the connection sooner, a kill of the process as well, must
            # not look like the end of the answer.
            self.channel.reset_on_close()
        return head

    def finish(self) -> None:
        super().finish()
        if self._ends_with_connection():
            self.channel.has_whole_answer = True

    def _ends_with_connection(self) -> bool:
        """Return whether only the end of the connection marks the end of the answer."""
        is_framed = self.chunked_response or self.content_length is not None
        return self.has_body and not is_framed


class _ErrorTask(ErrorTask):  # type: ignore[misc]
    """Answers, in the application's format, requests that the server itself refuses."""

    def execute(self) -> None:
        answer = self.channel.server.build_refusal(self.request.error.code)
        body = b"".join(answer.body)
        self.status = f"{answer.status} {HTTPStatus(answer.status).phrase}"
        self.response_headers.extend(answer.headers.items())
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class _RequestParser(HTTPRequestParser):  # type: ignore[misc]
    on_close: Callable[[], None] | None = None
    """Called when the request has ended and its body is dropped."""

    def received(self, data: bytes) -> int:
        """Parse some bytes; return how many were used."""
        count: int = super().received(data)
        # waitress refuses the largest body, and counts the framing of chunks.
        body = len(self.body_rcv) if self.chunked and self.body_rcv else 0
        if max(self.content_length, body) > MAX_BODY_BYTES:
            self.error: object = RequestEntityTooLarge("the body is too large")
            self.completed = True
        return count

    def close(self) -> None:
        super().close()
        if self.on_close is not None:
            self.on_close()

    @property
    def max_body_size(self) -> int:
        """Return the size of the body, the largest one of a chunked body."""
        if not self.chunked:
            return int(self.content_length)
        is_large = self.body_bytes_received > FREE_BODY_BYTES
        return MAX_BODY_BYTES if is_large else 0


class _Channel(HTTPChannel):  # type: ignore[misc]
    parser_class = _RequestParser
    task_class = _Task
    error_task_class = _ErrorTask
    sent_bytes = 0
    """Bytes that the kernel has accepted for the caller."""
    queued_at = 0.0
    """When the newest request began to wait for a thread."""
    closed_at: float | None = None
    """When the connection was closed, while it served a request."""
    silent_before_close_s: float | None = None
    """Seconds between the caller's last segment and ``closed_at``."""
    has_whole_answer = False
    """Whether an answer that ends with the connection was written to its end."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.active_at = time.monotonic()
        """When bytes last passed the connection, or when it was accepted."""

    def send(self, data: bytes, do_close: bool = True) -> int:
        """Send some bytes; return their number."""
        count: int = super().send(data, do_close=do_close)
        self.sent_bytes += count
        self.active_at = time.monotonic()
        self.server.meter.bytes_sent(count)
        return count

    def readable(self) -> bool:
        """Return whether more is to be read; a large body needs its memory first."""
        return bool(super().readable()) and self._may_read_body()

    def _may_read_body(self) -> bool:
        req = self.request
        if req is None or req.max_body_size <= FREE_BODY_BYTES:
            return True
        req.on_close = partial(self._release_body, req)
        memory: BodyMemory = self.server.body_memory
        return memory.try_reserve(req, req.max_body_size, time.monotonic())

    def _release_body(self, req: _RequestParser) -> None:
        if self.server.body_memory.release(req):
            # The server loop would else look at the waiting connections only when
            # another one has data.
            self.server.pull_trigger()

    def recv(self, buffer_size: int) -> bytes:
        """Receive some bytes."""
        data: bytes = super().recv(buffer_size)
        self.active_at = time.monotonic()
        self.server.meter.bytes_read(len(data))
        return data

    def service(self) -> None:
        """Run one request; then close the connection if idle ones are being closed.

        The headers of the response may have been sent without ``Connection: close``
        before ``close_idle`` was called. The connection would then stay open and idle
        until the process exits.
        """
        self.server.meter.request_started(self.queued_at)
        if CallerConn(self, self.requests[0]).has_left():
            # The server loop may not have read the end of the connection yet.
            self.connected = False
        try:
            super().service()
        finally:
            self.server.meter.request_ended()
            if self.server.is_paused:
                self.server.trigger.pull_trigger(self.server.resume)
        if self.server.closing_idle and not self.has_input():
            self.close_when_flushed = True
            self.server.pull_trigger()

    def reset_on_close(self) -> None:
        """Reset the connection when it closes, so that its answer looks truncated."""
        sock = self.socket
        # The server loop may have closed it meanwhile.
        if sock is not None:
            reset_on_close(sock)

    def handle_close(self) -> None:
        """Close the connection, in order after a whole answer."""
        is_sent = self.has_whole_answer and not self.total_outbufs_len
        if is_sent and self.socket is not None:
            close_in_order(self.socket)
        if self.requests and self.closed_at is None:
            self.silent_before_close_s = silent_s(self.socket)
            self.closed_at = time.monotonic()
        # The first request, if any, is closed by the thread that serves it.
        for req in [*self.requests[1:], self.request]:
            if req is not None:
                self._release_body(req)
        super().handle_close()

    def drop_request(self, req: Any) -> None:
        """Break off the connection unless it serves another request by now."""
        if req in self.requests[:1]:
            self.drop()

    def drop(self) -> None:
        """Break off the connection; its unsent bytes are lost."""
        self.reset_on_close()
        # With ``will_close`` alone, the server loop would wait until the connection is
        # writable, and that of a caller that reads nothing never is.
        self.server.drop_soon(self)

    def close_if_open(self) -> None:
        """Close the connection, on the server's thread."""
        if self.socket is not None:
            self.handle_close()

    def has_input(self) -> bool:
        """Return whether a request, or a part of one, has arrived without an answer."""
        if self.requests or self.request is not None:
            return True
        return _is_readable(self.socket)


class _OnDemandDispatcher(ThreadedTaskDispatcher):  # type: ignore[misc]
    """Starts a thread when a request arrives and no thread is idle, up to a limit.

    Starting all threads in advance would slow down the start of a process and cost
    memory for threads that never receive a request.
    """

    def __init__(self, max_threads: int) -> None:
        super().__init__()
        self._max_threads = max_threads

    def add_task(self, task: Any) -> None:
        """Queue a request for the next idle thread."""
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
    """Serves one WSGI application; the server loop runs on a separate thread.

    waitress queues any number of requests before it passes them to the application.
    Neither deadlines nor limits apply to queued requests: callers would get late
    answers, and no metric would show the delay. With as many threads as connections
    the queue is always empty, and the connection limit bounds the requests. Threads
    start on demand.

    With ``max_unread``, the unread bytes of all callers are bounded by this number.

    With ``max_bodies``, the memory of large request bodies is bounded by this number.

    With ``admission`` the server stops listening for moments without room.

    With ``keep_streams`` a connection stays open after a chunked answer, and up to
    ``MAX_IDLE_CONNS`` idle connections are permitted in addition to ``threads``;
    without it, ``max_idle``.
    """

    def __init__(
        self,
        app: App,
        host: str,
        port: int,
        threads: int,
        build_refusal: RefusalBuilder = _plain_refusal,
        keep_streams: bool = False,
        max_unread: int | None = None,
        admission: ConnAdmission | None = None,
        link_mbps: float = 0.0,
        max_bodies: int | None = None,
        max_idle: int = 0,
    ) -> None:
        max_buffered = MAX_UNSENT_BYTES
        if max_unread is not None:
            share = max(MIN_UNSENT_BYTES, max_unread // threads)
            max_buffered = min(MAX_UNSENT_BYTES, share)
        self._slow_readers = (
            None
            if max_unread is None
            else SlowReaders(max_unread, max_buffered, threads)
        )
        # Idle connections occupy no thread. If callers keep many of them open, these
        # must not use up the limit for new connections.
        conns = threads + (MAX_IDLE_CONNS if keep_streams else max_idle)
        self.meter = LoadMeter(threads, link_mbps)
        self._server: Any = Listener(
            _marking_unframed(app),
            self.meter,
            admission,
            host=host,
            port=port,
            dispatcher=_OnDemandDispatcher(threads),
            threads=threads,
            connection_limit=conns + INTERNAL_SOCKETS,
            channel_request_lookahead=REQUEST_LOOKAHEAD,
            max_request_body_size=MAX_FRAMED_BYTES,
            clear_untrusted_proxy_headers=True,
            # VMs have no disks, so bodies must stay in memory. The high watermark
            # blocks the thread of a slow reader before its response spills to a file.
            inbuf_overflow=2 * MAX_BODY_BYTES,
            outbuf_high_watermark=max_buffered,
            # With select() the loop fails at the first descriptor of 1,024 or more.
            asyncore_use_poll=True,
            ident=None,
        )
        self._server.channel_class = _Channel
        self._server.keep_streams = keep_streams
        self._server.body_memory = self._body_memory = BodyMemory(max_bodies)
        self._body_log = SampledLog("body_not_read", MAX_BODY_LINES_PER_S)
        self._server.build_refusal = build_refusal
        self._thread = service_thread("web-server", self._server.run)

    @property
    def port(self) -> int:
        """Return the TCP port of the listener."""
        return int(self._server.effective_port)

    def start(self) -> None:
        """Start the server loop."""
        self._thread.start()

    def disable_keep_alive(self) -> None:
        """Close each connection after its current request, from now on."""
        self._server.keep_alive_disabled = True

    def stop_listening(self) -> None:
        """Close the listener; open connections are not affected.

        The listener is closed on the server thread: that thread iterates over the
        table of sockets, and a change by another thread would break the iteration.
        """
        closed = threading.Event()

        def close_listener() -> None:
            # Connections that are not accepted yet would be reset with the listener.
            self._server.stop()
            closed.set()

        self._server.trigger.pull_trigger(close_listener)
        closed.wait(1.0)

    def resume_listening(self) -> None:
        """Listen again after a pause if there is room for new connections.

        To be called several times per second.
        """
        if self._server.is_paused:
            self._server.trigger.pull_trigger(self._server.resume)

    def measure_loop_lag(self) -> None:
        """Measure how long work waits for the server's loop, if requests run.

        To be called several times per second. Each call wakes the loop, which then
        looks at all open connections.
        """
        if self.meter.running < MIN_MEASURED_REQUESTS:
            self.meter.clear_loop_lag()
        elif self.meter.begin_lag_probe():
            self._server.trigger.pull_trigger(self.meter.end_lag_probe)

    def close_idle(self) -> None:
        """Close connections without a request.

        A caller whose connection is closed connects to another entry. A request on a
        connection that stayed open would reach a process that exits soon.
        """

        def close_all() -> None:
            self._server.closing_idle = True
            for channel in list(self._server.active_channels.values()):
                if not channel.has_input():
                    channel.close_when_flushed = True

        self._server.trigger.pull_trigger(close_all)

    def drop_slow_readers(self) -> None:
        """Drop the slowest readers if unread answers exceed a bound.

        To be called several times per second, by one thread.
        """
        if self._slow_readers is not None:
            self._slow_readers.check(list(self._server.active_channels.values()))

    def drop_waiting_bodies(self) -> None:
        """Break off connections whose request body has waited too long for memory.

        To be called several times per second. Callers send an unread request again.
        """
        overdue = set(self._body_memory.overdue(time.monotonic()))
        if not overdue:
            return
        for channel in list(self._server.active_channels.values()):
            if channel.request in overdue:
                self._body_log.log(
                    size=channel.request.max_body_size,
                    held=self._body_memory.held_bytes,
                )
                channel.drop()

    def busy_conns(self) -> int:
        """Return the number of connections with a request or unsent bytes."""
        channels = list(self._server.active_channels.values())
        return sum(1 for c in channels if c.requests or c.total_outbufs_len)

    def drain(self, timeout_s: float, forced: threading.Event) -> int:
        """Wait until all connections are closed; return the number of open ones.

        A connection closes after its last answer. A request on a connection that is
        open when the process exits would be lost, even if none has been read yet.
        """
        deadline = time.monotonic() + timeout_s
        conns = self._server.active_channels
        while conns and time.monotonic() < deadline and not forced.is_set():
            self.close_idle()
            forced.wait(POLL_INTERVAL_S)
        return len(conns)

    def close(self) -> None:
        """Close all connections and stop the server thread."""
        self._server.task_dispatcher.shutdown(timeout=0.1)
        for channel in list(self._server.active_channels.values()):
            channel.will_close = True
        trigger_pulled = threading.Event()

        def close_trigger() -> None:
            # An earlier pull may run this function before the pull below has written
            # to the pipe, so wait for it.
            trigger_pulled.wait(1.0)
            self._server.trigger.close()

        self._server.trigger.pull_trigger(close_trigger)
        trigger_pulled.set()
        self._thread.join(1.0)
