"""Failures of attempts at upstreams, and the lines that tell of them."""

from typing import Final

from ..fleet.upstream import UpstreamRecord
from ..observe.logs import log
from ..platform import headers as wire
from ..verdict import ErrorCode, Failure, Verdict
from .abort import AbortReason
from .exchange import RETRY_AFTER, Reply
from .in_flight import InFlightRequest

STOPPING: Final = Failure(
    ErrorCode.SHUTTING_DOWN, "this entry is stopping", retry_after=0.0
)


def _answer_fields(reply: Reply) -> dict[str, object]:
    """Return the log fields that tell whose answer a reply is."""
    return {
        "status": reply.status,
        "not_run": reply.parsed_headers.not_run,
        "answer": reply.parsed_headers.request_id or "-",
        "conn": reply.port,
        "earlier": reply.earlier_requests,
        "backoff": reply.parsed_headers.backoff_s,
    }


def is_from(record: UpstreamRecord, reply: Reply) -> bool:
    """Return whether an answer comes from the upstream to which a request was sent.

    An instance that rejects a request for another one need not give its name.
    """
    instance = reply.parsed_headers.instance
    if reply.status == wire.MISDIRECTED:
        return instance == record.name
    return instance in (None, record.name)


def overall_failure(request: InFlightRequest, failure: Failure) -> Failure:
    """Return a failure whose verdict covers all attempts of a request.

    If the last upstream did not execute the request, an earlier upstream whose answer
    was lost may still have.
    """
    if failure.verdict is not Verdict.NOT_RUN or request.attempts == 0:
        return failure
    reason = f"an answer was lost, then: {failure.message}"
    return Failure(ErrorCode.UPSTREAM_LOST, reason, Verdict.MAY_HAVE_RUN)


def abort_failure(request: InFlightRequest, failure: Failure) -> Failure:
    """Return the failure for the caller of an aborted request."""
    reason = request.abort.reason
    assert reason is not None
    verdict = failure.verdict
    if verdict is Verdict.NOT_RUN and reason is AbortReason.TIMEOUT:
        text = "no upstream could take it in its time"
        return Failure(ErrorCode.OVERLOADED, text, verdict, RETRY_AFTER)
    if verdict is Verdict.NOT_RUN:
        return Failure(ErrorCode.SHUTTING_DOWN, reason.value, verdict, RETRY_AFTER)
    return Failure(ErrorCode.DEADLINE, reason.value, Verdict.MAY_HAVE_RUN)


def log_attempt(
    request: InFlightRequest,
    event: str,
    failure: Failure,
    reply: Reply | None = None,
) -> None:
    """Log one upstream's part in a request, with its answer if there is one."""
    permit = request.permit
    answer_fields = _answer_fields(reply) if reply is not None else {}
    log(
        event,
        request=request.request_id,
        call=request.fingerprint,
        parts=request.parts_text,
        upstream=permit.record.name if permit else "-",
        code=failure.code.value,
        verdict=failure.verdict.value,
        reason=failure.message,
        attempt=request.attempts + request.refusals,
        framing=request.framing.value if request.framing else "-",
        leaving=request.leaving,
        **answer_fields,
    )
