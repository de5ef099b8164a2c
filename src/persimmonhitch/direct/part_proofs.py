"""Prompt parts of requests that have completed at this entry."""

import math
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Final

from ..ids import Cause, PartId

MAX_PROOFS: Final = 8192
MAX_PARTS: Final = 32
"""Parts recorded per request, so that few requests don't displace all others."""
DELAY_PER_ENTRY_S: Final = 0.01
MAX_DELAY_S: Final = 1.0
"""Bounds of the random delay of an announcement. Many entries know a part in constant
use; those that hear of another's announcement in time make none."""


class PartProofs:
    """When requests with each part last completed, and which parts to announce.

    Nothing is announced unless a peer reports a part as lost; times are monotonic.
    """

    def __init__(
        self,
        entry_count: Callable[[], int],
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._entry_count = entry_count
        self._draw = draw
        self._completed: OrderedDict[PartId, float] = OrderedDict()
        self._pending: dict[PartId, tuple[float, float]] = {}
        """When to announce each part, and when a request with it completed."""

    def add(self, parts: Iterable[PartId], now: float) -> None:
        """Record that a request with ``parts`` completed."""
        for part in islice(parts, MAX_PARTS):
            self._completed[part] = now
            self._completed.move_to_end(part)
        while len(self._completed) > MAX_PROOFS:
            self._completed.popitem(last=False)

    def covers(self, part: PartId, since: float) -> bool:
        """Return whether a request with a part completed at ``since`` or later."""
        return self._completed.get(part, -math.inf) >= since

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

    def announced(self, cause: Cause) -> None:
        """Record that a peer has announced a part."""
        self._pending.pop(PartId(cause), None)

    def due(self, now: float) -> dict[PartId, float]:
        """Return the parts to announce now, with the time of a completed request."""
        due = {
            part: at for part, (due_at, at) in self._pending.items() if due_at <= now
        }
        for part in due:
            del self._pending[part]
        return due
