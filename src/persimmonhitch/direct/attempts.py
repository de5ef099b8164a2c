"""Attempts of one request at upstreams, as far as its kind allows them."""

import time
from collections.abc import Callable
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..decide.poison import FRESH
from ..decide.retries import RetryBudget
from ..fleet.config import CallKind
from ..fleet.upstream import UpstreamRecord
from ..ids import Upstream
from ..observe.logs import log
from ..platform import headers as wire
from ..verdict import ErrorCode, Failure, Verdict
from .abort import AbortReason
from .admit import Admitted
from .dispatcher import Dispatcher
from .exchange import RETRY_SOON, Broken, Exchange, Outgoing, Reply
from .flight import Flight
from .poison import PoisonGuard
from .upstream_limits import UpstreamLimits

REFUSALS_MOST: Final = 3
"""Upstreams that may refuse a request before it is refused itself; each further one
costs the fleet's budget of retries and the caller time."""
FAILED_STATUS: Final = 500


class Attempts:
    """Sends requests until an upstream answers, or nothing more may be tried."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        exchange: Exchange,
        poison: PoisonGuard,
        limits: UpstreamLimits,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._dispatcher = dispatcher
        self._poison = poison
        self._limits = limits
        self._exchange = exchange
        self._clock = clock
        self._retries = RetryBudget()

    def first(self, flight: Flight) -> Result[Reply, Failure]:
        """Send a request that has just come."""
        self._retries.on_request(self._clock())
        return self._attempts(flight, None)

    def again(self, flight: Flight, failure: Failure) -> Result[Reply, Failure]:
        """Try once more after an answer was lost, where that is allowed."""
        flight.release()
        if not self._may_repeat(flight):
            return Err(failure)
        return self._attempts(flight, None)

    def resume(
        self, flight: Flight, failure: Failure, last_event: str | None
    ) -> Result[Reply, Failure]:
        """Return the answer of another run that goes on after an event."""
        flight.release()
        route = flight.admitted.route
        allowed = (
            route.resumable
            and flight.abort.reason is None
            and flight.attempts < route.max_attempts
            and self._retries.try_spend(self._clock())
        )
        if not allowed:
            return Err(failure)
        result = self._attempts(flight, last_event)
        if not isinstance(result, Success):
            return result
        reply: Reply = result.unwrap()
        if reply.status < 300:
            return Success(reply)
        reply.close()
        return Err(failure)

    def _may_repeat(self, flight: Flight) -> bool:
        route = flight.admitted.route
        return (
            flight.abort.reason is None
            and route.repeatable
            and flight.attempts < route.max_attempts
            and self._retries.try_spend(self._clock())
        )

    def _attempts(
        self, flight: Flight, last_event: str | None
    ) -> Result[Reply, Failure]:
        """Send until an upstream answers, or nothing more may be tried."""
        while True:
            result = self._attempt(flight, last_event)
            if isinstance(result, Success):
                return result
            failure = result.failure()
            if flight.abort.reason is not None:
                return Err(_true(flight, self._ended(flight, failure)))
            if not self._try_elsewhere(flight, failure):
                return Err(_true(flight, failure))

    def _try_elsewhere(self, flight: Flight, failure: Failure) -> bool:
        if flight.permit is None:
            return False
        flight.release()
        if failure.verdict is not Verdict.NOT_RUN:
            return self._may_repeat(flight)
        flight.refusals += 1
        if flight.refusals > REFUSALS_MOST:
            return False
        if failure.code is ErrorCode.NO_UPSTREAM:
            return True
        return self._retries.try_spend(self._clock())

    def _attempt(
        self, flight: Flight, last_event: str | None
    ) -> Result[Reply, Failure]:
        found = flight.admitted
        asked_at = self._clock()
        place = self._dispatcher.acquire(found.need, flight.abort, flight.excluded)
        flight.waited += self._clock() - asked_at
        if not isinstance(place, Success):
            return Err(place.failure())
        flight.permit = place.unwrap()
        record = flight.permit.record
        left = found.end_at - self._clock()
        if flight.abort.reason is not None or left <= 0:
            flight.release()
            reason = "its time was over before it was sent"
            return Err(Failure(ErrorCode.OVERLOADED, reason, retry_after=RETRY_SOON))
        out = self._outgoing(found, record.name, left, last_event)
        flight.sent_at, flight.head_at = self._clock(), None
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

    def _not_answered(self, flight: Flight, failure: Failure) -> Failure:
        assert flight.permit is not None
        record = flight.permit.record
        if flight.abort.reason is not None:
            return failure
        unreachable = failure.verdict is Verdict.NOT_RUN
        if not unreachable:
            flight.attempts += 1
            self._note_lost(flight, record)
        flight.excluded |= {record.name}
        self._dispatcher.failed(record, unreachable)
        self._tell(flight, "attempt_failed", failure)
        return failure

    def _judged(self, flight: Flight, reply: Reply) -> Result[Reply, Failure]:
        """Return the answer if it is the upstream's word on a request it ran."""
        assert flight.permit is not None
        record = flight.permit.record
        marks = reply.marks
        flight.head_at = self._clock()
        if marks.instance in (None, record.name) and reply.status != wire.MISDIRECTED:
            self._poison.answered(record, flight.sent_at)
            self._limits.answered(record, marks.limit, flight.sent_at)
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
        self._poison.completed(flight.call)
        if flight.attempts < flight.admitted.route.max_attempts and self._may_repeat(
            flight
        ):
            reply.close()
            flight.excluded |= {record.name}
            flight.release()
            return self._attempt(flight, None)
        return Success(reply)

    def _not_run(self, flight: Flight, reply: Reply) -> Failure:
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

    def _tell(self, flight: Flight, event: str, failure: Failure) -> None:
        permit = flight.permit
        log(
            event,
            request=flight.request,
            call=flight.call,
            upstream=permit.record.name if permit else "-",
            code=failure.code.value,
            verdict=failure.verdict.value,
            reason=failure.message,
            attempt=flight.attempts + flight.refusals,
        )

    def lost(self, flight: Flight, exc: Exception) -> Failure:
        """Note that an answer was cut short; return what its request is told."""
        if flight.abort.reason is not None:
            return self._ended(flight, Failure(ErrorCode.DEADLINE, "", Verdict.RAN))
        reason = f"the answer was cut short ({type(exc).__name__})"
        failure = Failure(ErrorCode.UPSTREAM_LOST, reason, Verdict.MAY_HAVE_RUN)
        if flight.permit is not None:
            record = flight.permit.record
            self._note_lost(flight, record)
            self._dispatcher.failed(record, False)
            flight.excluded |= {record.name}
        self._tell(flight, "answer_cut", failure)
        return failure

    def _note_lost(self, flight: Flight, record: UpstreamRecord) -> None:
        """Have it known that a call may have crashed its upstream.

        One whose stream has gone on for a while has not. The head of an answer may be
        lost with its upstream, so that none says nothing.
        """
        streams = flight.admitted.route.kind is CallKind.STREAM
        answering = 0.0 if flight.head_at is None else self._clock() - flight.head_at
        fresh = not streams or answering <= FRESH
        self._poison.lost(flight.call, record, fresh)

    def _ended(self, flight: Flight, failure: Failure) -> Failure:
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


def _true(flight: Flight, failure: Failure) -> Failure:
    """Return a failure whose verdict holds for all attempts of a request.

    The last upstream's word that it has not run the request says nothing of the one
    before, whose answer was lost.
    """
    if failure.verdict is not Verdict.NOT_RUN or flight.attempts == 0:
        return failure
    reason = f"an answer was lost, then: {failure.message}"
    return Failure(ErrorCode.UPSTREAM_LOST, reason, Verdict.MAY_HAVE_RUN)
