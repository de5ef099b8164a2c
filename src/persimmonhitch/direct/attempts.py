"""Attempts of a request at upstreams, repeated as its route permits."""

import time
from collections.abc import Callable
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..decide.poison import RECENT_START_S
from ..decide.stop_admission import StopAdmission
from ..fleet.config import RouteKind
from ..fleet.upstream import UpstreamRecord
from ..http_client import AnswerBoundExceeded
from ..ids import Upstream
from ..limits.retry_budgets import RetryBudgets
from ..observe.logs import log
from ..observe.metrics import Metrics
from ..platform import headers as wire
from ..verdict import ErrorCode, Failure, Verdict
from .abort import Step
from .admit import Admitted
from .attempt_failures import (
    STOPPING,
    abort_failure,
    is_from,
    log_attempt,
    overall_failure,
)
from .dispatcher import Dispatcher
from .exchange import (
    MIN_ATTEMPT_S,
    RETRY_AFTER,
    Exchange,
    OutgoingRequest,
    Reply,
    failure_of,
    time_over,
)
from .in_flight import InFlightRequest
from .poison import PoisonGuard
from .upstream_limits import UpstreamLimits

MAX_REFUSALS: Final = 3
"""Maximum refusals by upstreams after which a request is still sent again; each attempt
uses the retry budget and the caller's time."""
SERVER_ERROR_STATUS: Final = 500


class AttemptRunner:
    """Sends requests until an upstream answers or no further attempt is allowed."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        exchange: Exchange,
        poison: PoisonGuard,
        limits: UpstreamLimits,
        metrics: Metrics,
        retries: RetryBudgets,
        stop_admission: StopAdmission,
        clock: Callable[[], float] = time.monotonic,
        on_leaving: Callable[[UpstreamRecord], None] = lambda _record: None,
    ) -> None:
        self._on_leaving = on_leaving
        self._stop_admission = stop_admission
        self._dispatcher = dispatcher
        self._poison = poison
        self._limits = limits
        self._metrics = metrics
        self._exchange = exchange
        self._clock = clock
        self._retries = retries

    def send_first(self, request: InFlightRequest) -> Result[Reply, Failure]:
        """Send a newly admitted request."""
        return self._send_until_answered(request, None)

    def retry(
        self, request: InFlightRequest, failure: Failure
    ) -> Result[Reply, Failure]:
        """Send a request again after a lost answer, if a retry is allowed."""
        request.release()
        if not self._may_retry(request, failure.code):
            return Err(failure)
        return self._send_until_answered(request, None)

    def resume(
        self, request: InFlightRequest, failure: Failure, last_event_id: str | None
    ) -> Result[Reply, Failure]:
        """Return the answer of a new attempt that continues after ``last_event_id``.

        The attempt runs only at the software version that began the stream.
        """
        request.release()
        route = request.admitted.route
        allowed = (
            route.resumable
            and request.abort.reason is None
            and request.attempts < route.max_attempts
            and self._spend_retry(request, failure.code, takes_precedence=True)
        )
        if not allowed:
            return Err(failure)
        result = self._send_until_answered(request, last_event_id)
        if not isinstance(result, Success):
            return result
        reply: Reply = result.unwrap()
        if reply.status < 300:
            return Success(reply)
        reply.close()
        return Err(failure)

    def _may_retry(self, request: InFlightRequest, cause: ErrorCode) -> bool:
        route = request.admitted.route
        return (
            request.abort.reason is None
            and route.repeatable
            and request.attempts < route.max_attempts
            and self._spend_retry(request, cause)
        )

    def _spend_retry(
        self,
        request: InFlightRequest,
        cause: ErrorCode,
        takes_precedence: bool = False,
    ) -> bool:
        """Return whether the budget allows a retry, and log its state."""
        source = request.admitted.retry_source
        decision = self._retries.try_spend(source, takes_precedence)
        log(
            "retry" if decision.allowed else "retry_refused",
            request=request.request_id,
            attempts=request.attempts,
            refusals=request.refusals,
            cause=cause.value,
            service=source.service,
            budget=decision.budget,
            slack=decision.slack,
            account=source.account or "-",
        )
        self._metrics.retry_decided(cause, decision.allowed)
        return decision.allowed

    def _send_until_answered(
        self, request: InFlightRequest, last_event_id: str | None
    ) -> Result[Reply, Failure]:
        """Send until an upstream answers or no further attempt is allowed."""
        while True:
            result = self._attempt(request, last_event_id)
            if isinstance(result, Success):
                return result
            failure = result.failure()
            if request.abort.reason is not None:
                return Err(overall_failure(request, abort_failure(request, failure)))
            if not self._may_try_another(request, failure):
                return Err(overall_failure(request, failure))

    def _may_try_another(self, request: InFlightRequest, failure: Failure) -> bool:
        if request.permit is None:
            return False
        request.release()
        if failure.verdict is not Verdict.NOT_RUN:
            return self._may_retry(request, failure.code)
        request.refusals += 1
        if request.refusals > MAX_REFUSALS:
            return False
        if failure.code is ErrorCode.NO_UPSTREAM:
            return True
        # The caller of a request that must not run twice has fewer retries of its own.
        precedence = not request.admitted.route.repeatable
        return self._spend_retry(request, failure.code, precedence)

    def _attempt(
        self, request: InFlightRequest, last_event_id: str | None
    ) -> Result[Reply, Failure]:
        admitted = request.admitted
        queued_at = self._clock()
        request.abort.step = Step.QUEUE
        acquired = self._dispatcher.acquire(
            request.dispatch_request, request.abort, request.excluded
        )
        request.waited_s += self._clock() - queued_at
        if not isinstance(acquired, Success):
            return Err(acquired.failure())
        request.permit = acquired.unwrap()
        record = request.permit.record
        time_left = admitted.deadline_at - self._clock()
        if request.abort.reason is not None or time_left < MIN_ATTEMPT_S:
            request.release()
            return Err(time_over())
        if not self._stop_admission.allows(
            request.route_name, admitted.deadline_at, self._clock()
        ):
            request.release()
            return Err(STOPPING)
        outgoing = self._build_outgoing(admitted, record.name, time_left, last_event_id)
        request.sent_at, request.head_at = self._clock(), None
        request.framing, request.leaving = None, False
        sent = self._exchange.send(
            (record.host, record.port),
            outgoing,
            request.abort,
            time_left,
            request.used_conns,
        )
        if not isinstance(sent, Success):
            return Err(self._record_unanswered(request, sent.failure()))
        return self._check_reply(request, sent.unwrap())

    def _build_outgoing(
        self,
        admitted: Admitted,
        upstream: Upstream,
        time_left: float,
        last_event_id: str | None,
    ) -> OutgoingRequest:
        req, request = admitted.http_request, admitted.request
        account = admitted.account.name if admitted.account is not None else None
        rank = request.rank if request.model is not None else None
        return OutgoingRequest(
            admitted.caller.request_id,
            req.method,
            req.target,
            wire.upstream_headers(
                req.headers, upstream, account, rank, time_left, last_event_id
            ),
            req.body,
            admitted.route.repeatable,
        )

    def _record_unanswered(self, request: InFlightRequest, failure: Failure) -> Failure:
        assert request.permit is not None
        record = request.permit.record
        may_have_run = failure.verdict is not Verdict.NOT_RUN
        request.attempts += may_have_run
        if request.abort.reason is not None:
            return failure
        if may_have_run:
            self._report_loss(request, record, failure)
        request.excluded |= {record.name}
        self._dispatcher.record_failure(record, unreachable=not may_have_run)
        log_attempt(request, "attempt_failed", failure)
        return failure

    def _check_reply(
        self, request: InFlightRequest, reply: Reply
    ) -> Result[Reply, Failure]:
        """Return the answer if the upstream executed the request, else a failure."""
        assert request.permit is not None
        record = request.permit.record
        parsed = reply.parsed_headers
        request.head_at, request.framing = self._clock(), reply.framing
        request.leaving = parsed.leaving
        if is_from(record, reply) and reply.status != wire.MISDIRECTED:
            self._poison.answered(record, request.sent_at)
            self._limits.answered(record, parsed.limit, request.sent_at)
            if parsed.cold_s > 0:
                self._limits.reported_cold(record, parsed.cold_s)
        if is_from(record, reply):
            self._dispatcher.record_load(record, parsed.load)
        if parsed.leaving and is_from(record, reply):
            self._on_leaving(record)
        if parsed.backoff_s and is_from(record, reply):
            self._limits.asked_to_back_off(record, parsed.backoff_s)
        if parsed.not_run:
            return Err(self._record_refusal(request, reply))
        request.attempts += 1
        if reply.status < 300 and not parsed.has_signature:
            reason = "the answer is not the upstream's"
            return Err(self._record_unusable(request, reply, reason))
        if reply.status in wire.PROMISES:
            # Callers would take the status for a promise that nothing has run.
            request.excluded |= {record.name}
            reason = f"{record.name} answered {reply.status} and may have run it"
            return Err(self._record_unusable(request, reply, reason))
        if reply.status < SERVER_ERROR_STATUS:
            self._dispatcher.record_success(record)
            request.permit.record_answer()
            return Success(reply)
        self._dispatcher.record_failure(record, False)
        self._poison.completed(request.fingerprint)
        if self._may_retry(request, ErrorCode.UPSTREAM_ERROR):
            reply.close()
            request.excluded |= {record.name}
            request.release()
            return self._attempt(request, None)
        return Success(reply)

    def _record_unusable(
        self, request: InFlightRequest, reply: Reply, reason: str
    ) -> Failure:
        """Record an answer that must not reach its caller."""
        assert request.permit is not None
        reply.close()
        self._dispatcher.record_failure(request.permit.record, False)
        failure = Failure(ErrorCode.PROTOCOL, reason, Verdict.MAY_HAVE_RUN)
        log_attempt(request, "attempt_failed", failure, reply)
        return failure

    def _record_refusal(self, request: InFlightRequest, reply: Reply) -> Failure:
        assert request.permit is not None
        record, dispatch_request = request.permit.record, request.admitted.request
        misdirected = reply.status == wire.MISDIRECTED
        other_instance = reply.parsed_headers.instance not in (None, record.name)
        code = ErrorCode.OVERLOADED
        reply.discard()
        if misdirected and other_instance:
            code = ErrorCode.STALE_INCARNATION
            self._dispatcher.record_failure(record, True)
            request.excluded |= {record.name}
        elif misdirected:
            code = ErrorCode.MODEL_LOADING
            self._dispatcher.record_missing(record, dispatch_request)
        else:
            request.excluded |= {record.name}
            if dispatch_request.model is None:
                # Engines also reject requests for a model that they are loading.
                self._dispatcher.record_rejection(record)
        reason = f"{record.name} refused it with {reply.status}"
        failure = Failure(code, reason, retry_after=RETRY_AFTER)
        log_attempt(request, "attempt_refused", failure, reply)
        return failure

    def record_lost_answer(self, request: InFlightRequest, exc: Exception) -> Failure:
        """Record a truncated or malformed answer; return the failure for its caller."""
        if request.abort.reason is not None:
            return abort_failure(request, Failure(ErrorCode.DEADLINE, "", Verdict.RAN))
        failure = failure_of(exc, "the answer was cut short")
        if isinstance(exc, AnswerBoundExceeded):
            self._metrics.answer_cut(exc.part)
        if request.permit is not None:
            record = request.permit.record
            self._report_loss(request, record, failure)
            self._dispatcher.record_failure(record, False)
            request.excluded |= {record.name}
        log_attempt(request, "answer_cut", failure)
        return failure

    def _report_loss(
        self, request: InFlightRequest, record: UpstreamRecord, failure: Failure
    ) -> None:
        """Report that a request may have crashed its upstream.

        An upstream that sends a malformed answer has not crashed.
        A request is no suspect once its stream has run for ``RECENT_START_S``. A stream
        without a head counts as recent: the head may be lost with the upstream.
        """
        if failure.code is ErrorCode.PROTOCOL:
            return
        is_stream = request.admitted.route.kind is RouteKind.STREAM
        elapsed = 0.0 if request.head_at is None else self._clock() - request.head_at
        recent = not is_stream or elapsed <= RECENT_START_S
        parts = request.admitted.request.parts
        self._poison.connection_lost(request.fingerprint, record, recent, parts)
