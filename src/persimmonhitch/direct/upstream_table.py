"""State of each upstream at this entry: its record, its work and its failures."""

import math
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from statistics import fmean, median, pstdev
from typing import Final

from ..decide.contention import DEFAULT_FIRST_EVENT_S
from ..decide.dispatch import DEFAULT_READ_RATE, DispatchRequest, UpstreamView
from ..decide.evacuation import ZoneEvacuations, ZoneState
from ..decide.health import UpstreamHealth, is_unresponsive, traffic_shares
from ..decide.load_estimate import (
    DEFAULT_OCCUPANCY_S,
    CountedWork,
    LoadEstimate,
    RunningMean,
    effective_slowdown,
    estimate_load,
)
from ..decide.prompt_backlog import BacklogLimit
from ..decide.read_costs import FIRST_TOKEN_S, REFERENCE_RATE, ReadCosts
from ..fleet.call import ServerLoad
from ..fleet.config import FleetConfig
from ..fleet.upstream import EngineInventory, UpstreamRecord
from ..ids import Adapter, Model, Service, Upstream, Vm
from .load_figures import LoadFigures
from .local_work import LocalWork
from .peer_messages import DrainUpdate, EntryUpdate, InventoryUpdate, UpstreamWork
from .peer_work import PeerWork, WorkTotals

MISSING_TTL_S: Final = 1.0
"""Time for which an engine's answer that a model or adapter is missing overrides
inventories that list the model or adapter."""
REPORTED_TTL_S: Final = 2.5
"""Time for which an inventory from the leader overrides the engine's store record.

The record lags by a heartbeat and a store update; the leader resends
inventories twice a second."""
BUSY_MARGIN_S: Final = 0.3
"""Time after the expected end of a load before the engine counts as free; the leader
reports the actual end at once."""
RISE_WEIGHT: Final = 0.2
FALL_WEIGHT: Final = 0.05
"""Weights of a sample above and below the estimated rate: unreported prompts of other
entries lower a sample, but nothing raises it."""
MIN_SOLO_SAMPLE_TOKENS: Final = 2000
"""Below this prompt size, most of the time to first token is not prompt processing."""
READ_RATE_WEIGHT: Final = 0.2
"""Weight of the newest sample in ``UpstreamState.read_rate``."""
SLOWDOWN_WEIGHT: Final = 0.1
"""Weight of the newest stated slowdown in their average."""
MIN_SAMPLE_TOKENS: Final = 200
"""Below this prompt size, the time to first token is no measure of the rate."""


@dataclass
class UpstreamState:
    """Record of one upstream with the state observed or reported since."""

    record: UpstreamRecord
    reported: EngineInventory | None = None
    """Newest inventory from the leader, received at ``reported_at``."""
    reported_at: float = 0.0
    reported_version: tuple[int, int] = (0, 0)
    draining_version: tuple[int, int] = (0, 0)
    """Version of the inventory whose load waits for requests to end."""
    busy_until: float = 0.0
    """Expected end of a model load; the engine rejects other orders until then."""
    health: UpstreamHealth = field(default_factory=UpstreamHealth)
    last_activity_at: float = 0.0
    """Time of the last output received by a request of this entry."""
    read_rate: float = DEFAULT_READ_RATE
    solo_read_rate: float | None = None
    """Prompt tokens per second while the engine processes a single prompt."""
    missing_at: dict[tuple[Model, Adapter | None], float] = field(default_factory=dict)
    """When the engine last answered that a model or adapter is missing."""
    load: ServerLoad | None = None
    """Load that the upstream stated last, at ``load_at``."""
    load_at: float = 0.0
    usual_slowdown: float = 1.0
    """Average of the slowdowns that the upstream stated."""
    figures: LoadFigures = field(default_factory=LoadFigures)

    def add_solo_sample(self, sample: float) -> None:
        """Add a sample to the weighted average of the single-prompt rate."""
        if self.solo_read_rate is None:
            self.solo_read_rate = sample
            return
        weight = RISE_WEIGHT if sample > self.solo_read_rate else FALL_WEIGHT
        self.solo_read_rate += weight * (sample - self.solo_read_rate)

    def add_load(self, load: ServerLoad, now: float) -> None:
        """Keep the load that the upstream has just stated."""
        if load.slowdown is not None:
            known = self.load is not None and self.load.slowdown is not None
            weight = SLOWDOWN_WEIGHT if known else 1.0
            self.usual_slowdown += weight * (load.slowdown - self.usual_slowdown)
        self.load, self.load_at = load, now

    def slowdown(self, now: float) -> float:
        """Return how many times as long as usual work is expected to take."""
        stated = self.load.slowdown if self.load is not None else None
        if stated is None:
            return self.usual_slowdown
        return effective_slowdown(stated, now - self.load_at, self.usual_slowdown)

    def has(self, model: Model, adapter: Adapter | None, now: float) -> bool:
        """Return whether the upstream can run a model with an adapter now."""
        inventory = self._inventory(now)
        if inventory is None or not inventory.has(model, adapter):
            return False
        since = self.missing_at.get((model, adapter))
        return since is None or now - since > MISSING_TTL_S

    def _inventory(self, now: float) -> EngineInventory | None:
        if self.reported is not None and now - self.reported_at < REPORTED_TTL_S:
            return self.reported
        return self.record.inventory


class UpstreamTable:
    """All upstreams of this entry; not thread-safe, callers must hold a lock."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        evacuations: ZoneEvacuations | None = None,
        controls_all: bool = False,
    ) -> None:
        self._clock = clock
        self._controls_all = controls_all
        self._evacuations = evacuations or ZoneEvacuations()
        self._cfg: FleetConfig | None = None
        self._states: dict[Upstream, UpstreamState] = {}
        self._by_service: defaultdict[Service, list[UpstreamState]] = defaultdict(list)
        self._own_work: defaultdict[Upstream, LocalWork] = defaultdict(LocalWork)
        self._peer_work = PeerWork()
        self._load_services: set[Service] = set()
        """Services whose upstreams state how slow they are at the moment."""
        self._read_costs: defaultdict[Service, ReadCosts] = defaultdict(ReadCosts)
        self._backlog_limits: defaultdict[Service, BacklogLimit] = defaultdict(
            BacklogLimit
        )
        self._occupancy: defaultdict[Service, RunningMean] = defaultdict(
            lambda: RunningMean(DEFAULT_OCCUPANCY_S)
        )
        """Seconds for which a request of each service holds a slot."""

    def configure(self, cfg: FleetConfig) -> None:
        """Apply a new configuration."""
        self._cfg = cfg
        for name, spec in cfg.services.items():
            limit = BacklogLimit.from_routes(cfg.routes, name)
            known = self._backlog_limits[name]
            self._backlog_limits[name] = limit.with_pauses_of(known)
            models = spec.engine.models if spec.engine is not None else {}
            self._read_costs[name].sizes = {m: s.memory_mb for m, s in models.items()}

    def update(self, records: Iterable[UpstreamRecord]) -> None:
        """Apply a list of upstreams; retain the state of those listed before."""
        states: dict[Upstream, UpstreamState] = {}
        for record in records:
            old = self._states.get(record.name)
            if old is None or (old.record.host, old.record.port) != (
                record.host,
                record.port,
            ):
                states[record.name] = UpstreamState(record)
                continue
            if record.started_at_ms != old.record.started_at_ms:
                # A restart under the same name empties the engine.
                old = UpstreamState(record)
            old.record = record
            states[record.name] = old
        self._states = states
        own_work = self._own_work.items()
        in_use = {name: w for name, w in own_work if w.requests or name in states}
        self._own_work = defaultdict(LocalWork, in_use)
        self._by_service = defaultdict(list)
        for state in states.values():
            if not state.record.draining:
                self._by_service[state.record.service].append(state)

    def receive_inventory(self, msg: InventoryUpdate) -> None:
        """Apply an inventory sent by the leader, unless it is outdated."""
        state = self._states.get(msg.upstream)
        if state is None or state.record.started_at_ms != msg.started_at_ms:
            return
        if msg.inventory_version < state.reported_version:
            return
        state.reported_version = msg.inventory_version
        models = {model: frozenset(names) for model, names in msg.models.items()}
        for model, names in models.items():
            state.missing_at.pop((model, None), None)
            for name in names:
                state.missing_at.pop((model, name), None)
        state.reported = EngineInventory(msg.order_count, models)
        state.reported_at = self._clock()
        loads = msg.loading.values()
        state.busy_until = state.reported_at + max(loads, default=-1.0) + BUSY_MARGIN_S
        self._apply_drain(state)

    def receive_drain(self, msg: DrainUpdate) -> None:
        """Record that an engine accepts adapter orders despite an announced load."""
        state = self._states.get(msg.upstream)
        if state is not None and state.record.started_at_ms == msg.started_at_ms:
            state.draining_version = msg.inventory_version
            self._apply_drain(state)

    def _apply_drain(self, state: UpstreamState) -> None:
        if state.draining_version == state.reported_version:
            state.busy_until = 0.0

    def receive_entry_update(
        self, vm: Vm, msg: EntryUpdate, as_of: float | None = None
    ) -> None:
        """Apply the work of a peer at each upstream, as of a monotonic time."""
        self._peer_work.receive(vm, msg, self._clock(), as_of)

    def record_load(
        self, record: UpstreamRecord, load: ServerLoad | None
    ) -> float | None:
        """Record the load that an upstream stated in an answer, None if it did not.

        Return the difference between the requests expected and stated, if known.
        """
        state = self._states.get(record.name)
        if state is None or state.record.started_at_ms != record.started_at_ms:
            return None
        now = self._clock()
        if load is not None:
            state.add_load(load, now)
        if load is not None and load.slowdown is not None:
            self._load_services.add(record.service)
        if not self.controls_load(record.service):
            return None
        own = self._own_work[record.name].requests
        peers = self._peer_work.totals_at(record.name)
        expected = self._estimate(state, peers, 0.0, now).running
        state.figures.record(record.name, load, own, peers.requests, now)
        return abs(load.running + load.waiting - expected) if load is not None else None

    def controls_load(self, service: Service) -> bool:
        """Return whether the load of the upstreams of a service is controlled.

        It is where upstreams state how slow they are, or the settings ask for it.
        """
        return self._controls_all or service in self._load_services

    def with_read_work(self, request: DispatchRequest) -> DispatchRequest:
        """Return a request with the work of its prompt, where models are told apart."""
        if request.model is None or not self.controls_load(request.service):
            return request
        costs = self._read_costs[request.service]
        work = costs.work(request.model, request.prompt_tokens)
        return replace(request, read_tokens=work)

    def first_event_s(self, request: DispatchRequest) -> float:
        """Return the seconds from sending a request to its first event if none wait."""
        if request.read_tokens is None:
            return DEFAULT_FIRST_EVENT_S
        return FIRST_TOKEN_S + request.read_tokens / REFERENCE_RATE

    def model_read_rates(self, service: Service) -> dict[Model, float] | None:
        """Return the tokens per second that a usual engine reads of each known model.

        None if the models of the service are not told apart.
        """
        if not self.controls_load(service):
            return None
        return self._read_costs[service].read_rates()

    def engine_speeds(self, service: Service) -> dict[Upstream, float]:
        """Return the speed of the engines of a service relative to the usual one."""
        if not self.controls_load(service):
            return {}
        return {
            state.record.name: 1.0 / state.usual_slowdown
            for state in self._by_service[service]
        }

    def load_spreads(self) -> dict[Service, float]:
        """Return how unevenly requests are spread over the upstreams of each service.

        Only services whose upstreams state their load are included.
        """
        now = self._clock()
        spreads = {}
        for service in self._load_services:
            running = [
                self._estimate(
                    state, self._peer_work.totals_at(state.record.name), 0.0, now
                ).running
                for state in self._by_service[service]
            ]
            if any(running):
                spreads[service] = pstdev(running) / fmean(running)
        return spreads

    def expire_peers(self) -> None:
        """Drop the work of unresponsive peers."""
        self._peer_work.expire(self._clock())

    def record_missing(self, upstream: Upstream, request: DispatchRequest) -> None:
        """Record that an engine answered that it lacks a model or adapter."""
        state = self._states.get(upstream)
        if state is not None and request.model is not None:
            state.missing_at[request.model, request.adapter] = self._clock()

    def get(self, upstream: Upstream) -> UpstreamState | None:
        """Return the state of an upstream, or None if it is not listed."""
        return self._states.get(upstream)

    def can_serve(self, record: UpstreamRecord, request: DispatchRequest) -> bool:
        """Return whether an upstream can run a request once it has a free slot."""
        state = self._states.get(record.name)
        if state is None or record.service != request.service:
            return False
        if request.version not in (None, state.record.version):
            return False
        if self._is_closed(state, self._clock()):
            return False
        return request.model is None or state.has(request.model, None, self._clock())

    def _is_closed(self, state: UpstreamState, now: float) -> bool:
        return self._evacuations.state(state.record.zone, now) is ZoneState.CLOSED

    def record_start(self, upstream: Upstream, request: DispatchRequest) -> None:
        """Count a request sent to an upstream."""
        self._own_work[upstream].start(request, self._clock())

    def record_first_token(
        self, upstream: Upstream, request: DispatchRequest, seconds: float, unread: int
    ) -> None:
        """Count a first token received ``seconds`` after its request was sent.

        ``unread`` counts the prompt tokens pending at that upstream when the request
        was sent, its own included.
        """
        self._own_work[upstream].prefill_tokens -= request.read_work
        state = self._states.get(upstream)
        if state is not None and request.read_tokens is not None:
            self._record_read(state, request, seconds, unread)
            return
        if state is not None and unread >= MIN_SAMPLE_TOKENS and seconds > 0:
            state.read_rate += READ_RATE_WEIGHT * (unread / seconds - state.read_rate)
            # Prompts of other requests distort a sample: tokens reported as pending may
            # have been processed already.
            if unread == request.prompt_tokens >= MIN_SOLO_SAMPLE_TOKENS:
                state.add_solo_sample(unread / seconds)

    def _record_read(
        self,
        state: UpstreamState,
        request: DispatchRequest,
        seconds: float,
        unread: int,
    ) -> None:
        if request.model is None or unread != request.read_work:
            return
        stated = state.load.slowdown if state.load is not None else None
        self._read_costs[request.service].record_solo(
            request.model, request.prompt_tokens, seconds, stated or 1.0
        )

    def record_stream(self, request: DispatchRequest, longest_pause_s: float) -> None:
        """Record the longest pause of a stream that has ended."""
        if request.read_tokens is not None:
            self._backlog_limits[request.service].record_stream(longest_pause_s)

    def solo_read_rate(self, service: Service) -> float:
        """Return the median prompt tokens per second of the engines of a service."""
        rates = [
            state.solo_read_rate
            for state in self._by_service[service]
            if state.solo_read_rate is not None
        ]
        return median(rates) if rates else DEFAULT_READ_RATE

    def record_finish(
        self, upstream: Upstream, request: DispatchRequest, prefill_done: bool
    ) -> None:
        """Count the end of a request at an upstream."""
        self._own_work[upstream].finish(request, prefill_done)

    def record_occupancy(self, record: UpstreamRecord, seconds: float) -> None:
        """Record the time for which an answered request held a slot."""
        state = self._states.get(record.name)
        if state is None or not self.controls_load(record.service):
            return
        mean_s = self._occupancy[record.service]
        mean_s.add(seconds)
        state.figures.record_occupancy(seconds, mean_s.value)

    def unread_tokens(self, upstream: Upstream) -> int:
        """Return the prompt tokens pending at an upstream, sent by all entries."""
        return (
            self._own_work[upstream].prefill_tokens
            + self._peer_work.totals_at(upstream).prefill_tokens
        )

    def backlog_s(self, service: Service) -> float | None:
        """Return the seconds that engines need on average for the prompts they hold.

        None if the load of the service is not controlled.
        """
        states = self._by_service[service]
        if not states or not self.controls_load(service):
            return None
        now = self._clock()
        return fmean(
            self.unread_tokens(state.record.name) * state.slowdown(now) / REFERENCE_RATE
            for state in states
        )

    def views(
        self, request: DispatchRequest, excluded: frozenset[Upstream]
    ) -> list[UpstreamView]:
        """Return views of the upstreams that a request may be sent to."""
        spec = self._cfg.services.get(request.service) if self._cfg else None
        kv_capacity = spec.engine.kv_tokens if spec and spec.engine else 0
        now = self._clock()
        states = self._by_service[request.service]
        if request.version is not None:
            states = [s for s in states if s.record.version == request.version]
        if self._evacuations.close_at:
            states = [state for state in states if not self._is_closed(state, now)]
        shares = traffic_shares([state.health for state in states], now)
        capable = {
            state.record.name
            for state in states
            if request.model is None or state.has(request.model, None, now)
        }
        views = [
            self._view(state, request, kv_capacity, share, now)
            for state, share in zip(states, shares, strict=True)
            if state.record.name not in excluded
        ]
        if self.controls_load(request.service):
            self._add_estimates([v for v in views if v.upstream in capable], now)
        self._restore_last_capable(views, capable)
        return views

    def _restore_last_capable(
        self, views: list[UpstreamView], capable: set[Upstream]
    ) -> None:
        """Restore the full share of failing upstreams if no healthy one is capable.

        Otherwise all callers would be refused, although some requests would succeed.
        """
        candidates = [view for view in views if view.upstream in capable]
        if any(view.traffic_share >= 1.0 for view in candidates):
            return
        for view in candidates:
            if self._states[view.upstream].health.reachable and not view.unresponsive:
                view.traffic_share = 1.0

    def _view(
        self,
        state: UpstreamState,
        request: DispatchRequest,
        kv_capacity: int,
        share: float,
        now: float,
    ) -> UpstreamView:
        name = state.record.name
        own = self._own_work[name]
        peers = self._peer_work.totals_at(name)
        model = request.model
        unresponsive = is_unresponsive(
            own.requests, state.last_activity_at, own.busy_since, now
        )
        read_rate, limit_s = state.read_rate, math.inf
        if request.read_tokens is not None:
            read_rate = REFERENCE_RATE / state.slowdown(now)
            limit_s = self._backlog_limits[request.service].seconds
        return UpstreamView(
            upstream=name,
            zone=state.record.zone,
            slots=state.record.slots,
            kv_capacity=kv_capacity,
            running=own.requests + peers.requests,
            kv_tokens=own.kv_tokens + peers.kv_tokens,
            unread=own.prefill_tokens + peers.prefill_tokens,
            has_model=model is not None and state.has(model, None, now),
            has_adapter=model is not None and state.has(model, request.adapter, now),
            adapters_wait_s=max(0.0, state.busy_until - now),
            read_rate=read_rate,
            backlog_limit_s=limit_s,
            traffic_share=0.0 if unresponsive else share,
            leaving=state.record.zone in self._evacuations.close_at,
            unresponsive=unresponsive,
        )

    def _add_estimates(self, views: list[UpstreamView], now: float) -> None:
        """Add the expected load of each upstream to its view."""
        peers = [self._peer_work.totals_at(view.upstream) for view in views]
        mean_peers = sum(work.requests for work in peers) / max(1, len(peers))
        for view, work in zip(views, peers, strict=True):
            state = self._states[view.upstream]
            view.estimate = self._estimate(state, work, mean_peers, now)

    def _estimate(
        self, state: UpstreamState, peers: WorkTotals, mean_peers: float, now: float
    ) -> LoadEstimate:
        own = self._own_work[state.record.name]
        read_rate = REFERENCE_RATE / state.slowdown(now)
        work = CountedWork(
            own_requests=own.requests,
            own_unread_s=own.prefill_tokens / read_rate,
            peer_requests=peers.requests,
            peer_unread_s=peers.prefill_tokens / read_rate,
            news_age_s=self._peer_work.news_age_s,
        )
        service_s = state.figures.occupancy_s
        if service_s is None:
            service_s = self._occupancy[state.record.service].value
        return estimate_load(
            work, state.figures.usable, service_s, mean_peers, now, state.slowdown(now)
        )

    def own_work(self) -> tuple[UpstreamWork, ...]:
        """Return the work of this entry at each upstream, as sent to peers."""
        return tuple(
            work.to_message(name)
            for name, work in self._own_work.items()
            if work.requests
        )
