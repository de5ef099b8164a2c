"""Links: one websocket between two processes that carries typed messages."""

import threading
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, Protocol

from returns.result import Result, Success, safe
from websockets.exceptions import WebSocketException
from websockets.http11 import Request, Response
from websockets.sync.client import connect
from websockets.sync.connection import Connection
from websockets.sync.server import Server, ServerConnection, serve

from ..observe.logs import log
from . import auth
from .codec import MAX_FRAME, decode, encode

PING_INTERVAL: Final = 2.0
PING_TIMEOUT: Final = 4.0
"""Seconds; a frozen or cut-off peer is noticed after at most 6."""
OPEN_TIMEOUT: Final = 2.0
CLOSE_TIMEOUT: Final = 1.0
POLICY_VIOLATION: Final = 1008


class LinkHandler(Protocol):
    """What a program does with a link's messages and its end."""

    def on_message(self, link: "Link", msg: Any) -> None:
        """Take one message; called in order, from one thread."""

    def on_close(self, link: "Link") -> None:
        """Take the link's end; called once, after the last message."""


class Link:
    """One end of an open link; ``send`` may be called from any thread."""

    def __init__(self, conn: Connection, peer: str) -> None:
        self._conn = conn
        self.peer = peer
        self.ended = threading.Event()

    def send(self, msg: Any) -> bool:
        """Send a message; return False when the link has ended."""
        try:
            self._conn.send(encode(msg))
        except (WebSocketException, OSError):
            return False
        return True

    def close(self) -> None:
        """End the link."""
        self._conn.close()

    def run(self, handler: LinkHandler) -> None:
        """Hand over every message until the link ends."""
        try:
            for frame in self._conn:
                if not self._take(handler, frame):
                    break
        except (WebSocketException, OSError) as exc:
            log("link_lost", peer=self.peer, error=repr(exc))
        finally:
            self.ended.set()
            handler.on_close(self)

    def _take(self, handler: LinkHandler, frame: str | bytes) -> bool:
        # A frame that cannot be read means that the two sides disagree on the
        # protocol: everything after it is in doubt, so the link ends and its
        # requests get their verdicts. It shows as link_refused in the logs.
        text = isinstance(frame, str)
        result = decode(frame.encode() if isinstance(frame, str) else frame)
        if text or not isinstance(result, Success):
            reason = "text frame" if text else result.failure()
            log("link_refused", peer=self.peer, error=reason)
            self._conn.close(POLICY_VIOLATION, reason[:100])
            return False
        handler.on_message(self, result.unwrap())
        return True


@safe(exceptions=(WebSocketException, OSError, TimeoutError))
def _connect(host: str, port: int, secret: bytes) -> Connection:
    return connect(
        f"ws://{host}:{port}/link",
        additional_headers={auth.HEADER: auth.sign(secret, time.time())},
        open_timeout=OPEN_TIMEOUT,
        close_timeout=CLOSE_TIMEOUT,
        ping_interval=PING_INTERVAL,
        ping_timeout=PING_TIMEOUT,
        max_size=MAX_FRAME,
        compression=None,
        proxy=None,
        legacy=True,
    )


def open_link(
    host: str, port: int, secret: bytes, handler: LinkHandler, first: Any
) -> Result[Link, Exception]:
    """Open a link, send ``first`` on it and read it on a thread of its own."""
    result = _connect(host, port, secret)
    if not isinstance(result, Success):
        return result  # type: ignore[return-value]
    link = Link(result.unwrap(), f"{host}:{port}")
    link.send(first)
    name = f"link-{link.peer}"
    threading.Thread(target=link.run, args=(handler,), name=name, daemon=True).start()
    return Success(link)


class LinkServer:
    """Accepts links of peers that prove the secret."""

    def __init__(
        self, host: str, port: int, secret: bytes, accept: Callable[[Link], LinkHandler]
    ) -> None:
        self._secret = secret
        self._accept = accept
        self._server: Server = serve(
            self._serve,
            host,
            port,
            process_request=self._authenticate,
            open_timeout=OPEN_TIMEOUT,
            close_timeout=CLOSE_TIMEOUT,
            ping_interval=PING_INTERVAL,
            ping_timeout=PING_TIMEOUT,
            max_size=MAX_FRAME,
            compression=None,
        )
        self._thread = threading.Thread(
            target=self._server.serve_forever, name="link-server", daemon=True
        )

    @property
    def port(self) -> int:
        """Return the TCP port that it listens on."""
        port: int = self._server.socket.getsockname()[1]
        return port

    def start(self) -> None:
        """Accept links from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Accept no more links."""
        self._server.shutdown()

    def _authenticate(self, conn: ServerConnection, req: Request) -> Response | None:
        if auth.verify(self._secret, req.headers.get(auth.HEADER, ""), time.time()):
            return None
        log("link_unauthenticated", peer=str(conn.remote_address))
        return conn.respond(HTTPStatus.UNAUTHORIZED, "the fleet's secret is needed\n")

    def _serve(self, conn: ServerConnection) -> None:
        link = Link(conn, str(conn.remote_address))
        link.run(self._accept(link))
