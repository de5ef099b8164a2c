"""One attempt at a sidecar, resumed over a new link if its link is lost."""

import time
from collections.abc import Generator, Iterator
from typing import Final

from ..observe.logs import log
from ..verdict import ErrorCode, Failure, Verdict
from ..wire.messages import Chunk, End, Fail, Head, Submit
from .admitted import KEY_WITHDRAWN, AdmittedCall
from .exchange import Exchange, LinkLost
from .sidecar_conn import SidecarConn

POLL_INTERVAL_S: Final = 0.1
"""Interval of the checks for a reason to abandon the attempt."""
VERDICT_GRACE_S: Final = 0.1
"""Time after the deadline to wait for the sidecar's own verdict."""
RESUME_TIMEOUT_S: Final = 4.0
"""Time to wait for a new link; the sidecar retains answers for 5 s."""

_TIMED_OUT: Final = Failure(ErrorCode.DEADLINE, "the deadline passed", retry_after=1.0)
_CALLER_DISCONNECTED: Final = Failure(ErrorCode.DEADLINE, "the caller has gone")

Frame = Head | Chunk | End | Fail


class Attempt:
    """Sends one attempt and yields its frames; the last is ``End`` or ``Fail``."""

    def __init__(self, conn: SidecarConn, submit: Submit, req: AdmittedCall) -> None:
        self._conn = conn
        self._submit = submit
        self._req = req
        self._ended = False

    def frames(self) -> Generator[Frame, None, None]:
        """Send the attempt and yield the frames of its answer."""
        exchange = self._conn.submit(self._submit)
        if exchange is None:
            yield self._fail(ErrorCode.NO_UPSTREAM, "no link", Verdict.NOT_RUN)
            return
        try:
            for frame in self._receive(exchange):
                self._ended = isinstance(frame, End | Fail)
                yield frame
        finally:
            if not self._ended:
                self._conn.cancel(exchange)
            self._conn.forget(self._submit.request)

    def _receive(self, exchange: Exchange) -> Iterator[Frame]:
        while True:
            frame = exchange.get(POLL_INTERVAL_S)
            if frame is None:
                failure = self._abandon(exchange)
                if failure is not None:
                    yield failure
                    return
            elif isinstance(frame, LinkLost):
                if not self._resume(exchange):
                    yield self._link_lost()
                    return
            else:
                yield frame
                if isinstance(frame, End | Fail):
                    return

    def _abandon(self, exchange: Exchange) -> Fail | None:
        reason = self._abandon_reason(exchange)
        if reason is None:
            return None
        verdict = self._conn.tombstone(self._submit.request, self._submit.incarnation)
        if reason is KEY_WITHDRAWN and verdict is not Verdict.NOT_RUN:
            # The request already runs. It was accepted under a valid key, so its
            # answer is still delivered.
            return None
        self._conn.cancel(exchange)
        exc = Failure(reason.code, reason.message, verdict, reason.retry_after)
        return Fail.from_failure(self._submit.request, self._submit.attempt, exc)

    def _abandon_reason(self, exchange: Exchange) -> Failure | None:
        if time.monotonic() > self._req.deadline_at + VERDICT_GRACE_S:
            return _TIMED_OUT
        if self._req.disconnected():
            return _CALLER_DISCONNECTED
        if not exchange.head_received and self._req.key_withdrawn():
            return KEY_WITHDRAWN
        return None

    def _resume(self, exchange: Exchange) -> bool:
        """Request the rest of the answer from the same incarnation of the sidecar.

        Return False if that is not possible. A repeatable request without an answer
        head is better retried at another sidecar at once. For any other request
        only this sidecar knows whether the request ran, so the attempt waits for a
        new link: otherwise the caller would receive may_have_run for a booking that
        was made, and a person would have to check.
        """
        if self._submit.repeatable and not exchange.head_received:
            return False
        give_up_at = min(self._req.deadline_at, time.monotonic() + RESUME_TIMEOUT_S)
        while time.monotonic() < give_up_at and not self._conn.closed.is_set():
            if not self._conn.welcomed.wait(POLL_INTERVAL_S):
                continue
            if self._conn.incarnation != self._submit.incarnation:
                return False
            if self._conn.resume(exchange, self._submit.incarnation):
                log("resumed", request=self._submit.request, chunk=exchange.next_chunk)
                return True
        return False

    def _link_lost(self) -> Fail:
        reason = "the link to the upstream was lost"
        return self._fail(ErrorCode.UPSTREAM_LOST, reason, Verdict.MAY_HAVE_RUN)

    def _fail(self, code: ErrorCode, reason: str, verdict: Verdict) -> Fail:
        exc = Failure(code, reason, verdict, retry_after=1.0)
        return Fail.from_failure(self._submit.request, self._submit.attempt, exc)
