"""What of an entry's news has changed since it was last told."""

from dataclasses import dataclass
from typing import Final

from .news import NodeNews, Running

FULL_UPDATE_INTERVAL_S: Final = 2.0
"""Seconds after which everything is told again, for entries that have missed some."""


@dataclass
class UpdateDelta:
    """Keeps what was told last; times are monotonic seconds."""

    _last_update: NodeNews | None = None
    _full_at: float = 0.0

    def compute(self, update: NodeNews, now: float) -> NodeNews:
        """Return what is to be told of an entry's news."""
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
