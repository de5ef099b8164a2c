"""A request under way, and how its end is noted."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from ..ids import ConfigVersion, Fingerprint, RequestId, Upstream
from ..observe.logs import Sampled, log
from ..observe.metrics import Metrics
from ..verdict import Failure, Verdict
from .abort import Abort, Watchdog
from .admit import Admitted
from .dispatcher import Permit
from .exchange import Reply
from .quota import Quota


@dataclass
class Flight:
    """A request under way, and what its end has to settle."""

    admitted: Admitted
    abort: Abort
    route: str
    permit: Permit | None = None
    attempts: int = 0
    refusals: int = 0
    excluded: frozenset[Upstream] = frozenset()
    settled: bool = False
    sent_at: float = 0.0
    """When its newest attempt was sent, and when the head of its answer came."""
    head_at: float | None = None
    reply: Reply | None = None
    """The answer that is being passed on."""
    waited: float = 0.0
    """Seconds for which its attempts waited for a place."""
    first_event: float | None = None
    """Seconds from its arrival to the first event of its stream."""
    event_at: float = 0.0
    longest_gap: float = 0.0
    """Seconds of the longest pause between two events."""

    @property
    def request(self) -> RequestId:
        """Return the id that the caller gave it."""
        return self.admitted.caller.request

    @property
    def call(self) -> Fingerprint:
        """Return what it has in common with its repeats under other ids."""
        return self.admitted.need.call

    def release(self) -> None:
        """Give its place at an upstream back, if it has one."""
        permit, self.permit = self.permit, None
        if permit is not None:
            permit.release()


class Ends:
    """Settles requests: their tokens, their place, metrics and the line that tells."""

    def __init__(
        self,
        quota: Quota,
        watchdog: Watchdog,
        metrics: Metrics,
        version: Callable[[], ConfigVersion],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._quota = quota
        self._watchdog = watchdog
        self._metrics = metrics
        self._version = version
        self._clock = clock
        self._done = Sampled("request_done")

    def begin(self, flight: Flight) -> None:
        """Note a request that is to be served."""
        self._metrics.request_started(flight.route)
        self._watchdog.add(flight.abort)

    def _first_event(self, flight: Flight) -> None:
        """Note the first event of a stream."""
        if flight.permit is not None:
            flight.permit.first_token()
        account = flight.admitted.account
        seconds = self._clock() - flight.admitted.need.arrived
        flight.first_event = seconds
        if account is not None:
            self._metrics.first_token(account.name, seconds)

    def event(self, flight: Flight) -> None:
        """Note one event of a stream."""
        now = self._clock()
        if flight.first_event is None:
            self._first_event(flight)
        else:
            flight.longest_gap = max(flight.longest_gap, now - flight.event_at)
        flight.event_at = now

    def settle(self, flight: Flight, failure: Failure | None, status: int) -> None:
        """Note the end of a request, once."""
        if flight.settled:
            return
        flight.settled = True
        self._watchdog.remove(flight.abort)
        upstream = flight.permit.record.name if flight.permit else "-"
        flight.release()
        found = flight.admitted
        account = found.account.name if found.account is not None else None
        never_ran = flight.attempts == 0
        if failure is not None and never_ran and account is not None:
            self._quota.refund(account, found.cost)
        seconds = self._clock() - found.need.arrived
        self._metrics.request_done(account, flight.route, status, failure, seconds)
        self._log(flight, failure, status, seconds, upstream)

    def _log(
        self,
        flight: Flight,
        failure: Failure | None,
        status: int,
        seconds: float,
        upstream: str,
    ) -> None:
        found = flight.admitted
        fields: dict[str, object] = {
            "request": flight.request,
            "call": flight.call,
            "route": flight.route,
            "account": found.account.name if found.account else "-",
            "model": found.caller.model or "-",
            "adapter": found.caller.adapter or "-",
            "upstream": upstream,
            "status": status,
            "attempts": flight.attempts,
            "refusals": flight.refusals,
            "seconds": seconds,
            "waited": flight.waited,
            "first": flight.first_event,
            "gap": flight.longest_gap,
            "config": self._version(),
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
