"""A store that is restored from a copy some seconds old."""

import time

import pytest
from fleet import wait_for
from returns.result import Success

from persimmonhitch.direct.upstreams import UpstreamList
from persimmonhitch.ids import Incarnation, Vm
from persimmonhitch.planner.lease import LeaseKeeper
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
DURATION = 3.0


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class World:
    """A stand-in store over HTTP and clients of several processes."""

    def __init__(self):
        self.state = StoreState()
        self.server = WebServer(StoreApp(self.state), "127.0.0.1", 0, 8)
        self.server.start()
        self.eras = []

    def client(self):
        self.eras.append(EraState())
        url = f"http://127.0.0.1:{self.server.port}"
        return StoreClient(url, 2.0, self.eras[-1])


@pytest.fixture
def world():
    made = World()
    yield made
    made.server.close()


def put(world, name, **spec):
    return world.state.create(Kind.ENTRY, name, spec).unwrap()


@pytest.mark.parametrize(("era", "revision"), [(0, 5), (1, 5), (7, 2**40)])
def test_version_contains_era_and_revision(era, revision):
    version = version_of(Era(era), revision)
    assert (era_of(version), revision_of(version)) == (era, revision)
    assert version < version_of(Era(era + 1), 0)


@pytest.mark.parametrize(
    ("fields", "era"),
    [({"store-era": "4"}, 4), ({}, None), ({"store-era": "x"}, None)],
)
def test_reads_era_of_response(fields, era):
    assert headers.read_era(fields) == era


def test_response_of_older_era_is_rejected():
    """Guards against a delayed reply from before a restore that counts as current."""
    received = []
    eras = EraState()
    eras.on_change(received.append)
    assert eras.observe(Era(3)) and eras.observe(None) and eras.observe(Era(4))
    assert not eras.observe(Era(3))
    assert (eras.current, received) == (4, [4])


def test_watch_from_version_of_older_era_expires(world):
    """Guards against a view without changes that reuse revisions seen before."""
    put(world, "old")
    copy = world.state.copy()
    put(world, "lost")
    client = world.client()
    before = client.list_all(Kind.ENTRY).unwrap()
    world.state.restore(copy)
    put(world, "new1"), put(world, "new2")
    assert client.watch(Kind.ENTRY, before.version, 0.1).failure().error is (
        StoreError.EXPIRED
    )
    after = client.list_all(Kind.ENTRY).unwrap()
    assert after.version > before.version
    assert {obj.name for obj in after.items} == {"old", "new1", "new2"}


def test_conditional_write_on_reused_revision_conflicts(world):
    """Guards against a write that matches a reused revision with other content."""
    copy = world.state.copy()
    put(world, "x", owner="a")
    client = world.client()
    old = client.get(Kind.ENTRY, "x").unwrap()
    world.state.restore(copy)
    put(world, "x", owner="b")
    client.list_all(Kind.ENTRY)
    assert client.update(old, {"owner": "c"}).failure().error is StoreError.CONFLICT
    assert client.delete(old).failure().error is StoreError.CONFLICT
    assert client.get(Kind.ENTRY, "x").unwrap().spec == {"owner": "b"}


def test_objects_missing_in_copy_are_retained_for_rewrite(world, monkeypatch):
    """Guards against the removal of live upstreams that a copy lacks."""
    monkeypatch.setattr(watcher_module, "REWRITE_DURATION_S", 1.0)
    put(world, "kept")
    copy = world.state.copy()
    put(world, "back"), put(world, "gone")
    views = []
    watch = Watcher(world.client(), Kind.ENTRY, views.append, duration_s=0.2)
    watch.start()

    def names():
        return set(views[-1].objects) if views else set()

    wait_for(lambda: names() == {"kept", "back", "gone"}, "the first view")
    world.state.restore(copy)
    wait_for(lambda: era_of(watch.version) == world.state.era, "the new list")
    assert names() == {"kept", "back", "gone"}
    put(world, "back")
    wait_for(lambda: names() == {"kept", "back"}, "the removal of the lost object")
    watch.stop()


def test_push_of_older_era_restores_no_object(world):
    """Guards against lost objects pushed by a parent that missed the restore."""
    put(world, "x")
    views = []
    watch = Watcher(world.client(), Kind.ENTRY, views.append, duration_s=0.2)
    watch.start()
    wait_for(lambda: views, "the first view")
    world.state.restore(world.state.copy())
    wait_for(lambda: era_of(watch.version) == 1, "the new list")
    late = version_of(Era(0), 999)
    obj = StoredObject(Kind.ENTRY, "lost", late, {})
    event = watcher_module.Event(watcher_module.EventType.MODIFIED, obj)
    watch.receive(Version(0), Changes(late, (event,)), time.monotonic(), 0.0, True)
    watch.stop()
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


def test_entry_rewrites_its_record_after_restore(world):
    """Guards against an entry unknown to its peers since the store lost its record."""
    client = world.client()
    registration = Registration(client, Kind.ENTRY, "e1")
    world.eras[-1].on_change(lambda _era: registration.rewrite())
    copy = world.state.copy()
    registration.start({"zone": "z1"})
    wait_for(registration.written.is_set, "the object")
    world.state.restore(copy)
    client.list_all(Kind.ENTRY)
    wait_for(
        lambda: isinstance(world.state.get(Kind.ENTRY, "e1"), Success), "the object"
    )


class LeaseKeepers:
    """Two processes that compete for the orders lease."""

    def __init__(self, world):
        self.clock = Clock()
        self.state = world.state
        self.a, self.b = (self.make_keeper(world, vm) for vm in (A, B))

    def make_keeper(self, world, vm):
        run_id = Incarnation(f"i-{vm}")
        client, eras = world.client(), world.eras[-1]
        era = lambda: eras.current  # noqa: E731
        keeper = LeaseKeeper(client, "orders", vm, run_id, DURATION, self.clock, era)
        eras.on_change(lambda _era: keeper.store_restored())
        return keeper

    def pass_lease_from_b_to_a(self):
        """Give the lease to B, then to A; return a copy of the store with B's lease."""
        self.b.step()
        copy = self.state.copy()
        self.b.release()
        self.a.step()
        assert self.a.epoch() == 2
        return copy


def test_leader_takes_lease_again_above_its_last_epoch(world):
    """Guards against two leaders that give orders with the same epoch."""
    keepers = LeaseKeepers(world)
    copy = keepers.pass_lease_from_b_to_a()
    keepers.state.restore(copy)
    keepers.a.store_restored()
    assert keepers.a.epoch() is None
    keepers.a.step()
    assert keepers.a.epoch() > 2


def test_previous_leader_named_by_copy_waits(world):
    """Guards against orders of two leaders, one of them named by a restored copy."""
    keepers = LeaseKeepers(world)
    copy = keepers.pass_lease_from_b_to_a()
    keepers.state.restore(copy)
    keepers.b.step()
    assert keepers.b.epoch() is None
    keepers.clock.now += DURATION / 2
    keepers.b.step()
    assert keepers.b.epoch() is None
    # The first step only detects the new era.
    keepers.a.step()
    keepers.a.step()
    assert keepers.a.epoch() > 2
    keepers.clock.now += DURATION - 0.2
    keepers.b.step()
    assert keepers.b.epoch() is None


def test_lease_missing_in_copy_belongs_to_last_leader(world):
    """Guards against a second leader while the first has not detected the restore."""
    keepers = LeaseKeepers(world)
    empty = keepers.state.copy()
    keepers.a.step()
    keepers.state.restore(empty)
    keepers.b.store_restored()
    keepers.b.step()
    assert keepers.b.epoch() is None
    keepers.a.step()
    keepers.a.step()
    assert keepers.a.epoch() > 1


def test_lease_is_taken_after_old_leader_expired(world):
    """Guards against a fleet without a leader after one crashed in an outage."""
    keepers = LeaseKeepers(world)
    copy = keepers.pass_lease_from_b_to_a()
    keepers.state.restore(copy)
    keepers.b.step()
    keepers.clock.now += DURATION + 0.1
    keepers.b.step()
    assert keepers.b.epoch() is not None
    assert keepers.a.epoch() is None


def test_leader_that_released_its_new_lease_does_not_retake_it(world):
    """Guards against a leader that takes a released lease back from its successor."""
    keepers = LeaseKeepers(world)
    copy = keepers.pass_lease_from_b_to_a()
    keepers.state.restore(copy)
    keepers.a.store_restored()
    keepers.a.step()
    epoch = keepers.a.resign()
    keepers.b.hear_resigned(A, epoch)
    keepers.b.step()
    keepers.b.step()
    assert keepers.b.epoch() == epoch + 1
    keepers.a.step()
    assert keepers.a.epoch() is None


def test_new_process_takes_lease_above_epochs_lost_in_copy(world):
    """Guards against two leaders that give orders with the same epoch."""
    keepers = LeaseKeepers(world)
    keepers.a.step()
    copy = keepers.state.copy()
    keepers.a.release()
    keepers.b.step()
    lost = keepers.b.epoch()
    keepers.state.restore(copy)
    new = keepers.make_keeper(world, A)
    new.step()
    assert new.epoch() > lost


def test_first_restore_is_detected_after_era_zero():
    """Guards against a restore that counts as the first observed era."""
    received = []
    eras = EraState()
    eras.on_change(received.append)
    eras.observe(Era(0))
    eras.observe(Era(1))
    assert received == [1]
