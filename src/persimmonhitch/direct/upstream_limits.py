"""Request limits that overloaded upstreams report in their answers."""

import math
import random
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from ..decide.dispatch import UpstreamView
from ..decide.poison import UpstreamInstance
from ..decide.request_limits import Allowance, GrantBucket, effective_rate
from ..fleet.call import RateLimit
from ..fleet.upstream import UpstreamRecord
from ..ids import Upstream, Vm
from ..observe.logs import log
from .peer_messages import LimitGrant, LimitRequest, LimitUpdate, ReportedLimit
from .poison import instance_of

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
    on_change : callable
        Called when peers must receive an update or waiting requests may be sent.
    """

    def __init__(
        self,
        request_grant: Callable[[LimitRequest], None],
        entry_count: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._request_grant = request_grant
        self._entry_count = entry_count
        self._clock = clock
        self._on_change = on_change
        # Reentrant: the leader grants its own requests while it holds this lock.
        self._lock = threading.RLock()
        self._states: dict[UpstreamInstance, _LimitState] = {}
        self._allowances: dict[Upstream, tuple[UpstreamInstance, Allowance]] = {}
        self._grants: dict[UpstreamInstance, GrantBucket] = {}
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
            self._allowances.pop(instance.name, None)
            self._grants.pop(instance, None)
        else:
            old_rate = old.rate if old is not None and old_limit is not None else None
            rate = effective_rate(limit.per_second, old_rate)
            self._states[instance] = _LimitState(limit, rate, at, own_at)
            self._set_allowance(instance, rate)
        if limit != old_limit:
            event = "upstream_unlimited" if limit is None else "upstream_limited"
            log(
                event,
                upstream=instance.name,
                reported=limit.per_second if limit else None,
                rate=self._states[instance].rate,
                age=self._clock() - at,
            )

    def _set_allowance(self, instance: UpstreamInstance, rate: float) -> None:
        pair = self._allowances.get(instance.name)
        if pair is None or pair[0] != instance:
            self._allowances[instance.name] = instance, Allowance(rate)
        else:
            pair[1].rate = rate
        if instance in self._grants:
            self._grants[instance].resize(rate)

    def update_upstreams(self, records: Iterable[UpstreamRecord]) -> None:
        """Drop instances of upstreams that were removed or restarted."""
        if not self._states:
            return
        instances = {instance_of(record) for record in records}
        with self._lock:
            for instance in self._states.keys() - instances:
                del self._states[instance]
                self._grants.pop(instance, None)
                if self._allowances.get(instance.name, (None,))[0] == instance:
                    del self._allowances[instance.name]

    # -- requests ------------------------------------------------------------------

    def exclude_limited(self, views: Iterable[UpstreamView]) -> frozenset[Upstream]:
        """Exclude upstreams that accept no request now; return their names."""
        if not self._allowances:
            return frozenset()
        excluded = set()
        with self._lock:
            for view in views:
                if view.upstream in self._allowances and not self._ready(view.upstream):
                    view.traffic_share = 0.0
                    excluded.add(view.upstream)
        return frozenset(excluded)

    def _ready(self, upstream: Upstream) -> bool:
        """Return whether a request may be sent; request a grant if none is left."""
        instance, allowance = self._allowances[upstream]
        now = self._clock()
        if not allowance.can_send(now) and allowance.should_ask(
            now, self._entry_count()
        ):
            self._request_grant(
                LimitRequest(instance.name, instance.started_at_ms, allowance.rate)
            )
        return allowance.can_send(now)

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
            pairs = (self._allowances.get(name) for name in upstreams)
            waits = [pair[1].wait_time(now) for pair in pairs if pair is not None]
        known = [wait for wait in waits if wait is not None]
        return min(known) if known and len(known) == len(waits) else None

    # -- the leader ----------------------------------------------------------------

    def grant(self, vm: Vm, msg: LimitRequest) -> LimitGrant:
        """Reply to the grant request of an entry; runs on the leader only."""
        instance, now = UpstreamInstance(msg.upstream, msg.started_at_ms), self._clock()
        with self._lock:
            wait_s = self._grants_for(instance, msg.rate).grant_request(now)
        wait_s *= 1.0 + random.random() * RETRY_JITTER
        return LimitGrant(msg.upstream, msg.started_at_ms, vm, math.ceil(wait_s * 1000))

    def _grants_for(self, instance: UpstreamInstance, rate: float) -> GrantBucket:
        state = self._states.get(instance)
        if state is not None and state.limit is not None:
            rate = state.rate
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
