"""WSGI application of an entry: dispatch of HTTP paths."""

import threading
from collections.abc import Callable
from typing import Final

from returns.result import Success

from ..ids import ConfigVersion, RequestId, new_request_id
from ..observe.logs import log
from ..observe.metrics import CONTENT_TYPE, Metrics
from ..verdict import ErrorCode, Failure, Verdict
from ..web import Answer, Body, Request, json_answer, read_request
from ..web.http import Environ, StartResponse
from .answers import failure_answer
from .calls import CHAT_PATH, SERVICE_PREFIX
from .gateway import Gateway

MODELS_PATH: Final = "/v1/models"


class EntryApp:
    """Dispatches HTTP requests to their handlers.

    Parameters
    ----------
    gateway : Gateway
        Handles requests for models and services.
    metrics : Metrics
        Rendered at ``/metrics``.
    ready : callable
        Return whether the load balancer may send requests to this entry.
    version : callable
        Return the configuration version, which ``/readyz`` reports.
    refusal : callable
        Return the failure for a new request if all server threads are busy, or
        None.
    """

    def __init__(
        self,
        gateway: Gateway,
        metrics: Metrics,
        ready: Callable[[], bool],
        version: Callable[[], ConfigVersion],
        refusal: Callable[[], Failure | None],
    ) -> None:
        self._gateway = gateway
        self._metrics = metrics
        self._ready = ready
        self._version = version
        self._refusal = refusal
        self.draining = threading.Event()

    def __call__(self, environ: Environ, start_response: StartResponse) -> Body:
        """Handle one HTTP request."""
        request = new_request_id()
        return self._answer(environ, request).send(start_response)

    def _answer(self, environ: Environ, request: RequestId) -> Answer:
        try:
            result = read_request(environ)
            if not isinstance(result, Success):
                return failure_answer(result.failure(), request)
            return self._route(result.unwrap(), request)
        except Exception as exc:
            log("request_failed", request=request, error=repr(exc))
            reason = "the entry failed"
            failure = Failure(ErrorCode.INTERNAL, reason, Verdict.MAY_HAVE_RUN)
            return failure_answer(failure, request)

    def _route(self, req: Request, request: RequestId) -> Answer:
        match req.method, req.path:
            case "GET", "/healthz":
                return json_answer(200, {"status": "ok"})
            case "GET", "/readyz":
                return self._readiness()
            case "GET", "/metrics":
                data = self._metrics.render()
                return Answer(200, {"Content-Type": CONTENT_TYPE}, [data])
            case "GET", str(path) if path == MODELS_PATH:
                return self._list_models(req, request)
            case "POST", str(path) if path == CHAT_PATH:
                return self._handle_call(req, request)
        if req.path.startswith(SERVICE_PREFIX):
            return self._handle_call(req, request)
        failure = Failure(ErrorCode.NOT_FOUND, f"no {req.method} {req.path} here")
        return failure_answer(failure, request)

    def _readiness(self) -> Answer:
        ready = self._ready() and not self.draining.is_set()
        status = "ready" if ready else "not ready"
        body = {"status": status, "version": self._version()}
        return json_answer(200 if ready else 503, body)

    def _handle_call(self, req: Request, request: RequestId) -> Answer:
        if not self._ready():
            reason = "no configuration is in force here yet"
            failure = Failure(ErrorCode.STORE_UNAVAILABLE, reason, retry_after=1.0)
            return failure_answer(failure, request)
        refusal = self._refusal()
        if refusal is not None:
            return failure_answer(refusal, request)
        return self._gateway.handle(req, request)

    def _list_models(self, req: Request, request: RequestId) -> Answer:
        result = self._gateway.account_of(req)
        if not isinstance(result, Success):
            return failure_answer(result.failure(), request)
        names = self._gateway.models_of(result.unwrap())
        data = [{"id": name, "object": "model"} for name in names]
        body = {"object": "list", "data": data}
        return json_answer(200, body, X_Request_Id=str(request))
