"""Tests of the distribution of the configuration; versions never decrease."""

import random

import pytest
from catalog_help import change, fill, lists, put, writer
from fake_mesh import Fleet

from persimmonhitch.catalog import store_source
from persimmonhitch.catalog.changes import diff
from persimmonhitch.catalog.election import MAX_WATCHERS, elect_watchers, watcher_for
from persimmonhitch.catalog.feed import MAX_HISTORY, CatalogFeed
from persimmonhitch.catalog.gate import FREEZE_GAP_S, ISOLATION_TIMEOUT_S
from persimmonhitch.catalog.keys import authenticate, issue, withdraw
from persimmonhitch.catalog.log import read_head
from persimmonhitch.catalog.model import EMPTY
from persimmonhitch.catalog.snapshots import INTERVAL
from persimmonhitch.catalog.staleness import GRACE_S, ReportedVersions
from persimmonhitch.store.objects import Kind
from persimmonhitch.wire.codec import decode

VMS = [f"vm{number}" for number in range(12)]
PROPAGATION_LIMIT = 6
"""Seconds within which a change must be in force on all entries."""


@pytest.fixture(autouse=True)
def short_watches(monkeypatch):
    monkeypatch.setattr(store_source, "WATCH_TIMEOUT_S", 0.0)


def start_fleet(vms=VMS, changes=3):
    fleet = Fleet(vms)
    fill(fleet.store, changes)
    for _ in range(2):
        fleet.step()
    assert fleet.versions() == [changes] * len(vms)
    assert all(entry.feed.ready.is_set() for entry in fleet.entries.values())
    return fleet


def watcher_vms(fleet):
    return [vm for vm, entry in fleet.entries.items() if entry.sync.is_watcher()]


def test_a_change_reaches_all_through_few_watchers():
    fleet = start_fleet()
    fleet.store.calls.clear()
    sent_before = fleet.sent
    fill(fleet.store, 1, "n")
    fleet.step()
    assert fleet.versions() == [4] * len(VMS)
    assert fleet.store.calls["watch"] == MAX_WATCHERS
    assert "list" not in fleet.store.calls or fleet.store.calls["list"] < 3
    pull_messages = 2 * 2 * len(VMS)
    assert fleet.sent - sent_before <= pull_messages + MAX_WATCHERS * len(VMS)


def test_a_withdrawn_key_is_refused_by_an_entry_without_the_store():
    """An entry loses its connection to the store; then a key is withdrawn.

    Without changes from peers, the entry would accept the key until the connection
    is restored. Peers send the change to watchers and to all other entries.
    """
    for cut_vm in (watcher_vms(start_fleet())[0], VMS[5]):
        fleet = start_fleet()
        key, delta = issue(lists(), "coop").unwrap()
        base = read_head(fleet.store).unwrap().catalog
        ops = writer(fleet.store)
        base = ops.commit(base, diff(EMPTY, lists())).unwrap()
        base = ops.commit(base, delta).unwrap()
        fleet.step()
        entry = fleet.entries[cut_vm]
        assert authenticate(entry.feed.active_catalog(), key).unwrap() == "coop"
        entry.store.offline = True
        ops.commit(base, withdraw(base, delta.keys[0].hash).unwrap()).unwrap()
        for _ in range(PROPAGATION_LIMIT - 2):
            fleet.step()
        failure = authenticate(entry.feed.active_catalog(), key).failure()
        assert failure.http_status == 401


def test_the_next_in_rank_watches_when_all_watchers_lose_the_store():
    """The three watchers lose their connections to the store at the same time.

    All other entries depend on the watchers, so without a new election the region
    would stay at its version.
    """
    fleet = start_fleet()
    for vm in watcher_vms(fleet):
        fleet.entries[vm].store.offline = True
    fleet.step()
    fill(fleet.store, 1, "n")
    for _ in range(PROPAGATION_LIMIT - 1):
        fleet.step()
    assert fleet.versions() == [4] * len(VMS)


def test_a_region_without_the_store_updates_from_another():
    """A region loses its connections to the store, but not to the other regions.

    No entry of the region can watch the store, so without pulls from other regions
    the whole region would stay at its version.
    """
    fleet = start_fleet([f"{name}{number}" for name in "ab" for number in range(8)])
    for vm, entry in fleet.entries.items():
        entry.store.offline = vm.startswith("b")
    fill(fleet.store, 1, "n")
    for _ in range(PROPAGATION_LIMIT - 1):
        fleet.step()
    assert fleet.versions() == [4] * 16


def test_partitioned_regions_update_from_the_store():
    """Two regions are partitioned from each other and still reach the store."""
    fleet = start_fleet([f"{name}{number}" for name in "ab" for number in range(8)])
    fleet.regions_partitioned = True
    fill(fleet.store, 1, "n")
    fleet.step()
    assert fleet.versions() == [4] * 16


def test_watchers_write_snapshots_while_they_watch():
    """Changes arrive for days while no watch fails.

    Without snapshots the list of changes, which each new entry and each operator
    command reads as a whole, would grow with every change.
    """
    fleet = start_fleet(VMS[:3])
    for _ in range(3):
        fill(fleet.store, INTERVAL, "n")
        fleet.step()
    assert fleet.store.list_all(Kind.SNAPSHOT).unwrap().items
    changes = fleet.store.list_all(Kind.CHANGE).unwrap().items
    assert len(changes) <= MAX_HISTORY
    assert fleet.add("new").sync.source.load()
    assert fleet.versions() == [3 + 3 * INTERVAL] * 4


def test_a_new_entry_in_an_outage_gets_its_peers_version():
    """The VM of an entry is replaced while the store is down.

    The new entry must not become ready without a configuration, and must not wait
    for the store if its peers have one.
    """
    fleet = start_fleet(VMS[:3])
    fleet.store.faults.down = True
    new_entry = fleet.add("new")
    fleet.partitioned = {"new"}
    fleet.step()
    assert not new_entry.feed.ready.is_set() and new_entry.feed.version == 0
    fleet.partitioned = set()
    fleet.step()
    assert new_entry.feed.ready.is_set() and new_entry.feed.version == 3
    assert new_entry.feed.catalog == fleet.entries["vm0"].feed.catalog


def test_an_entry_far_behind_gets_the_whole_catalog_in_an_outage():
    fleet = start_fleet(VMS[:2], MAX_HISTORY + INTERVAL)
    fleet.store.faults.down = True
    new = fleet.add("new")
    fleet.step()
    assert new.feed.catalog == fleet.entries["vm0"].feed.catalog


def test_a_long_outage_keeps_the_configuration_in_force():
    """The store is down for ten minutes while traffic runs.

    An entry that rejected its old configuration would refuse all requests.
    """
    fleet = start_fleet(VMS[:3])
    fleet.store.faults.down = True
    for _ in range(600):
        fleet.step()
        for entry in fleet.entries.values():
            assert entry.feed.gate.open(fleet.now) and entry.feed.version == 3


def test_versions_never_decrease():
    """A lagging peer sends old changes, or an old snapshot arrives late.

    If the catalog reverted, a withdrawn key would become valid again.
    """
    feed = CatalogFeed(lambda: 0.0)
    seen = []
    feed.add_listener(lambda catalog: seen.append(catalog.version))
    changes = [change(number, put(f"m{number}")) for number in range(1, 6)]
    assert len(feed.apply_changes(changes)) == 5
    assert feed.apply_changes([*changes, *changes]) == ()
    assert feed.apply_changes([change(7, put("gap"))]) == ()
    assert not feed.apply_snapshot(EMPTY)
    assert seen == [1, 2, 3, 4, 5] and feed.version == 5
    assert [each.number for each in feed.changes_after(3)] == [4, 5]
    assert feed.changes_after(9) == ()


def freeze_during_change(fleet, vm):
    """Freeze an entry for 30 s, followed by a change; return the feed of the entry."""
    fleet.frozen[vm] = []
    fleet.entries[vm].sync.exchange.pull()
    for _ in range(10):
        fleet.step(3.0)
    fill(fleet.store, 1, "n")
    fleet.step()
    return fleet.entries[vm].feed


@pytest.mark.parametrize("cut", [False, True])
def test_a_thawed_entry_pulls_before_it_admits_requests(cut):
    """An entry is frozen while a key is withdrawn, and then resumes.

    Its socket buffers contain answers sent before the withdrawal, which confirm
    its outdated configuration.
    """
    fleet = start_fleet()
    vm = VMS[4]
    entry = fleet.entries[vm]
    entry.store.offline = cut
    feed = freeze_during_change(fleet, vm)
    old_answers = fleet.frozen[vm][:2]
    assert all(decode(frame).unwrap().version == 3 for _, frame in old_answers)
    fleet.frozen[vm] = old_answers
    fleet.thaw(vm)
    assert feed.version == 3 and not feed.gate.open(fleet.now)
    fleet.step(0.2)
    assert feed.gate.open(fleet.now) and feed.version == 4


def test_an_isolated_thawed_entry_admits_requests_after_a_timeout():
    """A frozen entry thaws without a connection to the store or any peer.

    Blocking all requests for the whole partition would affect valid callers. The
    sidecars know the newer version and refuse requests under the old one.
    """
    fleet = start_fleet()
    vm = VMS[4]
    feed = freeze_during_change(fleet, vm)
    fleet.frozen[vm].clear()
    fleet.partitioned = {vm}
    fleet.entries[vm].store.offline = True
    fleet.thaw(vm)
    assert not feed.gate.open(fleet.now)
    fleet.step(FREEZE_GAP_S / 2)
    assert not feed.gate.open(fleet.now)
    for _ in range(4):
        fleet.step(ISOLATION_TIMEOUT_S / 3)
    assert feed.gate.open(fleet.now) and feed.version == 3


def test_a_change_that_cannot_be_read_is_not_skipped():
    """A newer release writes a change in a format that this release cannot read.

    If the change were skipped, two processes would have different content at one
    version.
    """
    fleet = start_fleet(VMS[:2])
    fleet.store.create(Kind.CHANGE, f"{4:012d}", {"number": 4}).unwrap()
    spec = fleet.store.get(Kind.CHANGE, f"{3:012d}").unwrap().spec
    fleet.store.create(Kind.CHANGE, f"{5:012d}", {**spec, "number": 5}).unwrap()
    for _ in range(3):
        fleet.step()
    assert fleet.versions() == [3, 3]


@pytest.mark.parametrize(
    ("reports", "now", "version", "refused"),
    [
        ([], 0.0, 0, False),
        ([(5, 0.0)], GRACE_S - 0.1, 4, False),
        ([(5, 0.0)], GRACE_S, 4, True),
        ([(5, 0.0)], GRACE_S, 5, False),
        ([(5, 0.0), (6, 3.0)], GRACE_S, 5, False),
        ([(5, 0.0), (6, 3.0)], 3.0 + GRACE_S, 5, True),
        ([(5, 0.0), (3, 3.0)], 60.0, 5, False),
    ],
)
def test_sidecars_refuse_outdated_versions(reports, now, version, refused):
    versions = ReportedVersions()
    for number, reported_at in reports:
        versions.record(number, reported_at)
    failure = versions.refusal(version, now)
    assert (failure is not None) is refused
    if failure:
        assert (failure.verdict.value, failure.retry_after) == ("not_run", 1.0)


def test_removing_a_watcher_keeps_the_other_watchers():
    elected = elect_watchers("r", VMS)
    assert len(elected) == MAX_WATCHERS
    remaining = elect_watchers("r", [vm for vm in VMS if vm != elected[0]])
    assert remaining[: MAX_WATCHERS - 1] == elected[1:]
    assert {watcher_for(vm, elected) for vm in VMS} <= set(elected)
    assert watcher_for("a", ["a"]) is None


class Chaos:
    """Injects random faults into a fleet and records the accepted catalogs."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = start_fleet(VMS[:6], 1)
        self.accepted = {1: read_head(self.fleet.store).unwrap().catalog}

    def commit(self):
        store = self.fleet.store
        if not store.faults.down:
            catalog = fill(store, 1, "n")
            self.accepted[catalog.version] = catalog

    def cut_store(self):
        entry = self.fleet.entries[self.rng.choice(VMS[:6])]
        entry.store.offline = not entry.store.offline

    def cut_peers(self):
        self.fleet.partitioned ^= {self.rng.choice(VMS[:6])}

    def freeze(self):
        vm = self.rng.choice(VMS[:6])
        if vm in self.fleet.frozen:
            self.fleet.thaw(vm)
        else:
            self.fleet.frozen[vm] = []

    def outage(self):
        self.fleet.store.faults.down = not self.fleet.store.faults.down

    def heal(self):
        self.fleet.store.faults.down = False
        self.fleet.partitioned = set()
        for vm, entry in self.fleet.entries.items():
            entry.store.offline = False
            if vm in self.fleet.frozen:
                self.fleet.thaw(vm)


@pytest.mark.parametrize("seed", range(12))
def test_versions_increase_and_converge_under_faults(seed):
    """Partitions, freezes and outages occur at random and at the same time, while
    operators commit changes. No entry may revert to an older version or have a
    catalog that was not accepted. Once all faults end, every entry reaches the
    newest version within the limit.
    """
    chaos = Chaos(seed)
    faults = [chaos.commit] * 3 + [chaos.cut_store, chaos.cut_peers, chaos.freeze]
    previous = chaos.fleet.versions()
    for _ in range(150):
        chaos.rng.choice([*faults, chaos.outage])()
        chaos.fleet.step(chaos.rng.choice([0.5, 1.0, 3.0]))
        for entry in chaos.fleet.entries.values():
            assert entry.feed.catalog == chaos.accepted[entry.feed.version]
        versions = chaos.fleet.versions()
        assert all(a <= b for a, b in zip(previous, versions, strict=True))
        previous = versions
    chaos.heal()
    for _ in range(PROPAGATION_LIMIT):
        chaos.fleet.step()
    newest = max(chaos.accepted)
    assert newest > 10 and chaos.fleet.versions() == [newest] * 6
