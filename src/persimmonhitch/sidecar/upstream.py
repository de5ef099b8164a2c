"""One call to the upstream and the verdict of its result."""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final, Protocol
from urllib.parse import urlsplit

from urllib3 import BaseHTTPResponse
from urllib3.exceptions import HTTPError

from ..http_client import BoundedConnection, Framing, InvalidAnswer
from ..ids import Tokens
from ..json_input import parse_readable
from ..verdict import ErrorCode, Failure, Verdict
from ..wire.messages import CLOSE, CONNECTION, Submit, UpstreamKind
from .job import Job

CONNECT_TIMEOUT_S: Final = 1.0
READ_SIZE_BYTES: Final = 65536
EVENT_STREAM: Final = "text/event-stream"
STREAM_END: Final = b"data: [DONE]"
TOKEN_EVENT: Final = b"data: {"
STREAM_TAIL_BYTES: Final = 4096
"""Part of a stream kept to parse its last events; it is copied at each token."""
USAGE: Final = b'"usage"'
RETRY_AFTER_S: Final = 1.0
FLOW_POLL_S: Final = 0.1
"""Time between two checks of the deadline while a caller does not read."""
FORWARDED_HEADERS: Final = frozenset(
    {"content-type", "cache-control", "etag", "last-modified", "location", "vary"}
    | {"content-language", "content-disposition", "content-encoding", "retry-after"}
)
"""Headers of an answer that are forwarded to the caller."""


class Timing(Protocol):
    """Receives measurements of the upstream."""

    def first_token(self, seconds: float) -> None:
        """Record the time from the call to the first token."""

    def token_gap(self, seconds: float) -> None:
        """Record the time between two tokens."""

    def refused(self) -> None:
        """Record that the upstream refused a connection."""


@dataclass(frozen=True)
class Address:
    """Address on which the upstream listens."""

    host: str
    port: int

    @classmethod
    def from_url(cls, url: str) -> "Address":
        """Return the address of a URL such as ``http://127.0.0.1:9000``."""
        parts = urlsplit(url)
        return cls(parts.hostname or "", parts.port or 80)


class UpstreamCall:
    """Runs one job against the upstream.

    Each call uses a new connection. The peer may have closed a kept one just before;
    the library would then send the request again, and it could run twice. On loopback
    a connection costs less than the call.
    """

    def __init__(self, address: Address, kind: UpstreamKind) -> None:
        self._address = address
        self._kind = kind

    def run(self, job: Job, start: Callable[[], bool], timing: Timing) -> None:
        """Run the job to its end; exactly one of ``end`` and ``fail`` is sent.

        Parameters
        ----------
        start : callable
            Marks the request as started; returns whether it may be sent.
        """
        conn = self._open(job)
        if conn is None:
            timing.refused()
            reason = "the upstream takes no connection"
            job.fail(
                Failure(ErrorCode.NO_UPSTREAM, reason, Verdict.NOT_RUN, RETRY_AFTER_S)
            )
            return
        try:
            if not start():
                job.fail(Failure(ErrorCode.DUPLICATE, "given up", Verdict.NOT_RUN))
                return
            self._exchange(conn, job, timing)
        except (HTTPError, InvalidAnswer, OSError, ValueError) as exc:
            job.fail(self._lost(job, exc))
        finally:
            conn.close()

    def _open(self, job: Job) -> BoundedConnection | None:
        conn = BoundedConnection(
            self._address.host, self._address.port, timeout=CONNECT_TIMEOUT_S
        )
        try:
            conn.connect()
        except (HTTPError, OSError):
            return None
        return conn

    def _exchange(self, conn: BoundedConnection, job: Job, timing: Timing) -> None:
        sub = job.submit
        started_at = time.monotonic()
        left = max(0.05, job.deadline_at - started_at)
        # ``request`` sets the timeout of the socket from that of the connection; with
        # the timeout of the connect, each call of over a second would fail.
        conn.timeout = left
        conn.request(
            sub.method,
            sub.path,
            body=sub.body,
            headers=_request_headers(sub, job.spans.call()),
            preload_content=False,
            decode_content=False,
        )
        answer = conn.getresponse()
        framing = conn.take_answer().framing
        job.head(answer.status, _answer_headers(answer, framing))
        meter = TokenMeter(started_at, timing, self._kind)
        # Only the stream of an engine has an event that marks its end.
        content = answer.headers.get("Content-Type", "")
        stream = self._kind is UpstreamKind.ENGINE and content.startswith(EVENT_STREAM)
        for part in _parts(answer):
            if job.cancelled.is_set():
                raise OSError("cancelled")
            if time.monotonic() > job.deadline_at:
                raise TimeoutError("deadline")
            meter.process(part, stream)
            job.chunk(part)
            _wait_for_reader(job)
        if stream and not meter.finished:
            raise OSError("the stream ended without its last event")
        used = meter.used(sub)
        job.end(used)

    def _lost(self, job: Job, exc: Exception) -> Failure:
        if time.monotonic() >= job.deadline_at:
            reason = "the deadline passed while the upstream was at work"
            return Failure(ErrorCode.DEADLINE, reason, Verdict.MAY_HAVE_RUN)
        reason = f"the upstream was lost ({type(exc).__name__})"
        return Failure(
            ErrorCode.UPSTREAM_LOST, reason, Verdict.MAY_HAVE_RUN, RETRY_AFTER_S
        )


def _wait_for_reader(job: Job) -> None:
    """Pause reading from the upstream while the caller does not read."""
    while not job.flowing.wait(FLOW_POLL_S):
        if job.cancelled.is_set() or time.monotonic() > job.deadline_at:
            return


def _request_headers(sub: Submit, traceparent: str) -> dict[str, str]:
    extra: dict[str, str] = {"X-Request-Id": sub.request}
    if traceparent:
        extra["traceparent"] = traceparent
    return {**sub.headers, **extra}


def _answer_headers(answer: BaseHTTPResponse, framing: Framing) -> dict[str, str]:
    pairs = answer.headers.items()
    headers = {
        name.lower(): text for name, text in pairs if name.lower() in FORWARDED_HEADERS
    }
    if framing is Framing.CLOSE:
        headers[CONNECTION] = CLOSE
    return headers


def _parts(answer: BaseHTTPResponse) -> Iterator[bytes]:
    # ``stream`` parses chunks itself, without a bound on the trailers.
    while part := answer.read1(READ_SIZE_BYTES, decode_content=False):
        yield part


class TokenMeter:
    """Counts tokens and their timing in an engine's answer."""

    def __init__(self, started_at: float, timing: Timing, kind: UpstreamKind) -> None:
        self._last = started_at
        self._timing = timing
        self._kind = kind
        self.events = 0
        self._tail = b""
        self.finished = False

    def process(self, part: bytes, stream: bool) -> None:
        """Process one part of the body."""
        if self._kind is not UpstreamKind.ENGINE:
            return
        kept = STREAM_TAIL_BYTES if stream else READ_SIZE_BYTES
        self._tail = (self._tail + part)[-kept:]
        if not stream:
            return
        events = part.count(TOKEN_EVENT)
        if events:
            self._record_events(events)
        self.finished = self.finished or STREAM_END in self._tail[-256:]

    def _record_events(self, events: int) -> None:
        now = time.monotonic()
        elapsed, self._last = now - self._last, now
        if self.events == 0:
            self._timing.first_token(elapsed)
        else:
            self._timing.token_gap(elapsed / events)
        self.events += events

    def used(self, sub: Submit) -> Tokens:
        """Return the tokens that the engine counted, or else the reserved ones."""
        if self._kind is not UpstreamKind.ENGINE:
            return sub.cost
        for text in reversed([self._tail, *self._tail.split(b"\n")]):
            count = _total_tokens(text.removeprefix(b"data: "))
            if count is not None:
                return Tokens(count)
        return sub.cost


def _total_tokens(text: bytes) -> float | None:
    if USAGE not in text:
        return None
    try:
        return float(parse_readable(text)["usage"]["total_tokens"])
    except (ValueError, KeyError, TypeError):
        return None
