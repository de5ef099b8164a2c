"""Limits of requests that upstreams in need name in their answers."""

import math
import random
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from ..decide.dispatch import Lane
from ..decide.poison import UpstreamStart
from ..decide.request_limits import Allowance, Grants, rate_of
from ..fleet.call import RequestLimit
from ..fleet.upstream import UpstreamRecord
from ..ids import Upstream, Vm
from ..observe.logs import log
from .news import LimitAsk, LimitGrant, LimitNews, NamedLimit
from .poison import start_of

RETELL_EVERY: Final = 2.0
"""Seconds after which limits are told again, for entries that have missed some."""
RETELL_LIFE: Final = 30.0
"""Seconds for which an entry goes on telling what an upstream told it."""
AGAIN_SPREAD: Final = 0.5
"""Part of a wait by which it is lengthened at random, so that entries that were told to
wait don't ask again at the same moment."""


@dataclass
class _Known:
    """What was last heard of one upstream's limit."""

    limit: RequestLimit | None
    """None if it has ended."""
    rate: float
    at: float
    """When its answer said so, in monotonic seconds."""
    own_at: float
    """When this entry itself got such an answer."""


class UpstreamLimits:
    """Keeps to the limits of upstreams; safe to use from many threads.

    Parameters
    ----------
    ask : callable
        Asks the coordinator for a place at an upstream, if there is one.
    entries : callable
        Returns the number of entries of the fleet.
    changed : callable
        Called when others have to hear something, or what waits may go on.
    """

    def __init__(
        self,
        ask: Callable[[LimitAsk], None],
        entries: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
        changed: Callable[[], None] = lambda: None,
    ) -> None:
        self._ask = ask
        self._entries = entries
        self._clock = clock
        self._changed = changed
        # An ask of the coordinator itself is answered within the call.
        self._lock = threading.RLock()
        self._known: dict[UpstreamStart, _Known] = {}
        self._allowances: dict[Upstream, tuple[UpstreamStart, Allowance]] = {}
        self._grants: dict[UpstreamStart, Grants] = {}
        self._untold: set[UpstreamStart] = set()
        self._told_at = -math.inf

    # -- what upstreams say --------------------------------------------------------

    def answered(
        self, record: UpstreamRecord, limit: RequestLimit | None, sent_at: float
    ) -> None:
        """Take what an answer says to a request that was sent at a time."""
        if limit is None and not self._known:
            return
        start, now = start_of(record), self._clock()
        with self._lock:
            old = self._known.get(start)
            if limit is None and (old is None or sent_at <= old.at):
                return
            before = old.limit if old is not None else None
            self._learn(start, limit, now, now)
            if limit != before:
                self._untold.add(start)
                self._changed()

    def hear(self, _vm: Vm, msg: LimitNews, as_of: float) -> None:
        """Take what an upstream told another entry."""
        with self._lock:
            for item in msg.limits:
                start = UpstreamStart(item.upstream, item.born)
                at = as_of - item.age_ms / 1000
                old = self._known.get(start)
                if old is None or at > old.at:
                    limit = RequestLimit(item.per_second) if item.named else None
                    self._learn(start, limit, at, old.own_at if old else -math.inf)
        self._changed()

    def _learn(
        self, start: UpstreamStart, limit: RequestLimit | None, at: float, own: float
    ) -> None:
        old = self._known.get(start)
        before = old.limit if old is not None else None
        if limit is None:
            self._known[start] = _Known(None, 0.0, at, own)
            self._allowances.pop(start.name, None)
            self._grants.pop(start, None)
        else:
            last = old.rate if old is not None and before is not None else None
            rate = rate_of(limit.per_second, last)
            self._known[start] = _Known(limit, rate, at, own)
            self._allow(start, rate)
        if limit != before:
            event = "upstream_unlimited" if limit is None else "upstream_limited"
            log(
                event,
                upstream=start.name,
                said=limit.per_second if limit else None,
                rate=self._known[start].rate,
                age=self._clock() - at,
            )

    def _allow(self, start: UpstreamStart, rate: float) -> None:
        found = self._allowances.get(start.name)
        if found is None or found[0] != start:
            self._allowances[start.name] = start, Allowance(rate)
        else:
            found[1].rate = rate
        if start in self._grants:
            self._grants[start].resize(rate)

    def listed(self, records: Iterable[UpstreamRecord]) -> None:
        """Forget upstreams that have gone or started anew."""
        if not self._known:
            return
        starts = {start_of(record) for record in records}
        with self._lock:
            for start in self._known.keys() - starts:
                del self._known[start]
                self._grants.pop(start, None)
                if self._allowances.get(start.name, (None,))[0] == start:
                    del self._allowances[start.name]

    # -- calls ---------------------------------------------------------------------

    def hold_back(self, lanes: Iterable[Lane]) -> frozenset[Upstream]:
        """Close lanes to which nothing may be sent now; return their upstreams."""
        if not self._allowances:
            return frozenset()
        closed = set()
        with self._lock:
            for lane in lanes:
                if lane.upstream in self._allowances and not self._open(lane.upstream):
                    lane.trust = 0.0
                    closed.add(lane.upstream)
        return frozenset(closed)

    def _open(self, upstream: Upstream) -> bool:
        start, allowance = self._allowances[upstream]
        now = self._clock()
        if not allowance.has_place(now) and allowance.asks(now, self._entries()):
            self._ask(LimitAsk(start.name, start.born, allowance.rate))
        return allowance.has_place(now)

    def sent(self, upstream: Upstream) -> None:
        """Count a call that is sent."""
        if self._allowances:
            with self._lock:
                found = self._allowances.get(upstream)
                if found is not None:
                    found[1].use()

    def wait(self, upstreams: Iterable[Upstream]) -> float | None:
        """Return the least seconds until a call may be sent to one of some upstreams.

        None if it is not known yet for any of them.
        """
        now = self._clock()
        with self._lock:
            found = (self._allowances.get(name) for name in upstreams)
            waits = [item[1].wait(now) for item in found if item is not None]
        known = [wait for wait in waits if wait is not None]
        return min(known) if known and len(known) == len(waits) else None

    # -- the coordinator -----------------------------------------------------------

    def grant(self, vm: Vm, msg: LimitAsk) -> LimitGrant:
        """Answer an entry that asks for a place, as the one that gives them out."""
        start, now = UpstreamStart(msg.upstream, msg.born), self._clock()
        with self._lock:
            wait = self._grants_of(start, msg.rate).take(now)
        wait *= 1.0 + random.random() * AGAIN_SPREAD
        return LimitGrant(msg.upstream, msg.born, vm, math.ceil(wait * 1000))

    def _grants_of(self, start: UpstreamStart, rate: float) -> Grants:
        known = self._known.get(start)
        if known is not None and known.limit is not None:
            rate = known.rate
        grants = self._grants.get(start)
        if grants is None:
            grants = self._grants[start] = Grants(rate, self._clock())
        grants.resize(rate)
        return grants

    def allows_order(self, record: UpstreamRecord) -> bool:
        """Return whether an order may be sent to an upstream, and count it."""
        return self._allows(record, Grants.take_order)

    def allows_report(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream may be asked for a report, and count it."""
        return self._allows(record, Grants.take_report)

    def _allows(
        self, record: UpstreamRecord, take: Callable[[Grants, float], bool]
    ) -> bool:
        start = start_of(record)
        with self._lock:
            known = self._known.get(start)
            if known is None or known.limit is None:
                return True
            return take(self._grants_of(start, known.rate), self._clock())

    def hear_grant(self, msg: LimitGrant) -> None:
        """Take the coordinator's answer."""
        with self._lock:
            found = self._allowances.get(msg.upstream)
            if found is None or found[0].born != msg.born:
                return
            found[1].answered(msg.wait_ms / 1000, self._clock())
        self._changed()

    # -- news ----------------------------------------------------------------------

    def news(self) -> LimitNews | None:
        """Return what the others have to hear now, None if there is nothing."""
        if not self._known:
            return None
        now = self._clock()
        with self._lock:
            whole = now - self._told_at >= RETELL_EVERY
            due = tuple(
                NamedLimit(
                    start.name,
                    start.born,
                    known.limit is not None,
                    known.limit.per_second if known.limit else None,
                    max(0, int((now - known.at) * 1000)),
                )
                for start, known in self._known.items()
                if start in self._untold or (whole and now - known.own_at < RETELL_LIFE)
            )
            self._untold.clear()
            if whole:
                self._told_at = now
        return LimitNews(due) if due else None
