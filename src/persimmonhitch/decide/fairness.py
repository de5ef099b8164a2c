"""Weighted fair sharing of one upstream's tokens among client accounts.

Load pattern: one account sends several times its rate, or a few giant prompts, to
an upstream that others use too. First-come first-served lets its backlog stand
before everybody; with this queue each account waits behind its own work alone.

Each account has a virtual counter of tokens served over its weight, and the least
counter is served next. An account that returns from idleness is lifted to the
virtual time, so that it neither hoards service it did not use nor owes any.

Batch work is served when no interactive work waits. It would starve under steady
interactive load, hence it competes as interactive work in the last quarter of the
time given to it; a quarter of an overnight run's eight hours is time enough at any
fair share, and three quarters leave it the spare capacity of the night.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from ..ids import Account, RequestId
from ..wire.messages import Priority

URGENT_SHARE: Final = 0.25
"""Part of a batch request's time, at its end, in which it competes as interactive."""
START_MARGIN: Final = 0.2
"""Seconds of it that the upstream itself takes."""
LEAD: Final = 1500.0
"""Tokens by which an account may be ahead of its share for a request in time."""
LEAST_WEIGHT: Final = 1e-3
FIRST_TOKEN_AIM: Final = 0.75
"""Seconds to the first token that callers are promised for 95 in 100."""


@dataclass(frozen=True)
class Waiting:
    """A request that waits for its upstream.

    Attributes
    ----------
    cost : float
        Tokens reserved for it: prompt and maximum output.
    deadline_at, arrived_at : float
        Times on the clock that is passed to the queue.
    needs : float
        Seconds of service without which it can't finish.
    """

    request: RequestId
    account: Account
    weight: float
    priority: Priority
    cost: float
    deadline_at: float
    arrived_at: float
    needs: float = 0.0

    @property
    def latest_start(self) -> float:
        """Return the time after which it can no longer finish."""
        return self.deadline_at - self.needs

    def is_late(self, now: float) -> bool:
        """Return whether its first token can't come in time any more."""
        if self.priority is Priority.BATCH:
            return False
        return now - self.arrived_at > FIRST_TOKEN_AIM - START_MARGIN

    def is_urgent(self, now: float) -> bool:
        """Return whether batch work has to compete as interactive work."""
        given = self.deadline_at - self.arrived_at
        return self.latest_start - now <= URGENT_SHARE * given


@dataclass
class _Share:
    """Virtual counters and waiting work of one account in one class."""

    weight: float
    served: float
    items: list[Waiting] = field(default_factory=list)
    tokens: float = 0.0


class _FairClass:
    """Fair queue of one priority class."""

    def __init__(self) -> None:
        self._shares: dict[Account, _Share] = {}
        self._virtual = 0.0

    def push(self, item: Waiting) -> None:
        """Add an item; lift the counter of an account that was idle."""
        weight = max(item.weight, LEAST_WEIGHT)
        share = self._shares.get(item.account)
        if share is None:
            share = _Share(weight, self._virtual)
            self._shares[item.account] = share
        if not share.items:
            share.served = max(share.served, self._virtual)
        share.weight = weight
        share.items.append(item)
        share.tokens += item.cost

    def pick(self, now: float) -> Waiting | None:
        """Return the next item.

        It is the one of the account served least, unless that has only requests
        which missed the time to their first token and another, ahead by no more
        than ``LEAD`` tokens, has one that can still make it.
        """
        busy = [share for share in self._shares.values() if share.items]
        if not busy:
            return None
        least = min(share.served for share in busy)
        fresh = [
            share
            for share in busy
            if not share.items[-1].is_late(now)
            and (share.served - least) * share.weight <= LEAD
        ]
        share = min(fresh or busy, key=lambda share: share.served)
        return min(share.items, key=lambda item: _order(item, now))

    def serve(self, item: Waiting) -> None:
        """Remove an item and count its cost as served."""
        share = self._shares[item.account]
        self.drop(item)
        self._virtual = max(self._virtual, share.served)
        share.served += item.cost / share.weight
        self._forget_idle()

    def drop(self, item: Waiting) -> None:
        """Remove an item that is not served."""
        share = self._shares[item.account]
        share.items.remove(item)
        share.tokens -= item.cost

    def charge(self, account: Account, tokens: float) -> None:
        """Correct what an account was charged; negative gives back."""
        share = self._shares.get(account)
        if share is not None:
            share.served += tokens / share.weight

    def ahead(self, account: Account, weight: float) -> float:
        """Return tokens that are served before a new item of the account."""
        own = self._shares.get(account)
        weight = max(weight, LEAST_WEIGHT)
        queued = own.tokens if own is not None else 0.0
        served = own.served if own is not None else self._virtual
        start = max(served, self._virtual) + queued / weight
        others = (
            min(share.tokens, max(0.0, start - share.served) * share.weight)
            for name, share in self._shares.items()
            if name != account
        )
        return queued + sum(others)

    def longest(self) -> Waiting | None:
        """Return the newest item of the account with most work for its weight."""
        busy = [share for share in self._shares.values() if share.items]
        if not busy:
            return None
        return max(busy, key=lambda share: share.tokens / share.weight).items[-1]

    def _forget_idle(self) -> None:
        # Accounts come and go while a sidecar lives for weeks; an idle one whose
        # counter is behind the virtual time would be lifted anyway.
        idle = [
            account
            for account, share in self._shares.items()
            if not share.items and share.served <= self._virtual
        ]
        for account in idle:
            del self._shares[account]

    def __iter__(self) -> Iterator[Waiting]:
        for share in self._shares.values():
            yield from share.items


class FairQueue:
    """Queue in front of one upstream, fair among client accounts."""

    def __init__(self) -> None:
        self._classes = {priority: _FairClass() for priority in Priority}
        self._items: dict[RequestId, tuple[Waiting, _FairClass]] = {}
        self._tokens = 0.0

    @property
    def tokens(self) -> float:
        """Return the tokens that wait."""
        return self._tokens

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: Waiting) -> None:
        """Add a request."""
        self._place(item, self._classes[item.priority])
        self._tokens += item.cost

    def pop(self, now: float) -> Waiting | None:
        """Remove and return the next request, and charge its account."""
        self._promote(now)
        for priority in (Priority.INTERACTIVE, Priority.BATCH):
            queue = self._classes[priority]
            item = queue.pick(now)
            if item is not None:
                queue.serve(item)
                self._forget(item)
                return item
        return None

    def expire(self, now: float) -> tuple[Waiting, ...]:
        """Remove and return requests that can no longer finish in time."""
        late = [item for item, _ in self._items.values() if item.latest_start <= now]
        for item in late:
            self.remove(item.request)
        return tuple(late)

    def overflow(self, bound: float) -> tuple[Waiting, ...]:
        """Remove and return what exceeds ``bound`` tokens.

        A plain bound refuses the next caller, whoever filled the queue; an account
        within its rate would notice refusals while another floods. Taking from
        the account with most work for its weight, newest first and batch before
        interactive, leaves the refusal with the account that caused it.
        """
        gone = []
        while self.tokens > bound and len(self) > 1:
            item = (
                self._classes[Priority.BATCH].longest()
                or self._classes[Priority.INTERACTIVE].longest()
            )
            if item is None:
                break
            self.remove(item.request)
            gone.append(item)
        return tuple(gone)

    def charge(
        self,
        account: Account,
        tokens: float,
        priority: Priority = Priority.INTERACTIVE,
    ) -> None:
        """Correct an account's counter once the actual use is known."""
        self._classes[priority].charge(account, tokens)

    def remove(self, request: RequestId) -> Waiting | None:
        """Remove a request whose caller has gone, or return None."""
        if request not in self._items:
            return None
        item, queue = self._items[request]
        queue.drop(item)
        self._forget(item)
        return item

    def ahead(
        self,
        account: Account,
        weight: float,
        priority: Priority = Priority.INTERACTIVE,
    ) -> float:
        """Return the waiting tokens that go before a new request of an account."""
        tokens = self._classes[priority].ahead(account, weight)
        if priority is Priority.BATCH:
            urgent = self._classes[Priority.INTERACTIVE]
            tokens += sum(item.cost for item in urgent)
        return tokens

    def _place(self, item: Waiting, queue: _FairClass) -> None:
        queue.push(item)
        self._items[item.request] = (item, queue)

    def _forget(self, item: Waiting) -> None:
        del self._items[item.request]
        self._tokens -= item.cost

    def _promote(self, now: float) -> None:
        batch = self._classes[Priority.BATCH]
        for item in [item for item in batch if item.is_urgent(now)]:
            batch.drop(item)
            self._place(item, self._classes[Priority.INTERACTIVE])


def _order(item: Waiting, now: float) -> tuple[bool, float]:
    """Order within one account: in time for the first token, then by deadline.

    Once a request has missed the time to its first token, serving it before one
    that can still make it only makes both late.
    """
    late = item.is_late(now)
    return late, item.deadline_at if late else item.arrived_at
