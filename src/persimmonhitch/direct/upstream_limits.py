"""Limits of requests that upstreams in need name in their answers."""

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..decide.poison import UpstreamStart
from ..fleet.call import RequestLimit
from ..fleet.upstream import UpstreamRecord
from ..observe.logs import log
from .poison import start_of


@dataclass
class _Named:
    limit: RequestLimit
    at: float
    """When it was last named, in monotonic seconds."""


class UpstreamLimits:
    """What upstreams say that they take; safe to use from many threads."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._named: dict[UpstreamStart, _Named] = {}

    def answered(
        self, record: UpstreamRecord, limit: RequestLimit | None, sent_at: float
    ) -> None:
        """Take what an answer says to a request that was sent at a time."""
        start, now = start_of(record), self._clock()
        with self._lock:
            old = self._named.get(start)
            if limit is not None:
                self._named[start] = _Named(limit, now)
            elif old is not None and sent_at > old.at:
                del self._named[start]
        if limit is not None and (old is None or old.limit != limit):
            log("upstream_limited", upstream=record.name, per_second=limit.per_second)
        if limit is None and old is not None and sent_at > old.at:
            log("upstream_unlimited", upstream=record.name)

    def listed(self, records: Iterable[UpstreamRecord]) -> None:
        """Forget upstreams that have gone or started anew."""
        starts = {start_of(record) for record in records}
        with self._lock:
            self._named = {s: n for s, n in self._named.items() if s in starts}
