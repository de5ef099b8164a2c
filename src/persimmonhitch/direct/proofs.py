"""Requests and prompt parts that have run well lately."""

import math
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Final

from ..ids import Cause, PartId

MAX_PROOFS: Final = 8192
MAX_CAUSES: Final = 33
"""Causes recorded per request, so that few requests don't displace all others."""
DELAY_PER_ENTRY_S: Final = 0.01
MAX_DELAY_S: Final = 1.0
"""Bounds of the random delay of an announcement. Many entries know a part in constant
use; those that hear of another's announcement in time make none."""


class Proofs:
    """When each request and prompt part last completed, and which parts to announce.

    Nothing is announced unless a peer reports a part as lost; times are monotonic.
    """

    def __init__(
        self,
        entry_count: Callable[[], int],
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._entry_count = entry_count
        self._draw = draw
        self._completed: OrderedDict[Cause, float] = OrderedDict()
        self._pending: dict[Cause, tuple[float, float]] = {}
        """When to announce each part, and when a request with it completed."""

    def add(self, causes: Iterable[Cause], at: float) -> None:
        """Record that a request with ``causes`` completed."""
        for cause in islice(causes, MAX_CAUSES):
            self._completed[cause] = max(at, self._completed.get(cause, -math.inf))
            self._completed.move_to_end(cause)
        while len(self._completed) > MAX_PROOFS:
            self._completed.popitem(last=False)

    def covers(self, cause: Cause, since: float) -> bool:
        """Return whether a request with a cause completed at ``since`` or later."""
        return self._completed.get(cause, -math.inf) >= since

    def announce(self, part: PartId, since: float, now: float) -> float | None:
        """Plan the announcement of a part; return when a request with it completed.

        Returns None if none completed at ``since`` or later.
        """
        if not self.covers(part, since):
            return None
        delay_s = min(MAX_DELAY_S, self._entry_count() * DELAY_PER_ENTRY_S)
        completed_at = self._completed[part]
        self._pending.setdefault(part, (now + self._draw() * delay_s, completed_at))
        return completed_at

    def announced(self, cause: Cause, at: float) -> None:
        """Record that a peer has announced a request or part that completed."""
        self.add([cause], at)
        self._pending.pop(cause, None)

    def due(self, now: float) -> dict[Cause, float]:
        """Return the parts to announce now, with the time of a completed request."""
        due = {key: at for key, (due_at, at) in self._pending.items() if due_at <= now}
        for cause in due:
            del self._pending[cause]
        return due
