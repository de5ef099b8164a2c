"""One request of a caller, from its key to its answer."""

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
from .admitted import Admitted
from .answers import STREAM_HEADERS, failure_answer, passed_answer
from .calls import CHAT_PATH, Call, bearer_key, read_call
from .forward import Forwarder, Streaming, Whole
from .once import CallRecords, Permit
from .stream import StreamBody


class Limiter(Protocol):
    """What the gateway needs of the rate limiter."""

    def reserve(
        self, account: Account, cost: Tokens, wait: float
    ) -> Result[Reservation, Failure]:
        """Take tokens, waiting up to ``wait`` seconds for them."""

    def settle(self, reservation: Reservation, used: Tokens) -> None:
        """Give back what was not used."""


@dataclass(frozen=True)
class Limits:
    """Timeouts of callers, in seconds."""

    default_timeout: float
    most_timeout: float


@dataclass(frozen=True)
class _Open:
    """A request under way: what its end has to settle."""

    request: RequestId
    account: Account
    began: float
    route: str
    hop: Hop
    reservation: Reservation


class Gateway:
    """Answers calls of models and services."""

    def __init__(
        self,
        limits: Limits,
        catalog: Callable[[], Catalog],
        limiter: Limiter,
        forwarder: Forwarder,
        records: CallRecords,
        metrics: Metrics,
        traces: Traces,
    ) -> None:
        self._limits = limits
        self._catalog = catalog
        self._limiter = limiter
        self._forwarder = forwarder
        self._records = records
        self._metrics = metrics
        self._traces = traces

    def account_of(self, req: Request) -> Result[Account, Failure]:
        """Return the account whose key came with a request."""
        return authenticate(self._catalog(), bearer_key(req))

    def models_of(self, account: Account) -> tuple[str, ...]:
        """Return the names of the models that an account's plan may use."""
        catalog = self._catalog()
        plan = catalog.plan_of(account)
        if plan is None:
            return ()
        return tuple(sorted(n for n in catalog.models if plan.may_use_model(n)))

    def handle(self, req: Request, request: RequestId) -> Answer:
        """Answer one call."""
        began = time.monotonic()
        route = "chat" if req.path == CHAT_PATH else "service"
        self._metrics.request_started(route)
        parent = self._traces.resample(req.headers.get("traceparent", ""))
        hop = self._traces.start(HopName.ENTRY, parent, request=request, route=route)
        admitted = self._admit(req, request, hop)
        if not isinstance(admitted, Success):
            self._close(None, route, hop, began, admitted.failure(), 0)
            return failure_answer(admitted.failure(), request)
        return self._serve(admitted.unwrap(), route, hop, began)

    def _admit(
        self, req: Request, request: RequestId, hop: Hop
    ) -> Result[Admitted, Failure]:
        account = self.account_of(req)
        if not isinstance(account, Success):
            return Err(account.failure())
        limits = self._limits
        read = read_call(req, limits.default_timeout, limits.most_timeout)
        if not isinstance(read, Success):
            return Err(read.failure())
        call = read.unwrap()
        catalog = self._catalog()
        plan = catalog.plan_of(account.unwrap())
        refusal = _not_permitted(catalog, plan, call)
        if refusal is not None or plan is None:
            return Err(refusal or Failure(ErrorCode.NOT_PERMITTED, "no plan"))
        hop.set(account=account.unwrap(), model=call.model, service=call.service or "")
        return Success(
            Admitted(
                request=request,
                account=account.unwrap(),
                call=call,
                version=lambda: self._catalog().version,
                weight=plan.weight,
                priority=_priority(plan, call),
                cost=_cost(catalog, call),
                repeatable=_repeatable(catalog, call),
                deadline_at=time.monotonic() + call.timeout,
                traceparent=hop.traceparent,
                disconnected=req.disconnected,
                withdrawn=lambda: not isinstance(self.account_of(req), Success),
            )
        )

    def _serve(self, req: Admitted, route: str, hop: Hop, began: float) -> Answer:
        left = req.deadline_at - time.monotonic()
        reserved = self._limiter.reserve(req.account, req.cost, left)
        if not isinstance(reserved, Success):
            self._close(req.account, route, hop, began, reserved.failure(), 0)
            return failure_answer(reserved.failure(), req.request)
        self._metrics.queue_time(req.account, time.monotonic() - began)
        reservation = reserved.unwrap()
        opened = _Open(req.request, req.account, began, route, hop, reservation)
        req = replace(req, reservation=reservation)
        if req.call.idempotency_key and not req.repeatable:
            return self._once(req, opened)
        return self._reply(req, opened)

    def _once(self, req: Admitted, opened: _Open) -> Answer:
        begun = self._records.begin(req.account, req.call, req.request)
        if not isinstance(begun, Success):
            return self._whole(opened, Err(begun.failure()))
        permit = begun.unwrap()
        if isinstance(permit, Whole):
            return self._whole(opened, Success(permit))
        assert isinstance(permit, Permit)
        result = self._forwarder.run(req)
        whole = result.map(_must_be_whole)
        self._records.finish(permit, whole)
        return self._whole(opened, whole)

    def _reply(self, req: Admitted, opened: _Open) -> Answer:
        result = self._forwarder.run(req)
        if not isinstance(result, Success):
            return self._whole(opened, Err(result.failure()))
        reply = result.unwrap()
        if isinstance(reply, Whole):
            return self._whole(opened, Success(reply))
        headers = {**STREAM_HEADERS, "X-Request-Id": str(req.request)}
        return Answer(reply.status, headers, self._stream(opened, reply))

    def _whole(self, opened: _Open, result: Result[Whole, Failure]) -> Answer:
        if not isinstance(result, Success):
            exc = result.failure()
            self._settle(opened, exc, None)
            return failure_answer(exc, opened.request)
        whole = result.unwrap()
        self._settle(opened, None, whole.used, whole.status)
        return passed_answer(whole.status, whole.headers, whole.body, opened.request)

    def _stream(self, opened: _Open, reply: Streaming) -> StreamBody:
        timer = _PartTimer(self._metrics, opened)
        return StreamBody(
            reply.frames,
            opened.request,
            timer.part,
            lambda exc, used: self._settle(opened, exc, used),
        )

    def _settle(
        self,
        opened: _Open,
        exc: Failure | None,
        used: Tokens | None,
        status: int = 200,
    ) -> None:
        """Settle the reservation, once, and note the end."""
        reserved = opened.reservation.tokens
        if exc is not None and exc.verdict is Verdict.NOT_RUN:
            used = Tokens(0.0)
        # An answer cut short may have cost all that was reserved; giving back
        # less than that could take the account above its rate.
        spent = Tokens(min(reserved, reserved if used is None else used))
        self._limiter.settle(opened.reservation, spent)
        self._metrics.tokens_used(opened.account, spent)
        self._close(opened.account, opened.route, opened.hop, opened.began, exc, status)

    def _close(
        self,
        account: Account | None,
        route: str,
        hop: Hop,
        began: float,
        exc: Failure | None,
        status: int,
    ) -> None:
        code = status if exc is None else exc.http_status
        seconds = time.monotonic() - began
        self._metrics.request_done(account, route, code, exc, seconds)
        hop.set(status=code)
        if exc is not None:
            hop.fail(exc)
        hop.end()


class _PartTimer:
    """Times the parts of one streamed answer."""

    def __init__(self, metrics: Metrics, opened: _Open) -> None:
        self._metrics = metrics
        self._opened = opened
        self._last: float | None = None

    def part(self) -> None:
        """Note that a part came."""
        now = time.monotonic()
        if self._last is None:
            opened = self._opened
            self._metrics.first_token(opened.account, now - opened.began)
        else:
            self._metrics.token_gap(now - self._last)
        self._last = now


def _must_be_whole(reply: Whole | Streaming) -> Whole:
    assert isinstance(reply, Whole)
    return reply


def _not_permitted(
    catalog: Catalog, plan: PlanEntry | None, call: Call
) -> Failure | None:
    if plan is None:
        return Failure(ErrorCode.NOT_PERMITTED, "the account has no plan")
    if call.service is not None:
        known = call.service in catalog.services
        allowed = plan.may_use_service(call.service)
        name = f"service {call.service}"
    else:
        known = call.model in catalog.models
        allowed = plan.may_use_model(call.model)
        name = f"model {call.model}"
    if not allowed:
        # The same words for what exists and what does not, or anybody could
        # list the models of other accounts by trying names.
        return Failure(ErrorCode.NOT_PERMITTED, f"the plan has no {name}")
    if not known:
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
