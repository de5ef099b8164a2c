"""One attempt: a request sent to one upstream, and its answer."""

import contextlib
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from http.client import HTTPException
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success
from urllib3 import BaseHTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from ..fleet.call import ReplyMarks
from ..ids import RequestId
from ..verdict import ErrorCode, Failure, Verdict
from .abort import Abort
from .conns import Address, Conns

READ_SIZE: Final = 65536
ANSWER_MOST: Final = 16 * 1024 * 1024
"""Bytes of an answer that is passed on whole; no plain service sends as much."""
RETRY_SOON: Final = 0.3
"""Seconds after which another try may find a place: the time of a short answer."""
FRESH_ONLY: Final = 1.0
"""Seconds that a connection may have been idle for a call that must not be repeated.
Upstreams close idle connections after several; a call that meets the close is lost."""

Broken = (HTTPError, HTTPException, OSError, ValueError)
"""What an upstream that is lost, or says what is no answer, shows as."""


@dataclass(frozen=True)
class Outgoing:
    """A request as it is sent."""

    request: RequestId
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    repeatable: bool


@dataclass
class Reply:
    """An answer whose head has come; its body is still to be read."""

    status: int
    headers: dict[str, str]
    marks: ReplyMarks
    _response: BaseHTTPResponse
    _conn: HTTPConnection
    _give: Callable[[], None]
    _length: int | None
    _done: bool = field(default=False)

    def whole(self) -> bytes:
        """Return the whole body; raises one of ``Broken`` if it is cut short."""
        return b"".join(self.parts())

    def parts(self) -> Iterator[bytes]:
        """Yield the body as it comes; raises one of ``Broken`` if it is cut short."""
        got = 0
        while True:
            part = self._response.read1(READ_SIZE)
            if not part:
                break
            got += len(part)
            if got > ANSWER_MOST:
                raise ValueError("an answer too long")
            yield part
        if self._length is not None and got < self._length:
            raise OSError(f"{got} bytes of {self._length}")
        self._done = True
        if self.headers.get("connection", "").lower() == "close" or self._unframed():
            self._conn.close()
        else:
            self._give()

    def _unframed(self) -> bool:
        chunked = "chunked" in self.headers.get("transfer-encoding", "").lower()
        return self._length is None and not chunked

    def close(self) -> None:
        """End the connection unless its answer has been read to its end."""
        if not self._done:
            _shut(self._conn)
            self._conn.close()


def _shut(conn: HTTPConnection) -> None:
    sock = conn.sock
    if sock is not None:
        # A close alone would not wake the thread that waits in a read.
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)


class Exchange:
    """Sends requests to upstreams."""

    def __init__(
        self,
        conns: Conns,
        marks_of: Callable[[int, dict[str, str]], ReplyMarks],
    ) -> None:
        self._conns = conns
        self._marks_of = marks_of

    def send(
        self, address: Address, out: Outgoing, abort: Abort, left: float
    ) -> Result[Reply, Failure]:
        """Send a request and wait for the head of its answer.

        A failure with the verdict ``NOT_RUN`` means that nothing was sent.
        """
        idle_most = float("inf") if out.repeatable else FRESH_ONLY
        conn = self._conns.take(address, idle_most)
        if conn is None:
            conn = self._conns.open(address, left)
        if conn is None:
            reason = f"{address[0]}:{address[1]} takes no connection"
            failure = Failure(ErrorCode.NO_UPSTREAM, reason, retry_after=RETRY_SOON)
            return Err(failure)
        abort.on_fire(lambda: _shut(conn))
        try:
            return self._exchange(address, conn, out, left)
        except Broken as exc:
            conn.close()
            reason = f"the upstream was lost ({type(exc).__name__})"
            return Err(Failure(ErrorCode.UPSTREAM_LOST, reason, Verdict.MAY_HAVE_RUN))

    def _exchange(
        self, address: Address, conn: HTTPConnection, out: Outgoing, left: float
    ) -> Result[Reply, Failure]:
        # On the connection, since a request sets its socket's timeout from here. A
        # little longer than the time left: the watchdog ends the request at its time.
        conn.timeout = left + 1.0
        headers = {"accept-encoding": SKIP_HEADER, "user-agent": SKIP_HEADER}
        conn.request(
            out.method,
            out.target,
            body=out.body or None,
            headers={**headers, **out.headers},
            preload_content=False,
            decode_content=False,
        )
        response = conn.getresponse()
        headers = {k.lower(): v for k, v in response.headers.items()}
        marks = self._marks_of(response.status, headers)
        if marks.request is not None and marks.request != out.request:
            # A late answer to another request; ours may still be running.
            raise ValueError("the answer belongs to another request")
        length = headers.get("content-length", "")
        return Success(
            Reply(
                response.status,
                headers,
                marks,
                response,
                conn,
                lambda: self._conns.give(address, conn, marks.idle_limit),
                int(length) if length.isdigit() else None,
            )
        )
