"""State of the requests that compete for room at this entry."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import Final

from ..decide.account_use import AccountUse
from ..decide.contention import (
    DEFAULT_FIRST_EVENT_S,
    Claim,
    Pool,
    Unservable,
    find_unservable,
    retry_delay,
)
from ..decide.dispatch import DispatchRequest, UpstreamView
from ..decide.room_rate import RoomRate
from ..decide.room_reserve import Urgency, reserve_room
from ..ids import Account, Service, Upstream
from ..observe.logs import SampledLog
from ..observe.metrics import Metrics
from ..verdict import ErrorCode, Failure

FORGET_AFTER_S: Final = 15.0
"""Time without waiting requests after which the rate of a pool is dropped."""


class Contention:
    """Use of the accounts and room won by pools of requests; not thread-safe."""

    def __init__(self, metrics: Metrics | None = None) -> None:
        self._metrics = metrics
        self._waiting: Counter[int] = Counter()
        """Waiting requests by rank, as last stated in the metrics."""
        self._rates: dict[Pool, RoomRate] = {}
        self._contested_at: dict[Pool, float] = {}
        self._use = AccountUse()
        self._urgencies: dict[Service, Urgency] = {}
        self._refusal_log = SampledLog("room_refused")

    @property
    def has_claims(self) -> bool:
        """Whether there have been claims under the present configuration."""
        return bool(self._urgencies)

    def update_usage(
        self,
        totals: Mapping[Account, float],
        rates: Mapping[Account, float],
        now: float,
    ) -> None:
        """Apply the tokens that accounts have spent and the rates granted to them."""
        self._use.update(totals, rates, now)

    def make_claim(
        self, request: DispatchRequest, excluded: frozenset[Upstream], now: float
    ) -> Claim:
        """Return the claim of a request of which earlier attempts may have failed."""
        claim = Claim(
            request,
            now,
            first_event_s=DEFAULT_FIRST_EVENT_S,
            resumed=request.version is not None,
            repeated=bool(excluded),
            excess=self._use.excess(request.account),
        )
        known = self._urgencies.get(request.service, Urgency(request.rank, math.inf))
        self._urgencies[request.service] = known.include(claim)
        return claim

    def reserve_room(
        self, views: Iterable[UpstreamView], claim: Claim, now: float
    ) -> None:
        """Close engines on which the remaining room is left to better claims."""
        urgency = self._urgencies.get(claim.request.service)
        if urgency is not None:
            reserve_room(views, claim, urgency, now)

    def configure(self) -> None:
        """Forget the urgencies of services, which a new configuration may change."""
        self._urgencies.clear()

    def sent(self, claim: Claim, now: float) -> None:
        """Record that a request got room, which counts if requests wait for it."""
        rate = self._rates.get(claim.pool)
        if rate is not None and rate.contested:
            rate.advance(now, True)
            rate.record_won(claim.precedence(now), claim.work)

    def refresh(self, waiting: Iterable[Claim], now: float) -> list[Unservable]:
        """Apply the requests that wait now; return those that can't be served."""
        pools: defaultdict[Pool, list[Claim]] = defaultdict(list)
        for claim in waiting:
            pools[claim.pool].append(claim)
        self._count_waiting(pools.values())
        for pool in pools:
            self._contested_at[pool] = now
            self._rates.setdefault(pool, RoomRate(now))
        for pool, rate in list(self._rates.items()):
            rate.advance(now, pool in pools)
            if now - self._contested_at[pool] > FORGET_AFTER_S:
                del self._rates[pool], self._contested_at[pool]
        return [
            unservable
            for pool, claims in pools.items()
            for unservable in find_unservable(claims, self._rates[pool], now)
        ]

    def _count_waiting(self, pools: Iterable[list[Claim]]) -> None:
        """State the waiting requests of each rank, also of ranks without any now."""
        if self._metrics is None:
            return
        waiting = Counter(claim.request.rank for claims in pools for claim in claims)
        for rank in waiting.keys() | self._waiting.keys():
            if waiting[rank] != self._waiting[rank]:
                self._metrics.waiting_for_room(rank, waiting[rank])
        self._waiting = waiting

    def refuse(
        self, unservable: Unservable, now: float, unused: bool = False
    ) -> Failure:
        """Return the refusal of a request that can't be served, and log it.

        ``unused`` tells whether an upstream that can run it has few requests.
        """
        claim, request = unservable.claim, unservable.claim.request
        delay = retry_delay(request, unservable.wait_s, now)
        late = now > claim.late_at
        self._refusal_log.log(
            call=request.fingerprint,
            service=request.service,
            model=request.model or "-",
            account=request.account or "-",
            rank=request.rank,
            late=late,
            place=unservable.place,
            wait=unservable.wait_s,
            waited=now - claim.waiting_since,
            left=claim.send_by - now,
            excess=claim.excess,
            unused=unused,
            retry_after=delay,
        )
        if self._metrics is not None:
            self._metrics.refused_for_room(request.rank, late, unused)
        reason = f"all upstreams of {request.service} that can run this are full"
        return Failure(ErrorCode.OVERLOADED, reason, retry_after=delay)

    def refuse_overdue(self, claim: Claim, now: float, unused: bool) -> Failure:
        """Return the refusal of a request whose time to be sent has passed."""
        rate = self._rates.get(claim.pool)
        wait_s = 0.0
        if rate is not None:
            wait_s = rate.wait_s(claim.precedence(now), 0.0, claim.work)
        return self.refuse(Unservable(claim, 0, wait_s), now, unused)
