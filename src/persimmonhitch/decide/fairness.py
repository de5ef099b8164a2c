"""Weighted fair queue in front of one upstream, shared by client accounts.

Load pattern: one account sends several times its usual rate, or a few huge prompts, to
an upstream that other accounts use too. A first-come, first-served queue would serve
its backlog before all other requests; in this queue a backlog delays only the requests
of its own account.

Each account has a virtual counter of tokens served, divided by its weight, and the
account with the lowest counter is served next. The counter of an account that returns
from idleness is raised to the virtual time, so that it neither accumulates credit while
idle nor is in debt afterwards.

Batch requests run when no interactive request waits. Under steady interactive load they
would starve, so in the last quarter of its allowed time a batch request competes as an
interactive one. A quarter of an overnight run's eight hours is enough at any fair
share, and the other three quarters use the spare capacity of the night.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from ..ids import Account, RequestId
from ..wire.messages import Priority

URGENT_FRACTION: Final = 0.25
"""Final share of its allowed time in which a batch request competes as interactive."""
FIRST_TOKEN_MARGIN_S: Final = 0.2
"""Part of the first-token target that the upstream itself uses, in seconds."""
MAX_LEAD_TOKENS: Final = 1500.0
"""Tokens by which an account that is served first may exceed its share.

Applies to an account with a request that can still meet the first-token target, when
all accounts with a lower counter have only late requests.
"""
MIN_WEIGHT: Final = 1e-3
FIRST_TOKEN_TARGET_S: Final = 0.75
"""Seconds to the first token promised to callers, as a 95th percentile."""


@dataclass(frozen=True)
class QueuedRequest:
    """A request that waits for an upstream.

    Attributes
    ----------
    cost : float
        Tokens reserved for the request: prompt and maximum output.
    deadline_at, arrived_at : float
        Times on the clock that supplies the ``now`` arguments of the queue.
    service_s : float
        Seconds of service that the request requires to finish.
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
        """Return the latest time at which to start and still meet the deadline."""
        return self.deadline_at - self.service_s

    def is_late(self, now: float) -> bool:
        """Return whether the request can no longer meet the first-token target."""
        if self.priority is Priority.BATCH:
            return False
        return now - self.arrived_at > FIRST_TOKEN_TARGET_S - FIRST_TOKEN_MARGIN_S

    def is_urgent(self, now: float) -> bool:
        """Return whether a batch request has to compete as an interactive one."""
        allowed_s = self.deadline_at - self.arrived_at
        return self.latest_start - now <= URGENT_FRACTION * allowed_s


@dataclass
class _AccountQueue:
    """Virtual counter and queued requests of one account in one priority class."""

    weight: float
    counter: float
    items: list[QueuedRequest] = field(default_factory=list)
    tokens: float = 0.0


class _ClassQueue:
    """Fair queue of one priority class; its items are requests."""

    def __init__(self) -> None:
        self._queues: dict[Account, _AccountQueue] = {}
        self._virtual_time = 0.0

    def push(self, item: QueuedRequest) -> None:
        """Add an item; raise the counter of an account that was idle."""
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

        The account with the lowest counter is served, unless all its requests have
        missed the first-token target while another account, ahead by no more than
        ``MAX_LEAD_TOKENS``, has a request that can still meet the target.
        """
        nonempty = [queue for queue in self._queues.values() if queue.items]
        if not nonempty:
            return None
        min_counter = min(queue.counter for queue in nonempty)
        on_time = [
            queue
            for queue in nonempty
            if not queue.items[-1].is_late(now)
            and (queue.counter - min_counter) * queue.weight <= MAX_LEAD_TOKENS
        ]
        queue = min(on_time or nonempty, key=lambda queue: queue.counter)
        return min(queue.items, key=lambda item: _service_order(item, now))

    def serve(self, item: QueuedRequest) -> None:
        """Remove an item and count its cost as served."""
        queue = self._queues[item.account]
        self.drop(item)
        self._virtual_time = max(self._virtual_time, queue.counter)
        queue.counter += item.cost / queue.weight
        self._remove_idle()

    def drop(self, item: QueuedRequest) -> None:
        """Remove an item without serving it."""
        queue = self._queues[item.account]
        queue.items.remove(item)
        queue.tokens -= item.cost

    def charge(self, account: Account, tokens: float) -> None:
        """Charge an account further tokens, or refund them if negative."""
        queue = self._queues.get(account)
        if queue is not None:
            queue.counter += tokens / queue.weight

    def backlog(self, account: Account, weight: float) -> float:
        """Return the tokens served before a new item of the account."""
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

    def pick_excess(self) -> QueuedRequest | None:
        """Return the newest item of the account with the most tokens per weight."""
        nonempty = [queue for queue in self._queues.values() if queue.items]
        if not nonempty:
            return None
        return max(nonempty, key=lambda queue: queue.tokens / queue.weight).items[-1]

    def _remove_idle(self) -> None:
        # Without this removal, memory use would grow over the weeks for which a sidecar
        # runs, as the set of accounts changes. An idle account at or below the virtual
        # time is not affected: its counter would be raised to the virtual time anyway.
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
    """Queue in front of one upstream that is fair among client accounts."""

    def __init__(self) -> None:
        self._classes = {priority: _ClassQueue() for priority in Priority}
        self._items: dict[RequestId, tuple[QueuedRequest, _ClassQueue]] = {}
        self._tokens = 0.0

    @property
    def tokens(self) -> float:
        """Return the number of queued tokens."""
        return self._tokens

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: QueuedRequest) -> None:
        """Add a request."""
        self._add(item, self._classes[item.priority])
        self._tokens += item.cost

    def pop(self, now: float) -> QueuedRequest | None:
        """Remove and return the next request and charge its account."""
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
        """Remove and return the requests that can no longer meet their deadline."""
        expired = [item for item, _ in self._items.values() if item.latest_start <= now]
        for item in expired:
            self.remove(item.request)
        return tuple(expired)

    def remove_excess(self, max_tokens: float) -> tuple[QueuedRequest, ...]:
        """Remove and return the requests in excess of ``max_tokens``.

        A plain bound refuses the next caller, no matter which account filled the
        queue, so an account within its rate would be refused while another floods.
        Removing requests of the account with the most tokens per weight, newest first
        and batch before interactive, refuses the account that floods.
        """
        removed = []
        while self.tokens > max_tokens and len(self) > 1:
            item = (
                self._classes[Priority.BATCH].pick_excess()
                or self._classes[Priority.INTERACTIVE].pick_excess()
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
        """Correct an account's counter once the actual token use is known."""
        self._classes[priority].charge(account, tokens)

    def remove(self, request: RequestId) -> QueuedRequest | None:
        """Remove and return a cancelled request, or return None if not queued."""
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
        """Return the queued tokens served before a new request of an account."""
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
    """Return the sort key of a request within its account.

    Requests that can still meet the first-token target precede late requests. The
    former are sorted by arrival, the latter by deadline. Serving a late request first
    would make both late.
    """
    late = item.is_late(now)
    return late, item.deadline_at if late else item.arrived_at
