"""What of an entry's news has changed since it was last told."""

from dataclasses import dataclass
from typing import Final

from .news import NodeNews, Running

WHOLE_EVERY: Final = 2.0
"""Seconds after which everything is told again, for entries that have missed some."""


@dataclass
class NewsChanges:
    """Keeps what was told last; times are monotonic seconds."""

    _last: NodeNews | None = None
    _whole_at: float = 0.0

    def take(self, news: NodeNews, now: float) -> NodeNews:
        """Return what is to be told of an entry's news."""
        last, self._last = self._last, news
        if last is None or now - self._whole_at >= WHOLE_EVERY:
            self._whole_at = now
            return news
        return NodeNews(
            {k: v for k, v in news.used.items() if last.used.get(k) != v},
            {k: v for k, v in news.asked.items() if last.asked.get(k) != v},
            _changed(last.running, news.running),
            whole=False,
        )


def _changed(
    last: tuple[Running, ...], now: tuple[Running, ...]
) -> tuple[Running, ...]:
    old = set(last)
    names = {item.upstream for item in now}
    ended = [Running(o.upstream, 0, 0, 0) for o in last if o.upstream not in names]
    return (*(item for item in now if item not in old), *ended)
