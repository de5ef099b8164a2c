"""One attempt at one sidecar, followed over lost links to its end."""

import time
from collections.abc import Generator, Iterator
from typing import Final

from ..observe.logs import log
from ..verdict import ErrorCode, Failure, Verdict
from ..wire.messages import Chunk, End, Fail, Head, Submit
from .admitted import WITHDRAWN, Admitted
from .exchange import Exchange, LinkLost
from .sidecar_conn import SidecarConn

POLL: Final = 0.1
"""Seconds between two looks at whether the caller is still there."""
VERDICT_SLACK: Final = 0.1
"""Seconds past the deadline in which the sidecar's own verdict may still come."""
RESUME_WAIT: Final = 4.0
"""Seconds to wait for a new link to the same sidecar; it holds answers for 5."""

_LATE: Final = Failure(ErrorCode.DEADLINE, "the deadline passed", retry_after=1.0)
_CALLER_LEFT: Final = Failure(ErrorCode.DEADLINE, "the caller has gone")

Frame = Head | Chunk | End | Fail


class Attempt:
    """Yields the frames of an attempt; the last is ``End`` or ``Fail``."""

    def __init__(self, conn: SidecarConn, sub: Submit, req: Admitted) -> None:
        self._conn = conn
        self._sub = sub
        self._req = req
        self._ended = False

    def frames(self) -> Generator[Frame, None, None]:
        """Send the attempt and yield its answer."""
        exchange = self._conn.submit(self._sub)
        if exchange is None:
            yield self._fail(ErrorCode.NO_UPSTREAM, "no link", Verdict.NOT_RUN)
            return
        try:
            for frame in self._follow(exchange):
                self._ended = isinstance(frame, End | Fail)
                yield frame
        finally:
            if not self._ended:
                self._conn.cancel(exchange)
            self._conn.forget(self._sub.request)

    def _follow(self, exchange: Exchange) -> Iterator[Frame]:
        while True:
            frame = exchange.get(POLL)
            if frame is None:
                given_up = self._given_up(exchange)
                if given_up is not None:
                    yield given_up
                    return
            elif isinstance(frame, LinkLost):
                if not self._resume(exchange):
                    yield self._lost()
                    return
            else:
                yield frame
                if isinstance(frame, End | Fail):
                    return

    def _given_up(self, exchange: Exchange) -> Fail | None:
        why = self._why_give_up(exchange)
        if why is None:
            return None
        verdict = self._conn.bury(self._sub.request, self._sub.incarnation)
        if why is WITHDRAWN and verdict is not Verdict.NOT_RUN:
            # It runs already; what was begun under a good key is finished.
            return None
        self._conn.cancel(exchange)
        exc = Failure(why.code, why.message, verdict, why.retry_after)
        return Fail.from_failure(self._sub.request, self._sub.attempt, exc)

    def _why_give_up(self, exchange: Exchange) -> Failure | None:
        if time.monotonic() > self._req.deadline_at + VERDICT_SLACK:
            return _LATE
        if self._req.disconnected():
            return _CALLER_LEFT
        if not exchange.have_head and self._req.withdrawn():
            return WITHDRAWN
        return None

    def _resume(self, exchange: Exchange) -> bool:
        """Ask the same life of the sidecar for the rest; False if it is gone.

        A repeatable request without an answer yet is better tried elsewhere at
        once. For any other the sidecar alone knows whether it ran, so a new link
        is worth waiting for: without it the caller would hear may_have_run for a
        booking that was made, and ask a person to look.
        """
        if self._sub.repeatable and not exchange.have_head:
            return False
        end = min(self._req.deadline_at, time.monotonic() + RESUME_WAIT)
        while time.monotonic() < end and not self._conn.retired.is_set():
            if not self._conn.welcomed.wait(POLL):
                continue
            if self._conn.incarnation != self._sub.incarnation:
                return False
            if self._conn.resume(exchange, self._sub.incarnation):
                log("resumed", request=self._sub.request, chunk=exchange.next_chunk)
                return True
        return False

    def _lost(self) -> Fail:
        reason = "the link to the upstream was lost"
        return self._fail(ErrorCode.UPSTREAM_LOST, reason, Verdict.MAY_HAVE_RUN)

    def _fail(self, code: ErrorCode, reason: str, verdict: Verdict) -> Fail:
        exc = Failure(code, reason, verdict, retry_after=1.0)
        return Fail.from_failure(self._sub.request, self._sub.attempt, exc)
