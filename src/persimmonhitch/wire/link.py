"""Links: websocket connections between two processes that carry typed messages.

All links of a process share one thread. With the threaded interface of the websockets
library, 200 idle links used 1,200 threads and an eighth of a core.
"""

import asyncio
import threading
import time
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, Protocol

from returns.result import Failure as Err
from returns.result import Result, Success
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException
from websockets.http11 import Request, Response

from ..observe.logs import log
from . import auth
from .codec import MAX_FRAME_BYTES, decode, encode
from .loop import link_loop, run_on_loop

PING_INTERVAL_S: Final = 2.0
PING_TIMEOUT_S: Final = 4.0
"""A frozen or disconnected peer is detected after at most 2 + 4 = 6 seconds."""
OPEN_TIMEOUT_S: Final = 2.0
CLOSE_TIMEOUT_S: Final = 1.0
COMPRESSION: Final = "deflate"
"""Compression of links whose messages repeat most names. A peer that does not offer it
gets messages as they are."""
CLOSE_POLICY_VIOLATION: Final = 1008
MAX_UNSENT_BYTES: Final = 16 * 1024 * 1024
"""Maximum queued bytes per link to a slow peer: two frames of the largest size."""


class LinkHandler(Protocol):
    """Callbacks for the messages and the end of a link.

    Both methods run on the event loop thread shared by all links and must not block:
    a blocked callback delays the messages of every link.
    """

    def on_message(self, link: "Link", msg: Any) -> None:
        """Handle one message; called in the order of arrival."""

    def on_close(self, link: "Link") -> None:
        """Handle the end of the link; called once, after the last message."""


class Link:
    """One side of an open link; all public methods but ``run`` are thread-safe."""

    def __init__(self, conn: Connection, peer: str) -> None:
        self._conn = conn
        self.peer = peer
        self.ended = threading.Event()
        self._unsent: deque[bytes] = deque()
        self._unsent_bytes = 0
        self._frames_queued = asyncio.Event()
        self._lock = threading.Lock()

    def send(self, msg: Any) -> bool:
        """Queue a message; return False if the link has ended.

        Sending never blocks. Otherwise a frozen peer that is not yet detected would
        block its sender, and with it all other callers.
        """
        return self.send_frame(encode(msg))

    def send_frame(self, frame: bytes) -> bool:
        """Queue an encoded message, so that a broadcast is encoded only once."""
        if self.ended.is_set():
            return False
        with self._lock:
            idle = not self._unsent
            self._unsent.append(frame)
            self._unsent_bytes += len(frame)
            full = self._unsent_bytes > MAX_UNSENT_BYTES
        if full:
            log("link_full", peer=self.peer, limit=MAX_UNSENT_BYTES)
            self.abort()
            return False
        if idle:
            link_loop().call_soon_threadsafe(self._frames_queued.set)
        return True

    def close(self) -> None:
        """End the link after all queued messages are sent."""
        asyncio.run_coroutine_threadsafe(self._close(), link_loop())

    def abort(self) -> None:
        """End the link immediately; queued messages are lost."""
        link_loop().call_soon_threadsafe(self._conn.transport.abort)

    async def _close(self) -> None:
        for frame in self._pop_unsent():
            await self._conn.send(frame)
        await self._conn.close()

    def _pop_unsent(self) -> list[bytes]:
        with self._lock:
            frames = list(self._unsent)
            self._unsent.clear()
            self._unsent_bytes = 0
        return frames

    async def run(self, handler: LinkHandler) -> None:
        """Pass each received message to the handler until the link ends."""
        writer = asyncio.create_task(self._write())
        try:
            async for frame in self._conn:
                if not self._dispatch(handler, frame):
                    break
        except (WebSocketException, OSError) as exc:
            log("link_lost", peer=self.peer, error=repr(exc))
        finally:
            writer.cancel()
            self.ended.set()
            self._notify_closed(handler)

    async def _write(self) -> None:
        try:
            while True:
                await self._frames_queued.wait()
                self._frames_queued.clear()
                for frame in self._pop_unsent():
                    await self._conn.send(frame)
        except (WebSocketException, OSError):
            self._conn.transport.abort()

    def _dispatch(self, handler: LinkHandler, frame: str | bytes) -> bool:
        # An undecodable frame means that the two sides disagree on the protocol, so
        # later frames cannot be trusted either. The link ends, its requests get their
        # verdicts, and the reason is logged as link_refused.
        is_text = isinstance(frame, str)
        result = decode(frame.encode() if isinstance(frame, str) else frame)
        if is_text or not isinstance(result, Success):
            self._refuse("text frame" if is_text else result.failure())
            return False
        try:
            handler.on_message(self, result.unwrap())
        except Exception as exc:
            # The state of the handler may be inconsistent. Ending the link informs the
            # peer, which would otherwise wait for a reply.
            self._refuse(f"handler failed: {exc!r}")
            return False
        return True

    def _refuse(self, reason: str) -> None:
        log("link_refused", peer=self.peer, error=reason)
        closing = self._conn.close(CLOSE_POLICY_VIOLATION, reason[:100])
        asyncio.run_coroutine_threadsafe(closing, link_loop())

    def _notify_closed(self, handler: LinkHandler) -> None:
        try:
            handler.on_close(self)
        except Exception as exc:
            log("handler_failed", peer=self.peer, error=repr(exc))


def open_link(
    host: str,
    port: int,
    secret: bytes,
    handler: LinkHandler,
    first_message: Any,
    compression: str | None = None,
) -> Result[Link, Exception]:
    """Open a link, send ``first_message`` and start to receive messages."""
    try:
        link = run_on_loop(_open(host, port, secret, handler, compression))
    except (WebSocketException, OSError, TimeoutError) as exc:
        return Err(exc)
    link.send(first_message)
    return Success(link)


async def _open(
    host: str, port: int, secret: bytes, handler: LinkHandler, compression: str | None
) -> Link:
    conn = await connect(
        f"ws://{host}:{port}/link",
        additional_headers={auth.HEADER: auth.sign(secret, time.time())},
        open_timeout=OPEN_TIMEOUT_S,
        close_timeout=CLOSE_TIMEOUT_S,
        ping_interval=PING_INTERVAL_S,
        ping_timeout=PING_TIMEOUT_S,
        max_size=MAX_FRAME_BYTES,
        compression=compression,
        create_connection=_ClientConnection,
        proxy=None,
    )
    link = Link(conn, f"{host}:{port}")
    _retain(asyncio.create_task(link.run(handler)))
    return link


_tasks: Final[set[asyncio.Task[None]]] = set()


def _retain(task: asyncio.Task[None]) -> None:
    # The event loop has only weak references to tasks. Without this reference the
    # reader of a link could be garbage-collected, and the link would stop receiving.
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)


def _abort_if_failed(conn: Connection) -> None:
    """Abort a connection whose peer has violated the protocol or the frame size.

    The library would otherwise read and discard what this peer sends until it closes.
    """
    if conn.protocol.parser_exc is not None:
        conn.transport.abort()


class _ClientConnection(ClientConnection):
    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        _abort_if_failed(self)


class _ServerConnection(ServerConnection):
    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        _abort_if_failed(self)


class LinkServer:
    """Accepts links from peers that authenticate with the fleet's secret."""

    def __init__(
        self,
        host: str,
        port: int,
        secret: bytes,
        accept: Callable[[Link], LinkHandler],
        compression: str | None = None,
    ) -> None:
        self._compression = compression
        self._secret = secret
        self._accept = accept
        self._server: Server = run_on_loop(self._listen(host, port))

    async def _listen(self, host: str, port: int) -> Server:
        return await serve(
            self._serve,
            host,
            port,
            process_request=self._authenticate,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            max_size=MAX_FRAME_BYTES,
            compression=self._compression,
            create_connection=_ServerConnection,
            start_serving=False,
        )

    @property
    def port(self) -> int:
        """Return the TCP port of the listener."""
        port: int = next(iter(self._server.sockets)).getsockname()[1]
        return port

    def start(self) -> None:
        """Start to accept links."""
        run_on_loop(self._server.start_serving())

    def stop(self) -> None:
        """Stop accepting links; open links are not affected."""
        link_loop().call_soon_threadsafe(self._server.close, False)

    def _authenticate(self, conn: ServerConnection, req: Request) -> Response | None:
        if auth.verify(self._secret, req.headers.get(auth.HEADER, ""), time.time()):
            return None
        log("link_unauthenticated", peer=str(conn.remote_address))
        return conn.respond(HTTPStatus.UNAUTHORIZED, "the fleet's secret is needed\n")

    async def _serve(self, conn: ServerConnection) -> None:
        link = Link(conn, str(conn.remote_address))
        await link.run(self._accept(link))
