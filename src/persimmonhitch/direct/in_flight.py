"""State of a request in progress, and its final accounting."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

from ..decide.dispatch import DispatchRequest
from ..decide.stop_admission import RunTimes
from ..http_client import BoundedConnection, Framing
from ..ids import (
    Account,
    ConfigVersion,
    Fingerprint,
    RequestId,
    SoftwareVersion,
    Upstream,
)
from ..observe.logs import SampledLog, log
from ..observe.metrics import Metrics
from ..verdict import Failure, Verdict
from .abort import Abort, AbortReason, Watchdog
from .admit import Admitted
from .dispatcher import Permit
from .exchange import Reply
from .quota import Quota

MAX_LOGGED_PARTS: Final = 8


@dataclass
class InFlightRequest:
    """A request in progress, with the data that its final accounting needs."""

    admitted: Admitted
    abort: Abort
    route_name: str
    permit: Permit | None = None
    version: SoftwareVersion | None = None
    """Software version that began the stream, once an event was received."""
    attempts: int = 0
    """Attempts that an upstream may have executed."""
    refusals: int = 0
    """Attempts that were not executed."""
    excluded: frozenset[Upstream] = frozenset()
    """Upstreams at which an attempt failed."""
    used_conns: set[BoundedConnection] = field(default_factory=set)
    """Connections on which attempts were sent."""
    settled: bool = False
    sent_at: float = 0.0
    """Time at which the newest attempt was sent; ``head_at`` is the arrival time of
    the head of its answer."""
    head_at: float | None = None
    framing: Framing | None = None
    """Framing of the newest answer."""
    leaving: bool = False
    """Whether the upstream of the newest answer reported that it is leaving."""
    reply: Reply | None = None
    """The answer being forwarded to the caller."""
    waited_s: float = 0.0
    """Total time that attempts waited for a slot."""
    first_event_s: float | None = None
    """Time from arrival to the first event of the stream."""
    last_event_at: float = 0.0
    longest_gap: float = 0.0
    """Longest time between two events, in seconds."""

    @property
    def request_id(self) -> RequestId:
        """Return the request id set by the caller."""
        return self.admitted.caller.request_id

    @property
    def fingerprint(self) -> Fingerprint:
        """Return the fingerprint shared by repeats of the request under other ids."""
        return self.admitted.request.fingerprint

    @property
    def dispatch_request(self) -> DispatchRequest:
        """Return what the next attempt needs of an upstream."""
        return replace(self.admitted.request, version=self.version)

    @property
    def account(self) -> Account | None:
        """Return the client account, None on a public route."""
        account = self.admitted.account
        return account.name if account is not None else None

    @property
    def parts_text(self) -> str:
        """Return the shared parts of the prompt for a log line, the first few only."""
        parts = self.admitted.request.parts
        left_out = len(parts) - MAX_LOGGED_PARTS
        shown = ",".join(parts[:MAX_LOGGED_PARTS]) or "-"
        return f"{shown},and {left_out} more" if left_out > 0 else shown

    def release(self) -> None:
        """Release the slot at an upstream, if there is one."""
        permit, self.permit = self.permit, None
        if permit is not None:
            permit.release()


class RequestTracker:
    """Tracks requests; at the end of each, settles tokens, slot, metrics and log."""

    def __init__(
        self,
        quota: Quota,
        watchdog: Watchdog,
        metrics: Metrics,
        config_version: Callable[[], ConfigVersion],
        run_times: RunTimes,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._quota = quota
        self._watchdog = watchdog
        self._metrics = metrics
        self._config_version = config_version
        self._run_times = run_times
        self._clock = clock
        self._completion_log = SampledLog("request_done")

    def start(self, request: InFlightRequest) -> None:
        """Start tracking a request."""
        self._metrics.request_started(request.route_name)
        self._watchdog.add(request.abort)

    def _record_first_event(self, request: InFlightRequest) -> None:
        """Record the first event of a stream."""
        if request.permit is not None:
            request.permit.record_first_token()
        account = request.admitted.account
        seconds = self._clock() - request.admitted.request.arrived
        request.first_event_s = seconds
        if account is not None:
            self._metrics.first_token(account.name, seconds)

    def record_event(self, request: InFlightRequest) -> None:
        """Record an event of a stream."""
        now = self._clock()
        if request.first_event_s is None:
            self._record_first_event(request)
        else:
            request.longest_gap = max(request.longest_gap, now - request.last_event_at)
        request.last_event_at = now

    def settle(
        self, request: InFlightRequest, failure: Failure | None, status: int
    ) -> None:
        """Settle a request; further calls have no effect."""
        if request.settled:
            return
        request.settled = True
        self._watchdog.remove(request.abort)
        upstream = request.permit.record.name if request.permit else "-"
        if request.permit is not None and request.first_event_s is not None:
            request.permit.record_stream(request.longest_gap)
        request.release()
        admitted = request.admitted
        account = admitted.account.name if admitted.account is not None else None
        never_ran = request.attempts == 0
        if failure is not None and never_ran and account is not None:
            self._quota.refund(account, admitted.cost)
        seconds = self._clock() - admitted.request.arrived
        if request.attempts and request.abort.reason is not AbortReason.CALLER_LEFT:
            self._run_times.record(request.route_name, seconds)
        self._metrics.request_done(
            account, request.route_name, status, failure, seconds
        )
        self._log(request, failure, status, seconds, upstream)

    def _log(
        self,
        request: InFlightRequest,
        failure: Failure | None,
        status: int,
        seconds: float,
        upstream: str,
    ) -> None:
        admitted = request.admitted
        fields: dict[str, object] = {
            "request": request.request_id,
            "status": status,
            "attempts": request.attempts,
            "refusals": request.refusals,
            "call": request.fingerprint,
            "parts": request.parts_text,
            "route": request.route_name,
            "account": admitted.account.name if admitted.account else "-",
            "model": admitted.caller.model or "-",
            "adapter": admitted.caller.adapter or "-",
            "upstream": upstream,
            "seconds": seconds,
            "waited": request.waited_s,
            "first": request.first_event_s,
            "gap": request.longest_gap,
            "framing": request.framing.value if request.framing else "-",
            "leaving": request.leaving,
            "config": self._config_version(),
        }
        if failure is None and status < 400:
            self._completion_log.log(**fields)
            return
        reason, departure = request.abort.reason, request.abort.departure
        if departure is not None:
            fields |= {
                "left_in": departure.step.value,
                "silent": departure.silent_s,
                "closed_for": departure.closed_for_s,
                "unsent": departure.unsent_bytes,
                "left_for": self._clock() - departure.at,
            }
        log(
            "request_failed",
            **fields,
            verdict=failure.verdict.value if failure else Verdict.RAN.value,
            code=failure.code.value if failure else "-",
            ended=reason.value if reason else "-",
            reason=failure.message if failure else "the upstream's own answer",
        )
