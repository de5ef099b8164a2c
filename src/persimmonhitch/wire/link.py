"""Links: one websocket between two processes that carries typed messages.

All links of a process share one thread. With a thread or more for each, as the
library's threaded side has it, 200 links took 1,200 threads and an eighth of a
core while idle.
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
from websockets.asyncio.client import connect
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
"""Seconds; a frozen or cut-off peer is noticed after at most 6."""
OPEN_TIMEOUT_S: Final = 2.0
CLOSE_TIMEOUT_S: Final = 1.0
CLOSE_POLICY_VIOLATION: Final = 1008
MAX_UNSENT_BYTES: Final = 16 * 1024 * 1024
"""Bytes that wait for a slow peer; two frames of the largest size."""


class LinkHandler(Protocol):
    """What a program does with a link's messages and its end.

    Both methods are called on the links' thread and must not block: while one
    waits, no message of any link is taken.
    """

    def on_message(self, link: "Link", msg: Any) -> None:
        """Take one message; called in order."""

    def on_close(self, link: "Link") -> None:
        """Take the link's end; called once, after the last message."""


class Link:
    """One end of an open link; every method may be called from any thread."""

    def __init__(self, conn: Connection, peer: str) -> None:
        self._conn = conn
        self.peer = peer
        self.ended = threading.Event()
        self._unsent: deque[bytes] = deque()
        self._unsent_bytes = 0
        self._frames_queued = asyncio.Event()
        self._lock = threading.Lock()

    def send(self, msg: Any) -> bool:
        """Queue a message; return False when the link has ended.

        It never waits. A peer that is frozen but not yet known to be would
        otherwise hold up whoever sends to it, and with it every other caller.
        """
        return self.send_frame(encode(msg))

    def send_frame(self, frame: bytes) -> bool:
        """Queue an encoded message; one that goes to many is encoded once."""
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
        """End the link after what is queued has gone out."""
        asyncio.run_coroutine_threadsafe(self._close(), link_loop())

    def abort(self) -> None:
        """End the link at once."""
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
        """Hand over every message until the link ends."""
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
        # A frame that cannot be read means that the two sides disagree on the
        # protocol: everything after it is in doubt, so the link ends and its
        # requests get their verdicts. It shows as link_refused in the logs.
        is_text = isinstance(frame, str)
        result = decode(frame.encode() if isinstance(frame, str) else frame)
        if is_text or not isinstance(result, Success):
            self._refuse("text frame" if is_text else result.failure())
            return False
        try:
            handler.on_message(self, result.unwrap())
        except Exception as exc:
            # The handler's state may be half changed; its peer learns of it by
            # the end of the link instead of waiting for an answer.
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
    host: str, port: int, secret: bytes, handler: LinkHandler, first_message: Any
) -> Result[Link, Exception]:
    """Open a link, send ``first`` on it and read it from then on."""
    try:
        link = run_on_loop(_open(host, port, secret, handler))
    except (WebSocketException, OSError, TimeoutError) as exc:
        return Err(exc)
    link.send(first_message)
    return Success(link)


async def _open(host: str, port: int, secret: bytes, handler: LinkHandler) -> Link:
    conn = await connect(
        f"ws://{host}:{port}/link",
        additional_headers={auth.HEADER: auth.sign(secret, time.time())},
        open_timeout=OPEN_TIMEOUT_S,
        close_timeout=CLOSE_TIMEOUT_S,
        ping_interval=PING_INTERVAL_S,
        ping_timeout=PING_TIMEOUT_S,
        max_size=MAX_FRAME_BYTES,
        compression=None,
        proxy=None,
    )
    link = Link(conn, f"{host}:{port}")
    _retain(asyncio.create_task(link.run(handler)))
    return link


_tasks: Final[set[asyncio.Task[None]]] = set()


def _retain(task: asyncio.Task[None]) -> None:
    # The loop itself holds tasks weakly; without this a link's reader could be
    # collected in the middle, seen as a link that goes silent.
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)


class LinkServer:
    """Accepts links of peers that prove the secret."""

    def __init__(
        self, host: str, port: int, secret: bytes, accept: Callable[[Link], LinkHandler]
    ) -> None:
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
            compression=None,
            start_serving=False,
        )

    @property
    def port(self) -> int:
        """Return the TCP port that it listens on."""
        port: int = next(iter(self._server.sockets)).getsockname()[1]
        return port

    def start(self) -> None:
        """Accept links from now on."""
        run_on_loop(self._server.start_serving())

    def stop(self) -> None:
        """Accept no more links; open ones go on."""
        link_loop().call_soon_threadsafe(self._server.close, False)

    def _authenticate(self, conn: ServerConnection, req: Request) -> Response | None:
        if auth.verify(self._secret, req.headers.get(auth.HEADER, ""), time.time()):
            return None
        log("link_unauthenticated", peer=str(conn.remote_address))
        return conn.respond(HTTPStatus.UNAUTHORIZED, "the fleet's secret is needed\n")

    async def _serve(self, conn: ServerConnection) -> None:
        link = Link(conn, str(conn.remote_address))
        await link.run(self._accept(link))
