"""Changes of an entry's status since its last update."""

from dataclasses import dataclass

from ..decide.update_rate import full_update_interval
from .peer_messages import EntryUpdate, UpstreamWork


@dataclass
class UpdateDelta:
    """Reduces updates to their changes; times are monotonic seconds."""

    _last_update: EntryUpdate | None = None
    _full_at: float = 0.0

    def compute(self, update: EntryUpdate, now: float, entries: int = 1) -> EntryUpdate:
        """Return the changes since the last update, or the full update when due.

        ``entries`` is the size of the fleet.
        """
        last, self._last_update = self._last_update, update
        if last is None or now - self._full_at >= full_update_interval(entries):
            self._full_at = now
            return update
        return EntryUpdate(
            {k: v for k, v in update.usage.items() if last.usage.get(k) != v},
            {k: v for k, v in update.demand.items() if last.demand.get(k) != v},
            _changed_work(last.work, update.work),
            is_full=False,
        )


def _changed_work(
    last: tuple[UpstreamWork, ...], current: tuple[UpstreamWork, ...]
) -> tuple[UpstreamWork, ...]:
    old = set(last)
    upstreams = {item.upstream for item in current}
    ended = [
        UpstreamWork(o.upstream, 0, 0, 0) for o in last if o.upstream not in upstreams
    ]
    return (*(item for item in current if item not in old), *ended)
