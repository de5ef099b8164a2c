"""A store that is restored from a copy some seconds old."""

import time

import pytest
from fleet import wait_for
from returns.result import Success

from persimmonhitch.direct.upstreams import UpstreamList
from persimmonhitch.ids import Incarnation, Vm
from persimmonhitch.planner.lease import (
    EPOCH_BITS,
    UNKNOWN_PREDECESSOR,
    LeaseKeeper,
)
from persimmonhitch.platform import headers
from persimmonhitch.platform.store_client import StoreClient
from persimmonhitch.standin.store_server import StoreApp
from persimmonhitch.standin.store_state import StoreState
from persimmonhitch.store import watcher as watcher_module
from persimmonhitch.store.era import Era, EraState, era_of, revision_of, version_of
from persimmonhitch.store.objects import (
    Changes,
    Kind,
    StoredObject,
    StoreError,
    Version,
)
from persimmonhitch.store.registration import Registration
from persimmonhitch.store.watcher import View, Watcher
from persimmonhitch.web import WebServer

A, B = Vm("a"), Vm("b")
LEASE_S = 3.0


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class StoreServer:
    """A stand-in store over HTTP and clients of several processes."""

    def __init__(self):
        self.state = StoreState()
        self.web = WebServer(StoreApp(self.state), "127.0.0.1", 0, 8)
        self.web.start()
        self.eras = []

    def client(self):
        self.eras.append(EraState())
        url = f"http://127.0.0.1:{self.web.port}"
        return StoreClient(url, 2.0, self.eras[-1])


@pytest.fixture
def store():
    new_store = StoreServer()
    yield new_store
    new_store.web.close()


def put(store, name, **spec):
    return store.state.create(Kind.ENTRY, name, spec).unwrap()


@pytest.mark.parametrize(("era", "revision"), [(0, 5), (1, 5), (7, 2**40)])
def test_version_contains_era_and_revision(era, revision):
    version = version_of(Era(era), revision)
    assert (era_of(version), revision_of(version)) == (era, revision)
    assert version < version_of(Era(era + 1), 0)


@pytest.mark.parametrize(
    ("fields", "era"),
    [({"store-era": "4"}, 4), ({}, None), ({"store-era": "x"}, None)],
)
def test_reads_era_of_reply(fields, era):
    assert headers.parse_era(fields) == era


def test_reply_of_older_era_is_rejected():
    """Guards against a delayed reply from before a restore that counts as current."""
    received = []
    eras = EraState()
    eras.on_change(received.append)
    assert eras.observe(Era(3)) and eras.observe(None) and eras.observe(Era(4))
    assert not eras.observe(Era(3))
    assert (eras.current, received) == (4, [4])


def test_watch_from_version_of_older_era_expires(store):
    """Guards against a view without changes that reuse revisions seen before."""
    put(store, "old")
    copy = store.state.copy()
    put(store, "lost")
    client = store.client()
    before = client.list_all(Kind.ENTRY).unwrap()
    store.state.restore(copy)
    put(store, "new1"), put(store, "new2")
    assert client.watch(Kind.ENTRY, before.version, 0.1).failure().error is (
        StoreError.EXPIRED
    )
    after = client.list_all(Kind.ENTRY).unwrap()
    assert after.version > before.version
    assert {obj.name for obj in after.items} == {"old", "new1", "new2"}


def test_conditional_write_on_reused_revision_conflicts(store):
    """Guards against a write that matches a reused revision with other content."""
    copy = store.state.copy()
    put(store, "x", owner="a")
    client = store.client()
    old = client.get(Kind.ENTRY, "x").unwrap()
    store.state.restore(copy)
    put(store, "x", owner="b")
    client.list_all(Kind.ENTRY)
    assert client.update(old, {"owner": "c"}).failure().error is StoreError.CONFLICT
    assert client.delete(old).failure().error is StoreError.CONFLICT
    assert client.get(Kind.ENTRY, "x").unwrap().spec == {"owner": "b"}


def test_objects_missing_in_copy_are_retained_for_rewrite(store, monkeypatch):
    """Guards against the removal of live upstreams that a copy lacks."""
    monkeypatch.setattr(watcher_module, "REWRITE_DURATION_S", 1.0)
    put(store, "saved")
    copy = store.state.copy()
    put(store, "rewritten"), put(store, "lost")
    views = []
    watcher = Watcher(store.client(), Kind.ENTRY, views.append, duration_s=0.2)
    watcher.start()

    def names():
        return set(views[-1].objects) if views else set()

    wait_for(lambda: names() == {"saved", "rewritten", "lost"}, "the first view")
    store.state.restore(copy)
    wait_for(lambda: era_of(watcher.version) == store.state.era, "the new list")
    assert names() == {"saved", "rewritten", "lost"}
    put(store, "rewritten")
    wait_for(lambda: names() == {"saved", "rewritten"}, "the removal")
    watcher.stop()


def test_push_of_older_era_restores_no_object(store):
    """Guards against lost objects pushed by a parent that missed the restore."""
    put(store, "x")
    views = []
    watcher = Watcher(store.client(), Kind.ENTRY, views.append, duration_s=0.2)
    watcher.start()
    wait_for(lambda: views, "the first view")
    store.state.restore(store.state.copy())
    wait_for(lambda: era_of(watcher.version) == 1, "the new list")
    stale = version_of(Era(0), 999)
    obj = StoredObject(Kind.ENTRY, "lost", stale, {})
    event = watcher_module.Event(watcher_module.EventType.MODIFIED, obj)
    watcher.receive(Version(0), Changes(stale, (event,)), time.monotonic(), 0.0, True)
    watcher.stop()
    assert set(views[-1].objects) == {"x"}


def test_draining_upstream_stays_draining_after_restore():
    """Guards against requests to a draining upstream after a restore."""

    def view(era, revision, state, started_at_ms):
        spec = {"service": "s", "address": "h:1", "zone": "z1", "slots": 1}
        spec |= {"state": state, "born": started_at_ms}
        obj = StoredObject(Kind.UPSTREAM, "u1", version_of(Era(era), revision), spec)
        return View({"u1": obj}, 0.0)

    received = []
    upstreams = UpstreamList(received.append)
    upstreams.update(view(1, 5, "ready", 1))
    upstreams.update(view(1, 6, "draining", 1))
    upstreams.update(view(2, 5, "ready", 1))
    assert received[-1][0].draining
    upstreams.update(view(3, 6, "ready", 2))
    assert not received[-1][0].draining


def test_entry_rewrites_its_record_after_restore(store):
    """Guards against an entry unknown to its peers since the store lost its record."""
    client = store.client()
    registration = Registration(client, Kind.ENTRY, "e1")
    store.eras[-1].on_change(lambda _era: registration.rewrite())
    copy = store.state.copy()
    registration.start({"zone": "z1"})
    wait_for(registration.written.is_set, "the object")
    store.state.restore(copy)
    client.list_all(Kind.ENTRY)
    wait_for(
        lambda: isinstance(store.state.get(Kind.ENTRY, "e1"), Success), "the object"
    )


class LeaseKeepers:
    """Two processes that compete for the orders lease."""

    def __init__(self, store):
        self.clock = Clock()
        self.state = store.state
        self.a, self.b = (self.make_keeper(store, vm) for vm in (A, B))

    def make_keeper(self, store, vm):
        run_id = Incarnation(f"i-{vm}")
        client, eras = store.client(), store.eras[-1]
        era = lambda: eras.current  # noqa: E731
        keeper = LeaseKeeper(client, "orders", vm, run_id, LEASE_S, self.clock, era)
        eras.on_change(lambda _era: keeper.handle_store_restore())
        return keeper

    def pass_lease_from_b_to_a(self):
        """Give the lease to B, then to A; return a copy of the store with B's lease."""
        self.b.step()
        copy = self.state.copy()
        self.b.release()
        self.a.step()
        assert self.a.epoch() == 2
        return copy


def test_leader_takes_lease_again_above_its_last_epoch(store):
    """Guards against two leaders that give orders with the same epoch."""
    keepers = LeaseKeepers(store)
    copy = keepers.pass_lease_from_b_to_a()
    keepers.state.restore(copy)
    keepers.a.handle_store_restore()
    assert keepers.a.epoch() is None
    keepers.a.step()
    assert keepers.a.epoch() > 2


def test_previous_leader_named_by_copy_waits(store):
    """Guards against orders of two leaders, the second named by a restored copy."""
    keepers = LeaseKeepers(store)
    copy = keepers.pass_lease_from_b_to_a()
    keepers.state.restore(copy)
    keepers.b.step()
    assert keepers.b.epoch() is None
    keepers.clock.now += LEASE_S / 2
    keepers.b.step()
    assert keepers.b.epoch() is None
    # The first step only detects the new era.
    keepers.a.step()
    keepers.a.step()
    assert keepers.a.epoch() > 2
    keepers.clock.now += LEASE_S - 0.2
    keepers.b.step()
    assert keepers.b.epoch() is None


def test_lease_missing_in_copy_belongs_to_last_leader(store):
    """Guards against a second leader while the first has not detected the restore."""
    keepers = LeaseKeepers(store)
    empty = keepers.state.copy()
    keepers.a.step()
    keepers.state.restore(empty)
    keepers.b.handle_store_restore()
    keepers.b.step()
    assert keepers.b.epoch() is None
    keepers.a.step()
    keepers.a.step()
    assert keepers.a.epoch() > 1


def test_lease_is_taken_after_old_leader_expired(store):
    """Guards against a fleet without a leader after its crash in a store outage."""
    keepers = LeaseKeepers(store)
    copy = keepers.pass_lease_from_b_to_a()
    keepers.state.restore(copy)
    keepers.b.step()
    keepers.clock.now += LEASE_S + 0.1
    keepers.b.step()
    assert keepers.b.epoch() is not None
    assert keepers.a.epoch() is None


def test_leader_that_released_its_new_lease_does_not_retake_it(store):
    """Guards against a leader that takes a released lease back from its successor."""
    keepers = LeaseKeepers(store)
    copy = keepers.pass_lease_from_b_to_a()
    keepers.state.restore(copy)
    keepers.a.handle_store_restore()
    keepers.a.step()
    epoch = keepers.a.abandon()
    keepers.b.receive_release(A, epoch)
    keepers.b.step()
    keepers.b.step()
    assert keepers.b.epoch() == epoch + 1
    keepers.a.step()
    assert keepers.a.epoch() is None


def test_new_process_takes_lease_above_epochs_lost_in_copy(store):
    """Guards against two leaders that give orders with the same epoch."""
    keepers = LeaseKeepers(store)
    keepers.a.step()
    copy = keepers.state.copy()
    keepers.a.release()
    keepers.b.step()
    lost = keepers.b.epoch()
    keepers.state.restore(copy)
    new = keepers.make_keeper(store, A)
    new.step()
    assert new.epoch() is None
    keepers.clock.now += LEASE_S
    new.step()
    assert new.epoch() > lost
    assert new.predecessor == UNKNOWN_PREDECESSOR


def test_new_process_named_by_copy_waits_for_the_last_leader(store):
    """Guards against orders of a restarted process that the copy names as leader."""
    keepers = LeaseKeepers(store)
    copy = keepers.pass_lease_from_b_to_a()
    keepers.state.restore(copy)
    new = keepers.make_keeper(store, B)
    new.step()
    assert new.epoch() is None
    keepers.a.step()
    keepers.a.step()
    assert keepers.a.epoch() > 2
    keepers.clock.now += LEASE_S - 0.1
    new.step()
    assert new.epoch() is None


def test_leader_of_before_a_restore_does_not_replace_a_later_leader(store):
    """Guards against two leaders after a restore that the first one learns of late."""
    keepers = LeaseKeepers(store)
    copy = keepers.pass_lease_from_b_to_a()
    keepers.state.restore(copy)
    copied = keepers.state.get(Kind.LEASE, "orders").unwrap()
    spec = {**copied.spec, "holder": B, "epoch": (1 << EPOCH_BITS) + 1}
    keepers.state.update(copied, spec)
    keepers.a.step()
    keepers.a.step()
    assert keepers.a.epoch() is None


def test_lease_missing_after_restore_has_an_unknown_predecessor(store):
    """Guards against orders right after those of a leader that the copy lacks."""
    keepers = LeaseKeepers(store)
    empty = keepers.state.copy()
    keepers.a.step()
    keepers.state.restore(empty)
    new = keepers.make_keeper(store, B)
    new.step()
    assert new.epoch() is None
    keepers.clock.now += LEASE_S
    new.step()
    assert new.epoch() is not None
    assert new.predecessor == UNKNOWN_PREDECESSOR


@pytest.mark.parametrize(
    "damage",
    [
        {"epoch": "x"},
        {"duration": float("nan")},
        {"renewals": None},
        {"epoch": -1},
        {"epoch": 2**63 - 1},
    ],
)
def test_unreadable_lease_counts_as_held_for_its_duration(store, damage):
    """Guards against a second leader, or none, beside a damaged lease record."""
    keepers = LeaseKeepers(store)
    keepers.b.step()
    stored = keepers.state.get(Kind.LEASE, "orders").unwrap()
    keepers.state.update(stored, {**stored.spec, **damage})
    keepers.a.step()
    assert keepers.a.epoch() is None
    keepers.clock.now += LEASE_S
    keepers.a.step()
    assert keepers.a.epoch() is not None
    assert keepers.a.predecessor == UNKNOWN_PREDECESSOR


def test_first_restore_is_detected_after_era_zero():
    """Guards against a restore that counts as the first observed era."""
    received = []
    eras = EraState()
    eras.on_change(received.append)
    eras.observe(Era(0))
    eras.observe(Era(1))
    assert received == [1]
