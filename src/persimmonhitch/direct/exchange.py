"""HTTP exchange of one attempt: a request to one upstream and its answer."""

import contextlib
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from http.client import HTTPException
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success
from urllib3 import BaseHTTPResponse
from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from ..fleet.call import ReplyHeaders
from ..http_client import (
    AnswerBoundExceeded,
    AnswerPart,
    BoundedConnection,
    BoundedResponse,
    Framing,
    InvalidAnswer,
    MalformedAnswer,
)
from ..ids import RequestId
from ..kernel.sockets import shut_down
from ..observe.logs import log
from ..verdict import ErrorCode, Failure, Verdict
from .abort import Abort, AbortReason, Step
from .answer_memory import AnswerMemory, HeldAnswer, nothing_to_cut
from .connection_pool import Address, ConnectionPool

READ_SIZE_BYTES: Final = 65536
MIN_BLOCK_BYTES: Final = READ_SIZE_BYTES // 2
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
"""Maximum size of an answer; answers of plain services are smaller."""
MAX_REFUSAL_BYTES: Final = READ_SIZE_BYTES
"""Maximum size of the body of a refusal, which is read to keep the connection."""
REFUSAL_READ_S: Final = 0.25
"""Maximum time to read the body of a refusal: it comes with its head, and the request
goes to another upstream next."""
EVENT_STREAM: Final = "text/event-stream"
MIN_ATTEMPT_S: Final = 0.02
"""Least time left to the deadline for which a request is sent."""
RETRY_AFTER: Final = 0.3
"""Retry time for callers in seconds; short answers end within this time."""
MAX_IDLE_UNREPEATABLE_S: Final = 1.0
"""Maximum idle time of a connection used for a request that must not be repeated.

Upstreams close idle connections after several seconds; a request sent during the close
is lost."""

LOSS_ERRORS = (HTTPError, HTTPException, OSError, ValueError)
"""Errors raised for a lost upstream, and for an answer to another request."""
EXCHANGE_ERRORS = (*LOSS_ERRORS, InvalidAnswer)
"""Errors raised for a lost upstream or a malformed answer."""


@dataclass(frozen=True)
class OutgoingRequest:
    """A request as sent to an upstream."""

    request_id: RequestId
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    repeatable: bool


@dataclass
class Reply:
    """An answer whose head has been received but whose body is still unread."""

    status: int
    headers: dict[str, str]
    parsed_headers: ReplyHeaders
    _response: BaseHTTPResponse
    _answer: BoundedResponse
    _conn: BoundedConnection
    _sock: socket.socket
    _abort: Abort
    _release_conn: Callable[[], None]
    _content_length: int | None
    framing: Framing
    earlier_requests: int
    """Requests that the connection carried before this one."""
    held: HeldAnswer
    """What the process holds of this answer in memory."""
    _complete: bool = field(default=False)
    _is_discarded: bool = field(default=False)

    def read_blocks(self) -> list[bytes]:
        """Return the whole body in blocks of about the size of a read.

        Raises one of ``EXCHANGE_ERRORS`` if the body is truncated or exceeds a bound.
        """
        blocks: list[bytes] = []
        # Thousands of tiny chunks would take many times their size as objects.
        small = bytearray()
        size = 0
        for chunk in self.chunks(MAX_ANSWER_BYTES):
            size += len(chunk)
            self.held.resize(size)
            if not small and len(chunk) >= MIN_BLOCK_BYTES:
                blocks.append(chunk)
                continue
            small += chunk
            if len(small) >= MIN_BLOCK_BYTES:
                blocks.append(bytes(small))
                small.clear()
        if small:
            blocks.append(bytes(small))
        return blocks

    def discard(self) -> None:
        """Read the short body of a refusal; close the connection if it is not short.

        Raises
        ------
        MalformedAnswer
            If the framing is malformed, so that the refusal is not believed.
        """
        if self._is_discarded:
            return
        self._is_discarded = True
        self._answer.limit_body(REFUSAL_READ_S)
        try:
            # The head alone states that the request has not run.
            with contextlib.suppress(*LOSS_ERRORS, AnswerBoundExceeded):
                for _chunk in self.chunks(MAX_REFUSAL_BYTES):
                    pass
        finally:
            self.close()

    def chunks(self, max_bytes: int | None) -> Iterator[bytes]:
        """Yield the body in chunks; raise one of ``EXCHANGE_ERRORS`` if truncated."""
        received = 0
        while True:
            chunk = self._response.read1(READ_SIZE_BYTES)
            if not chunk:
                break
            if self._abort.reason is AbortReason.CALLER_LEFT:
                raise TruncatedAnswer("the caller left")
            received += len(chunk)
            if max_bytes is not None and received > max_bytes:
                raise AnswerBoundExceeded(AnswerPart.BODY, f"{max_bytes} bytes")
            yield chunk
        self.held.replace_cut(nothing_to_cut)
        if self.framing is Framing.CLOSE and self._abort.reason is not None:
            # The abort of a request closes its connection, as the upstream does.
            raise TruncatedAnswer("the request was aborted")
        if self._content_length is not None and received < self._content_length:
            raise OSError(f"received {received} of {self._content_length} bytes")
        self._complete = True
        closes = self.headers.get("connection", "").lower() == "close"
        if closes or self.framing is Framing.CLOSE:
            self._conn.close()
        else:
            self._abort.set_action(None)
            self._release_conn()

    @property
    def port(self) -> int:
        """Return the local port of the connection, for the logs."""
        return self._conn.local_port

    @property
    def media_type(self) -> str | None:
        """Return the media type in lower case, without its parameters."""
        text = self.headers.get("content-type")
        return None if text is None else text.partition(";")[0].strip().lower()

    def check_events(self, has_events: bool, tail: bytes) -> None:
        """Raise ``TruncatedAnswer`` if an unframed stream is certainly incomplete.

        ``tail`` contains the bytes after the last complete event.
        """
        if self.framing is not Framing.CLOSE:
            return
        if tail.strip(b"\r\n"):
            raise TruncatedAnswer("the stream ends within an event")
        if not has_events:
            raise TruncatedAnswer("the stream ends before its first event")

    def close(self) -> None:
        """Close the connection unless the answer was read completely."""
        self.held.release()
        if not self._complete:
            shut_down(self._sock)
            self._response.close()
            self._conn.close()


def loss_reason(exc: Exception) -> str:
    """Return the reason of a lost answer for logs and callers."""
    if isinstance(exc, InvalidAnswer):
        return f"{type(exc).__name__}: {exc}"
    return type(exc).__name__


def failure_of(exc: Exception, loss: str) -> Failure:
    """Return the failure for an answer that was lost or is malformed."""
    reason = loss_reason(exc)
    if isinstance(exc, MalformedAnswer):
        text = f"the upstream's answer is malformed ({reason})"
        return Failure(ErrorCode.PROTOCOL, text, Verdict.MAY_HAVE_RUN)
    text = f"{loss} ({reason})"
    return Failure(ErrorCode.UPSTREAM_LOST, text, Verdict.MAY_HAVE_RUN)


class TruncatedAnswer(OSError):
    """Raised if the content of an answer shows that it is incomplete."""


class UnmatchedAnswer(ValueError):
    """Raised if an answer does not belong to the request sent last, which may run."""


def _check_match(
    request_id: RequestId, status: int, parsed: ReplyHeaders, conn: BoundedConnection
) -> None:
    """Raise ``UnmatchedAnswer`` if an answer may belong to an earlier request.

    An answer without an id may belong to any request that the connection carried.
    """
    is_only_request = conn.request_count == 1
    if parsed.request_id == request_id or (
        parsed.request_id is None and is_only_request
    ):
        return
    log(
        "answer_unmatched",
        request=request_id,
        answer=parsed.request_id or "-",
        status=status,
        not_run=parsed.not_run,
        instance=parsed.instance or "-",
        conn=conn.local_port,
        earlier=conn.request_count - 1,
    )
    raise UnmatchedAnswer("the answer belongs to another request")


def time_over() -> Failure:
    """Return the failure of a request whose time was over before it was sent."""
    reason = "its time was over before it was sent"
    return Failure(ErrorCode.OVERLOADED, reason, retry_after=RETRY_AFTER)


class Exchange:
    """Sends requests to upstreams over pooled connections."""

    def __init__(
        self,
        pool: ConnectionPool,
        parse_headers: Callable[[int, dict[str, str]], ReplyHeaders],
        memory: AnswerMemory | None = None,
        on_cut: Callable[[AnswerPart], None] = lambda _part: None,
    ) -> None:
        self._pool = pool
        self._parse_headers = parse_headers
        self._memory = AnswerMemory() if memory is None else memory
        self._on_cut = on_cut

    def send(
        self,
        address: Address,
        req: OutgoingRequest,
        abort: Abort,
        timeout_s: float,
        used: set[BoundedConnection],
    ) -> Result[Reply, Failure]:
        """Send a request and read the response headers.

        A failure with the verdict ``NOT_RUN`` means that the request was not sent.
        ``used`` holds the connections of earlier attempts of the request, which carry
        no further one; that of this attempt is added.
        """
        max_idle_s = float("inf") if req.repeatable else MAX_IDLE_UNREPEATABLE_S
        # All attempts of a request have the same id, so that a late second answer to an
        # earlier attempt would pass for the answer to this one.
        conn = self._pool.acquire(address, max_idle_s, used)
        if conn is None:
            conn = self._pool.open(address, timeout_s)
        if conn is None:
            reason = f"{address[0]}:{address[1]} takes no connection"
            failure = Failure(ErrorCode.NO_UPSTREAM, reason, retry_after=RETRY_AFTER)
            return Err(failure)
        # A connection drops its socket once the head of its last answer is read.
        sock = conn.sock
        abort.set_action(lambda: shut_down(sock))
        # The caller may have left while the request waited or its connection opened.
        abort.check_caller()
        if abort.deadline_at - time.monotonic() < MIN_ATTEMPT_S:
            abort.trigger(AbortReason.TIMEOUT)
        if abort.reason is not None:
            conn.close()
            return Err(time_over())
        abort.step = Step.UPSTREAM
        conn.request_count += 1
        used.add(conn)
        try:
            return self._exchange(address, conn, req, abort, timeout_s)
        except EXCHANGE_ERRORS as exc:
            conn.close()
            if isinstance(exc, AnswerBoundExceeded):
                self._on_cut(exc.part)
            return Err(failure_of(exc, "the upstream was lost"))

    def _exchange(
        self,
        address: Address,
        conn: BoundedConnection,
        req: OutgoingRequest,
        abort: Abort,
        timeout_s: float,
    ) -> Result[Reply, Failure]:
        # http.client sets the socket timeout from the connection. The margin lets the
        # watchdog abort the request at its deadline first.
        conn.timeout = timeout_s + 1.0
        sock = conn.sock
        headers = {"accept-encoding": SKIP_HEADER, "user-agent": SKIP_HEADER}
        conn.request(
            req.method,
            req.target,
            body=req.body or None,
            headers={**headers, **req.headers},
            preload_content=False,
            decode_content=False,
        )
        response = conn.getresponse()
        answer = conn.take_answer()
        headers = {k.lower(): v for k, v in response.headers.items()}
        parsed = self._parse_headers(response.status, headers)
        _check_match(req.request_id, response.status, parsed, conn)
        reply = Reply(
            response.status,
            headers,
            parsed,
            response,
            answer,
            conn,
            sock,
            abort,
            lambda: self._pool.release(address, conn, parsed.idle_timeout_s),
            answer.length,
            answer.framing,
            conn.request_count - 1,
            self._memory.hold(lambda: shut_down(sock)),
        )
        if parsed.not_run and reply.framing is Framing.CHUNKED:
            # Whether the chunks are valid is known only once they have been read.
            reply.discard()
        return Success(reply)
