"""From an admitted request to its reply: attempts, retries, whole or streamed."""

import time
from collections.abc import Callable, Generator, Iterator
from contextlib import closing
from dataclasses import dataclass, replace
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..decide.retries import OUTCOME_UNKNOWN, RetryBudget, may_retry
from ..ids import ConfigVersion, Model, Tokens, Upstream
from ..observe.logs import log
from ..observe.metrics import Metrics
from ..verdict import ErrorCode, Failure, Verdict
from ..wire.messages import Chunk, End, Fail, Head, Submit
from .admitted import WITHDRAWN, Admitted
from .attempt import Attempt, Frame
from .router import Router, group_of
from .sidecar_conn import SidecarConn

MAX_WHOLE: Final = 8 * 1024 * 1024
"""Bytes of an answer that is not a stream; it is held until it is whole."""
MODEL_RETRY: Final = 2.0
WAIT_STEP: Final = 0.1


@dataclass(frozen=True)
class Whole:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    used: Tokens


@dataclass(frozen=True)
class Streaming:
    """An answer whose parts still come; the last frame is ``End`` or ``Fail``."""

    status: int
    headers: dict[str, str]
    frames: Generator[Frame, None, None]


Reply = Whole | Streaming


class Forwarder:
    """Sends requests to sidecars until one answers or none may be tried."""

    def __init__(
        self, router: Router, wait_change: Callable[[float], None], metrics: Metrics
    ) -> None:
        self._router = router
        self._wait_change = wait_change
        self._metrics = metrics
        self._budget = RetryBudget()

    def run(self, req: Admitted) -> Result[Reply, Failure]:
        """Return the reply; its failure is final."""
        self._budget.on_request(time.monotonic())
        tried: frozenset[Upstream] = frozenset()
        attempt = 0
        earlier = Verdict.NOT_RUN
        while True:
            attempt += 1
            target = self._target(req, tried)
            # Read before the look at the key: the version that is sent must not
            # be newer than the one under which the key was good.
            version = req.version()
            if req.withdrawn():
                return Err(_after(earlier, WITHDRAWN))
            if not isinstance(target, Success):
                return Err(_after(earlier, target.failure()))
            conn = target.unwrap()
            result = self._try(req, conn, attempt, version)
            if isinstance(result, Success):
                return result
            exc = _after(earlier, result.failure())
            earlier = exc.verdict
            tried |= {conn.info.upstream}
            if not self._try_again(req, result.failure()):
                return Err(exc)
            log("retry", request=req.request, attempt=attempt, code=exc.code.value)
            self._metrics.retried(exc)

    def _try_again(self, req: Admitted, exc: Failure) -> bool:
        now = time.monotonic()
        if now >= req.deadline_at or not may_retry(exc, req.repeatable):
            return False
        return self._budget.try_spend(now)

    def _target(
        self, req: Admitted, tried: frozenset[Upstream]
    ) -> Result[SidecarConn, Failure]:
        call = req.call
        while True:
            conn = self._router.pick(call.model, call.service, req.cost, tried)
            if conn is not None:
                return Success(conn)
            if req.withdrawn():
                return Err(WITHDRAWN)
            no_wait = self._router.no_wait(call.model, call.service, req.deadline_at)
            if no_wait is not None:
                return Err(no_wait)
            left = req.deadline_at - time.monotonic()
            if left <= 0 or req.disconnected():
                return Err(_no_target(req))
            self._wait_change(min(left, WAIT_STEP))

    def _try(
        self, req: Admitted, conn: SidecarConn, attempt: int, version: ConfigVersion
    ) -> Result[Reply, Failure]:
        if conn.incarnation is None:
            return Err(Failure(ErrorCode.NO_UPSTREAM, "not linked", retry_after=1.0))
        began = time.monotonic()
        sub = _submit(req, conn, attempt, began, version)
        frames = Attempt(conn, sub, req).frames()
        head = next(frames)
        if isinstance(head, Fail):
            return self._refused(conn, head)
        assert isinstance(head, Head)
        upstream, call = conn.info.upstream, req.call
        if call.service is not None:
            group = group_of(call.model, call.service)
            self._router.latency(upstream, group, time.monotonic() - began)
        if call.stream and head.status == 200:
            timed = self._timed(upstream, call.model, frames)
            return Success(Streaming(head.status, head.headers, timed))
        return self._whole(conn, head, frames)

    def _timed(
        self, upstream: Upstream, model: Model, frames: Generator[Frame, None, None]
    ) -> Generator[Frame, None, None]:
        """Pass frames on and note the mean time between the parts of the body."""
        first, parts = 0.0, 0
        with closing(frames):
            for frame in frames:
                if isinstance(frame, Chunk):
                    first = first or time.monotonic()
                    parts += 1
                if isinstance(frame, End) and parts > 1:
                    gap = (time.monotonic() - first) / (parts - 1)
                    self._router.latency(upstream, model, gap)
                if isinstance(frame, Fail):
                    self._refused_by(upstream, frame)
                yield frame

    def _refused(self, conn: SidecarConn, fail: Fail) -> Err[Failure]:
        self._refused_by(conn.info.upstream, fail)
        return Err(fail.failure())

    def _refused_by(self, upstream: Upstream, fail: Fail) -> None:
        if fail.verdict is not Verdict.NOT_RUN and fail.code in OUTCOME_UNKNOWN:
            self._router.failed(upstream)

    def _whole(
        self, conn: SidecarConn, head: Head, frames: Iterator[Frame]
    ) -> Result[Reply, Failure]:
        parts: list[bytes] = []
        size = 0
        for frame in frames:
            if isinstance(frame, Fail):
                return self._refused(conn, frame)
            if isinstance(frame, Chunk):
                parts.append(frame.data)
                size += len(frame.data)
            if size > MAX_WHOLE:
                reason = f"the answer is longer than {MAX_WHOLE} bytes"
                return Err(Failure(ErrorCode.UPSTREAM_ERROR, reason, Verdict.RAN))
            if isinstance(frame, End):
                body = b"".join(parts)
                return Success(Whole(head.status, head.headers, body, frame.tokens))
        raise AssertionError("an attempt ended without End or Fail")


def _no_target(req: Admitted) -> Failure:
    if req.call.service is not None:
        reason = f"no upstream of {req.call.service} is in reach"
        return Failure(ErrorCode.NO_UPSTREAM, reason, retry_after=MODEL_RETRY)
    reason = f"no upstream of {req.call.model} is in reach"
    return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=MODEL_RETRY)


def _after(earlier: Verdict, exc: Failure) -> Failure:
    """Return a failure with the verdict of all attempts.

    A repeatable request may have run at one upstream and be refused by the next.
    What the caller is told holds for the request, not for its last attempt; a
    ``not_run`` here would show as a call that the upstream counted all the same.
    """
    if exc.verdict is Verdict.NOT_RUN and earlier is not Verdict.NOT_RUN:
        return replace(exc, verdict=earlier)
    return exc


def _submit(
    req: Admitted,
    conn: SidecarConn,
    attempt: int,
    now: float,
    version: ConfigVersion,
) -> Submit:
    call = req.call
    assert conn.incarnation is not None
    return Submit(
        request=req.request,
        attempt=attempt,
        incarnation=conn.incarnation,
        account=req.account,
        model=call.model,
        adapter=None,
        version=version,
        priority=req.priority,
        timeout_s=max(0.0, req.deadline_at - now),
        repeatable=req.repeatable,
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
        cost=req.cost,
        traceparent=req.traceparent,
        weight=req.weight,
        lender=req.reservation.lender,
        share_generation=req.reservation.generation,
    )
