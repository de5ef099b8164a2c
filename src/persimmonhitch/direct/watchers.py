"""Watchers for the store objects that an entry needs, and their timing."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..store.objects import Kind, ObjectStore
from ..store.pushes import max_contact_age
from ..store.watcher import ChangeListener, View, Watcher
from .upstreams import UpstreamList

WATCH_S: Final = 2.0
"""Duration of one watch call. An unresponsive connection is detected shortly after, and
within the time in which a change has to be in force."""
UPSTREAM_WATCH_PAUSE_S: Final = 0.7
"""Seconds between two watch calls for upstreams. Each upstream rewrites its record
about once per second, and a watch ends at the first change. Without the pause, each
write would cause a call by every entry. This pause is allowed, as an upstream may
receive requests for up to two seconds after it starts draining."""
MAX_RETRY_S: Final = 1.0
"""Maximum seconds between two attempts while the store is unavailable."""
UPSTREAM_MAX_RETRY_S: Final = 0.4
"""The same for upstreams. Upstreams that leave after an outage receive requests until
this entry has noticed its end and expired records are back."""
ENTRY_WATCH_PAUSE_S: Final = 1.0
"""Seconds between two watch calls for entries; many start or stop at the same time."""
BLOCKED_WATCH_S: Final = 5.0
"""Duration of a watch call for blocked requests, which peers report earlier."""

Listener = Callable[[View], None]


@dataclass(frozen=True)
class Listeners:
    """Receivers of each new view, by kind of object."""

    config: Listener
    upstreams: UpstreamList
    entries: Listener
    blocked: Listener
    evacuations: Listener | None = None
    """None if operators evacuate no zones."""
    upstream_history: Listener = lambda _view: None
    """Receives each view of the upstreams after ``upstreams``."""

    def update_upstreams(self, view: View) -> None:
        """Pass a view of the upstreams on."""
        self.upstreams.update(view)
        self.upstream_history(view)


def make_watchers(
    store: ObjectStore,
    listeners: Listeners,
    changed: ChangeListener,
    max_staleness_s: float,
) -> dict[Kind, Watcher]:
    """Return a watcher for each kind; ``changed`` receives all changes.

    ``max_staleness_s`` is the time in which a change of an upstream has to be in force.
    """
    watchers = {
        Kind.FLEET: Watcher(
            store, Kind.FLEET, listeners.config, WATCH_S, MAX_RETRY_S, on_change=changed
        ),
        Kind.UPSTREAM: Watcher(
            store,
            Kind.UPSTREAM,
            listeners.update_upstreams,
            WATCH_S,
            UPSTREAM_MAX_RETRY_S,
            UPSTREAM_WATCH_PAUSE_S,
            changed,
            max_contact_age(max_staleness_s, WATCH_S),
            needs_history=True,
        ),
        Kind.ENTRY: Watcher(
            store,
            Kind.ENTRY,
            listeners.entries,
            max_retry_s=MAX_RETRY_S,
            pause_s=ENTRY_WATCH_PAUSE_S,
            on_change=changed,
        ),
        Kind.BLOCKED: Watcher(
            store,
            Kind.BLOCKED,
            listeners.blocked,
            BLOCKED_WATCH_S,
            MAX_RETRY_S,
            on_change=changed,
        ),
    }
    if listeners.evacuations is not None:
        watchers[Kind.EVACUATION] = Watcher(
            store,
            Kind.EVACUATION,
            listeners.evacuations,
            WATCH_S,
            MAX_RETRY_S,
            on_change=changed,
        )
    return watchers
