"""WSGI applications of the direct entry: caller traffic and status endpoints."""

from collections.abc import Callable

from returns.result import Success

from ..ids import RequestId, new_request_id
from ..observe.logs import log
from ..observe.metrics import CONTENT_TYPE, Metrics
from ..platform.headers import parse_caller
from ..platform.names import READINESS_PATH
from ..verdict import ErrorCode, Failure, Verdict
from ..web import Answer, Body, Request, json_answer, read_request
from ..web.http import Environ, StartResponse
from .gateway import Gateway, refuse


class CallerApp:
    """Answers callers, unless ``refusal`` returns a failure for all new requests."""

    def __init__(self, gateway: Gateway, refusal: Callable[[], Failure | None]) -> None:
        self._gateway = gateway
        self._refusal = refusal

    def __call__(self, environ: Environ, start_response: StartResponse) -> Body:
        """Answer one request."""
        return self._answer(environ).send(start_response)

    def _answer(self, environ: Environ) -> Answer:
        try:
            result = read_request(environ)
            if not isinstance(result, Success):
                return _refuse_early(result.failure(), new_request_id())
            req: Request = result.unwrap()
            refusal = self._refusal()
            if refusal is not None:
                caller = parse_caller(req.headers)
                return _refuse_early(refusal, caller.request_id or new_request_id())
            return self._gateway.handle(req)
        except Exception as exc:
            log("request_failed", error=repr(exc))
            reason = "the entry failed"
            failure = Failure(ErrorCode.INTERNAL, reason, Verdict.MAY_HAVE_RUN)
            return refuse(failure, new_request_id())


def _refuse_early(failure: Failure, request_id: RequestId) -> Answer:
    """Refuse a request before admission and log the reason under its id.

    Without the id, a refused request can't be found in the log and appears lost.
    """
    log(
        "request_refused",
        request=request_id,
        code=failure.code.value,
        reason=failure.message,
        retry_after=failure.retry_after,
    )
    return refuse(failure, request_id)


class StatusApp:
    """Serves readiness checks of the load balancer and the metrics."""

    def __init__(self, ready: Callable[[], bool], metrics: Metrics) -> None:
        self._ready = ready
        self._metrics = metrics

    def __call__(self, environ: Environ, start_response: StartResponse) -> Body:
        """Answer one request."""
        path = environ["PATH_INFO"]
        if path == "/metrics":
            data = self._metrics.render()
            answer = Answer(200, {"Content-Type": CONTENT_TYPE}, [data])
        elif path == READINESS_PATH:
            answer = json_answer(200 if self._ready() else 503, {})
        else:
            answer = json_answer(404, {})
        return answer.send(start_response)
