"""Changes of an entry's status since its last update."""

from dataclasses import dataclass
from typing import Final

from .news import NodeNews, Running

FULL_UPDATE_INTERVAL_S: Final = 2.0
"""Seconds between two full updates, for entries that have missed some."""


@dataclass
class UpdateDelta:
    """Reduces updates to their changes; times are monotonic seconds."""

    _last_update: NodeNews | None = None
    _full_at: float = 0.0

    def compute(self, update: NodeNews, now: float) -> NodeNews:
        """Return the part of an update to send: its changes, or all when due."""
        last, self._last_update = self._last_update, update
        if last is None or now - self._full_at >= FULL_UPDATE_INTERVAL_S:
            self._full_at = now
            return update
        return NodeNews(
            {k: v for k, v in update.used.items() if last.used.get(k) != v},
            {k: v for k, v in update.asked.items() if last.asked.get(k) != v},
            _changed_work(last.running, update.running),
            whole=False,
        )


def _changed_work(
    last: tuple[Running, ...], current: tuple[Running, ...]
) -> tuple[Running, ...]:
    old = set(last)
    upstreams = {item.upstream for item in current}
    ended = [Running(o.upstream, 0, 0, 0) for o in last if o.upstream not in upstreams]
    return (*(item for item in current if item not in old), *ended)
