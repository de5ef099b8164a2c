"""Updates of each entry reach all others over the overlay."""

from dataclasses import dataclass, field

import pytest
from returns.result import Success

from persimmonhitch.decide.overlay import FAN_OUT, Member, Overlay
from persimmonhitch.direct.broadcast import Broadcast
from persimmonhitch.direct.peer_messages import EntryUpdate
from persimmonhitch.ids import Account, Incarnation, Vm, Zone
from persimmonhitch.wire.codec import decode

TICK_S = 0.05
UPDATE_INTERVAL_S = 0.2
COOP = Account("coop")


@dataclass
class Node:
    """One entry: its broadcast and the newest update received from each peer."""

    member: Member
    broadcast: Broadcast | None = None
    received: dict = field(default_factory=dict)
    duplicates: int = 0
    sent: int = 0
    published_at: float = -1.0
    count: int = 0


class Fleet:
    """Entries with a common clock; each message takes one tick."""

    def __init__(self, zones, per_zone):
        self.now = 0.0
        self.stopped, self.cut_links = set(), set()
        self.nodes = {}
        for zone in range(zones):
            for number in range(per_zone):
                vm = Vm(f"z{zone}-e{number}")
                self.nodes[vm] = Node(Member(vm, Zone(f"z{zone}"), 1.0))
        for vm in self.nodes:
            self.start(vm, "1")
        self.frames = []

    def start(self, vm, run):
        node = self.nodes[vm]
        overlay = Overlay(node.member)
        overlay.update([n.member for n in self.nodes.values() if n is not node])
        node.received, node.count, node.published_at = {}, 0, -1.0
        node.broadcast = Broadcast(
            Incarnation(f"{vm}.{run}"),
            overlay,
            lambda to, frame: self._send(vm, to, frame),
            lambda: self.now,
        )
        node.broadcast.on(EntryUpdate, lambda *received: self._receive(node, *received))

    def _send(self, vm, to, frame):
        self.nodes[vm].sent += 1
        self.frames.append((vm, to, frame))
        return True

    def _receive(self, node, origin, msg, as_of):
        value = msg.usage[COOP]
        node.duplicates += value == node.received.get(origin, (None,))[0]
        node.received[origin] = value, as_of

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            frames, self.frames = self.frames, []
            for vm, to, frame in frames:
                cut = self.stopped & {vm, to} or frozenset((vm, to)) in self.cut_links
                if not cut and to in self.nodes:
                    result = decode(frame)
                    assert isinstance(result, Success)
                    self.nodes[to].broadcast.receive(vm, result.unwrap())
            for vm, node in self.nodes.items():
                if vm not in self.stopped:
                    self._tick(node)

    def _tick(self, node):
        if self.now - node.published_at >= UPDATE_INTERVAL_S:
            node.published_at = self.now
            node.count += 1
            node.broadcast.publish(EntryUpdate({COOP: float(node.count)}, {}, ()))
        node.broadcast.flush()

    def max_age(self, among=None):
        """Return the age of the oldest update that any entry has of a peer."""
        names = set(among or self.nodes) - self.stopped
        return max(
            self.now - self.nodes[a].received.get(b, (0, -99.0))[1]
            for a in names
            for b in names
            if a != b
        )

    def roots(self):
        return [vm for vm, n in self.nodes.items() if n.broadcast.routes.parent is None]


MAX_AGE_S = 0.6
"""Update interval, three hops with a flush interval each, and the ticks between."""


@pytest.mark.parametrize(("zones", "per_zone"), [(4, 1), (4, 6), (6, 11), (1, 30)])
def test_updates_reach_all_entries_within_a_bounded_time(zones, per_zone):
    fleet = Fleet(zones, per_zone)
    fleet.run(3.0)
    assert fleet.max_age() <= MAX_AGE_S
    assert not any(node.duplicates for node in fleet.nodes.values())


def test_messages_per_entry_do_not_grow_with_the_fleet():
    """Guards against a full mesh, and a root with a whole zone as its children."""
    leaves, relays = [], []
    for per_zone in (4, 24, 48):
        fleet = Fleet(4, per_zone)
        fleet.run(5.0)
        routes = [(n.sent, n.broadcast.routes) for n in fleet.nodes.values()]
        leaves.append(max(sent for sent, r in routes if r.parent and not r.children))
        relays.append(max(sent for sent, r in routes if r.children))
    assert max(leaves) <= leaves[0] * 1.1
    assert max(relays) <= leaves[0] * (FAN_OUT + 4) * 1.1


def test_updates_recover_after_a_parent_dies():
    """Guards against a zone that stops exchanging updates with all others."""
    fleet = Fleet(3, 5)
    fleet.run(3.0)
    fleet.stopped.add(fleet.roots()[0])
    fleet.run(1.4)
    assert fleet.max_age() <= MAX_AGE_S


def test_a_resumed_parent_sends_and_receives_updates():
    """Guards against two parents after one is frozen, replaced, and then resumed."""
    fleet = Fleet(3, 5)
    fleet.run(3.0)
    frozen = fleet.roots()[0]
    fleet.stopped.add(frozen)
    fleet.run(3.0)
    fleet.stopped.clear()
    fleet.run(2.5)
    assert fleet.max_age() <= MAX_AGE_S
    assert len(fleet.roots()) == 3


def test_updates_bypass_a_cut_link_between_parents():
    fleet = Fleet(2, 4)
    fleet.run(3.0)
    fleet.cut_links.add(frozenset(fleet.roots()))
    fleet.run(2.5)
    assert fleet.max_age() <= MAX_AGE_S + 0.2


def test_an_entry_without_a_link_to_its_parent_uses_another_path():
    fleet = Fleet(2, 4)
    fleet.run(3.0)
    root = fleet.roots()[0]
    zone = fleet.nodes[root].member.zone
    leaf = next(
        vm for vm, n in fleet.nodes.items() if n.member.zone == zone and vm != root
    )
    fleet.cut_links.add(frozenset((root, leaf)))
    fleet.run(2.5)
    assert fleet.max_age() <= MAX_AGE_S + 0.4


def test_messages_of_a_previous_process_are_ignored_after_a_restart():
    """Guards against stale updates: messages of a killed process can arrive after those
    of its successor.
    """
    fleet = Fleet(2, 3)
    fleet.run(3.0)
    vm = next(vm for vm in fleet.nodes if vm not in fleet.roots())
    delayed = [item for item in fleet.frames if item[0] == vm]
    fleet.start(vm, "2")
    fleet.run(1.0)
    fleet.frames += delayed
    fleet.run(0.3)
    counts = {n.received[vm][0] for name, n in fleet.nodes.items() if name != vm}
    assert max(counts) <= 8
    assert fleet.max_age() <= MAX_AGE_S
    other = next(n for name, n in fleet.nodes.items() if name != vm)
    assert other.broadcast.incarnation(vm) == f"{vm}.2"


def test_process_that_was_never_heard_of_has_not_ended():
    """Guards against orders right after those of a leader that started just now."""
    fleet = Fleet(1, 2)
    vm, other = sorted(fleet.nodes)
    fleet.run(1.0)
    heard = fleet.nodes[other].broadcast
    assert not heard.has_ended(vm, Incarnation(f"{vm}.1"))
    assert not heard.has_ended(vm, Incarnation(f"{vm}.2"))
    fleet.start(vm, "2")
    fleet.run(1.0)
    assert heard.has_ended(vm, Incarnation(f"{vm}.1"))
    assert not heard.has_ended(vm, Incarnation(f"{vm}.2"))
