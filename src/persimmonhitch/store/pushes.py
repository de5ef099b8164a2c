"""Relay of watched store changes to other processes, which then need no watch.

A process that relies on the pushes of another process is called a follower.
"""

import json
import math
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from ..ids import Vm
from ..json_input import parse_json
from ..wire.codec import encode, message
from .era import Era, era_of
from .objects import (
    Changes,
    Event,
    EventType,
    Kind,
    StoredObject,
    Version,
    readable_spec,
)
from .watcher import (
    CONTACT_MARGIN_S,
    MAX_FAILING_AGE_S,
    POLL_INTERVAL_S,
    PUSH_TTL_S,
    Watcher,
)

PUSH_INTERVAL_S: Final = 0.4
"""Interval of empty pushes without changes; changes are pushed by the next flush."""
CONTACT_STEP_S: Final = 0.3
"""Progress of the last contact with the store that is pushed at the next flush."""
LIST_DURATION_S: Final = 1.0
"""Maximum duration of a list call, including its timeout."""
FAILURE_REPORT_S: Final = 5.0
"""Time for which pushes report the last failed call to the store."""
MAX_PUSHED_BYTES: Final = 4096
"""Size above which an object is omitted from pushes, and followers list all objects.
Otherwise a small VM would send a large object once per follower."""


@dataclass(frozen=True)
class PushedObject:
    """A changed or deleted object in a push."""

    name: str
    version: int
    deleted: bool
    spec: bytes | None
    """JSON; None if larger than ``MAX_PUSHED_BYTES``."""


@message(70)
@dataclass(frozen=True)
class StorePush:
    """Changes after the version ``since``, up to and including ``version``."""

    kind: Kind
    since: int
    version: int
    contact_ms: int
    """Time since the last reply of the store."""
    failed_ms: int | None
    """Time since the last failed call to the store; None if not recent."""
    objects: tuple[PushedObject, ...]


def may_follow(max_staleness_s: float) -> bool:
    """Return whether followers receive each change within ``max_staleness_s``.

    If the process that pushes crashes, its followers notice after ``PUSH_TTL_S`` and
    then need the time of a list call.
    """
    return max_staleness_s >= PUSH_TTL_S + LIST_DURATION_S


def max_contact_age(max_staleness_s: float, watch_s: float) -> float:
    """Return the age of a pusher's contact with the store up to which to follow it.

    A follower that then watches for itself needs the time until its next check and that
    of a list call.
    """
    in_time = max_staleness_s - LIST_DURATION_S - POLL_INTERVAL_S
    return max(MAX_FAILING_AGE_S, min(watch_s + CONTACT_MARGIN_S, in_time))


class WatchRelay:
    """Pushes changes of local watchers to followers and applies received pushes.

    Parameters
    ----------
    send : callable
        Sends an encoded message to an entry.
    observe_era : callable
        Receives the era of a push; returns whether pushes of that era are valid.
    """

    def __init__(
        self,
        send: Callable[[Vm, bytes], object],
        clock: Callable[[], float] = time.monotonic,
        observe_era: Callable[[Era], bool] = lambda _era: True,
    ) -> None:
        self._observe_era = observe_era
        self._send = send
        self._clock = clock
        self._lock = threading.Lock()
        self._watchers: dict[Kind, Watcher] = {}
        self._pending: dict[Kind, list[tuple[Version, Changes]]] = {}
        self._pushed_at: dict[Kind, float] = {}
        self._pushed_contact_at: dict[Kind, float] = {}
        self._pushed_versions: dict[Kind, Version] = {}
        """Version up to which changes have been pushed to followers."""

    def set_watchers(self, watchers: Mapping[Kind, Watcher]) -> None:
        """Set the watchers whose changes are pushed."""
        self._watchers = dict(watchers)

    def add_changes(self, kind: Kind, since: Version, changes: Changes) -> None:
        """Queue changes of a watcher for the next push."""
        with self._lock:
            self._pending.setdefault(kind, []).append((since, changes))

    def receive(self, msg: StorePush) -> None:
        """Apply a push of another process to the watcher of its kind."""
        watcher = self._watchers.get(msg.kind)
        if watcher is None or not self._observe_era(era_of(Version(msg.version))):
            return
        full = all(obj.deleted or obj.spec is not None for obj in msg.objects)
        events = [_to_event(msg.kind, obj) for obj in msg.objects] if full else []
        changes = Changes(Version(msg.version), tuple(events))
        now = self._clock()
        failed_at = -math.inf if msg.failed_ms is None else now - msg.failed_ms / 1000
        contact_at = now - msg.contact_ms / 1000
        watcher.receive(Version(msg.since), changes, contact_at, failed_at, full)

    def flush(self, followers: Iterable[Vm]) -> None:
        """Push queued changes, or an empty push after ``PUSH_INTERVAL_S``."""
        vms = tuple(followers)
        now = self._clock()
        for kind, watcher in self._watchers.items():
            with self._lock:
                pending = self._pending.pop(kind, [])
            contact_at = watcher.contact_at
            due = now - self._pushed_at.get(kind, 0.0) >= PUSH_INTERVAL_S
            # Each relaying entry would otherwise add a push interval to the age.
            due |= contact_at - self._pushed_contact_at.get(kind, 0.0) >= CONTACT_STEP_S
            if pending:
                self._pushed_versions[kind] = pending[-1][1].version
            if not vms or not watcher.ready.is_set() or not (pending or due):
                continue
            self._pushed_at[kind], self._pushed_contact_at[kind] = now, contact_at
            frame = encode(self._build_push(kind, watcher, pending, now))
            for vm in vms:
                self._send(vm, frame)

    def _build_push(
        self,
        kind: Kind,
        watcher: Watcher,
        pending: list[tuple[Version, Changes]],
        now: float,
    ) -> StorePush:
        version = self._pushed_versions.setdefault(kind, watcher.version)
        since = pending[0][0] if pending else version
        for earlier, later in zip(pending, pending[1:], strict=False):
            if later[0] > earlier[1].version:
                # The changes between both come from a list call, which has no events.
                since = later[0]
        events = [event for _, changes in pending for event in changes.events]
        failed_s = now - watcher.failed_at
        return StorePush(
            kind,
            since,
            version,
            contact_ms=max(0, int((now - watcher.contact_at) * 1000)),
            failed_ms=int(failed_s * 1000) if failed_s < FAILURE_REPORT_S else None,
            objects=tuple(map(_to_pushed, events)),
        )


def _to_pushed(event: Event) -> PushedObject:
    obj, deleted = event.object, event.type is EventType.DELETED
    spec = b"" if deleted else json.dumps(obj.spec).encode()
    fits = len(spec) <= MAX_PUSHED_BYTES
    return PushedObject(obj.name, obj.version, deleted, spec if fits else None)


def _to_event(kind: Kind, obj: PushedObject) -> Event:
    spec = readable_spec(kind, parse_json(obj.spec)) if obj.spec else {}
    stored = StoredObject(kind, obj.name, Version(obj.version), spec)
    return Event(EventType.DELETED if obj.deleted else EventType.MODIFIED, stored)
