"""What an entry follows in the store, and how closely."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..store.objects import Kind, ObjectStore
from ..store.watcher import Changed, View, Watcher
from .upstreams import UpstreamList

WATCH_S: Final = 2.0
"""Seconds of one watch: a connection that went silent is noticed a little after, within
the time that a change may take to be in force."""
UPSTREAM_WATCH_PAUSE_S: Final = 0.7
"""Seconds between two watches of the upstreams. Each of them writes its entry about
each second, and a watch ends at the first; without the pause every entry of an upstream
would cost every one of ours a call. An upstream may get work for two seconds after it
is leaving."""
MAX_RETRY_S: Final = 1.0
"""Seconds between tries while the store is away."""
ENTRY_WATCH_PAUSE_S: Final = 1.0
"""Seconds between two watches of the entries, which start and stop many at a time."""
BLOCKED_WATCH_S: Final = 5.0
"""Seconds of a watch of blocked calls, which other entries tell sooner."""

Listener = Callable[[View], None]


@dataclass(frozen=True)
class Listeners:
    """Who takes each new view."""

    config: Listener
    upstreams: UpstreamList
    entries: Listener
    blocked: Listener


def make_watchers(
    store: ObjectStore, listeners: Listeners, changed: Changed
) -> dict[Kind, Watcher]:
    """Return a watcher for each kind; ``changed`` takes all that they see."""
    return {
        Kind.FLEET: Watcher(
            store, Kind.FLEET, listeners.config, WATCH_S, MAX_RETRY_S, changed=changed
        ),
        Kind.UPSTREAM: Watcher(
            store,
            Kind.UPSTREAM,
            listeners.upstreams.update,
            WATCH_S,
            MAX_RETRY_S,
            listeners.upstreams.store_unavailable,
            UPSTREAM_WATCH_PAUSE_S,
            changed,
        ),
        Kind.ENTRY: Watcher(
            store,
            Kind.ENTRY,
            listeners.entries,
            retry_most=MAX_RETRY_S,
            pause=ENTRY_WATCH_PAUSE_S,
            changed=changed,
        ),
        Kind.BLOCKED: Watcher(
            store,
            Kind.BLOCKED,
            listeners.blocked,
            BLOCKED_WATCH_S,
            MAX_RETRY_S,
            changed=changed,
        ),
    }
