"""Request limits of upstreams: from their answers, or after a cold start."""

import math
import random
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from ..decide.cold_start import FALLBACK_ENTRIES
from ..decide.crashes import UpstreamInstance
from ..decide.dispatch import DispatchRequest, UpstreamView, has_capacity
from ..decide.request_limits import Allowance, GrantBucket, effective_rate
from ..fleet.call import RateLimit
from ..fleet.config import FleetConfig
from ..fleet.upstream import UpstreamRecord
from ..ids import Upstream, Vm, Zone
from ..observe.logs import log
from .cold_upstreams import AS_TOLERATED, ColdBound, ColdUpstreams
from .peer_messages import LimitGrant, LimitRequest, LimitUpdate, ReportedLimit
from .poison import instance_of
from .upstream_backoffs import UpstreamBackoffs

RESEND_INTERVAL_S: Final = 2.0
"""Interval of full updates, for entries that missed an incremental update."""
RESEND_TTL_S: Final = 30.0
"""Time for which an entry resends a limit that an upstream reported to it."""
RETRY_JITTER: Final = 0.5
"""Maximum random extension of a wait, as a fraction, so that waiting entries don't
retry at the same moment."""


@dataclass
class _LimitState:
    """The last known limit of one upstream."""

    limit: RateLimit | None
    """None if the limit was lifted."""
    rate: float
    """Requests per second that the fleet may send under the limit."""
    reported_at: float
    """Monotonic time at which the upstream reported the limit."""
    own_at: float
    """Monotonic time at which this entry last received the limit in an answer."""


class UpstreamLimits:
    """Enforces the request limits of upstreams; thread-safe.

    Parameters
    ----------
    request_grant : callable
        Requests a grant at an upstream from the leader, if there is one.
    entry_count : callable
        Returns the number of entries of the fleet.
    may_fall_back : callable
        Returns whether this entry may send to a cold upstream without the leader.
    cold_bound : ColdBound
        Bound of the requests to a cold upstream.
    on_change : callable
        Called when peers must receive an update or waiting requests may be sent.
    """

    def __init__(
        self,
        request_grant: Callable[[LimitRequest], None],
        entry_count: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
        on_change: Callable[[], None] = lambda: None,
        may_fall_back: Callable[[Upstream], bool] = lambda _upstream: True,
        cold_bound: ColdBound = AS_TOLERATED,
    ) -> None:
        self._may_fall_back = may_fall_back
        self._request_grant = request_grant
        self._entry_count = entry_count
        self._clock = clock
        self._on_change = on_change
        # Reentrant: the leader grants its own requests while it holds this lock.
        self._lock = threading.RLock()
        self._states: dict[UpstreamInstance, _LimitState] = {}
        self._allowances: dict[Upstream, tuple[UpstreamInstance, Allowance]] = {}
        self._grants: dict[UpstreamInstance, GrantBucket] = {}
        self._cold = ColdUpstreams(cold_bound)
        self._backoffs = UpstreamBackoffs()
        self._unsent: set[UpstreamInstance] = set()
        self._full_update_at = -math.inf

    # -- reported limits -----------------------------------------------------------

    def answered(
        self, record: UpstreamRecord, limit: RateLimit | None, sent_at: float
    ) -> None:
        """Apply the limit in an answer to a request sent at ``sent_at``."""
        if limit is None and not self._states:
            return
        instance, now = instance_of(record), self._clock()
        with self._lock:
            old = self._states.get(instance)
            if limit is None and (old is None or sent_at <= old.reported_at):
                return
            old_limit = old.limit if old is not None else None
            self._record(instance, limit, now, now)
            if limit != old_limit:
                self._unsent.add(instance)
                self._on_change()

    def asked_to_back_off(self, record: UpstreamRecord, seconds: float) -> None:
        """Send nothing to an upstream for some seconds, as it asks this entry."""
        with self._lock:
            self._backoffs.extend(instance_of(record), seconds, self._clock())

    def receive(self, _vm: Vm, msg: LimitUpdate, as_of: float) -> None:
        """Apply limits that upstreams reported to a peer."""
        with self._lock:
            for item in msg.limits:
                instance = UpstreamInstance(item.upstream, item.started_at_ms)
                at = as_of - item.age_ms / 1000
                old = self._states.get(instance)
                if old is None or at > old.reported_at:
                    limit = RateLimit(item.rate_per_s) if item.is_limited else None
                    self._record(instance, limit, at, old.own_at if old else -math.inf)
        self._on_change()

    def _record(
        self,
        instance: UpstreamInstance,
        limit: RateLimit | None,
        at: float,
        own_at: float,
    ) -> None:
        old = self._states.get(instance)
        old_limit = old.limit if old is not None else None
        if limit is None:
            self._states[instance] = _LimitState(None, 0.0, at, own_at)
        else:
            old_rate = old.rate if old is not None and old_limit is not None else None
            rate = effective_rate(limit.per_second, old_rate)
            self._states[instance] = _LimitState(limit, rate, at, own_at)
        self._update_allowance(instance)
        if limit != old_limit:
            event = "upstream_unlimited" if limit is None else "upstream_limited"
            log(
                event,
                upstream=instance.name,
                reported=limit.per_second if limit else None,
                rate=self._states[instance].rate,
                age=self._clock() - at,
            )

    def _rate_of(self, instance: UpstreamInstance) -> float | None:
        """Return the requests per second that an upstream accepts, None if any."""
        state, cold = self._states.get(instance), self._cold.rate(instance)
        rates = [] if cold is None else [cold]
        if state is not None and state.limit is not None:
            rates.append(state.rate)
        return min(rates, default=None)

    def _update_allowance(self, instance: UpstreamInstance) -> None:
        """Apply the current rate of an upstream to its allowance and its grants."""
        rate = self._rate_of(instance)
        pair = self._allowances.get(instance.name)
        if rate is None:
            self._grants.pop(instance, None)
            if pair is not None and pair[0] == instance:
                del self._allowances[instance.name]
            return
        if pair is None or pair[0] != instance:
            self._allowances[instance.name] = instance, Allowance(rate)
        else:
            pair[1].rate = rate
        if instance in self._grants:
            self._grants[instance].resize(rate)

    def update_upstreams(self, records: Iterable[UpstreamRecord]) -> None:
        """Apply a list of upstreams; drop instances that were removed or restarted."""
        listed = list(records)
        instances = {instance_of(record) for record in listed}
        now = self._clock()
        with self._lock:
            changed = self._cold.update(listed, now)
            unlisted = (self._states.keys() | self._grants.keys()) - instances
            names = {instance.name for instance in instances}
            removed = {
                instance
                for instance in unlisted
                if instance.name in names or not self._is_recent(instance, now)
            }
            for instance in removed:
                self._states.pop(instance, None)
            self._backoffs.update(instances, now)
            self._update_allowances(changed | removed)

    def _is_recent(self, instance: UpstreamInstance, now: float) -> bool:
        """Return whether an instance may still be running, by its last report."""
        state = self._states.get(instance)
        return state is not None and now - state.reported_at < RESEND_TTL_S

    def _update_allowances(self, instances: Iterable[UpstreamInstance]) -> None:
        for instance in instances:
            self._update_allowance(instance)

    # -- cold upstreams ------------------------------------------------------------

    def configure(self, cfg: FleetConfig) -> None:
        """Apply the pace of cold upstreams in a new configuration."""
        with self._lock:
            self._update_allowances(self._cold.configure(cfg, self._clock()))

    def reported_cold(self, record: UpstreamRecord, seconds: float) -> None:
        """Apply the cold state that an upstream reports in an answer."""
        now = self._clock()
        with self._lock:
            if self._cold.extend(record, now + seconds, now):
                self._update_allowance(instance_of(record))

    def zone_returned(self, zone: Zone) -> None:
        """Count the upstreams of a zone as cold after an evacuation."""
        with self._lock:
            self._update_allowances(self._cold.zone_returned(zone, self._clock()))

    def cold_count(self) -> int:
        """Return the number of cold upstreams."""
        if not len(self._cold):
            return 0
        with self._lock:
            self._update_allowances(self._cold.expire(self._clock()))
            return len(self._cold)

    # -- requests ------------------------------------------------------------------

    def exclude_limited(
        self, views: Iterable[UpstreamView], request: DispatchRequest | None = None
    ) -> frozenset[Upstream]:
        """Exclude upstreams that accept no request now; return their names.

        Grants at cold upstreams are requested only if no other upstream can take the
        request, since grants that are not used in time are lost.
        """
        if not self._allowances and not self._backoffs:
            return frozenset()
        views = list(views)
        with self._lock:
            excluded = self._backoffs.exclude(views, self._clock())
            if not self._allowances:
                return frozenset(excluded)
            self._update_allowances(self._cold.expire(self._clock()))
            limited = self._allowances.keys()
            has_other = request is not None and any(
                view.upstream not in limited
                and _is_capable(view, request)
                and has_capacity(view, request)
                for view in views
            )
            for view in views:
                if view.upstream not in limited or view.upstream in excluded:
                    continue
                needed = not has_other and _is_capable(view, request)
                if not self._ready(view.upstream, needed):
                    view.traffic_share = 0.0
                    excluded.add(view.upstream)
        return frozenset(excluded)

    def _ready(self, upstream: Upstream, needed: bool) -> bool:
        """Return whether a request may be sent; request a grant if none is left."""
        instance, allowance = self._allowances[upstream]
        is_cold, now = instance in self._cold, self._clock()
        if allowance.can_send(now):
            return True
        if is_cold and not needed:
            return False
        if allowance.should_ask(now, self._fallback_entries(upstream, is_cold)):
            self._request_grant(
                LimitRequest(instance.name, instance.started_at_ms, allowance.rate)
            )
        return allowance.can_send(now)

    def _fallback_entries(self, upstream: Upstream, is_cold: bool) -> int:
        """Return the number of entries that share a rate without the leader."""
        if not is_cold:
            return self._entry_count()
        return FALLBACK_ENTRIES if self._may_fall_back(upstream) else 0

    def sent(self, upstream: Upstream) -> None:
        """Count a request that is sent."""
        if self._allowances:
            with self._lock:
                pair = self._allowances.get(upstream)
                if pair is not None:
                    pair[1].consume()

    def wait_s(self, upstreams: Iterable[Upstream]) -> float | None:
        """Return the shortest wait in seconds until one of the upstreams is available.

        None if there are no upstreams or the wait for one of them is unknown.
        """
        now = self._clock()
        with self._lock:
            waits = [self._wait_s(name, now) for name in upstreams]
        known = [wait for wait in waits if wait is not None]
        return min(known) if known and len(known) == len(waits) else None

    def _wait_s(self, upstream: Upstream, now: float) -> float | None:
        backoff = self._backoffs.wait_s(upstream, now)
        pair = self._allowances.get(upstream)
        wait = pair[1].wait_time(now) if pair is not None else 0.0
        return None if wait is None else max(wait, backoff)

    # -- the leader ----------------------------------------------------------------

    def grant(self, vm: Vm, msg: LimitRequest) -> LimitGrant:
        """Reply to the grant request of an entry; runs on the leader only."""
        instance, now = UpstreamInstance(msg.upstream, msg.started_at_ms), self._clock()
        with self._lock:
            wait_s = self._grants_for(instance, msg.rate).grant_request(now)
        wait_s *= 1.0 + random.random() * RETRY_JITTER
        return LimitGrant(msg.upstream, msg.started_at_ms, vm, math.ceil(wait_s * 1000))

    def _grants_for(self, instance: UpstreamInstance, rate: float) -> GrantBucket:
        known_rate = self._rate_of(instance)
        if known_rate is not None:
            rate = known_rate
        grants = self._grants.get(instance)
        if grants is None:
            grants = self._grants[instance] = GrantBucket(rate, self._clock())
        grants.resize(rate)
        return grants

    def acquire_order_slot(self, record: UpstreamRecord) -> bool:
        """Return whether an order may be sent to an engine; if so, count it."""
        return self._acquire_slot(record, GrantBucket.grant_order)

    def acquire_report_slot(self, record: UpstreamRecord) -> bool:
        """Return whether an engine's report may be requested; if so, count it."""
        return self._acquire_slot(record, GrantBucket.grant_report)

    def _acquire_slot(
        self, record: UpstreamRecord, acquire: Callable[[GrantBucket, float], bool]
    ) -> bool:
        instance = instance_of(record)
        with self._lock:
            if self._backoffs.wait_s(record.name, self._clock()) > 0:
                return False
            state = self._states.get(instance)
            if state is None or state.limit is None:
                return True
            return acquire(self._grants_for(instance, state.rate), self._clock())

    def receive_grant(self, grant: LimitGrant) -> None:
        """Apply the leader's reply to a grant request."""
        with self._lock:
            pair = self._allowances.get(grant.upstream)
            if pair is None or pair[0].started_at_ms != grant.started_at_ms:
                return
            pair[1].receive_reply(grant.wait_ms / 1000, self._clock())
        self._on_change()

    # -- updates between entries ---------------------------------------------------

    def next_update(self) -> LimitUpdate | None:
        """Return the limits to send to the peers, None if there are none."""
        if not self._states:
            return None
        now = self._clock()
        with self._lock:
            is_full = now - self._full_update_at >= RESEND_INTERVAL_S
            limits = tuple(
                ReportedLimit(
                    instance.name,
                    instance.started_at_ms,
                    state.limit is not None,
                    state.limit.per_second if state.limit else None,
                    max(0, int((now - state.reported_at) * 1000)),
                )
                for instance, state in self._states.items()
                if instance in self._unsent
                or (is_full and now - state.own_at < RESEND_TTL_S)
            )
            self._unsent.clear()
            if is_full:
                self._full_update_at = now
        return LimitUpdate(limits) if limits else None


def _is_capable(view: UpstreamView, request: DispatchRequest | None) -> bool:
    return request is None or request.model is None or view.has_model
