"""Upstreams whose records are removed around an outage of the store."""

import math

import pytest
from fake_engine import Clock
from returns.result import Failure as Err

from persimmonhitch.direct.upstreams import REREGISTRATION_TIME_S, UpstreamList
from persimmonhitch.direct.watchers import Listeners, make_watchers
from persimmonhitch.store import watcher as watcher_module
from persimmonhitch.store.objects import (
    Changes,
    Event,
    EventType,
    Kind,
    Listing,
    StoredObject,
    StoreError,
    StoreFailure,
    Version,
)
from persimmonhitch.store.pushes import FAILURE_REPORT_S
from persimmonhitch.store.watcher import Watcher

SPEC = {"service": "s", "address": "h:1", "zone": "z1", "slots": 1, "state": "ready"}
IN_TOUCH_S = 3.0
"""Seconds after an outage from which removals have to be in force."""
CALL_S = 0.4
"""Seconds left for the list call and the next check of held upstreams."""


def stored(name, version, **fields):
    return StoredObject(Kind.UPSTREAM, name, Version(version), {**SPEC, **fields})


class Entry:
    """A watcher of upstreams with their list; ``restore`` ends an outage."""

    def __init__(self, monkeypatch):
        self.clock, self.published = Clock(), []
        monkeypatch.setattr(watcher_module.time, "monotonic", self.clock)
        self.upstreams = UpstreamList(self.published.append, self.clock)
        self.watcher = Watcher(None, Kind.UPSTREAM, self.upstreams.update)
        self.version = 3
        self._list("u1", "u2")

    def _list(self, *names):
        items = tuple(stored(name, 1) for name in names)
        self.watcher._apply_listing(Listing(Version(self.version), items))

    def lose_store(self, seconds=4.0):
        for _ in range(2):
            self.watcher._record_failure(self.clock())
            self.clock.now += seconds / 2
        self.watcher._record_failure(self.clock())

    def restore(self, *names):
        self.version += 1
        self._list(*names)

    def remove(self, name):
        events = (Event(EventType.DELETED, stored(name, self.version + 1)),)
        self._apply(events)

    def drain(self, name):
        obj = stored(name, self.version + 1, state="draining")
        self._apply((Event(EventType.MODIFIED, obj),))

    def _apply(self, events):
        since, self.version = Version(self.version), self.version + 1
        changes = Changes(Version(self.version), events)
        self.watcher._apply_changes(since, changes, self.clock())

    def push(self, contact_age_s, failed_age_s, *events):
        now, since = self.clock(), Version(self.version)
        self.version += bool(events)
        changes = Changes(Version(self.version), events)
        contact_at, failed_at = now - contact_age_s, now - failed_age_s
        self.watcher.receive(since, changes, contact_at, failed_at, True)

    def names(self):
        self.upstreams.expire()
        return {record.name for record in self.published[-1]}


@pytest.fixture
def entry(monkeypatch):
    return Entry(monkeypatch)


@pytest.mark.parametrize("removed_after_s", [0.0, 0.4, 0.8, 1.5, 1.9])
def test_removal_after_an_outage_is_held_until_records_are_back(entry, removed_after_s):
    """Guards against requests to an upstream that left after the store was back."""
    entry.lose_store()
    entry.restore("u1", "u2")
    entry.clock.now += removed_after_s
    entry.remove("u1")
    assert entry.names() == {"u1", "u2"}
    entry.clock.now += REREGISTRATION_TIME_S - removed_after_s - 0.01
    assert entry.names() == {"u1", "u2"}
    entry.clock.now += 0.02
    assert entry.names() == {"u2"}


def test_record_that_expired_in_an_outage_is_held(entry):
    """Guards against refusals while live upstreams re-register."""
    entry.lose_store()
    entry.restore()
    entry.clock.now += REREGISTRATION_TIME_S - 0.01
    assert entry.names() == {"u1", "u2"}
    entry.restore("u1")
    entry.clock.now += 0.02
    assert entry.names() == {"u1"}


def test_removal_is_not_held_once_expired_records_are_back(entry):
    entry.lose_store()
    entry.restore("u1", "u2")
    entry.clock.now += REREGISTRATION_TIME_S + 0.01
    entry.remove("u1")
    assert entry.names() == {"u2"}


def test_draining_upstream_is_not_held(entry):
    entry.lose_store()
    entry.restore("u1", "u2")
    entry.drain("u1")
    entry.remove("u1")
    assert entry.names() == {"u2"}


def test_repeated_report_of_one_failure_does_not_prolong_the_hold(entry):
    """Guards against followers that count each push as a new failure of the store."""
    entry.clock.now += 10.0
    failed_at = entry.clock()
    age_s, transit_s = 0.0, 0.05
    while age_s < FAILURE_REPORT_S:
        # The push arrives a little sooner each time, so the failure looks newer.
        transit_s -= 0.001
        entry.push(0.01, entry.clock() - failed_at - 0.05 + transit_s)
        entry.clock.now += 0.4
        age_s += 0.4
    removal = Event(EventType.DELETED, stored("u1", entry.version + 1))
    entry.push(0.01, math.inf, removal)
    assert entry.names() == {"u2"}


def test_removal_is_not_held_if_the_store_rejects_the_pusher_alone(entry):
    """Guards against requests to upstreams that left while a pusher was rejected."""
    entry.clock.now += 10.0
    entry.push(0.9, 0.1)
    entry.restore("u2")
    assert entry.names() == {"u2"}


def test_follower_holds_removals_after_an_outage_of_its_pusher(entry):
    """Guards against refusals at followers while live upstreams re-register."""
    entry.clock.now += 10.0
    entry.push(0.9, 0.1)
    entry.clock.now += 0.2
    entry.push(0.0, 0.3, Event(EventType.DELETED, stored("u1", entry.version + 1)))
    assert entry.names() == {"u1", "u2"}
    entry.clock.now += REREGISTRATION_TIME_S + 0.01
    assert entry.names() == {"u2"}


class UnavailableStore:
    """A store that fails the first calls of a watcher and then stops it."""

    def __init__(self, failures):
        self.failures, self.watcher, self.pauses = failures, None, []

    def list_all(self, _kind):
        self.failures -= 1
        if not self.failures:
            self.watcher.stop()
        return Err(StoreFailure(StoreError.UNAVAILABLE, "down"))


def test_end_of_an_outage_is_noticed_in_time_for_removals(monkeypatch):
    """Guards against requests to upstreams that left, by an entry that retries late."""
    store, upstreams = UnavailableStore(12), UpstreamList(lambda _records: None)
    listeners = Listeners(None, upstreams, None, None)
    watcher = make_watchers(store, listeners, None, IN_TOUCH_S)[Kind.UPSTREAM]
    store.watcher = watcher
    monkeypatch.setattr(watcher._stopping, "wait", store.pauses.append)
    watcher._run()
    assert max(store.pauses) + REREGISTRATION_TIME_S + CALL_S <= IN_TOUCH_S


@pytest.mark.parametrize(("leaving", "listed"), [(True, 1), (False, 2)])
def test_removed_upstream_that_reported_its_leaving_is_not_held(
    monkeypatch, leaving, listed
):
    """Guards against requests to an upstream whose answers had said that it leaves."""
    entry = Entry(monkeypatch)
    entry.upstreams._is_leaving = lambda _record: leaving
    entry.lose_store()
    entry.restore("u2")
    assert len(entry.published[-1]) == listed
