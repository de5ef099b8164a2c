"""Handles a caller's request from admission to the end of its answer."""

import itertools
import time
from collections.abc import Callable, Iterator
from typing import Final, NoReturn

from returns.result import Failure as Err
from returns.result import Result, Success

from ..decide.stop_admission import StopAdmission
from ..entry.answers import error_body
from ..fleet.call import CallerHeaders
from ..fleet.config import RouteKind
from ..fleet.upstream import UpstreamRecord
from ..http_client import Framing
from ..ids import RequestId, new_request_id
from ..limits.retry_budgets import RetryBudgets
from ..observe.logs import log
from ..observe.metrics import Metrics
from ..platform import headers as wire
from ..verdict import ErrorCode, Failure, Verdict
from ..web import Answer, Request, UnframedBody, json_answer
from .abort import Abort, Step, Watchdog
from .admit import ActiveConfig, Admitted, admit
from .answer_memory import HeldBody
from .attempt_failures import STOPPING
from .attempts import AttemptRunner
from .dispatcher import Dispatcher
from .events import EventSplitter, StreamEvent, scan_events
from .exchange import (
    EVENT_STREAM,
    EXCHANGE_ERRORS,
    MAX_ANSWER_BYTES,
    Exchange,
    Reply,
)
from .in_flight import InFlightRequest, RequestTracker
from .poison import PoisonGuard
from .quota import Quota
from .resumptions import Resumptions
from .upstream_limits import UpstreamLimits

CALLER_LEFT: Final = Failure(
    ErrorCode.DEADLINE, "the caller left", Verdict.MAY_HAVE_RUN
)
CALLER_LEFT_STATUS: Final = 499
"""Status in logs and metrics of a request whose caller closed the connection early."""


def refuse(failure: Failure, request_id: RequestId) -> Answer:
    """Return the answer for a failure; ``Retry-After`` may be a fractional number."""
    headers = {}
    if failure.retry_after is not None:
        headers["Retry_After"] = f"{failure.retry_after:.2f}"
    return json_answer(failure.http_status, error_body(failure, request_id), **headers)


class Gateway:
    """Answers requests by forwarding them to upstreams."""

    def __init__(
        self,
        active_config: Callable[[], ActiveConfig],
        quota: Quota,
        dispatcher: Dispatcher,
        exchange: Exchange,
        watchdog: Watchdog,
        metrics: Metrics,
        poison: PoisonGuard,
        limits: UpstreamLimits,
        resumptions: Resumptions,
        retries: RetryBudgets,
        clock: Callable[[], float] = time.monotonic,
        on_leaving: Callable[[UpstreamRecord], None] = lambda _record: None,
        stop_admission: StopAdmission | None = None,
    ) -> None:
        self._stop_admission = stop_admission or StopAdmission()
        self._resumptions = resumptions
        self._retries = retries
        self._active_config = active_config
        self._quota = quota
        self._dispatcher = dispatcher
        self._clock = clock
        self._poison = poison
        self._runner = AttemptRunner(
            dispatcher,
            exchange,
            poison,
            limits,
            metrics,
            retries,
            self._stop_admission,
            clock,
            on_leaving,
        )
        self._tracker = RequestTracker(
            quota,
            watchdog,
            metrics,
            lambda: active_config().cfg.version,
            self._stop_admission.run_times,
            clock,
        )

    def handle(self, req: Request) -> Answer:
        """Answer one request."""
        caller = wire.parse_caller(req.headers)
        active = self._active_config()
        result = admit(req, caller, active, self._clock)
        if not isinstance(result, Success):
            return self._deny(result.failure(), caller, active)
        admitted: Admitted = result.unwrap()
        if not self._stop_admission.allows(
            admitted.route.name, admitted.deadline_at, self._clock()
        ):
            return self._deny(STOPPING, caller, active)
        self._retries.on_request(admitted.retry_source)
        refusal = self._poison.refusal(
            admitted.request.fingerprint, admitted.request.parts
        ) or self._charge(admitted)
        if refusal is not None:
            return self._deny(refusal, caller, active)
        self._dispatcher.record_demand(admitted.request)
        request = InFlightRequest(
            admitted, Abort(req.conn, admitted.deadline_at), admitted.route.name
        )
        self._tracker.start(request)
        try:
            refusal = self._resumptions.admit(request)
            if refusal is not None:
                return self._fail(request, refusal)
            return self._serve(request)
        except Exception as exc:
            # Settling the request releases its slot, which would leak otherwise.
            reason = f"the entry failed ({type(exc).__name__})"
            log("request_error", request=request.request_id, error=repr(exc))
            failure = Failure(ErrorCode.INTERNAL, reason, Verdict.MAY_HAVE_RUN)
            return self._fail(request, failure)

    def _deny(
        self, failure: Failure, caller: CallerHeaders, active: ActiveConfig
    ) -> Answer:
        request_id = caller.request_id or new_request_id()
        log(
            "request_refused",
            request=request_id,
            code=failure.code.value,
            reason=failure.message,
            config=active.cfg.version,
            retry_after=failure.retry_after,
        )
        return refuse(failure, request_id)

    def _charge(self, admitted: Admitted) -> Failure | None:
        """Charge a request to its account, or return the rate limit refusal."""
        if admitted.account is None:
            return None
        wait = self._quota.spend(admitted.account.name, admitted.cost)
        if wait is None:
            return None
        account = admitted.account
        reason = f"{account.name} has used its rate of {account.rate:g} a second"
        return Failure(ErrorCode.RATE_LIMITED, reason, retry_after=wait)

    def _serve(self, request: InFlightRequest) -> Answer:
        result = self._runner.send_first(request)
        if not isinstance(result, Success):
            return self._fail(request, result.failure())
        reply: Reply = result.unwrap()
        if request.admitted.route.kind is RouteKind.STREAM and reply.status < 300:
            headers = wire.response_headers(reply.headers)
            request.reply = reply
            stream = _StreamBody(self, request)
            try:
                stream.await_first_event()
            except StreamInterrupted as exc:
                stream.close()
                return refuse(exc.failure, request.request_id)
            is_framed = reply.framing is not Framing.CLOSE
            body = stream if is_framed else UnframedBody(stream)
            return Answer(reply.status, headers, body)
        return self._buffered_answer(request, reply)

    def _buffered_answer(self, request: InFlightRequest, reply: Reply) -> Answer:
        while not isinstance(result := self._read_answer(request, reply), Success):
            retried = self._runner.retry(request, result.failure())
            if not isinstance(retried, Success):
                return self._fail(request, retried.failure())
            reply = retried.unwrap()
        blocks: list[bytes] = result.unwrap()
        headers = wire.response_headers(reply.headers)
        self._record_completed(request, reply)
        self._tracker.settle(request, None, reply.status)
        body = HeldBody(blocks, reply.held)
        if reply.framing is Framing.CLOSE:
            return Answer(reply.status, headers, UnframedBody(body))
        headers["content-length"] = str(sum(map(len, blocks)))
        return Answer(reply.status, headers, body)

    def _read_answer(
        self, request: InFlightRequest, reply: Reply
    ) -> Result[list[bytes], Failure]:
        """Return the blocks of a body.

        Nothing of a lost answer is kept: a retry may take as long as an answer, and the
        traceback of an exception refers to what had been read.
        """
        request.abort.step = Step.ANSWER
        try:
            blocks = reply.read_blocks()
            if reply.media_type == EVENT_STREAM:
                reply.check_events(*scan_events(blocks))
            reply.held.replace_cut(request.admitted.http_request.drop)
        except EXCHANGE_ERRORS as exc:
            reply.close()
            return Err(self._runner.record_lost_answer(request, exc))
        return Success(blocks)

    def _record_completed(self, request: InFlightRequest, reply: Reply) -> None:
        """Record that a request ran to its end; a failure proves no part innocent."""
        parts = request.admitted.request.parts if reply.status < 300 else ()
        self._poison.completed(request.fingerprint, parts)

    def _fail(self, request: InFlightRequest, failure: Failure) -> Answer:
        self._tracker.settle(request, failure, failure.http_status)
        return refuse(failure, request.request_id)

    def stream_events(self, request: InFlightRequest) -> Iterator[bytes]:
        """Yield the events of a stream; resume a lost stream if its route allows it."""
        last_event_id: str | None = None
        reply = request.reply
        assert reply is not None
        is_framed = reply.framing is not Framing.CLOSE
        while True:
            try:
                for event in self._events(request, reply):
                    last_event_id = event.id or last_event_id
                    yield event.data
                break
            except EXCHANGE_ERRORS as exc:
                reply.close()
                failure = self._runner.record_lost_answer(request, exc)
            # Not in the handler above: its exception refers to what had been read.
            reply = self._resume_stream(request, failure, last_event_id)
            request.reply = reply
        self._record_completed(request, reply)
        if is_framed and reply.framing is Framing.CLOSE:
            self._end_unconfirmed(request)
        self._tracker.settle(request, None, reply.status)

    def _events(self, request: InFlightRequest, reply: Reply) -> Iterator[StreamEvent]:
        """Yield the events of one answer, and the bytes after the last one."""
        request.abort.step = Step.ANSWER
        is_event_stream = reply.media_type == EVENT_STREAM
        splitter, has_events = EventSplitter(needs_data=is_event_stream), False
        for chunk in reply.chunks(None if is_event_stream else MAX_ANSWER_BYTES):
            if request.permit is not None:
                request.permit.record_activity()
            for event in splitter.feed(chunk):
                if request.first_event_s is None:
                    self._resumptions.record_first_event(request)
                self._tracker.record_event(request)
                has_events = True
                yield event
            if splitter.tail_bytes or reply.held.size:
                reply.held.resize(splitter.tail_bytes)
        if reply.media_type in (None, EVENT_STREAM):
            reply.check_events(has_events, splitter.tail)
        if splitter.tail:
            yield StreamEvent(splitter.tail, None)

    def _end_unconfirmed(self, request: InFlightRequest) -> None:
        """Break off a framed stream whose last part has no framing.

        The last chunk of the answer would state that the stream is complete.
        """
        reason = "the end of the resumed stream cannot be confirmed"
        failure = Failure(ErrorCode.UPSTREAM_LOST, reason, Verdict.MAY_HAVE_RUN)
        self._break_off(request, failure)

    def _resume_stream(
        self, request: InFlightRequest, failure: Failure, last_event_id: str | None
    ) -> Reply:
        may_resume = self._resumptions.may_go_on(request)
        result = (
            self._runner.resume(request, failure, last_event_id)
            if may_resume
            else Err(failure)
        )
        if isinstance(result, Success):
            reply: Reply = result.unwrap()
            return reply
        self._break_off(request, failure)

    def _break_off(self, request: InFlightRequest, failure: Failure) -> NoReturn:
        """End a stream that its caller may resume at another entry."""
        self._resumptions.record_break(request)
        self._tracker.settle(request, failure, failure.http_status)
        raise StreamInterrupted(failure)

    def stream_closed(self, request: InFlightRequest) -> None:
        """Settle a stream that the server has closed, unless already settled."""
        if not request.settled:
            self._resumptions.record_break(request)
        if request.reply is not None:
            request.reply.close()
        self._tracker.settle(request, CALLER_LEFT, CALLER_LEFT_STATUS)


class StreamInterrupted(Exception):
    """Raised if a stream is lost before its end.

    Once it has begun, the server closes the caller's connection.

    Attributes
    ----------
    failure : Failure
        Why the stream was lost.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class _StreamBody:
    """Body of a streamed response; the server always calls ``close``."""

    def __init__(self, gateway: Gateway, request: InFlightRequest) -> None:
        self._gateway = gateway
        self._request = request
        self._events = gateway.stream_events(request)
        self._first: list[bytes] = []

    def await_first_event(self) -> None:
        """Wait for the first event, until which the answer can still be a failure.

        Raises
        ------
        StreamInterrupted
            If the stream is lost before it.
        """
        self._first = list(itertools.islice(self._events, 1))

    def __iter__(self) -> Iterator[bytes]:
        # An exhausted iterator holds the first event no longer.
        first, self._first = iter(self._first), []
        return itertools.chain(first, self._events)

    def close(self) -> None:
        """Close the stream if it is still open."""
        self._events.close()  # type: ignore[attr-defined]
        self._gateway.stream_closed(self._request)


__all__ = ["Gateway", "StreamInterrupted", "refuse"]
