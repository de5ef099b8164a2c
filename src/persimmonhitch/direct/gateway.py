"""One request of a caller, from its head to the end of its answer."""

import time
from collections.abc import Callable, Iterator
from typing import Final

from returns.result import Success

from ..entry.answers import error_body
from ..fleet.call import CallerHeaders
from ..fleet.config import CallKind
from ..ids import RequestId, new_request_id
from ..observe.logs import log
from ..observe.metrics import Metrics
from ..platform import headers as wire
from ..verdict import ErrorCode, Failure, Verdict
from ..web import Answer, Request, json_answer
from .abort import Abort, Watchdog
from .admit import Admitted, InForce, admit
from .attempts import FAILED_STATUS, Attempts
from .dispatcher import Dispatcher
from .events import EventSplitter
from .exchange import Broken, Exchange, Reply
from .flight import Ends, Flight
from .poison import PoisonGuard
from .quota import Quota
from .upstream_limits import UpstreamLimits

CALLER_LEFT: Final = Failure(
    ErrorCode.DEADLINE, "the caller left", Verdict.MAY_HAVE_RUN
)
LEFT_STATUS: Final = 499
"""Status in logs and metrics of a request whose caller did not wait for its answer."""


def refuse(exc: Failure, request: RequestId) -> Answer:
    """Return the answer for a failure of ours; it may ask for parts of a second."""
    extra = {}
    if exc.retry_after is not None:
        extra["Retry_After"] = f"{exc.retry_after:.2f}"
    return json_answer(exc.http_status, error_body(exc, request), **extra)


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
        poison: PoisonGuard,
        limits: UpstreamLimits,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._in_force = in_force
        self._quota = quota
        self._dispatcher = dispatcher
        self._clock = clock
        self._poison = poison
        self._attempts = Attempts(dispatcher, exchange, poison, limits, clock)
        self._ends = Ends(
            quota, watchdog, metrics, lambda: in_force().cfg.version, clock
        )

    def handle(self, req: Request) -> Answer:
        """Answer one call."""
        caller = wire.read_caller(req.headers)
        in_force = self._in_force()
        admitted = admit(req, caller, in_force, self._clock)
        if not isinstance(admitted, Success):
            return self._turned_away(admitted.failure(), caller, in_force)
        found: Admitted = admitted.unwrap()
        refused = self._poison.refusal(found.need.call) or self._over_rate(found)
        if refused is not None:
            return self._turned_away(refused, caller, in_force)
        if found.need.model is not None:
            self._dispatcher.asked(found.need.model, found.need.tokens)
        flight = Flight(found, Abort(req.disconnected, found.end_at), found.route.name)
        self._ends.begin(flight)
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

    def _serve(self, flight: Flight) -> Answer:
        result = self._attempts.first(flight)
        if not isinstance(result, Success):
            return self._refused(flight, result.failure())
        reply: Reply = result.unwrap()
        if flight.admitted.route.kind is CallKind.STREAM and reply.status < 300:
            headers = wire.caller_headers(reply.headers)
            flight.reply = reply
            return Answer(reply.status, headers, _Body(self, flight))
        return self._whole(flight, reply)

    def _whole(self, flight: Flight, reply: Reply) -> Answer:
        while True:
            try:
                body = reply.whole()
                break
            except Broken as exc:
                reply.close()
                failure = self._attempts.lost(flight, exc)
                again = self._attempts.again(flight, failure)
                if not isinstance(again, Success):
                    return self._refused(flight, again.failure())
                reply = again.unwrap()
        headers = wire.caller_headers(reply.headers)
        headers["content-length"] = str(len(body))
        self._poison.completed(flight.call)
        self._ends.settle(flight, None, reply.status)
        return Answer(reply.status, headers, [body])

    def _refused(self, flight: Flight, failure: Failure) -> Answer:
        self._ends.settle(flight, failure, failure.http_status)
        return refuse(failure, flight.request)

    def events(self, flight: Flight) -> Iterator[bytes]:
        """Yield the events of a stream, resumed where its route allows it."""
        last: str | None = None
        while True:
            reply = flight.reply
            assert reply is not None
            try:
                splitter = EventSplitter()
                for part in reply.parts():
                    if flight.permit is not None:
                        flight.permit.heard()
                    for event in splitter.take(part):
                        self._ends.event(flight)
                        last = event.id or last
                        yield event.data
                if splitter.rest:
                    yield splitter.rest
                self._poison.completed(flight.call)
                self._ends.settle(flight, None, reply.status)
                return
            except Broken as exc:
                reply.close()
                failure = self._attempts.lost(flight, exc)
                flight.reply = self._resumed(flight, failure, last)

    def _resumed(self, flight: Flight, failure: Failure, last: str | None) -> Reply:
        result = self._attempts.resume(flight, failure, last)
        if isinstance(result, Success):
            reply: Reply = result.unwrap()
            return reply
        self._ends.settle(flight, failure, FAILED_STATUS)
        raise StreamCut(failure.message)

    def closed(self, flight: Flight) -> None:
        """Take the end of a stream, whoever ended it."""
        if flight.reply is not None:
            flight.reply.close()
        self._ends.settle(flight, CALLER_LEFT, LEFT_STATUS)


class StreamCut(Exception):
    """A stream ends before its last event; the server breaks the connection off."""


class _Body:
    """Body of a streamed answer; the server calls ``close`` in every case."""

    def __init__(self, gateway: Gateway, flight: Flight) -> None:
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
