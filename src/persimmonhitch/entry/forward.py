"""Forwarding of admitted requests to sidecars, with retries."""

import time
from collections.abc import Callable, Generator, Iterator
from contextlib import closing
from dataclasses import dataclass, replace
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..decide.retries import OUTCOME_UNKNOWN, may_retry
from ..ids import ConfigVersion, Model, Service, Tokens, Upstream
from ..limits.retry_budgets import RetryBudgets, RetrySource
from ..observe.logs import log
from ..observe.metrics import Metrics
from ..verdict import ErrorCode, Failure, Verdict
from ..wire.messages import Chunk, End, Fail, Head, Priority, Submit
from .admitted import KEY_WITHDRAWN, AdmittedCall
from .attempt import Attempt, Frame
from .router import Router, group_of
from .sidecar_conn import SidecarConn

MAX_REPLY_BYTES: Final = 8 * 1024 * 1024
"""Size limit of an answer that is buffered in memory instead of streamed."""
RETRY_AFTER_S: Final = 2.0
POLL_INTERVAL_S: Final = 0.1
MODEL_SERVICE: Final = Service("models")
"""Service whose retry budget covers the calls to all models."""


@dataclass(frozen=True)
class FullReply:
    """A buffered answer; ``tokens`` is the usage to charge."""

    status: int
    headers: dict[str, str]
    body: bytes
    tokens: Tokens


@dataclass(frozen=True)
class StreamingReply:
    """An answer in progress; the last frame is ``End`` or ``Fail``."""

    status: int
    headers: dict[str, str]
    frames: Generator[Frame, None, None]


Reply = FullReply | StreamingReply


class Forwarder:
    """Sends a request to sidecars until one answers or no retry is allowed."""

    def __init__(
        self,
        router: Router,
        wait_for_change: Callable[[float], None],
        metrics: Metrics,
        retries: RetryBudgets,
    ) -> None:
        self._router = router
        self._wait_for_change = wait_for_change
        self._metrics = metrics
        self._retries = retries

    def run(self, req: AdmittedCall) -> Result[Reply, Failure]:
        """Return the reply, or the failure after the last permitted attempt."""
        self._retries.on_request(_retry_source(req))
        tried: frozenset[Upstream] = frozenset()
        attempt = 0
        prior_verdict = Verdict.NOT_RUN
        while True:
            attempt += 1
            chosen = self._choose_sidecar(req, tried)
            # Read the version before checking the key: the version sent must not
            # be newer than the version under which the key was valid.
            version = req.config_version()
            if req.key_withdrawn():
                return Err(_with_prior_verdict(prior_verdict, KEY_WITHDRAWN))
            if not isinstance(chosen, Success):
                return Err(_with_prior_verdict(prior_verdict, chosen.failure()))
            conn = chosen.unwrap()
            result = self._run_attempt(req, conn, attempt, version)
            if isinstance(result, Success):
                return result
            exc = _with_prior_verdict(prior_verdict, result.failure())
            prior_verdict = exc.verdict
            tried |= {conn.info.upstream}
            if not self._may_retry(req, result.failure(), attempt):
                return Err(exc)
            self._metrics.retried(exc)

    def _may_retry(self, req: AdmittedCall, exc: Failure, attempt: int) -> bool:
        now = time.monotonic()
        if now >= req.deadline_at or not may_retry(exc, req.repeatable):
            return False
        source = _retry_source(req)
        decision = self._retries.try_spend(source, not req.repeatable)
        log(
            "retry" if decision.allowed else "retry_refused",
            request=req.request,
            attempt=attempt,
            code=exc.code.value,
            service=source.service,
            budget=decision.budget,
            slack=decision.slack,
            account=req.account,
        )
        self._metrics.retry_decided(exc.code, decision.allowed)
        return decision.allowed

    def _choose_sidecar(
        self, req: AdmittedCall, tried: frozenset[Upstream]
    ) -> Result[SidecarConn, Failure]:
        call = req.call
        while True:
            conn = self._router.pick(call.model, call.service, req.cost, tried)
            if conn is not None:
                return Success(conn)
            if req.key_withdrawn():
                return Err(KEY_WITHDRAWN)
            refusal = self._router.refusal(call.model, call.service, req.deadline_at)
            if refusal is not None:
                return Err(refusal)
            remaining_s = req.deadline_at - time.monotonic()
            if remaining_s <= 0 or req.disconnected():
                return Err(_no_upstream(req))
            self._wait_for_change(min(remaining_s, POLL_INTERVAL_S))

    def _run_attempt(
        self, req: AdmittedCall, conn: SidecarConn, attempt: int, version: ConfigVersion
    ) -> Result[Reply, Failure]:
        if conn.incarnation is None:
            return Err(Failure(ErrorCode.NO_UPSTREAM, "not linked", retry_after=1.0))
        start = time.monotonic()
        submit = _as_submit(req, conn, attempt, start, version)
        frames = Attempt(conn, submit, req).frames()
        head = next(frames)
        if isinstance(head, Fail):
            return self._attempt_failed(conn, head)
        assert isinstance(head, Head)
        upstream, call = conn.info.upstream, req.call
        if call.service is not None:
            group = group_of(call.model, call.service)
            self._router.record_latency(upstream, group, time.monotonic() - start)
        if call.stream and head.status == 200:
            measured = self._measure_gaps(upstream, call.model, frames)
            return Success(StreamingReply(head.status, head.headers, measured))
        return self._read_full(conn, head, frames)

    def _measure_gaps(
        self, upstream: Upstream, model: Model, frames: Generator[Frame, None, None]
    ) -> Generator[Frame, None, None]:
        """Yield the frames and record the mean time between chunks."""
        first_at, chunk_count = 0.0, 0
        with closing(frames):
            for frame in frames:
                if isinstance(frame, Chunk):
                    first_at = first_at or time.monotonic()
                    chunk_count += 1
                if isinstance(frame, End) and chunk_count > 1:
                    gap = (time.monotonic() - first_at) / (chunk_count - 1)
                    self._router.record_latency(upstream, model, gap)
                if isinstance(frame, Fail):
                    self._record_failure(upstream, frame)
                yield frame

    def _attempt_failed(self, conn: SidecarConn, fail: Fail) -> Err[Failure]:
        self._record_failure(conn.info.upstream, fail)
        return Err(fail.failure())

    def _record_failure(self, upstream: Upstream, fail: Fail) -> None:
        if fail.verdict is not Verdict.NOT_RUN and fail.code in OUTCOME_UNKNOWN:
            self._router.record_failure(upstream)

    def _read_full(
        self, conn: SidecarConn, head: Head, frames: Iterator[Frame]
    ) -> Result[Reply, Failure]:
        chunks: list[bytes] = []
        size = 0
        for frame in frames:
            if isinstance(frame, Fail):
                return self._attempt_failed(conn, frame)
            if isinstance(frame, Chunk):
                chunks.append(frame.data)
                size += len(frame.data)
            if size > MAX_REPLY_BYTES:
                reason = f"the answer is longer than {MAX_REPLY_BYTES} bytes"
                return Err(Failure(ErrorCode.UPSTREAM_ERROR, reason, Verdict.RAN))
            if isinstance(frame, End):
                body = b"".join(chunks)
                return Success(FullReply(head.status, head.headers, body, frame.tokens))
        raise AssertionError("an attempt ended without End or Fail")


def _no_upstream(req: AdmittedCall) -> Failure:
    if req.call.service is not None:
        reason = f"no upstream of {req.call.service} is in reach"
        return Failure(ErrorCode.NO_UPSTREAM, reason, retry_after=RETRY_AFTER_S)
    reason = f"no upstream of {req.call.model} is in reach"
    return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=RETRY_AFTER_S)


def _with_prior_verdict(prior_verdict: Verdict, exc: Failure) -> Failure:
    """Return a failure with the verdict over all attempts.

    A repeatable request may run at one upstream and then be refused by the next.
    The verdict describes the whole request rather than its last attempt:
    ``not_run`` would be wrong for a request that an upstream executed.
    """
    if exc.verdict is Verdict.NOT_RUN and prior_verdict is not Verdict.NOT_RUN:
        return replace(exc, verdict=prior_verdict)
    return exc


def _as_submit(
    req: AdmittedCall,
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


def _retry_source(req: AdmittedCall) -> RetrySource:
    service = req.call.service or MODEL_SERVICE
    return RetrySource(
        service, req.account, 0 if req.priority is Priority.INTERACTIVE else 1
    )
