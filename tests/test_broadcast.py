"""News of each entry reach all others, over a few neighbours of each."""

from dataclasses import dataclass, field

import pytest
from returns.result import Success

from persimmonhitch.decide.overlay import Member, Overlay
from persimmonhitch.direct.broadcast import Broadcast
from persimmonhitch.direct.peer_messages import EntryUpdate
from persimmonhitch.ids import Account, Incarnation, Vm, Zone
from persimmonhitch.wire.codec import decode

TICK = 0.05
NEWS_EVERY = 0.2
COOP = Account("coop")


@dataclass
class Node:
    """One entry: its broadcast, and what it has heard of each other one."""

    member: Member
    cast: Broadcast | None = None
    heard: dict = field(default_factory=dict)
    doubled: int = 0
    sent: int = 0
    told_at: float = -1.0
    count: int = 0


class Fleet:
    """Entries that share a clock; messages take one tick."""

    def __init__(self, zones, each):
        self.now = 0.0
        self.down, self.cuts = set(), set()
        self.nodes = {}
        for zone in range(zones):
            for number in range(each):
                vm = Vm(f"z{zone}-e{number}")
                self.nodes[vm] = Node(Member(vm, Zone(f"z{zone}"), 1.0))
        for vm in self.nodes:
            self.start(vm, "1")
        self.frames = []

    def start(self, vm, life):
        node = self.nodes[vm]
        overlay = Overlay(node.member)
        overlay.update([n.member for n in self.nodes.values() if n is not node])
        node.heard, node.count, node.told_at = {}, 0, -1.0
        node.cast = Broadcast(
            Incarnation(f"{vm}.{life}"),
            overlay,
            lambda to, frame: self._send(vm, to, frame),
            lambda: self.now,
        )
        node.cast.on(EntryUpdate, lambda *heard: self._hear(node, *heard))

    def _send(self, vm, to, frame):
        self.nodes[vm].sent += 1
        self.frames.append((vm, to, frame))
        return True

    def _hear(self, node, origin, msg, as_of):
        value = msg.usage[COOP]
        node.doubled += value == node.heard.get(origin, (None,))[0]
        node.heard[origin] = value, as_of

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK
            frames, self.frames = self.frames, []
            for vm, to, frame in frames:
                cut = self.down & {vm, to} or frozenset((vm, to)) in self.cuts
                if not cut and to in self.nodes:
                    result = decode(frame)
                    assert isinstance(result, Success)
                    self.nodes[to].cast.receive(vm, result.unwrap())
            for vm, node in self.nodes.items():
                if vm not in self.down:
                    self._tick(node)

    def _tick(self, node):
        if self.now - node.told_at >= NEWS_EVERY:
            node.told_at = self.now
            node.count += 1
            node.cast.publish(EntryUpdate({COOP: float(node.count)}, {}, ()))
        node.cast.flush()

    def latest(self, among=None):
        """Return the age of the oldest news that any entry has of another."""
        names = set(among or self.nodes) - self.down
        return max(
            self.now - self.nodes[a].heard.get(b, (0, -99.0))[1]
            for a in names
            for b in names
            if a != b
        )

    def roots(self):
        return [vm for vm, n in self.nodes.items() if n.cast.routes.parent is None]


LATE = 0.6
"""Seconds of the period, of three hops with a flush each, and of the ticks between."""


@pytest.mark.parametrize(("zones", "each"), [(4, 1), (4, 6), (6, 11), (1, 30)])
def test_all_hear_all_within_a_fraction_of_a_second(zones, each):
    fleet = Fleet(zones, each)
    fleet.run(3.0)
    assert fleet.latest() <= LATE
    assert not any(node.doubled for node in fleet.nodes.values())


def test_what_an_entry_sends_does_not_grow_with_the_fleet():
    """Told by each to each, news of 68 entries took more than a small VM has."""
    sent = []
    for each in (4, 24):
        fleet = Fleet(4, each)
        fleet.run(5.0)
        leaf = [n for n in fleet.nodes.values() if n.cast.routes.parent is not None]
        sent.append(max(n.sent for n in leaf))
    assert sent[1] <= sent[0] * 1.1


def test_the_others_hear_each_other_soon_after_a_parent_has_died():
    """Guards against a zone whose accounts and engines nobody knows of."""
    fleet = Fleet(3, 5)
    fleet.run(3.0)
    fleet.down.add(fleet.roots()[0])
    fleet.run(1.4)
    assert fleet.latest() <= LATE


def test_a_parent_that_returns_hears_all_and_is_heard():
    """A frozen parent thaws and takes itself for the parent of a zone that left it."""
    fleet = Fleet(3, 5)
    fleet.run(3.0)
    frozen = fleet.roots()[0]
    fleet.down.add(frozen)
    fleet.run(3.0)
    fleet.down.clear()
    fleet.run(2.5)
    assert fleet.latest() <= LATE
    assert len(fleet.roots()) == 3


def test_a_cut_between_two_parents_keeps_no_news_back():
    fleet = Fleet(2, 4)
    fleet.run(3.0)
    fleet.cuts.add(frozenset(fleet.roots()))
    fleet.run(2.5)
    assert fleet.latest() <= LATE + 0.2


def test_an_entry_cut_off_from_its_parent_alone_goes_by_another():
    fleet = Fleet(2, 4)
    fleet.run(3.0)
    root = fleet.roots()[0]
    zone = fleet.nodes[root].member.zone
    leaf = next(
        vm for vm, n in fleet.nodes.items() if n.member.zone == zone and vm != root
    )
    fleet.cuts.add(frozenset((root, leaf)))
    fleet.run(2.5)
    assert fleet.latest() <= LATE + 0.4


def test_a_restarted_entry_counts_anew_and_its_old_messages_do_not():
    """Messages of a process that was killed reach others after those of its next."""
    fleet = Fleet(2, 3)
    fleet.run(3.0)
    vm = next(vm for vm in fleet.nodes if vm not in fleet.roots())
    late = [item for item in fleet.frames if item[0] == vm]
    fleet.start(vm, "2")
    fleet.run(1.0)
    fleet.frames += late
    fleet.run(0.3)
    counts = {n.heard[vm][0] for name, n in fleet.nodes.items() if name != vm}
    assert max(counts) <= 8
    assert fleet.latest() <= LATE
    other = next(n for name, n in fleet.nodes.items() if name != vm)
    assert other.cast.incarnation(vm) == f"{vm}.2"
