"""Entries that follow another's watch of the store instead of their own."""

import threading

import pytest
from fleet import wait_for
from returns.result import Failure as Err
from returns.result import Result, Success

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
from persimmonhitch.store.pushes import MOST_PUSHED, Pushes
from persimmonhitch.store.watcher import Watcher
from persimmonhitch.wire.codec import decode

WAIT = 0.3


class Store:
    """Objects of one kind, with watches; counts the calls of each caller."""

    def __init__(self):
        self.objects, self.log = {}, []
        self.version, self.down = 1, set()
        self._changed = threading.Condition()

    def put(self, name, spec):
        with self._changed:
            self.version += 1
            obj = StoredObject(Kind.UPSTREAM, name, Version(self.version), spec)
            self.objects[name] = obj
            self.log.append(Event(EventType.MODIFIED, obj))
            self._changed.notify_all()

    def delete(self, name):
        with self._changed:
            self.version += 1
            old = self.objects.pop(name)
            obj = StoredObject(old.kind, name, Version(self.version), old.spec)
            self.log.append(Event(EventType.DELETED, obj))
            self._changed.notify_all()

    def client(self, name):
        return Client(self, name)


class Client:
    def __init__(self, store, name):
        self.store, self.name, self.calls = store, name, 0

    def _gone(self):
        return Err(StoreFailure(StoreError.UNAVAILABLE, "down"))

    def list_all(self, _kind) -> Result:
        self.calls += 1
        if self.name in self.store.down:
            return self._gone()
        with self.store._changed:
            items = tuple(self.store.objects.values())
            return Success(Listing(Version(self.store.version), items))

    def watch(self, _kind, after, wait) -> Result:
        self.calls += 1
        store = self.store
        with store._changed:
            store._changed.wait_for(lambda: store.version > after, wait)
            if self.name in store.down:
                return self._gone()
            events = tuple(e for e in store.log if e.object.version > after)
            return Success(Changes(Version(store.version), events))


class Entry:
    """A watcher that pushes to followers."""

    def __init__(self, store, name, net):
        self.client = store.client(name)
        self.away = 0
        self.pushes = Pushes(lambda to, frame: net(to, frame))
        self.watcher = Watcher(
            self.client,
            Kind.UPSTREAM,
            lambda _view: None,
            WAIT,
            0.2,
            self._gone,
            changed=self.pushes.changed,
        )
        self.pushes.serve({Kind.UPSTREAM: self.watcher})

    def _gone(self):
        self.away += 1

    def names(self):
        return set(self.watcher.view.objects)


class World:
    """One entry that watches and one that follows it."""

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
        wait_for(self.child.watcher.followed, "the child to follow")

    def stop(self):
        self._stopped.set()
        for entry in (self.parent, self.child):
            entry.watcher.stop()

    def _deliver(self, _to, frame):
        if self.linked:
            self.child.pushes.hear(decode(frame).unwrap())

    def _flush(self):
        while not self._stopped.wait(0.02):
            self.parent.pushes.flush(["child"])

    def settle(self):
        """Wait until the child has made no call for longer than a watch."""
        calls = -1
        while calls != self.child.client.calls:
            calls = self.child.client.calls
            self._stopped.wait(WAIT * 2)


@pytest.fixture
def world():
    made = World()
    made.start()
    yield made
    made.stop()


def test_a_follower_sees_all_changes_and_makes_no_calls(world):
    """Dozens of entries that watch for themselves make most calls to the store."""
    world.settle()
    calls = world.child.client.calls
    for number in range(5):
        world.store.put(f"e{number}", {"n": number})
    world.store.delete("e3")
    wait_for(lambda: world.child.names() == {"e0", "e1", "e2", "e4"}, "the changes")
    assert world.child.client.calls == calls


def test_a_follower_watches_itself_once_pushes_stop(world):
    """Guards against engines that leave unseen behind a parent that is cut off."""
    world.settle()
    world.linked = False
    world.store.put("e9", {})
    wait_for(lambda: "e9" in world.child.names(), "the change", 3.0)


def test_a_follower_watches_itself_once_its_parent_loses_the_store(world):
    world.settle()
    world.store.down.add("parent")
    world.store.put("e9", {})
    wait_for(lambda: "e9" in world.child.names(), "the change", 3.0)


def test_missed_pushes_are_made_up_for_by_a_list(world):
    world.settle()
    world.linked = False
    world.store.put("e7", {})
    wait_for(lambda: "e7" in world.parent.names(), "the parent to see it")
    world.linked = True
    wait_for(lambda: "e7" in world.child.names(), "the change")


def test_a_large_object_is_read_and_not_pushed(world):
    """Pushed, a configuration would go over a small VM's link once a follower."""
    world.settle()
    world.store.put("big", {"text": "x" * MOST_PUSHED})
    wait_for(lambda: "big" in world.child.names(), "the object")
    assert world.child.watcher.view.objects["big"].spec["text"]


def test_a_follower_knows_that_the_store_was_away(world):
    """Entries that lapse in an outage would be taken for upstreams that are gone."""
    world.settle()
    before = world.child.away
    world.store.down.add("parent")
    world.store.put("e8", {})
    wait_for(lambda: world.parent.away, "the parent to lose the store")
    world.store.down.clear()
    wait_for(lambda: world.child.away > before, "the child to hear of it")


def test_old_pushes_do_not_bring_old_objects_back(world):
    """A push that was held up comes after what the entry has seen itself."""
    world.settle()
    old = world.child.watcher.view.objects["e0"]
    world.store.put("e0", {"n": 1})
    wait_for(lambda: world.child.watcher.view.objects["e0"].spec == {"n": 1}, "it")
    changes = Changes(old.version, (Event(EventType.MODIFIED, old),))
    now = world.child.watcher.contact_at
    world.child.watcher.hear(Version(0), changes, now, -1.0, True)
    assert world.child.watcher.view.objects["e0"].spec == {"n": 1}
