"""Handling of a request: authentication, limits, forwarding and accounting."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from returns.result import Failure as Err
from returns.result import Result, Success

from ..catalog.keys import authenticate
from ..catalog.model import Catalog, PlanEntry
from ..ids import Account, RequestId, Tokens
from ..limits.limiter import Reservation
from ..limits.tokens import model_cost, service_cost
from ..observe.metrics import Metrics
from ..observe.traces import Hop, HopName, Traces
from ..verdict import ErrorCode, Failure, Verdict
from ..web import Answer, Request
from ..wire.messages import Priority
from .admitted import AdmittedCall
from .answers import STREAM_HEADERS, failure_answer, upstream_answer
from .calls import CHAT_PATH, Call, bearer_key, read_call
from .forward import Forwarder, FullReply, StreamingReply
from .idempotency import IdempotencyRecords, Permit
from .stream import StreamBody


class Limiter(Protocol):
    """Interface of the rate limiter."""

    def reserve(
        self, account: Account, cost: Tokens, timeout_s: float
    ) -> Result[Reservation, Failure]:
        """Reserve tokens, waiting up to ``timeout_s`` seconds."""

    def settle(self, reservation: Reservation, used: Tokens) -> None:
        """Return the unused part of a reservation."""


@dataclass(frozen=True)
class Timeouts:
    """Default and maximum request timeout, in seconds."""

    default_s: float
    max_s: float


@dataclass(frozen=True)
class _Context:
    """State of a request in progress, for accounting when the request ends."""

    request: RequestId
    account: Account
    start: float
    route: str
    hop: Hop
    reservation: Reservation


class Gateway:
    """Handles requests for models and services."""

    def __init__(
        self,
        timeouts: Timeouts,
        catalog: Callable[[], Catalog],
        limiter: Limiter,
        forwarder: Forwarder,
        records: IdempotencyRecords,
        metrics: Metrics,
        traces: Traces,
    ) -> None:
        self._timeouts = timeouts
        self._catalog = catalog
        self._limiter = limiter
        self._forwarder = forwarder
        self._records = records
        self._metrics = metrics
        self._traces = traces

    def account_of(self, req: Request) -> Result[Account, Failure]:
        """Return the account that owns the API key of a request."""
        return authenticate(self._catalog(), bearer_key(req))

    def models_of(self, account: Account) -> tuple[str, ...]:
        """Return the names of the models that an account's plan includes."""
        catalog = self._catalog()
        plan = catalog.plan_of(account)
        if plan is None:
            return ()
        return tuple(sorted(n for n in catalog.models if plan.may_use_model(n)))

    def handle(self, req: Request, request: RequestId) -> Answer:
        """Handle one request for a model or a service."""
        start = time.monotonic()
        route = "chat" if req.path == CHAT_PATH else "service"
        self._metrics.request_started(route)
        parent = self._traces.resample(req.headers.get("traceparent", ""))
        hop = self._traces.start(HopName.ENTRY, parent, request=request, route=route)
        admitted = self._admit(req, request, hop)
        if not isinstance(admitted, Success):
            self._record_end(None, route, hop, start, admitted.failure(), 0)
            return failure_answer(admitted.failure(), request)
        return self._run(admitted.unwrap(), route, hop, start)

    def _admit(
        self, req: Request, request: RequestId, hop: Hop
    ) -> Result[AdmittedCall, Failure]:
        account = self.account_of(req)
        if not isinstance(account, Success):
            return Err(account.failure())
        timeouts = self._timeouts
        parsed = read_call(req, timeouts.default_s, timeouts.max_s)
        if not isinstance(parsed, Success):
            return Err(parsed.failure())
        call = parsed.unwrap()
        catalog = self._catalog()
        plan = catalog.plan_of(account.unwrap())
        refusal = _access_failure(catalog, plan, call)
        if refusal is not None or plan is None:
            return Err(refusal or Failure(ErrorCode.NOT_PERMITTED, "no plan"))
        hop.set(account=account.unwrap(), model=call.model, service=call.service or "")
        return Success(
            AdmittedCall(
                request=request,
                account=account.unwrap(),
                call=call,
                config_version=lambda: self._catalog().version,
                weight=plan.weight,
                priority=_priority(plan, call),
                cost=_cost(catalog, call),
                repeatable=_repeatable(catalog, call),
                deadline_at=time.monotonic() + call.timeout_s,
                traceparent=hop.traceparent,
                disconnected=req.disconnected,
                key_withdrawn=lambda: not isinstance(self.account_of(req), Success),
            )
        )

    def _run(self, req: AdmittedCall, route: str, hop: Hop, start: float) -> Answer:
        remaining_s = req.deadline_at - time.monotonic()
        reserved = self._limiter.reserve(req.account, req.cost, remaining_s)
        if not isinstance(reserved, Success):
            self._record_end(req.account, route, hop, start, reserved.failure(), 0)
            return failure_answer(reserved.failure(), req.request)
        self._metrics.queue_time(req.account, time.monotonic() - start)
        reservation = reserved.unwrap()
        ctx = _Context(req.request, req.account, start, route, hop, reservation)
        req = replace(req, reservation=reservation)
        if req.call.idempotency_key and not req.repeatable:
            return self._run_once(req, ctx)
        return self._forward(req, ctx)

    def _run_once(self, req: AdmittedCall, ctx: _Context) -> Answer:
        claim = self._records.begin(req.account, req.call, req.request)
        if not isinstance(claim, Success):
            return self._answer(ctx, Err(claim.failure()))
        permit = claim.unwrap()
        if isinstance(permit, FullReply):
            return self._answer(ctx, Success(permit))
        assert isinstance(permit, Permit)
        result = self._forwarder.run(req)
        full = result.map(_as_full_reply)
        self._records.finish(permit, full)
        return self._answer(ctx, full)

    def _forward(self, req: AdmittedCall, ctx: _Context) -> Answer:
        result = self._forwarder.run(req)
        if not isinstance(result, Success):
            return self._answer(ctx, Err(result.failure()))
        reply = result.unwrap()
        if isinstance(reply, FullReply):
            return self._answer(ctx, Success(reply))
        headers = {**STREAM_HEADERS, "X-Request-Id": str(req.request)}
        return Answer(reply.status, headers, self._stream_body(ctx, reply))

    def _answer(self, ctx: _Context, result: Result[FullReply, Failure]) -> Answer:
        if not isinstance(result, Success):
            exc = result.failure()
            self._settle(ctx, exc, None)
            return failure_answer(exc, ctx.request)
        full = result.unwrap()
        self._settle(ctx, None, full.tokens, full.status)
        return upstream_answer(full.status, full.headers, full.body, ctx.request)

    def _stream_body(self, ctx: _Context, reply: StreamingReply) -> StreamBody:
        timer = _ChunkTimer(self._metrics, ctx)
        return StreamBody(
            reply.frames,
            ctx.request,
            timer.on_chunk,
            lambda exc, used: self._settle(ctx, exc, used),
        )

    def _settle(
        self,
        ctx: _Context,
        exc: Failure | None,
        used: Tokens | None,
        status: int = 200,
    ) -> None:
        """Settle the reservation and record the end of the request."""
        reserved = ctx.reservation.tokens
        if exc is not None and exc.verdict is Verdict.NOT_RUN:
            used = Tokens(0.0)
        # An interrupted answer may have cost all reserved tokens. Returning some
        # of them could let the account exceed its rate.
        spent = Tokens(min(reserved, reserved if used is None else used))
        self._limiter.settle(ctx.reservation, spent)
        self._metrics.tokens_used(ctx.account, spent)
        self._record_end(ctx.account, ctx.route, ctx.hop, ctx.start, exc, status)

    def _record_end(
        self,
        account: Account | None,
        route: str,
        hop: Hop,
        start: float,
        exc: Failure | None,
        status: int,
    ) -> None:
        code = status if exc is None else exc.http_status
        seconds = time.monotonic() - start
        self._metrics.request_done(account, route, code, exc, seconds)
        hop.set(status=code)
        if exc is not None:
            hop.fail(exc)
        hop.end()


class _ChunkTimer:
    """Records the time to the first chunk and between chunks of a stream."""

    def __init__(self, metrics: Metrics, ctx: _Context) -> None:
        self._metrics = metrics
        self._ctx = ctx
        self._last_at: float | None = None

    def on_chunk(self) -> None:
        """Record the arrival of a chunk."""
        now = time.monotonic()
        if self._last_at is None:
            ctx = self._ctx
            self._metrics.first_token(ctx.account, now - ctx.start)
        else:
            self._metrics.token_gap(now - self._last_at)
        self._last_at = now


def _as_full_reply(reply: FullReply | StreamingReply) -> FullReply:
    assert isinstance(reply, FullReply)
    return reply


def _access_failure(
    catalog: Catalog, plan: PlanEntry | None, call: Call
) -> Failure | None:
    if plan is None:
        return Failure(ErrorCode.NOT_PERMITTED, "the account has no plan")
    if call.service is not None:
        exists = call.service in catalog.services
        allowed = plan.may_use_service(call.service)
        name = f"service {call.service}"
    else:
        exists = call.model in catalog.models
        allowed = plan.may_use_model(call.model)
        name = f"model {call.model}"
    if not allowed:
        # Existing and unknown names get the same message; otherwise any caller
        # could discover the models of other accounts by trying names.
        return Failure(ErrorCode.NOT_PERMITTED, f"the plan has no {name}")
    if not exists:
        return Failure(ErrorCode.NOT_FOUND, f"there is no {name}")
    return None


def _priority(plan: PlanEntry, call: Call) -> Priority:
    if Priority.BATCH in (plan.priority, call.priority):
        return Priority.BATCH
    return Priority.INTERACTIVE


def _cost(catalog: Catalog, call: Call) -> Tokens:
    if call.service is not None:
        return service_cost(catalog.services[call.service])
    return model_cost(call.body, call.max_tokens).total


def _repeatable(catalog: Catalog, call: Call) -> bool:
    if call.service is None:
        return True
    path = call.path.partition("?")[0]
    return catalog.services[call.service].repeatable(call.method, path)
