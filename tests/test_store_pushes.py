"""Entries that follow another entry's watch of the store instead of their own."""

import threading

import pytest
from fleet import wait_for
from returns.result import Failure as Err
from returns.result import Result, Success

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
from persimmonhitch.store.pushes import (
    LIST_DURATION_S,
    MAX_PUSHED_BYTES,
    WatchRelay,
    max_contact_age,
)
from persimmonhitch.store.watcher import MAX_FAILING_AGE_S, POLL_INTERVAL_S, Watcher
from persimmonhitch.wire.codec import decode

WATCH_DURATION_S = 0.3


class Store:
    """Store with objects of one kind; ``unreachable_from`` names failing clients."""

    def __init__(self):
        self.objects, self.events = {}, []
        self.version, self.unreachable_from = 1, set()
        self._changed = threading.Condition()

    def put(self, name, spec):
        with self._changed:
            self.version += 1
            obj = StoredObject(Kind.UPSTREAM, name, Version(self.version), spec)
            self.objects[name] = obj
            self.events.append(Event(EventType.MODIFIED, obj))
            self._changed.notify_all()

    def delete(self, name):
        with self._changed:
            self.version += 1
            old = self.objects.pop(name)
            obj = StoredObject(old.kind, name, Version(self.version), old.spec)
            self.events.append(Event(EventType.DELETED, obj))
            self._changed.notify_all()

    def client(self, name):
        return Client(self, name)


class Client:
    def __init__(self, store, name):
        self.store, self.name, self.calls = store, name, 0

    def _unavailable(self):
        return Err(StoreFailure(StoreError.UNAVAILABLE, "down"))

    def list_all(self, _kind) -> Result:
        self.calls += 1
        if self.name in self.store.unreachable_from:
            return self._unavailable()
        with self.store._changed:
            items = tuple(self.store.objects.values())
            return Success(Listing(Version(self.store.version), items))

    def watch(self, _kind, after, wait) -> Result:
        self.calls += 1
        store = self.store
        with store._changed:
            store._changed.wait_for(lambda: store.version > after, wait)
            if self.name in store.unreachable_from:
                return self._unavailable()
            events = tuple(e for e in store.events if e.object.version > after)
            return Success(Changes(Version(store.version), events))


class Entry:
    """A watcher with a relay that pushes to followers."""

    def __init__(self, store, name, deliver):
        self.client = store.client(name)
        self.relay = WatchRelay(lambda to, frame: deliver(to, frame))
        self.watcher = Watcher(
            self.client,
            Kind.UPSTREAM,
            lambda _view: None,
            WATCH_DURATION_S,
            0.2,
            on_change=self.relay.add_changes,
        )
        self.relay.set_watchers({Kind.UPSTREAM: self.watcher})

    def names(self):
        return set(self.watcher.view.objects)


class Pair:
    """A parent that watches the store and a child that follows the parent."""

    def __init__(self):
        self.store = Store()
        self.linked = True
        self.parent = Entry(self.store, "parent", self._deliver)
        self.child = Entry(self.store, "child", lambda _to, _frame: None)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._flush, daemon=True)

    def start(self):
        self.store.put("e0", {"n": 0})
        self.parent.watcher.start()
        self.child.watcher.start()
        self._thread.start()
        wait_for(self.child.watcher.is_following, "the child to follow")

    def stop(self):
        self._stopped.set()
        for entry in (self.parent, self.child):
            entry.watcher.stop()

    def _deliver(self, _to, frame):
        if self.linked:
            self.child.relay.receive(decode(frame).unwrap())

    def _flush(self):
        while not self._stopped.wait(0.02):
            self.parent.relay.flush(["child"])

    def wait_until_idle(self):
        """Wait until the child makes no call for longer than a watch takes."""
        calls = -1
        while calls != self.child.client.calls:
            calls = self.child.client.calls
            self._stopped.wait(WATCH_DURATION_S * 2)


@pytest.fixture
def pair():
    new_pair = Pair()
    new_pair.start()
    yield new_pair
    new_pair.stop()


def test_follower_sees_all_changes_without_calls(pair):
    """Guards against the store load of dozens of entries with their own watches."""
    pair.wait_until_idle()
    calls = pair.child.client.calls
    for number in range(5):
        pair.store.put(f"e{number}", {"n": number})
    pair.store.delete("e3")
    wait_for(lambda: pair.child.names() == {"e0", "e1", "e2", "e4"}, "the changes")
    assert pair.child.client.calls == calls


def test_follower_watches_when_pushes_stop(pair):
    """Guards against missed draining of engines while the parent is unreachable."""
    pair.wait_until_idle()
    pair.linked = False
    pair.store.put("e9", {})
    wait_for(lambda: "e9" in pair.child.names(), "the change", 3.0)


def test_follower_watches_when_parent_loses_store(pair):
    pair.wait_until_idle()
    pair.store.unreachable_from.add("parent")
    pair.store.put("e9", {})
    wait_for(lambda: "e9" in pair.child.names(), "the change", 3.0)


def test_follower_lists_after_missed_pushes(pair):
    pair.wait_until_idle()
    pair.linked = False
    pair.store.put("e7", {})
    wait_for(lambda: "e7" in pair.parent.names(), "the change at the parent")
    pair.linked = True
    wait_for(lambda: "e7" in pair.child.names(), "the change")


def test_large_object_is_listed_and_not_pushed(pair):
    """Guards against a large configuration sent over a small VM's link per follower."""
    pair.wait_until_idle()
    pair.store.put("big", {"text": "x" * MAX_PUSHED_BYTES})
    wait_for(lambda: "big" in pair.child.names(), "the object")
    assert pair.child.watcher.view.objects["big"].spec["text"]


def test_follower_learns_of_store_failure_of_parent(pair):
    """In an outage of the store, records of live upstreams expire. A follower that does
    not know of the outage would count these upstreams as removed.
    """
    pair.wait_until_idle()
    before = pair.child.watcher.failed_at
    pair.store.unreachable_from.add("parent")
    pair.store.put("e8", {})
    parent = pair.parent.watcher
    wait_for(lambda: parent.failed_at > 0, "the parent to lose the store")
    pair.store.unreachable_from.clear()
    wait_for(lambda: pair.child.watcher.failed_at > before, "the failure at the child")
    pair.store.put("e9", {})
    wait_for(lambda: "e9" in pair.child.names(), "the change")
    assert pair.child.watcher.view.available_since >= pair.child.watcher.failed_at


def test_late_push_does_not_restore_old_object(pair):
    """Guards against a delayed push that overwrites a newer object."""
    pair.wait_until_idle()
    old = pair.child.watcher.view.objects["e0"]
    pair.store.put("e0", {"n": 1})
    wait_for(lambda: pair.child.watcher.view.objects["e0"].spec == {"n": 1}, "n=1")
    changes = Changes(old.version, (Event(EventType.MODIFIED, old),))
    now = pair.child.watcher.contact_at
    pair.child.watcher.receive(Version(0), changes, now, -1.0, True)
    assert pair.child.watcher.view.objects["e0"].spec == {"n": 1}


STALE_MOST_S = 3.0


@pytest.mark.parametrize(
    ("contact_age_s", "failed_age_s", "own_contact_age_s", "follows"),
    [
        (0.5, None, 0.5, True),
        (1.7, None, 1.7, True),
        (1.9, None, 1.9, False),
        (1.9, None, 0.0, False),
        (0.9, 0.1, 0.9, True),
        (1.1, 0.1, 1.1, False),
        (1.1, 0.1, 0.0, False),
        (1.1, 1.2, 1.1, True),
    ],
)
def test_follower_trusts_contact_of_the_pusher_alone(
    monkeypatch, contact_age_s, failed_age_s, own_contact_age_s, follows
):
    """Guards against late news of draining behind a pusher that the store rejects."""
    age = max_contact_age(STALE_MOST_S, 2.0)
    watcher = Watcher(
        None, Kind.UPSTREAM, lambda _view: None, 2.0, max_contact_age_s=age
    )
    watcher._apply_listing(Listing(Version(1), ()))
    now = watcher.contact_at + 10.0
    monkeypatch.setattr(watcher_module.time, "monotonic", lambda: now)
    failed_at = now - 9.0 if failed_age_s is None else now - failed_age_s
    changes = Changes(Version(1), ())
    watcher.receive(Version(1), changes, now - contact_age_s, failed_at, True)
    watcher.contact_at = now - own_contact_age_s
    assert watcher.is_following() is follows


@pytest.mark.parametrize("staleness_s", [2.6, 3.0, 4.0, 10.0])
def test_follower_lists_within_the_staleness_allowed(staleness_s):
    age = max_contact_age(staleness_s, 2.0)
    assert age >= MAX_FAILING_AGE_S
    assert age + POLL_INTERVAL_S + LIST_DURATION_S <= staleness_s
