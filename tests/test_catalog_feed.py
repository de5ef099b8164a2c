"""The configuration reaches every entry, and none ever goes back."""

import random

import pytest
from catalog_help import change, fill, lists, put, writer
from fake_mesh import Fleet

from persimmonhitch.catalog import store_source
from persimmonhitch.catalog.changes import diff
from persimmonhitch.catalog.election import WATCHERS, teller, watchers
from persimmonhitch.catalog.feed import HISTORY, CatalogFeed
from persimmonhitch.catalog.gate import GAP, ISOLATED_AFTER
from persimmonhitch.catalog.keys import authenticate, issue, withdraw
from persimmonhitch.catalog.log import read_head
from persimmonhitch.catalog.model import EMPTY
from persimmonhitch.catalog.snapshots import EVERY
from persimmonhitch.catalog.staleness import GRACE, HeardVersions
from persimmonhitch.store.objects import Kind
from persimmonhitch.wire.codec import decode

VMS = [f"vm{number}" for number in range(12)]
LIMIT = 6
"""Seconds in which a change must be in force everywhere."""


@pytest.fixture(autouse=True)
def short_watches(monkeypatch):
    monkeypatch.setattr(store_source, "WATCH_SECONDS", 0.0)


def started(vms=VMS, changes=3):
    fleet = Fleet(vms)
    fill(fleet.store, changes)
    for _ in range(2):
        fleet.step()
    assert fleet.versions() == [changes] * len(vms)
    assert all(entry.feed.ready.is_set() for entry in fleet.entries.values())
    return fleet


def watching(fleet):
    return [vm for vm, entry in fleet.entries.items() if entry.sync.elected()]


def test_a_change_reaches_all_through_few_watchers():
    fleet = started()
    fleet.store.calls.clear()
    sent = fleet.sent
    fill(fleet.store, 1, "n")
    fleet.step()
    assert fleet.versions() == [4] * len(VMS)
    assert fleet.store.calls["watch"] == WATCHERS
    assert "list" not in fleet.store.calls or fleet.store.calls["list"] < 3
    asked = 2 * 2 * len(VMS)
    assert fleet.sent - sent <= asked + WATCHERS * len(VMS)


def test_a_withdrawn_key_stops_on_an_entry_that_is_cut_from_the_store():
    """An entry loses its way to the store; then a key is withdrawn.

    The holder of the key would go on through this entry for as long as the cut
    lasts. Its peers tell it, whether or not it was to watch the store itself.
    """
    for cut_vm in (watching(started())[0], VMS[5]):
        fleet = started()
        key, delta = issue(lists(), "coop").unwrap()
        base = read_head(fleet.store).unwrap().catalog
        each = writer(fleet.store)
        base = each.commit(base, diff(EMPTY, lists())).unwrap()
        base = each.commit(base, delta).unwrap()
        fleet.step()
        entry = fleet.entries[cut_vm]
        assert authenticate(entry.feed.in_force(), key).unwrap() == "coop"
        entry.store.offline = True
        each.commit(base, withdraw(base, delta.keys[0].hash).unwrap()).unwrap()
        for _ in range(LIMIT - 2):
            fleet.step()
        failure = authenticate(entry.feed.in_force(), key).failure()
        assert failure.http_status == 401


def test_the_next_in_rank_watches_when_all_watchers_are_cut_off():
    """The three entries that watch the store lose their way to it at once.

    All others rely on them, and the region would stay at its version.
    """
    fleet = started()
    for vm in watching(fleet):
        fleet.entries[vm].store.offline = True
    fleet.step()
    fill(fleet.store, 1, "n")
    for _ in range(LIMIT - 1):
        fleet.step()
    assert fleet.versions() == [4] * len(VMS)


def test_a_region_without_the_store_learns_from_another():
    """One region loses its way to the store, but not to the other regions.

    Nobody in it can watch, so all of it would stay at its version.
    """
    fleet = started([f"{name}{number}" for name in "ab" for number in range(8)])
    for vm, entry in fleet.entries.items():
        entry.store.offline = vm.startswith("b")
    fill(fleet.store, 1, "n")
    for _ in range(LIMIT - 1):
        fleet.step()
    assert fleet.versions() == [4] * 16


def test_regions_that_lose_each_other_go_on_by_the_store():
    """Two regions lose each other for an hour, and both still reach the store."""
    fleet = started([f"{name}{number}" for name in "ab" for number in range(8)])
    fleet.regions_partitioned = True
    fill(fleet.store, 1, "n")
    fleet.step()
    assert fleet.versions() == [4] * 16


def test_watchers_write_snapshots_while_they_watch():
    """Changes come for days while the watches never break.

    Without snapshots the list of changes, which each newcomer and each command
    reads whole, would grow with every change.
    """
    fleet = started(VMS[:3])
    for _ in range(3):
        fill(fleet.store, EVERY, "n")
        fleet.step()
    assert fleet.store.list_all(Kind.SNAPSHOT).unwrap().items
    left = fleet.store.list_all(Kind.CHANGE).unwrap().items
    assert len(left) <= HISTORY
    assert fleet.add("new").sync.source.load()
    assert fleet.versions() == [3 + 3 * EVERY] * 4


def test_a_newcomer_in_an_outage_takes_its_peers_version():
    """An entry VM is replaced while the store is down.

    It must serve nobody before it has a configuration, and must not wait for
    the store when its peers hold one.
    """
    fleet = started(VMS[:3])
    fleet.store.faults.down = True
    alone = fleet.add("new")
    fleet.partitioned = {"new"}
    fleet.step()
    assert not alone.feed.ready.is_set() and alone.feed.version == 0
    fleet.partitioned = set()
    fleet.step()
    assert alone.feed.ready.is_set() and alone.feed.version == 3
    assert alone.feed.catalog == fleet.entries["vm0"].feed.catalog


def test_one_who_is_far_behind_gets_the_whole_catalog_in_an_outage():
    fleet = started(VMS[:2], HISTORY + EVERY)
    fleet.store.faults.down = True
    new = fleet.add("new")
    fleet.step()
    assert new.feed.catalog == fleet.entries["vm0"].feed.catalog


def test_nothing_changes_in_an_outage_of_any_length():
    """The store is down for ten minutes while traffic runs.

    An entry that distrusted its old configuration would refuse every caller.
    """
    fleet = started(VMS[:3])
    fleet.store.faults.down = True
    for _ in range(600):
        fleet.step()
        for entry in fleet.entries.values():
            assert entry.feed.gate.open(fleet.now) and entry.feed.version == 3


def test_no_version_ever_goes_back():
    """A peer that lags tells of old changes, or an old snapshot arrives late.

    Callers would see a withdrawn key work again.
    """
    feed = CatalogFeed(lambda: 0.0)
    seen = []
    feed.listen(lambda catalog: seen.append(catalog.version))
    changes = [change(number, put(f"m{number}")) for number in range(1, 6)]
    assert len(feed.take(changes)) == 5
    assert feed.take([*changes, *changes]) == ()
    assert feed.take([change(7, put("gap"))]) == ()
    assert not feed.take_whole(EMPTY)
    assert seen == [1, 2, 3, 4, 5] and feed.version == 5
    assert [each.number for each in feed.after(3)] == [4, 5]
    assert feed.after(9) == ()


def frozen_past_a_withdrawal(fleet, vm):
    """Freeze an entry for 30 s in which the configuration moves on."""
    fleet.frozen[vm] = []
    fleet.entries[vm].sync.exchange.ask()
    for _ in range(10):
        fleet.step(3.0)
    fill(fleet.store, 1, "n")
    fleet.step()
    return fleet.entries[vm].feed


@pytest.mark.parametrize("cut", [False, True])
def test_a_thawed_entry_asks_before_it_lets_anybody_in(cut):
    """An entry is frozen while a key is withdrawn, and then runs on.

    In its sockets lie answers from before the withdrawal, which say that its
    configuration is the newest.
    """
    fleet = started()
    vm = VMS[4]
    entry = fleet.entries[vm]
    entry.store.offline = cut
    feed = frozen_past_a_withdrawal(fleet, vm)
    old = fleet.frozen[vm][:2]
    assert all(decode(frame).unwrap().version == 3 for _, frame in old)
    fleet.frozen[vm] = old
    fleet.thaw(vm)
    assert feed.version == 3 and not feed.gate.open(fleet.now)
    fleet.step(0.2)
    assert feed.gate.open(fleet.now) and feed.version == 4


def test_a_thawed_entry_that_hears_from_nobody_holds_back_for_a_while_only():
    """A frozen entry thaws cut off from the store and all peers.

    Refusing for ever would cost callers who have done nothing wrong; its
    sidecars know the newer version and refuse what is too old.
    """
    fleet = started()
    vm = VMS[4]
    feed = frozen_past_a_withdrawal(fleet, vm)
    fleet.frozen[vm].clear()
    fleet.partitioned = {vm}
    fleet.entries[vm].store.offline = True
    fleet.thaw(vm)
    assert not feed.gate.open(fleet.now)
    fleet.step(GAP / 2)
    assert not feed.gate.open(fleet.now)
    for _ in range(4):
        fleet.step(ISOLATED_AFTER / 3)
    assert feed.gate.open(fleet.now) and feed.version == 3


def test_a_change_that_cannot_be_read_is_not_skipped():
    """A newer release writes a change of a form that this one does not know.

    Skipping it would leave two processes at one version with different content.
    """
    fleet = started(VMS[:2])
    fleet.store.create(Kind.CHANGE, f"{4:012d}", {"number": 4}).unwrap()
    spec = fleet.store.get(Kind.CHANGE, f"{3:012d}").unwrap().spec
    fleet.store.create(Kind.CHANGE, f"{5:012d}", {**spec, "number": 5}).unwrap()
    for _ in range(3):
        fleet.step()
    assert fleet.versions() == [3, 3]


@pytest.mark.parametrize(
    ("heard", "now", "version", "refused"),
    [
        ([], 0.0, 0, False),
        ([(5, 0.0)], GRACE - 0.1, 4, False),
        ([(5, 0.0)], GRACE, 4, True),
        ([(5, 0.0)], GRACE, 5, False),
        ([(5, 0.0), (6, 3.0)], GRACE, 5, False),
        ([(5, 0.0), (6, 3.0)], 3.0 + GRACE, 5, True),
        ([(5, 0.0), (3, 3.0)], 60.0, 5, False),
    ],
)
def test_sidecars_refuse_what_lags_too_far(heard, now, version, refused):
    versions = HeardVersions()
    for number, at in heard:
        versions.note(number, at)
    failure = versions.refusal(version, now)
    assert (failure is not None) is refused
    if failure:
        assert (failure.verdict.value, failure.retry_after) == ("not_run", 1.0)


def test_an_entry_that_goes_moves_only_its_own_place():
    chosen = watchers("r", VMS)
    assert len(chosen) == WATCHERS
    left = watchers("r", [vm for vm in VMS if vm != chosen[0]])
    assert left[: WATCHERS - 1] == chosen[1:]
    assert {teller(vm, chosen) for vm in VMS} <= set(chosen)
    assert teller("a", ["a"]) is None


class Chaos:
    """Does random harm to a fleet and remembers what was accepted."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = started(VMS[:6], 1)
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
def test_versions_only_rise_and_meet_again_whatever_fails(seed):
    """Cuts, freezes and outages come at any moment and together, while operators
    go on making changes. No process may go back or hold what was not accepted,
    and once all is mended every one is at the newest version in a few seconds.
    """
    chaos = Chaos(seed)
    harm = [chaos.commit] * 3 + [chaos.cut_store, chaos.cut_peers, chaos.freeze]
    before = chaos.fleet.versions()
    for _ in range(150):
        chaos.rng.choice([*harm, chaos.outage])()
        chaos.fleet.step(chaos.rng.choice([0.5, 1.0, 3.0]))
        for entry in chaos.fleet.entries.values():
            assert entry.feed.catalog == chaos.accepted[entry.feed.version]
        now = chaos.fleet.versions()
        assert all(a <= b for a, b in zip(before, now, strict=True))
        before = now
    chaos.heal()
    for _ in range(LIMIT):
        chaos.fleet.step()
    newest = max(chaos.accepted)
    assert newest > 10 and chaos.fleet.versions() == [newest] * 6
