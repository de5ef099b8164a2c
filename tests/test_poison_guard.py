"""Crash attribution at one entry, from lost connections and updates of peers."""

from dataclasses import replace

import pytest

from persimmonhitch.decide.dispatch import DispatchRequest, UpstreamView
from persimmonhitch.decide.poison import BLOCK_CRASHES, SETTLE_S
from persimmonhitch.direct.poison import (
    ANNOUNCE_DURATION_S,
    CHECK_DELAY_S,
    MAX_IDLE_CHECKS,
    PoisonGuard,
)
from persimmonhitch.fleet.upstream import UpstreamRecord
from persimmonhitch.ids import Fingerprint, PartId, Service, Upstream, Vm, Zone

BAD, PART = Fingerprint("bad"), PartId("part-a")


def record(number, born=1):
    name = Upstream(f"u{number}")
    return UpstreamRecord(
        name, Service("s"), "h", number, Zone("z1"), 8, False, born, None
    )


class Entry:
    """The guard of one entry, with a clock that is set by hand."""

    def __init__(self, vm="e1"):
        self.now = 0.0
        self.guard = PoisonGuard(Vm(vm), lambda: self.now)

    def lose_connection(self, number):
        """Lose the connection to an upstream while it runs ``BAD``."""
        self.now += 1.0
        self.guard.started(BAD, record(number).name)
        self.guard.connection_lost(BAD, record(number), True)
        self.guard.ended(BAD, record(number).name)

    def is_blocked(self):
        self.now += SETTLE_S + 0.01
        self.update = self.guard.next_update()
        return self.guard.refusal(BAD) is not None


@pytest.mark.parametrize(
    "records",
    [
        [replace(record(n), started_at_ms=2) for n in range(BLOCK_CRASHES)],
        [replace(record(n), name=Upstream(f"new{n}")) for n in range(BLOCK_CRASHES)],
    ],
)
def test_a_restarted_upstream_counts_as_crashed(records):
    """Guards against missed crashes where a restart accepts connections at once."""
    entry = Entry()
    for number in range(BLOCK_CRASHES):
        entry.lose_connection(number)
    assert [up.name for up in entry.guard.due_checks()] == ["u0", "u1"]
    assert not entry.is_blocked()
    entry.guard.update_upstreams(records)
    assert entry.is_blocked()


def test_an_upstream_that_answers_later_requests_has_not_crashed():
    """Guards against blocking requests whose answers an upstream loses."""
    entry = Entry()
    for number in range(BLOCK_CRASHES):
        entry.lose_connection(number)
        entry.guard.answered(record(number), entry.now + 0.1)
        entry.guard.unreachable(record(number))
    assert not entry.is_blocked()


def test_evidence_of_several_entries_is_combined():
    """Guards against a missed block when no entry has seen enough crashes itself."""
    first, second = Entry("e1"), Entry("e2")
    for number, entry in enumerate([first, second, first]):
        entry.lose_connection(number)
        entry.guard.unreachable(record(number))
    first.now = second.now = 5.0
    assert not first.is_blocked()
    first.guard.receive(Vm("e2"), second.guard.next_update(), 5.0)
    assert first.is_blocked()
    assert second.guard.refusal(BAD) is None
    second.guard.receive(Vm("e1"), first.update, first.now)
    assert second.guard.refusal(BAD) is not None


def test_a_new_entry_blocks_no_request_that_a_peer_has_cleared():
    """Guards against a block by an entry that missed the answers of a request."""
    first, second, new = Entry("e1"), Entry("e2"), Entry("e3")
    for number in range(BLOCK_CRASHES):
        first.lose_connection(number)
        first.guard.unreachable(record(number))
    second.now = first.now
    second.guard.receive(Vm("e1"), first.guard.next_update(), first.now)
    second.now += 0.1
    second.guard.completed(BAD)
    first.now = new.now = second.now + 2.0
    first.guard.receive(Vm("e2"), second.guard.next_update(), second.now)
    new.guard.receive(Vm("e1"), first.guard.next_update(), first.now)
    assert not new.is_blocked()


def test_a_new_entry_waits_for_the_reports_of_all_peers():
    """Guards against a block on the evidence of only the first peer that reports."""
    old, new = Entry("e1"), Entry("e2")
    for number in range(BLOCK_CRASHES):
        old.lose_connection(number)
        old.guard.unreachable(record(number))
    new.now = 20.0
    new.guard.receive(Vm("e1"), old.guard.next_update(), 10.0)
    assert new.guard.refusal(BAD) is None
    assert new.is_blocked()


def view(number, running, leaving=False):
    return UpstreamView(
        Upstream(f"u{number}"),
        Zone("z1"),
        8,
        0,
        running,
        0,
        0,
        True,
        True,
        leaving=leaving,
    )


def test_a_suspect_runs_where_a_crash_costs_least():
    """Guards against trials that crash busy upstreams, or those of evacuated zones."""
    entry = Entry()
    for number in (1, 2):
        entry.lose_connection(number)
        entry.guard.unreachable(record(number))
    request = DispatchRequest(Service("s"), None, None, 1, 1, 1, 0, 0, 0, 0, BAD)
    views = [view(3, 5), view(4, 2), view(5, 0, leaving=True), view(6, 8)]
    entry.guard.exclude_upstreams(request, [view(3, 5)])
    entry.now += ANNOUNCE_DURATION_S
    entry.guard.exclude_upstreams(request, views)
    assert [v.upstream for v in views if v.traffic_share] == ["u4"]


def test_a_part_that_completed_elsewhere_is_cleared_by_one_announcement():
    """Guards against suspicion of a part at entries that have not run it lately."""
    first, second = Entry("e1"), Entry("e2")
    second.guard.completed(Fingerprint("sound"), (PART,))
    for number in (1, 2):
        first.now = second.now = number * 0.5
        first.guard.connection_lost(
            Fingerprint(f"f{number}"), record(number), True, (PART,)
        )
        first.guard.unreachable(record(number))
    request = DispatchRequest(
        Service("s"), None, None, 1, 1, 1, 0, 0, 0, 0, Fingerprint("next"), (PART,)
    )
    views = [view(3, 0)]
    first.guard.exclude_upstreams(request, views)
    assert not views[0].traffic_share
    second.guard.receive(Vm("e1"), first.guard.next_update(), first.now)
    second.guard.receive_parts(first.guard.next_parts_update())
    second.now += 1.0
    update = second.guard.next_update()
    assert set(update.completed) == {PART}
    first.guard.receive(Vm("e2"), update, second.now)
    views = [view(3, 0)]
    first.guard.exclude_upstreams(request, views)
    assert views[0].traffic_share
    assert first.guard.next_parts_update() is None


@pytest.mark.parametrize("lost_together", [True, False])
def test_a_suspect_lost_with_idle_upstreams_is_not_blocked(lost_together):
    """Guards against blocks of requests that ran alone as many machines were lost."""
    entry = Entry()
    for number in range(2):
        entry.lose_connection(number)
        entry.guard.unreachable(record(number))
    entry.guard.update_upstreams(record(number) for number in range(2, 12))
    entry.lose_connection(2)
    entry.now += CHECK_DELAY_S
    checked = entry.guard.due_checks()
    assert len(checked) == 1 + MAX_IDLE_CHECKS
    for upstream in checked:
        if lost_together or upstream.name == "u2":
            entry.guard.unreachable(upstream)
        else:
            entry.guard.reachable(upstream)
    assert entry.is_blocked() is not lost_together
    assert entry.guard.due_checks() == []


def test_a_suspect_is_not_blocked_while_a_copy_runs():
    """Guards against blocks of sound requests that were lost with several others."""
    entry = Entry()
    entry.guard.started(BAD, record(9).name)
    for number in range(BLOCK_CRASHES):
        entry.lose_connection(number)
        entry.guard.unreachable(record(number))
    assert not entry.is_blocked()
    entry.guard.ended(BAD, record(9).name)
    assert entry.is_blocked()
