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

URGENT_FRACTION: Final = 0.25
"""Part of a batch request's time, at its end, in which it competes as interactive."""
FIRST_TOKEN_MARGIN_S: Final = 0.2
"""Seconds of it that the upstream itself takes."""
MAX_LEAD_TOKENS: Final = 1500.0
"""Tokens by which an account may be ahead of its share for a request in time."""
MIN_WEIGHT: Final = 1e-3
FIRST_TOKEN_TARGET_S: Final = 0.75
"""Seconds to the first token that callers are promised for 95 in 100."""


@dataclass(frozen=True)
class QueuedRequest:
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
    service_s: float = 0.0

    @property
    def latest_start(self) -> float:
        """Return the time after which it can no longer finish."""
        return self.deadline_at - self.service_s

    def is_late(self, now: float) -> bool:
        """Return whether its first token can't come in time any more."""
        if self.priority is Priority.BATCH:
            return False
        return now - self.arrived_at > FIRST_TOKEN_TARGET_S - FIRST_TOKEN_MARGIN_S

    def is_urgent(self, now: float) -> bool:
        """Return whether batch work has to compete as interactive work."""
        allowed_s = self.deadline_at - self.arrived_at
        return self.latest_start - now <= URGENT_FRACTION * allowed_s


@dataclass
class _AccountQueue:
    """Virtual counters and waiting work of one account in one class."""

    weight: float
    counter: float
    items: list[QueuedRequest] = field(default_factory=list)
    tokens: float = 0.0


class _ClassQueue:
    """Fair queue of one priority class."""

    def __init__(self) -> None:
        self._queues: dict[Account, _AccountQueue] = {}
        self._virtual_time = 0.0

    def push(self, item: QueuedRequest) -> None:
        """Add an item; lift the counter of an account that was idle."""
        weight = max(item.weight, MIN_WEIGHT)
        queue = self._queues.get(item.account)
        if queue is None:
            queue = _AccountQueue(weight, self._virtual_time)
            self._queues[item.account] = queue
        if not queue.items:
            queue.counter = max(queue.counter, self._virtual_time)
        queue.weight = weight
        queue.items.append(item)
        queue.tokens += item.cost

    def pick(self, now: float) -> QueuedRequest | None:
        """Return the next item.

        It is the one of the account served least, unless that has only requests
        which missed the time to their first token and another, ahead by no more
        than ``LEAD`` tokens, has one that can still make it.
        """
        busy = [queue for queue in self._queues.values() if queue.items]
        if not busy:
            return None
        min_counter = min(queue.counter for queue in busy)
        on_time = [
            queue
            for queue in busy
            if not queue.items[-1].is_late(now)
            and (queue.counter - min_counter) * queue.weight <= MAX_LEAD_TOKENS
        ]
        queue = min(on_time or busy, key=lambda queue: queue.counter)
        return min(queue.items, key=lambda item: _service_order(item, now))

    def serve(self, item: QueuedRequest) -> None:
        """Remove an item and count its cost as served."""
        queue = self._queues[item.account]
        self.drop(item)
        self._virtual_time = max(self._virtual_time, queue.counter)
        queue.counter += item.cost / queue.weight
        self._remove_idle()

    def drop(self, item: QueuedRequest) -> None:
        """Remove an item that is not served."""
        queue = self._queues[item.account]
        queue.items.remove(item)
        queue.tokens -= item.cost

    def charge(self, account: Account, tokens: float) -> None:
        """Correct what an account was charged; negative gives back."""
        queue = self._queues.get(account)
        if queue is not None:
            queue.counter += tokens / queue.weight

    def backlog(self, account: Account, weight: float) -> float:
        """Return tokens that are served before a new item of the account."""
        own = self._queues.get(account)
        weight = max(weight, MIN_WEIGHT)
        own_tokens = own.tokens if own is not None else 0.0
        own_counter = own.counter if own is not None else self._virtual_time
        start_counter = max(own_counter, self._virtual_time) + own_tokens / weight
        others = (
            min(queue.tokens, max(0.0, start_counter - queue.counter) * queue.weight)
            for other, queue in self._queues.items()
            if other != account
        )
        return own_tokens + sum(others)

    def pick_overflow(self) -> QueuedRequest | None:
        """Return the newest item of the account with most work for its weight."""
        busy = [queue for queue in self._queues.values() if queue.items]
        if not busy:
            return None
        return max(busy, key=lambda queue: queue.tokens / queue.weight).items[-1]

    def _remove_idle(self) -> None:
        # Accounts come and go while a sidecar lives for weeks; an idle one whose
        # counter is behind the virtual time would be lifted anyway.
        idle = [
            account
            for account, queue in self._queues.items()
            if not queue.items and queue.counter <= self._virtual_time
        ]
        for account in idle:
            del self._queues[account]

    def __iter__(self) -> Iterator[QueuedRequest]:
        for queue in self._queues.values():
            yield from queue.items


class FairQueue:
    """Queue in front of one upstream, fair among client accounts."""

    def __init__(self) -> None:
        self._classes = {priority: _ClassQueue() for priority in Priority}
        self._items: dict[RequestId, tuple[QueuedRequest, _ClassQueue]] = {}
        self._tokens = 0.0

    @property
    def tokens(self) -> float:
        """Return the tokens that wait."""
        return self._tokens

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: QueuedRequest) -> None:
        """Add a request."""
        self._add(item, self._classes[item.priority])
        self._tokens += item.cost

    def pop(self, now: float) -> QueuedRequest | None:
        """Remove and return the next request, and charge its account."""
        self._promote_urgent(now)
        for priority in (Priority.INTERACTIVE, Priority.BATCH):
            queue = self._classes[priority]
            item = queue.pick(now)
            if item is not None:
                queue.serve(item)
                self._discard(item)
                return item
        return None

    def expire(self, now: float) -> tuple[QueuedRequest, ...]:
        """Remove and return requests that can no longer finish in time."""
        expired = [item for item, _ in self._items.values() if item.latest_start <= now]
        for item in expired:
            self.remove(item.request)
        return tuple(expired)

    def overflow(self, max_tokens: float) -> tuple[QueuedRequest, ...]:
        """Remove and return what exceeds ``bound`` tokens.

        A plain bound refuses the next caller, whoever filled the queue; an account
        within its rate would notice refusals while another floods. Taking from
        the account with most work for its weight, newest first and batch before
        interactive, leaves the refusal with the account that caused it.
        """
        removed = []
        while self.tokens > max_tokens and len(self) > 1:
            item = (
                self._classes[Priority.BATCH].pick_overflow()
                or self._classes[Priority.INTERACTIVE].pick_overflow()
            )
            if item is None:
                break
            self.remove(item.request)
            removed.append(item)
        return tuple(removed)

    def charge(
        self,
        account: Account,
        tokens: float,
        priority: Priority = Priority.INTERACTIVE,
    ) -> None:
        """Correct an account's counter once the actual use is known."""
        self._classes[priority].charge(account, tokens)

    def remove(self, request: RequestId) -> QueuedRequest | None:
        """Remove a request whose caller has gone, or return None."""
        if request not in self._items:
            return None
        item, queue = self._items[request]
        queue.drop(item)
        self._discard(item)
        return item

    def backlog(
        self,
        account: Account,
        weight: float,
        priority: Priority = Priority.INTERACTIVE,
    ) -> float:
        """Return the waiting tokens that go before a new request of an account."""
        tokens = self._classes[priority].backlog(account, weight)
        if priority is Priority.BATCH:
            urgent = self._classes[Priority.INTERACTIVE]
            tokens += sum(item.cost for item in urgent)
        return tokens

    def _add(self, item: QueuedRequest, queue: _ClassQueue) -> None:
        queue.push(item)
        self._items[item.request] = (item, queue)

    def _discard(self, item: QueuedRequest) -> None:
        del self._items[item.request]
        self._tokens -= item.cost

    def _promote_urgent(self, now: float) -> None:
        batch = self._classes[Priority.BATCH]
        for item in [item for item in batch if item.is_urgent(now)]:
            batch.drop(item)
            self._add(item, self._classes[Priority.INTERACTIVE])


def _service_order(item: QueuedRequest, now: float) -> tuple[bool, float]:
    """Order within one account: in time for the first token, then by deadline.

    Once a request has missed the time to its first token, serving it before one
    that can still make it only makes both late.
    """
    late = item.is_late(now)
    return late, item.deadline_at if late else item.arrived_at
