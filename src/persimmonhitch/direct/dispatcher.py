"""Queues requests for upstream slots and assigns slots by rank.

Where claims are in use and the load of upstreams is controlled, requests wait and are
refused by their claims (``decide/contention.py``), elsewhere by their latency targets.
"""

import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..decide.contention import Claim, waiting_order
from ..decide.dispatch import (
    Choice,
    DispatchRequest,
    Step,
    UpstreamView,
    choose_upstream,
)
from ..decide.evacuation import ZoneEvacuations
from ..decide.room_reserve import has_unused_room
from ..decide.wait_limits import (
    LIMIT_REPLY_TIMEOUT_S,
    LOAD_REPORT_TIMEOUT_S,
    limit_refusal,
    load_refusal,
    load_wait_deadline,
    queue_key,
    refusal,
    wait_deadline,
)
from ..fleet.call import ServerLoad
from ..fleet.config import FleetConfig
from ..fleet.upstream import UpstreamRecord
from ..ids import Account, Adapter, Model, Service, Upstream, Vm, Zone
from ..observe.logs import log
from ..observe.metrics import Metrics
from ..verdict import Failure
from .abort import Abort
from .contention import Contention
from .demand_weights import DemandWeights
from .peer_messages import DrainUpdate, EntryUpdate, InventoryUpdate, LoadRequest
from .poison import PoisonGuard
from .upstream_limits import UpstreamLimits
from .upstream_table import UpstreamTable

RESEND_INTERVAL_S = 0.25
"""Interval between load requests for a model or adapter that is still missing.

The sender can't detect a lost message; an adapter load takes a tenth of this time."""
LOAD_STEPS: Final = (Step.LOAD, Step.LOAD_ADAPTER, Step.WAIT_FOR_MODEL)
"""Steps of requests whose model or adapter the leader must load."""


@dataclass(eq=False)
class _Waiter:
    request: DispatchRequest
    excluded: frozenset[Upstream]
    """Upstreams at which earlier attempts of the request failed."""
    give_up_at: float
    claim: Claim | None = None
    """What the request is owed; None if claims are not in use for its service."""
    decided: threading.Event = field(default_factory=threading.Event)
    upstream: UpstreamRecord | None = None
    failure: Failure | None = None
    last_choice: Choice = Choice(Step.WAIT)
    limited_by: frozenset[Upstream] = frozenset()
    """All capable upstreams if each of them is at its request limit, else empty."""

    def sort_key(self, now: float) -> tuple[int, bool, bool, int, float]:
        if self.claim is not None:
            return waiting_order(self.claim, now)
        rank, until = queue_key(self.request)
        return rank, False, False, 0, until

    @property
    def needs_room(self) -> bool:
        """Whether the request waits for room at an upstream and for nothing else."""
        is_waiting = self.last_choice.step is Step.WAIT and not self.limited_by
        return is_waiting and not self.decided.is_set()


class Permit:
    """A slot at an upstream for one attempt; releasing it twice has no effect."""

    def __init__(
        self,
        dispatcher: "Dispatcher",
        record: UpstreamRecord,
        request: DispatchRequest,
        sent_at: float,
        unread: int,
    ) -> None:
        self.record = record
        self.request = request
        self._dispatcher = dispatcher
        self._sent_at = sent_at
        self._unread = unread
        self._prefill_done = False
        self._answered_at: float | None = None
        self._released = False

    def record_activity(self) -> None:
        """Record that the upstream sent output."""
        self._dispatcher.record_activity(self.record)

    def record_first_token(self) -> None:
        """Record that the upstream has processed the prompt."""
        if not self._prefill_done:
            self._prefill_done = True
            self._dispatcher.record_first_token(
                self.record, self.request, self._sent_at, self._unread
            )

    def record_answer(self) -> None:
        """Record that the upstream runs or has run the request."""
        self._answered_at = self._dispatcher.now()

    def record_stream(self, longest_pause_s: float) -> None:
        """Record the longest pause of a stream that has ended."""
        self._dispatcher.record_stream(self.request, longest_pause_s)

    def release(self) -> None:
        """Release the slot."""
        if not self._released:
            self._released = True
            self._dispatcher.release(
                self.record, self.request, self._prefill_done, self._occupancy_s()
            )

    def _occupancy_s(self) -> float | None:
        """Return the seconds for which the request held a slot, None if it did not.

        A plain upstream answers when it is done; its caller may still be reading.
        """
        if self._answered_at is None:
            return None
        is_done = self.request.model is None
        end = self._answered_at if is_done else self._dispatcher.now()
        return end - self._sent_at


class Dispatcher:
    """Assigns upstream slots to requests in the order of their sort keys."""

    def __init__(
        self,
        zone: Zone,
        send_load_request: Callable[[LoadRequest], None],
        poison: PoisonGuard,
        limits: UpstreamLimits,
        clock: Callable[[], float] = time.monotonic,
        evacuations: ZoneEvacuations | None = None,
        controls_load: bool = False,
        metrics: Metrics | None = None,
        uses_claims: bool = True,
    ) -> None:
        self._metrics = metrics
        self._uses_claims = uses_claims
        self._zone = zone
        self._send_load_request = send_load_request
        self._poison = poison
        self._limits = limits
        self._clock = clock
        self._lock = threading.Lock()
        self._table = UpstreamTable(clock, evacuations, controls_load)
        self._contention = Contention(metrics)
        self._waiters: list[_Waiter] = []
        self._requested: dict[tuple[Model, Adapter | None, Upstream | None], float] = {}
        """When each load request was last sent."""
        self._ready_at: dict[Model, float] = {}
        """Expected end of each model load, as reported by the leader."""
        self._demand: dict[Model, float] = {}
        """Tokens requested of each model since the start."""
        self._demand_weights = DemandWeights()
        self._cfg: FleetConfig | None = None
        self._closing: Failure | None = None

    # -- requests ----------------------------------------------------------------

    def acquire(
        self,
        request: DispatchRequest,
        abort: Abort,
        excluded: frozenset[Upstream] = frozenset(),
    ) -> Result[Permit, Failure]:
        """Wait for a slot; return a permit, or a failure if no slot is free in time."""
        now = self._clock()
        with self._lock:
            request = self._table.with_read_work(request)
            if self._closing is not None:
                return Err(self._closing)
            waiter = self._make_waiter(request, excluded, now)
            self._waiters.append(waiter)
            self._match_waiters()
            if not waiter.decided.is_set():
                self._refuse_if_load_is_late(waiter, now)
        abort.set_action(waiter.decided.set)
        while not waiter.decided.wait(max(0.0, waiter.give_up_at - now)):
            now = self._clock()
            if now >= waiter.give_up_at:
                break
        with self._lock:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            if waiter.upstream is None:
                return Err(waiter.failure or self._no_slot_failure(waiter))
            unread = self._table.unread_tokens(waiter.upstream.name)
            sent_at = self._clock()
        return Success(Permit(self, waiter.upstream, request, sent_at, unread))

    def _make_waiter(
        self, request: DispatchRequest, excluded: frozenset[Upstream], now: float
    ) -> _Waiter:
        if not self._uses_claims or not self._table.controls_load(request.service):
            return _Waiter(request, excluded, wait_deadline(request))
        claim = self._contention.make_claim(
            request, excluded, now, self._table.first_event_s(request)
        )
        return _Waiter(request, excluded, claim.send_by, claim)

    def _no_slot_failure(self, waiter: _Waiter) -> Failure:
        trial_failure = None
        if waiter.last_choice.step is Step.WAIT:
            trial_failure = self._poison.trial_refusal(
                waiter.request.fingerprint, waiter.request.parts
            )
        if trial_failure is None and waiter.limited_by:
            return limit_refusal(waiter.request, self._limits.wait_s(waiter.limited_by))
        if trial_failure is not None:
            return trial_failure
        if waiter.last_choice.step in (Step.LOAD, Step.WAIT_FOR_MODEL):
            return self._load_refusal(waiter, self._clock())
        if waiter.claim is not None and waiter.last_choice.step is Step.WAIT:
            unused = self._has_unused_room(waiter)
            return self._contention.refuse_overdue(waiter.claim, self._clock(), unused)
        return refusal(waiter.last_choice.step, waiter.request)

    def _load_refusal(self, waiter: _Waiter, now: float) -> Failure:
        request, step = waiter.request, waiter.last_choice.step
        ready_at = self._load_ends_at(waiter, now)
        loading = ready_at > now
        wait = ready_at - now if loading else self._cold_load_s(request)
        if step is Step.WAIT_FOR_MODEL:
            log(
                "adapter_refused",
                model=request.model,
                adapter=request.adapter,
                ready_in=wait,
            )
        return load_refusal(step, request, wait, now, loading)

    def _load_ends_at(self, waiter: _Waiter, now: float) -> float:
        """Return the expected end of the load that a request waits for."""
        choice, model = waiter.last_choice, waiter.request.model
        if choice.step is Step.WAIT_FOR_MODEL:
            return now + choice.wait_s
        return self._ready_at.get(model, 0.0) if model is not None else 0.0

    def _cold_load_s(self, request: DispatchRequest) -> float:
        service = self._cfg.services.get(request.service) if self._cfg else None
        if service is None or service.engine is None or request.model is None:
            return 0.0
        spec = service.engine.models.get(request.model)
        return spec.cold_load_s if spec is not None else 0.0

    def _refuse_if_load_is_late(self, waiter: _Waiter, now: float) -> None:
        """Refuse a waiting request at once if it would wait too long for a load."""
        request, step = waiter.request, waiter.last_choice.step
        if step not in (Step.LOAD, Step.WAIT_FOR_MODEL):
            return
        ready_at = self._load_ends_at(waiter, now)
        if ready_at <= now:
            # The leader has not reported a load of this model yet.
            waiter.give_up_at = min(request.deadline_at, now + LOAD_REPORT_TIMEOUT_S)
            return
        if ready_at < load_wait_deadline(request):
            waiter.give_up_at = load_wait_deadline(request)
            return
        waiter.failure = self._load_refusal(waiter, now)
        waiter.decided.set()

    def now(self) -> float:
        """Return the monotonic time of this dispatcher's clock."""
        return self._clock()

    def record_demand(self, request: DispatchRequest) -> None:
        """Add a request's tokens to the demand for its model, whatever its outcome."""
        model = request.model
        if model is None:
            return
        with self._lock:
            tokens = self._demand_weights.weigh(request)
            self._demand[model] = self._demand.get(model, 0.0) + tokens

    def record_stream(self, request: DispatchRequest, longest_pause_s: float) -> None:
        """Record the longest pause of a stream that has ended."""
        with self._lock:
            self._table.record_stream(request, longest_pause_s)

    def record_first_token(
        self,
        record: UpstreamRecord,
        request: DispatchRequest,
        sent_at: float,
        unread: int,
    ) -> None:
        """Record the first token of a request, which ends its prompt processing."""
        with self._lock:
            self._table.record_first_token(
                record.name, request, self._clock() - sent_at, unread
            )
            if request.read_tokens is not None and self._waiters:
                # The engine has time for another prompt.
                self._match_waiters(record)

    def release(
        self,
        record: UpstreamRecord,
        request: DispatchRequest,
        prefill_done: bool,
        occupancy_s: float | None = None,
    ) -> None:
        """Count the end of an attempt and assign the free slot to a waiting request."""
        with self._lock:
            self._table.record_finish(record.name, request, prefill_done)
            if occupancy_s is not None:
                self._table.record_occupancy(record, occupancy_s)
            self._poison.ended(request.fingerprint, record.name)
            self._match_waiters(record)

    def close(self, failure: Failure) -> None:
        """Refuse waiting and new requests while callers can still try another entry."""
        with self._lock:
            self._closing = failure
            for waiter in self._waiters:
                waiter.failure = failure
                waiter.decided.set()

    def _match_waiters(self, freed: UpstreamRecord | None = None) -> None:
        """Assign free slots to waiting requests in the order of their sort keys.

        If given, ``freed`` alone has gained a slot: skip requests that can't run on it.
        """
        now = self._clock()
        for waiter in sorted(self._waiters, key=lambda waiter: waiter.sort_key(now)):
            if waiter.decided.is_set():
                continue
            if freed is not None and not self._table.can_serve(freed, waiter.request):
                continue
            waiter.failure = self._poison.refusal(
                waiter.request.fingerprint, waiter.request.parts
            )
            if waiter.failure is not None:
                waiter.decided.set()
                continue
            views = self._table.views(waiter.request, waiter.excluded)
            self._poison.exclude_upstreams(waiter.request, views)
            if waiter.claim is not None:
                self._contention.reserve_room(views, waiter.claim, now)
            waiter.limited_by = self._all_limited(waiter.request, views)
            waiter.last_choice = choose_upstream(views, waiter.request, self._zone)
            self._apply_choice(waiter, waiter.last_choice)
            self._record_figures_age(waiter.last_choice, views)
            if waiter.limited_by and not waiter.decided.is_set():
                self._refuse_limited(waiter)
        self._refuse_unservable(now)

    def _refuse_unservable(self, now: float) -> None:
        """Refuse the requests for which no room is expected in useful time."""
        waiters = {
            waiter.claim: waiter
            for waiter in self._waiters
            if waiter.claim is not None and waiter.needs_room
        }
        for unservable in self._contention.refresh(waiters, now):
            waiter = waiters[unservable.claim]
            request = waiter.request
            waiter.failure = self._poison.trial_refusal(
                request.fingerprint, request.parts
            ) or self._contention.refuse(unservable, now, self._has_unused_room(waiter))
            waiter.decided.set()

    def _record_figures_age(self, choice: Choice, views: list[UpstreamView]) -> None:
        """Record how old the figures were by which a request was sent."""
        if self._metrics is None or choice.step is not Step.SEND:
            return
        for view in views:
            if view.upstream == choice.upstream and view.estimate is not None:
                self._metrics.load_age(view.estimate.age_s)

    def _has_unused_room(self, waiter: _Waiter) -> bool:
        views = self._table.views(waiter.request, waiter.excluded)
        return has_unused_room(views, waiter.request)

    def _all_limited(
        self, request: DispatchRequest, views: list[UpstreamView]
    ) -> frozenset[Upstream]:
        """Exclude limited upstreams; return the capable ones if all are limited."""
        at_limit = self._limits.exclude_limited(views, request)
        able = {v.upstream for v in views if request.model is None or v.has_model}
        return at_limit & able if at_limit and able <= at_limit else frozenset()

    def _refuse_limited(self, waiter: _Waiter) -> None:
        """Refuse a request at once if every capable upstream stays limited too long."""
        wait = self._limits.wait_s(waiter.limited_by)
        now = self._clock()
        if wait is None:
            waiter.give_up_at = min(waiter.give_up_at, now + LIMIT_REPLY_TIMEOUT_S)
        elif now + wait > waiter.give_up_at:
            waiter.failure = limit_refusal(waiter.request, wait)
            waiter.decided.set()

    def _apply_choice(self, waiter: _Waiter, choice: Choice) -> None:
        request = waiter.request
        if choice.step is Step.SEND and choice.upstream is not None:
            state = self._table.get(choice.upstream)
            assert state is not None
            self._table.record_start(choice.upstream, request)
            self._poison.started(request.fingerprint, choice.upstream, request.parts)
            self._limits.sent(choice.upstream)
            if waiter.claim is not None:
                self._contention.sent(waiter.claim, self._clock())
            waiter.upstream = state.record
            self._waiters.remove(waiter)
            waiter.decided.set()
        elif choice.step is Step.NO_UPSTREAM:
            waiter.failure = self._no_upstream_failure(waiter)
            waiter.decided.set()
        elif choice.step in LOAD_STEPS and request.model is not None:
            self._request_load(request.model, request.adapter, choice.upstream)

    def _no_upstream_failure(self, waiter: _Waiter) -> Failure:
        """Return the refusal of a request that no upstream is left for."""
        wait = self._limits.wait_s(waiter.excluded)
        if wait:
            return limit_refusal(waiter.request, wait)
        return refusal(Step.NO_UPSTREAM, waiter.request)

    def _request_load(
        self, model: Model, adapter: Adapter | None, upstream: Upstream | None
    ) -> None:
        now = self._clock()
        target = model, adapter, upstream
        if now - self._requested.get(target, -RESEND_INTERVAL_S) >= RESEND_INTERVAL_S:
            self._requested[target] = now
            self._send_load_request(LoadRequest(*target, self._demand.get(model, 0.0)))

    # -- upstream state ----------------------------------------------------------

    def configure(self, cfg: FleetConfig) -> None:
        """Apply a new configuration."""
        with self._lock:
            self._cfg = cfg
            self._table.configure(cfg)
            self._demand_weights.configure(cfg)
            self._contention.configure()

    def update(self, records: list[UpstreamRecord]) -> None:
        """Apply a new list of upstreams."""
        with self._lock:
            self._table.update(records)
            self._match_waiters()

    def receive_inventory(self, msg: InventoryUpdate) -> None:
        """Apply the leader's report of resident and loading models of an engine."""
        now = self._clock()
        with self._lock:
            for model, seconds in msg.loading.items():
                self._ready_at[model] = now + seconds
            self._table.receive_inventory(msg)
            self._match_waiters()
            for waiter in list(self._waiters):
                if msg.loading and (
                    waiter.request.model in msg.loading
                    or waiter.last_choice.step is Step.WAIT_FOR_MODEL
                ):
                    self._refuse_if_load_is_late(waiter, now)

    def receive_drain(self, msg: DrainUpdate) -> None:
        """Apply the leader's report that an engine waits before a load."""
        with self._lock:
            self._table.receive_drain(msg)
            self._match_waiters()

    def receive_entry_update(
        self, vm: Vm, msg: EntryUpdate, as_of: float | None = None
    ) -> None:
        """Apply a peer's work at each upstream; ``tick`` matches waiting requests.

        Dozens of peers send updates more often than their slots change, and matching
        all waiting requests at each update would use all CPU time of a small VM.
        """
        with self._lock:
            self._table.receive_entry_update(vm, msg, as_of)

    def weighs_accounts(self) -> bool:
        """Return whether claims, which depend on the use of accounts, are in use."""
        with self._lock:
            return self._uses_claims and self._table.controls_any_load()

    def update_usage(
        self, totals: Mapping[Account, float], rates: Mapping[Account, float]
    ) -> None:
        """Apply the tokens that accounts have spent at all entries, and their rates."""
        with self._lock:
            self._contention.update_usage(totals, rates, self._clock())

    def record_load(self, record: UpstreamRecord, load: ServerLoad | None) -> None:
        """Record the load that an upstream stated in an answer, None if it did not."""
        if load is None and not self._table.controls_load(record.service):
            return
        with self._lock:
            error = self._table.record_load(record, load)
        if error is not None and self._metrics is not None:
            self._metrics.load_error(error)

    def load_spreads(self) -> dict[Service, float]:
        """Return how unevenly requests are spread over the upstreams of each service.

        The spread is the deviation of the expected requests as a share of their mean.
        """
        with self._lock:
            return self._table.load_spreads()

    def record_missing(self, record: UpstreamRecord, request: DispatchRequest) -> None:
        """Record that an engine lacks a model or adapter listed in its inventory."""
        with self._lock:
            self._table.record_missing(record.name, request)

    def record_failure(self, record: UpstreamRecord, unreachable: bool) -> None:
        """Record a failed answer or, if ``unreachable``, a failure to connect."""
        now = self._clock()
        with self._lock:
            state = self._table.get(record.name)
            if state is None:
                return
            health = state.health
            ejected = health.unreachable(now) if unreachable else health.failed(now)
        if unreachable:
            self._poison.unreachable(record)
        if ejected:
            log("upstream_out", upstream=record.name, unreachable=unreachable)

    def record_rejection(self, record: UpstreamRecord) -> None:
        """Record that an upstream rejected a request, which has not run."""
        now = self._clock()
        with self._lock:
            state = self._table.get(record.name)
            ejected = state is not None and state.health.rejected(now)
        if ejected:
            log("upstream_out", upstream=record.name, unreachable=False, rejects=True)

    def record_success(self, record: UpstreamRecord) -> None:
        """Record a successful answer."""
        now = self._clock()
        with self._lock:
            state = self._table.get(record.name)
            if state is not None:
                state.last_activity_at = now
                state.health.succeeded(now)

    def record_activity(self, record: UpstreamRecord) -> None:
        """Record output of an upstream; runs per token, therefore without the lock."""
        state = self._table.get(record.name)
        if state is not None:
            state.last_activity_at = self._clock()

    def entry_update(self) -> EntryUpdate:
        """Return this entry's demand and work for peers, without its token usage."""
        with self._lock:
            return EntryUpdate({}, dict(self._demand), self._table.own_work())

    def prompt_read_rate(self, service: Service) -> float:
        """Return the prompt tokens per second that an engine of a service processes."""
        with self._lock:
            return self._table.solo_read_rate(service)

    def model_read_rates(self, service: Service) -> dict[Model, float] | None:
        """Return the tokens per second that a usual engine reads of each known model.

        None if the models of the service are not told apart.
        """
        with self._lock:
            return self._table.model_read_rates(service)

    def engine_speeds(self, service: Service) -> dict[Upstream, float]:
        """Return the speed of the engines of a service relative to the usual one."""
        with self._lock:
            return self._table.engine_speeds(service)

    def tick(self) -> None:
        """Expire old state and match waiting requests: upstream health recovers."""
        now = self._clock()
        with self._lock:
            items = self._requested.items()
            self._requested = {k: at for k, at in items if now - at < RESEND_INTERVAL_S}
            self._table.expire_peers()
            self._demand_weights.update(self._table.backlog_s, now)
            if self._waiters:
                self._match_waiters()
            else:
                self._contention.refresh((), now)
