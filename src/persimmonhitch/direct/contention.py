"""State of the requests that compete for room at this entry."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from ..decide.contention import Claim, Pool, Unservable, find_unservable, retry_delay
from ..decide.room_rate import RoomRate
from ..observe.logs import SampledLog
from ..verdict import ErrorCode, Failure

FORGET_AFTER_S: Final = 15.0
"""Time without waiting requests after which the rate of a pool is dropped."""


class Contention:
    """Rates at which the pools of requests win room; not thread-safe."""

    def __init__(self) -> None:
        self._rates: dict[Pool, RoomRate] = {}
        self._contested_at: dict[Pool, float] = {}
        self._refusal_log = SampledLog("room_refused")

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

    def refuse(self, unservable: Unservable, now: float) -> Failure:
        """Return the refusal of a request that can't be served, and log it."""
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
            retry_after=delay,
        )
        reason = f"all upstreams of {request.service} that can run this are full"
        return Failure(ErrorCode.OVERLOADED, reason, retry_after=delay)

    def refuse_overdue(self, claim: Claim, now: float) -> Failure:
        """Return the refusal of a request whose time to be sent has passed."""
        rate = self._rates.get(claim.pool)
        wait_s = 0.0
        if rate is not None:
            wait_s = rate.wait_s(claim.precedence(now), 0.0, claim.work)
        return self.refuse(Unservable(claim, 0, wait_s), now)
