"""Decides at which software version a resumed stream goes on."""

import time
from collections.abc import Callable

from ..fleet.config import RouteKind
from ..observe.logs import log
from ..observe.metrics import Metrics
from ..verdict import ErrorCode, Failure
from .exchange import RETRY_AFTER
from .in_flight import InFlightRequest
from .stream_origins import StreamOrigins


class Resumptions:
    """Binds each stream to the software version that began it."""

    def __init__(
        self,
        origins: StreamOrigins,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._origins = origins
        self._metrics = metrics
        self._clock = clock

    def admit(self, request: InFlightRequest) -> Failure | None:
        """Set the version at which a caller's stream goes on, or return the refusal."""
        caller, route = request.admitted.caller, request.admitted.route
        if route.kind is not RouteKind.STREAM or not caller.last_event_id:
            return None
        service = request.admitted.request.service
        started_at = self._clock()
        origin = self._origins.wait_for_origin(
            caller.resumes,
            request.account,
            service,
            route.timeout,
            request.admitted.deadline_at - started_at,
            request.abort,
        )
        knowledge = origin.knowledge
        self._metrics.stream_resumed(knowledge.value, knowledge.is_sufficient)
        log(
            "stream_resumption",
            request=request.request_id,
            resumes=caller.resumes or "-",
            after=caller.last_event_id,
            knowledge=knowledge.value,
            version=origin.version or "-",
            list_age=self._origins.list_age_s(),
            waited=self._clock() - started_at,
            accepted=knowledge.is_sufficient,
        )
        if knowledge.is_sufficient:
            request.version = origin.version
            return None
        reason = f"the software version that began the stream: {knowledge.value}"
        return Failure(ErrorCode.VERSION_UNKNOWN, reason, retry_after=RETRY_AFTER)

    def record_first_event(self, request: InFlightRequest) -> None:
        """Remember the software version that begins a stream."""
        if request.permit is None:
            return
        record = request.permit.record
        request.version = record.version
        for request_id in (request.request_id, request.admitted.caller.resumes):
            if request_id:
                self._origins.began(request_id, request.account, record)

    def record_break(self, request: InFlightRequest) -> None:
        """Prepare for a caller that resumes its stream at another entry."""
        if request.first_event_s is not None and request.admitted.route.resumable:
            self._origins.broke_off(request.request_id)

    def may_go_on(self, request: InFlightRequest) -> bool:
        """Return whether the version that began a stream is still certain.

        It is not if the upstream restarted with another version meanwhile.
        """
        if request.first_event_s is None:
            return True
        admitted = request.admitted
        origin = self._origins.wait_for_origin(
            request.request_id,
            request.account,
            admitted.request.service,
            max_age_s=self._clock() - admitted.request.arrived,
            max_wait_s=admitted.deadline_at - self._clock(),
            abort=request.abort,
        )
        return origin.knowledge.is_sufficient
