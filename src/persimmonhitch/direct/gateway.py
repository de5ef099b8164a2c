"""One request of a caller, from its head to the end of its answer."""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..decide.retries import RetryBudget
from ..entry.answers import error_body
from ..fleet.call import CallerHeaders
from ..fleet.config import CallKind
from ..ids import RequestId, Upstream, new_request_id
from ..observe.logs import Sampled, log
from ..observe.metrics import Metrics
from ..platform import headers as wire
from ..verdict import ErrorCode, Failure, Verdict
from ..web import Answer, Request, json_answer
from .abort import Abort, AbortReason, Watchdog
from .admit import Admitted, InForce, admit
from .dispatcher import Dispatcher, Permit
from .events import EventSplitter
from .exchange import Broken, Exchange, Outgoing, Reply
from .quota import Quota

REFUSALS_MOST: Final = 3
"""Upstreams that may refuse a request before it is refused itself; each further one
costs the fleet's budget of retries and the caller time."""
RETRY_SOON: Final = 0.3
FAILED_STATUS: Final = 500


def refuse(exc: Failure, request: RequestId) -> Answer:
    """Return the answer for a failure of ours; it may ask for parts of a second."""
    extra = {}
    if exc.retry_after is not None:
        extra["Retry_After"] = f"{exc.retry_after:.2f}"
    return json_answer(exc.http_status, error_body(exc, request), **extra)


@dataclass
class _Flight:
    """A request under way, and what its end has to settle."""

    admitted: Admitted
    abort: Abort
    route: str
    permit: Permit | None = None
    attempts: int = 0
    refusals: int = 0
    excluded: frozenset[Upstream] = frozenset()
    settled: bool = False
    reply: Reply | None = None
    """The answer that is being passed on."""

    @property
    def request(self) -> RequestId:
        return self.admitted.caller.request


class Gateway:
    """Answers calls by calling upstreams directly."""

    def __init__(
        self,
        in_force: Callable[[], InForce],
        quota: Quota,
        dispatcher: Dispatcher,
        exchange: Exchange,
        watchdog: Watchdog,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._in_force = in_force
        self._quota = quota
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._watchdog = watchdog
        self._metrics = metrics
        self._clock = clock
        self._retries = RetryBudget()
        self._done = Sampled("request_done")

    def handle(self, req: Request) -> Answer:
        """Answer one call."""
        caller = wire.read_caller(req.headers)
        in_force = self._in_force()
        admitted = admit(req, caller, in_force, self._clock)
        if not isinstance(admitted, Success):
            return self._turned_away(admitted.failure(), caller, in_force)
        found: Admitted = admitted.unwrap()
        over = self._over_rate(found)
        if over is not None:
            return self._turned_away(over, caller, in_force)
        if found.need.model is not None:
            self._dispatcher.asked(found.need.model, found.need.tokens)
        flight = _Flight(found, Abort(req.disconnected, found.end_at), found.route.name)
        self._metrics.request_started(flight.route)
        self._watchdog.add(flight.abort)
        self._retries.on_request(self._clock())
        try:
            return self._serve(flight)
        except Exception as exc:
            # Without this its place at an upstream would be taken for good.
            reason = f"the entry failed ({type(exc).__name__})"
            log("request_broke", request=flight.request, error=repr(exc))
            failure = Failure(ErrorCode.INTERNAL, reason, Verdict.MAY_HAVE_RUN)
            return self._refused(flight, failure)

    def _turned_away(self, exc: Failure, caller: CallerHeaders, now: InForce) -> Answer:
        request = caller.request or new_request_id()
        log(
            "request_refused",
            request=request,
            code=exc.code.value,
            reason=exc.message,
            config=now.cfg.version,
            retry_after=exc.retry_after,
        )
        return refuse(exc, request)

    def _over_rate(self, found: Admitted) -> Failure | None:
        """Charge a request to its account, or return why it can't be."""
        if found.account is None:
            return None
        wait = self._quota.take(found.account.name, found.cost)
        if wait is None:
            return None
        account = found.account
        reason = f"{account.name} has used its rate of {account.rate:g} a second"
        return Failure(ErrorCode.RATE_LIMITED, reason, retry_after=wait)

    # -- attempts ----------------------------------------------------------------

    def _serve(self, flight: _Flight) -> Answer:
        result = self._attempts(flight, None)
        if not isinstance(result, Success):
            return self._refused(flight, result.failure())
        reply: Reply = result.unwrap()
        if flight.admitted.route.kind is CallKind.STREAM and reply.status < 300:
            headers = wire.caller_headers(reply.headers)
            flight.reply = reply
            return Answer(reply.status, headers, _Body(self, flight))
        return self._whole(flight, reply)

    def _whole(self, flight: _Flight, reply: Reply) -> Answer:
        while True:
            try:
                body = reply.whole()
                break
            except Broken as exc:
                reply.close()
                failure = self._lost(flight, exc)
                again = self._again(flight, failure)
                if not isinstance(again, Success):
                    return self._refused(flight, again.failure())
                reply = again.unwrap()
        headers = wire.caller_headers(reply.headers)
        headers["content-length"] = str(len(body))
        self._settle(flight, None, reply.status)
        return Answer(reply.status, headers, [body])

    def _again(self, flight: _Flight, failure: Failure) -> Result[Reply, Failure]:
        """Try once more after an answer was lost, where that is allowed."""
        self._release(flight)
        if not self._may_repeat(flight):
            return Err(failure)
        return self._attempts(flight, None)

    def _may_repeat(self, flight: _Flight) -> bool:
        route = flight.admitted.route
        return (
            flight.abort.reason is None
            and route.repeatable
            and flight.attempts < route.max_attempts
            and self._retries.take(self._clock())
        )

    def _attempts(
        self, flight: _Flight, last_event: str | None
    ) -> Result[Reply, Failure]:
        """Send until an upstream answers, or nothing more may be tried."""
        while True:
            result = self._attempt(flight, last_event)
            if isinstance(result, Success):
                return result
            failure = result.failure()
            if flight.abort.reason is not None:
                return Err(self._ended(flight, failure))
            if not self._try_elsewhere(flight, failure):
                return Err(failure)

    def _try_elsewhere(self, flight: _Flight, failure: Failure) -> bool:
        if flight.permit is None:
            return False
        self._release(flight)
        if failure.verdict is not Verdict.NOT_RUN:
            return self._may_repeat(flight)
        flight.refusals += 1
        if flight.refusals > REFUSALS_MOST:
            return False
        if failure.code is ErrorCode.NO_UPSTREAM:
            return True
        return self._retries.take(self._clock())

    def _attempt(
        self, flight: _Flight, last_event: str | None
    ) -> Result[Reply, Failure]:
        found = flight.admitted
        place = self._dispatcher.acquire(found.need, flight.abort, flight.excluded)
        if not isinstance(place, Success):
            return Err(place.failure())
        flight.permit = place.unwrap()
        if flight.abort.reason is not None:
            return Err(Failure(ErrorCode.DEADLINE, "given up before it was sent"))
        record = flight.permit.record
        left = found.end_at - self._clock()
        out = self._outgoing(found, record.name, left, last_event)
        sent = self._exchange.send((record.host, record.port), out, flight.abort, left)
        if not isinstance(sent, Success):
            return Err(self._not_answered(flight, sent.failure()))
        return self._judged(flight, sent.unwrap())

    def _outgoing(
        self, found: Admitted, instance: Upstream, left: float, last_event: str | None
    ) -> Outgoing:
        req, need = found.req, found.need
        account = found.account.name if found.account is not None else None
        rank = need.rank if need.model is not None else None
        return Outgoing(
            found.caller.request,
            req.method,
            req.target,
            wire.upstream_headers(
                req.headers, instance, account, rank, left, last_event
            ),
            req.body,
            found.route.repeatable,
        )

    def _not_answered(self, flight: _Flight, failure: Failure) -> Failure:
        assert flight.permit is not None
        record = flight.permit.record
        if flight.abort.reason is not None:
            return failure
        unreachable = failure.verdict is Verdict.NOT_RUN
        if not unreachable:
            flight.attempts += 1
        flight.excluded |= {record.name}
        self._dispatcher.failed(record, unreachable)
        self._tell(flight, "attempt_failed", failure)
        return failure

    def _judged(self, flight: _Flight, reply: Reply) -> Result[Reply, Failure]:
        """Return the answer if it is the upstream's word on a request it ran."""
        assert flight.permit is not None
        record = flight.permit.record
        marks = reply.marks
        if marks.not_run:
            return Err(self._not_run(flight, reply))
        flight.attempts += 1
        if reply.status < 300 and not marks.signed:
            reply.close()
            self._dispatcher.failed(record, False)
            reason = "the answer is not the upstream's"
            failure = Failure(ErrorCode.PROTOCOL, reason, Verdict.MAY_HAVE_RUN)
            self._tell(flight, "attempt_failed", failure)
            return Err(failure)
        if reply.status < FAILED_STATUS:
            self._dispatcher.ok(record)
            return Success(reply)
        self._dispatcher.failed(record, False)
        if flight.attempts < flight.admitted.route.max_attempts and self._may_repeat(
            flight
        ):
            reply.close()
            flight.excluded |= {record.name}
            self._release(flight)
            return self._attempt(flight, None)
        return Success(reply)

    def _not_run(self, flight: _Flight, reply: Reply) -> Failure:
        assert flight.permit is not None
        record, need = flight.permit.record, flight.admitted.need
        misdirected = reply.status == wire.MISDIRECTED
        other = reply.marks.instance not in (None, record.name)
        code = ErrorCode.OVERLOADED
        try:
            reply.whole()
        except Broken:
            reply.close()
        if misdirected and other:
            code = ErrorCode.STALE_INCARNATION
            self._dispatcher.failed(record, True)
            flight.excluded |= {record.name}
        elif misdirected:
            code = ErrorCode.MODEL_LOADING
            self._dispatcher.missing(record, need)
        else:
            flight.excluded |= {record.name}
        reason = f"{record.name} refused it with {reply.status}"
        failure = Failure(code, reason, retry_after=RETRY_SOON)
        self._tell(flight, "attempt_refused", failure)
        return failure

    def _tell(self, flight: _Flight, event: str, failure: Failure) -> None:
        permit = flight.permit
        log(
            event,
            request=flight.request,
            upstream=permit.record.name if permit else "-",
            code=failure.code.value,
            verdict=failure.verdict.value,
            reason=failure.message,
            attempt=flight.attempts + flight.refusals,
        )

    def _lost(self, flight: _Flight, exc: Exception) -> Failure:
        if flight.abort.reason is not None:
            return self._ended(flight, Failure(ErrorCode.DEADLINE, "", Verdict.RAN))
        reason = f"the answer was cut short ({type(exc).__name__})"
        failure = Failure(ErrorCode.UPSTREAM_LOST, reason, Verdict.MAY_HAVE_RUN)
        if flight.permit is not None:
            record = flight.permit.record
            self._dispatcher.failed(record, False)
            flight.excluded |= {record.name}
        self._tell(flight, "answer_cut", failure)
        return failure

    def _ended(self, flight: _Flight, failure: Failure) -> Failure:
        """Return what a request is told that was ended by its watch."""
        reason = flight.abort.reason
        assert reason is not None
        verdict = failure.verdict
        if verdict is Verdict.NOT_RUN and reason is AbortReason.TIMEOUT:
            text = "no upstream could take it in its time"
            return Failure(ErrorCode.OVERLOADED, text, verdict, RETRY_SOON)
        if verdict is Verdict.NOT_RUN:
            return Failure(ErrorCode.SHUTTING_DOWN, reason.value, verdict, RETRY_SOON)
        return Failure(ErrorCode.DEADLINE, reason.value, Verdict.MAY_HAVE_RUN)

    # -- ends --------------------------------------------------------------------

    def _release(self, flight: _Flight) -> None:
        permit, flight.permit = flight.permit, None
        if permit is not None:
            permit.release()

    def _refused(self, flight: _Flight, failure: Failure) -> Answer:
        self._settle(flight, failure, failure.http_status)
        return refuse(failure, flight.request)

    def _settle(self, flight: _Flight, failure: Failure | None, status: int) -> None:
        """Note the end of a request, once."""
        if flight.settled:
            return
        flight.settled = True
        self._watchdog.remove(flight.abort)
        upstream = flight.permit.record.name if flight.permit else "-"
        self._release(flight)
        found = flight.admitted
        account = found.account.name if found.account is not None else None
        never_ran = flight.attempts == 0
        if failure is not None and never_ran and account is not None:
            self._quota.refund(account, found.cost)
        seconds = self._clock() - found.need.arrived
        self._metrics.request_done(account, flight.route, status, failure, seconds)
        self._log_end(flight, failure, status, seconds, upstream)

    def _log_end(
        self,
        flight: _Flight,
        failure: Failure | None,
        status: int,
        seconds: float,
        upstream: str,
    ) -> None:
        found = flight.admitted
        fields: dict[str, object] = {
            "request": flight.request,
            "route": flight.route,
            "account": found.account.name if found.account else "-",
            "model": found.caller.model or "-",
            "adapter": found.caller.adapter or "-",
            "upstream": upstream,
            "status": status,
            "attempts": flight.attempts,
            "refusals": flight.refusals,
            "seconds": seconds,
            "config": self._in_force().cfg.version,
        }
        if failure is None and status < 400:
            self._done.log(**fields)
            return
        reason = flight.abort.reason
        log(
            "request_failed",
            **fields,
            verdict=failure.verdict.value if failure else Verdict.RAN.value,
            code=failure.code.value if failure else "-",
            ended=reason.value if reason else "-",
            reason=failure.message if failure else "the upstream's own answer",
        )

    # -- streams -----------------------------------------------------------------

    def events(self, flight: _Flight) -> Iterator[bytes]:
        """Yield the events of a stream, resumed where its route allows it."""
        last: str | None = None
        started = flight.admitted.need.arrived
        first = True
        while True:
            reply = flight.reply
            assert reply is not None
            try:
                splitter = EventSplitter()
                for part in reply.parts():
                    if flight.permit is not None:
                        flight.permit.heard()
                    for event in splitter.take(part):
                        if first:
                            first = False
                            self._first_event(flight, started)
                        last = event.id or last
                        yield event.data
                if splitter.rest:
                    yield splitter.rest
                self._settle(flight, None, reply.status)
                return
            except Broken as exc:
                reply.close()
                failure = self._lost(flight, exc)
                flight.reply = self._resumed(flight, failure, last)

    def _first_event(self, flight: _Flight, started: float) -> None:
        if flight.permit is not None:
            flight.permit.first_token()
        account = flight.admitted.account
        if account is not None:
            self._metrics.first_token(account.name, self._clock() - started)

    def _resumed(self, flight: _Flight, failure: Failure, last: str | None) -> Reply:
        """Return the answer of another run that goes on after ``last``."""
        route = flight.admitted.route
        self._release(flight)
        allowed = (
            route.resumable
            and flight.abort.reason is None
            and flight.attempts < route.max_attempts
            and self._retries.take(self._clock())
        )
        if allowed:
            result = self._attempts(flight, last)
            if isinstance(result, Success):
                reply: Reply = result.unwrap()
                if reply.status < 300:
                    return reply
                reply.close()
        self._settle(flight, failure, FAILED_STATUS)
        raise StreamCut(failure.message)

    def closed(self, flight: _Flight) -> None:
        """Take the end of a stream, whoever ended it."""
        if flight.reply is not None:
            flight.reply.close()
        failure = Failure(ErrorCode.DEADLINE, "the caller left", Verdict.MAY_HAVE_RUN)
        self._settle(flight, failure, 499)


class StreamCut(Exception):
    """A stream ends before its last event; the server breaks the connection off."""


class _Body:
    """Body of a streamed answer; the server calls ``close`` in every case."""

    def __init__(self, gateway: Gateway, flight: _Flight) -> None:
        self._gateway = gateway
        self._flight = flight
        self._events = gateway.events(flight)

    def __iter__(self) -> Iterator[bytes]:
        return self._events

    def close(self) -> None:
        """End the stream, if it has not ended by itself."""
        self._events.close()  # type: ignore[attr-defined]
        self._gateway.closed(self._flight)


__all__ = ["Gateway", "StreamCut", "refuse"]
