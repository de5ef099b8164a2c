"""Placeholder queue in order of arrival, until the fair queue lands."""

from collections import OrderedDict
from dataclasses import dataclass

from ..ids import Account, RequestId
from ..wire.messages import Priority


@dataclass(frozen=True)
class Waiting:
    """One request that waits for the upstream."""

    request: RequestId
    account: Account
    weight: float
    priority: Priority
    cost: float
    deadline_at: float
    arrived_at: float


class Backlog:
    """First come, first served."""

    def __init__(self) -> None:
        self._items: OrderedDict[RequestId, Waiting] = OrderedDict()

    def __len__(self) -> int:
        return len(self._items)

    @property
    def tokens(self) -> float:
        """Return the tokens that wait."""
        return sum(item.cost for item in self._items.values())

    def push(self, item: Waiting) -> None:
        """Add a request."""
        self._items[item.request] = item

    def pop(self, now: float) -> Waiting | None:
        """Return the next request, or None."""
        return self._items.popitem(last=False)[1] if self._items else None

    def remove(self, request: RequestId) -> bool:
        """Take a request out; return whether it was there."""
        return self._items.pop(request, None) is not None

    def expire(self, now: float) -> tuple[Waiting, ...]:
        """Take out the requests whose deadline has passed."""
        late = tuple(i for i in self._items.values() if i.deadline_at <= now)
        for item in late:
            del self._items[item.request]
        return late

    def charge(self, account: Account, tokens: float) -> None:
        """Correct an account's served tokens."""
