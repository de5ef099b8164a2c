"""One call to the upstream, with the verdict that its end allows."""

import json
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final, Protocol
from urllib.parse import urlsplit

from urllib3 import BaseHTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from ..ids import Tokens
from ..verdict import ErrorCode, Failure, Verdict
from ..wire.messages import Submit, UpstreamKind
from .job import Job

CONNECT_TIMEOUT: Final = 1.0
READ_SIZE: Final = 65536
EVENT_STREAM: Final = "text/event-stream"
STREAM_END: Final = b"data: [DONE]"
TOKEN_EVENT: Final = b"data: {"
STREAM_TAIL: Final = 4096
"""Bytes of a stream held for its last events; they are copied at each token."""
USAGE: Final = b'"usage"'
RETRY_SOON: Final = 1.0
FLOW_LOOK: Final = 0.1
"""Seconds between two looks at the deadline while a caller does not read."""
PASSED_HEADERS: Final = frozenset(
    {"content-type", "cache-control", "etag", "last-modified", "location", "vary"}
    | {"content-language", "content-disposition", "content-encoding", "retry-after"}
)
"""Headers of an answer that reach the caller; framing is each hop's own."""


class Timing(Protocol):
    """Who is told how fast the upstream answers."""

    def first_token(self, seconds: float) -> None:
        """Take the time from the call to the first token."""

    def token_gap(self, seconds: float) -> None:
        """Take the time between two tokens."""

    def refused(self) -> None:
        """Note that the upstream took no connection."""


@dataclass(frozen=True)
class Address:
    """Where the upstream listens."""

    host: str
    port: int

    @classmethod
    def from_url(cls, url: str) -> "Address":
        """Return the address of a URL such as ``http://127.0.0.1:9000``."""
        parts = urlsplit(url)
        return cls(parts.hostname or "", parts.port or 80)


class UpstreamCall:
    """Runs one job against the upstream.

    Every call takes a fresh connection. A kept one may have been closed by the
    peer just before; the library would send again by itself, and a booking would
    run twice. On loopback a connection costs less than the call's own work.
    """

    def __init__(self, address: Address, kind: UpstreamKind) -> None:
        self._address = address
        self._kind = kind

    def run(self, job: Job, start: Callable[[], bool], timing: Timing) -> None:
        """Run the job to its end; exactly one of ``end`` and ``fail`` is sent.

        Parameters
        ----------
        start : callable
            Marks the request as started; the call goes out only if it is True.
        """
        conn = self._open(job)
        if conn is None:
            timing.refused()
            reason = "the upstream takes no connection"
            job.fail(
                Failure(ErrorCode.NO_UPSTREAM, reason, Verdict.NOT_RUN, RETRY_SOON)
            )
            return
        try:
            if not start():
                job.fail(Failure(ErrorCode.DUPLICATE, "given up", Verdict.NOT_RUN))
                return
            self._exchange(conn, job, timing)
        except (HTTPError, OSError, ValueError) as exc:
            job.fail(self._lost(job, exc))
        finally:
            conn.close()

    def _open(self, job: Job) -> HTTPConnection | None:
        conn = HTTPConnection(
            self._address.host, self._address.port, timeout=CONNECT_TIMEOUT
        )
        try:
            conn.connect()
        except (HTTPError, OSError):
            return None
        return conn

    def _exchange(self, conn: HTTPConnection, job: Job, timing: Timing) -> None:
        sub = job.submit
        began = time.monotonic()
        left = max(0.05, job.deadline_at - began)
        # On the connection and not on its socket: ``request`` sets the socket's
        # timeout from here, and with that of the connect any call of more than a
        # second would end as lost, though the upstream was at work.
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
        job.head(answer.status, _answer_headers(answer))
        meter = TokenMeter(began, timing, self._kind)
        # Only an engine's stream has a last event by which to see that it is whole.
        content = answer.headers.get("Content-Type", "")
        stream = self._kind is UpstreamKind.ENGINE and content.startswith(EVENT_STREAM)
        for part in _parts(answer):
            if job.cancelled.is_set():
                raise OSError("cancelled")
            if time.monotonic() > job.deadline_at:
                raise TimeoutError("deadline")
            meter.take(part, stream)
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
            ErrorCode.UPSTREAM_LOST, reason, Verdict.MAY_HAVE_RUN, RETRY_SOON
        )


def _wait_for_reader(job: Job) -> None:
    """Read no more from the upstream while the caller does not keep up."""
    while not job.flowing.wait(FLOW_LOOK):
        if job.cancelled.is_set() or time.monotonic() > job.deadline_at:
            return


def _request_headers(sub: Submit, traceparent: str) -> dict[str, str]:
    extra: dict[str, str] = {"X-Request-Id": sub.request}
    if traceparent:
        extra["traceparent"] = traceparent
    return {**sub.headers, **extra}


def _answer_headers(answer: BaseHTTPResponse) -> dict[str, str]:
    pairs = answer.headers.items()
    return {
        name.lower(): text for name, text in pairs if name.lower() in PASSED_HEADERS
    }


def _parts(answer: BaseHTTPResponse) -> Iterator[bytes]:
    return answer.stream(READ_SIZE, decode_content=False)


class TokenMeter:
    """Counts tokens and their timing in an engine's answer."""

    def __init__(self, began: float, timing: Timing, kind: UpstreamKind) -> None:
        self._last = began
        self._timing = timing
        self._kind = kind
        self.events = 0
        self._tail = b""
        self.finished = False

    def take(self, part: bytes, stream: bool) -> None:
        """Take one part of the body as it came."""
        if self._kind is not UpstreamKind.ENGINE:
            return
        kept = STREAM_TAIL if stream else READ_SIZE
        self._tail = (self._tail + part)[-kept:]
        if not stream:
            return
        events = part.count(TOKEN_EVENT)
        if events:
            self._note(events)
        self.finished = self.finished or STREAM_END in self._tail[-256:]

    def _note(self, events: int) -> None:
        now = time.monotonic()
        elapsed, self._last = now - self._last, now
        if self.events == 0:
            self._timing.first_token(elapsed)
        else:
            self._timing.token_gap(elapsed / events)
        self.events += events

    def used(self, sub: Submit) -> Tokens:
        """Return the tokens used: the engine's own count, else what was reserved."""
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
        return float(json.loads(text)["usage"]["total_tokens"])
    except (ValueError, KeyError, TypeError):
        return None
