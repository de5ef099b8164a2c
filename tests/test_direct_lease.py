"""The orders lease moves to another entry without two holders and without delay."""

from types import SimpleNamespace

import pytest
from direct_help import no_limits

from persimmonhitch.direct.engine_client import ORDER_TIMEOUT_S
from persimmonhitch.direct.leader import MAX_ORDER_AGE_S, Leader
from persimmonhitch.direct.leader_election import LeaderElection
from persimmonhitch.direct.order_history import OrderHistory
from persimmonhitch.fleet.upstream import NOT_COUNTED, UpstreamRecord
from persimmonhitch.ids import Incarnation, Service, Upstream, Vm, Zone
from persimmonhitch.planner.lease import (
    UNKNOWN_PREDECESSOR,
    LeaseKeeper,
    Predecessor,
)
from persimmonhitch.standin.store_state import Faults, StoreState

A, B = Vm("a"), Vm("b")
E1, E2, E3 = Upstream("e1"), Upstream("e2"), Upstream("e3")
GUARD_S = 3.0


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class StubPeers:
    """Other entries that no message reaches."""

    def __init__(self, sent):
        self.send_to_all = sent.append

    def restarted(self, _vm, _old):
        return False


def upstream_record(name):
    return UpstreamRecord(
        name, Service("llm"), "10.0.0.1", 80, Zone("z1"), 64, False, 1, None
    )


def keepers(lease_s=1.5):
    clock, store = Clock(), StoreState()
    lease_keepers = [
        LeaseKeeper(store, "orders", vm, Incarnation(f"i-{vm}"), lease_s, clock)
        for vm in (A, B)
    ]
    return clock, store, *lease_keepers


def test_released_lease_is_acquired_immediately():
    """The leader alone cannot reach the store and releases the lease by a message.
    Without the message the others wait until the lease expires.
    """
    clock, _store, first, second = keepers()
    first.step()
    second.step()
    epoch = first.abandon()
    assert first.epoch() is None
    second.receive_release(A, epoch)
    clock.now += 0.1
    second.step()
    assert second.epoch() == epoch + 1
    assert second.predecessor.vm == A


def test_released_epoch_is_not_reused():
    clock, _store, first, second = keepers()
    first.step()
    epoch = first.abandon()
    clock.now += 0.1
    first.step()
    assert first.epoch() == epoch + 1
    second.receive_release(A, epoch)
    second.step()
    assert second.epoch() is None


def test_reported_renewal_counts_from_its_time():
    """Guards against waiting for a second lease duration after the leader's VM failed.
    Peers know the time of its last renewal and acquire the lease when it expires.
    """
    clock, _store, first, second = keepers()
    first.step()
    version, age = first.last_renewal()
    second.receive_renewal(version, age)
    clock.now += 1.6
    second.step()
    assert second.epoch() == 2
    assert first.epoch() is None


def test_leader_can_renew_after_a_store_outage():
    """Guards against a peer that acquires the lease right after a store outage because
    it counts the outage as missing renewals of the leader.
    """
    clock, store, first, second = keepers()
    first.step()
    second.step()
    store.faults = Faults(down=True)
    for _ in range(4):
        clock.now += 0.5
        second.step()
    store.faults = Faults()
    clock.now += 0.1
    second.step()
    assert second.epoch() is None


def test_new_process_on_the_leaders_vm_takes_over_immediately():
    clock, store, first, _second = keepers()
    first.step()
    restarted = LeaseKeeper(store, "orders", A, Incarnation("new"), 1.5, clock)
    restarted.step()
    assert restarted.epoch() == 2
    assert restarted.predecessor.vm == A
    assert restarted.predecessor.held_s < GUARD_S


def test_released_lease_names_its_predecessor():
    """Guards against orders right after those of a leader that stopped as planned. A
    process that acquires the released lease has to know its previous holder.
    """
    clock, store, first, second = keepers()
    first.step()
    first.release()
    second.step()
    assert second.epoch() == 2
    assert second.predecessor.vm == A


def test_first_lease_has_no_predecessor():
    _clock, _store, first, _second = keepers()
    first.step()
    assert first.predecessor is None


def predecessor(vm, held_for=0.0):
    return Predecessor(vm, Incarnation(f"i-{vm}"), held_for)


OLD_PROCESS_S, NEW_PROCESS_S = 10.0, 1.0
"""Age of the process that acquires the lease."""
UNRELEASED_WAIT_S = GUARD_S + ORDER_TIMEOUT_S
"""Wait after a leader that may have sent an order until its lease expired."""


@pytest.mark.parametrize(
    ("process_age_s", "previous", "ended", "released", "upstream", "wait_s"),
    [
        (OLD_PROCESS_S, None, False, False, E1, 0.0),
        (OLD_PROCESS_S, predecessor(B), False, False, E1, GUARD_S - 1.0),
        (OLD_PROCESS_S, predecessor(B), False, False, E2, 0.0),
        (OLD_PROCESS_S, predecessor(A), False, False, E2, UNRELEASED_WAIT_S),
        (OLD_PROCESS_S, predecessor(A), True, False, E1, GUARD_S - 1.0),
        (OLD_PROCESS_S, predecessor(A), True, False, E2, 0.0),
        (OLD_PROCESS_S, predecessor(A), False, True, E1, GUARD_S - 0.5),
        (OLD_PROCESS_S, predecessor(A), False, True, E2, 0.0),
        (OLD_PROCESS_S, predecessor(A), False, True, E3, GUARD_S),
        (OLD_PROCESS_S, UNKNOWN_PREDECESSOR, False, False, E2, UNRELEASED_WAIT_S),
        (NEW_PROCESS_S, UNKNOWN_PREDECESSOR, False, False, E2, UNRELEASED_WAIT_S),
        (NEW_PROCESS_S, None, False, False, E2, 0.0),
        (NEW_PROCESS_S, predecessor(A), False, True, E2, GUARD_S - NEW_PROCESS_S),
        (NEW_PROCESS_S, predecessor(A), True, False, E2, GUARD_S - NEW_PROCESS_S),
        (NEW_PROCESS_S, predecessor(B), False, False, E2, GUARD_S - NEW_PROCESS_S),
        (NEW_PROCESS_S, predecessor(B, held_for=GUARD_S), False, False, E2, 0.0),
    ],
)
def test_orders_allowed_at(process_age_s, previous, ended, released, upstream, wait_s):
    """Guards against orders of two leaders in quick succession, which may conflict.

    VM a sent an order to engine e1 one second ago and none to e2, and does not know e3.
    A new process has received no reports of orders from before its start.
    """
    clock = Clock()
    history = OrderHistory(B, GUARD_S, clock)
    clock.now += process_age_s - 1.0
    history.record_orders(A, E1, 4)
    clock.now += 1.0
    history.record_orders(A, E1, 4)
    if released:
        history.record_release(A, {E1: 0.5, E2: MAX_ORDER_AGE_S})
    allowed_at = history.orders_allowed_at(upstream, clock.now, previous, ended)
    assert max(0.0, allowed_at - clock.now) == pytest.approx(wait_s)


def test_released_lease_passes_on_the_wait_for_an_unknown_leader():
    """Guards against orders of a third leader soon after those of the first."""
    clock, sent = Clock(), []
    peers = StubPeers(sent)
    _clock, _store, first, second = keepers()
    first.step()
    first.predecessor = UNKNOWN_PREDECESSOR
    election = LeaderElection(A, first, peers, dict, GUARD_S, clock)
    leader = Leader(
        A, lambda _last: election, print, lambda _s: 1.0, no_limits(), clock
    )
    election._last_order_times = leader._last_order_times
    leader.update_upstreams([upstream_record(E1)])
    leader.run_round()
    clock.now += 1.0
    election.stop()
    (release,) = sent
    assert release.order_ages_s == {E1: pytest.approx(1.0 - ORDER_TIMEOUT_S)}
    history = OrderHistory(B, GUARD_S, clock)
    clock.now += OLD_PROCESS_S
    history.record_release(A, {E1: 1.0})
    allowed_at = history.orders_allowed_at(E1, clock.now, predecessor(A), False)
    assert allowed_at == pytest.approx(clock.now + GUARD_S - 1.0)


def test_release_keeps_later_orders_that_the_leader_reported_before():
    """Guards against orders right after those of the term before a restored store."""
    clock = Clock()
    history = OrderHistory(B, GUARD_S, clock)
    clock.now += OLD_PROCESS_S
    history.record_orders(A, E1, 4)
    history.record_release(A, {E1: 3.0})
    allowed_at = history.orders_allowed_at(E1, clock.now, predecessor(A), False)
    assert allowed_at == pytest.approx(clock.now + GUARD_S)


def test_release_names_orders_of_earlier_terms():
    """Guards against orders right after those of an earlier term of the leader."""
    clock, sent = Clock(), []
    _clock, store, first, _second = keepers()
    first.step()
    election = LeaderElection(A, first, StubPeers(sent), dict, GUARD_S, clock)
    leader = Leader(
        A, lambda _last: election, print, lambda _s: 1.0, no_limits(), clock
    )
    election._last_order_times = leader._last_order_times
    leader.update_upstreams([upstream_record(E1)])
    leader._controllers = {E1: SimpleNamespace(last_order_at=clock.now)}
    clock.now += 1.0
    leader._start_term()
    assert leader._controllers == {}
    election.stop()
    assert sent[0].order_ages_s == {E1: pytest.approx(1.0)}


def test_release_names_all_engines_that_its_sender_knows():
    """Guards against orders right after those of a leader before the releasing one."""
    clock, sent = Clock(), []
    _clock, _store, first, _second = keepers()
    first.step()
    election = LeaderElection(A, first, StubPeers(sent), dict, GUARD_S, clock)
    leader = Leader(
        A, lambda _last: election, print, lambda _s: 1.0, no_limits(), clock
    )
    election._last_order_times = leader._last_order_times
    leader.update_upstreams([upstream_record(E1), upstream_record(E2)])
    leader.run_round()
    clock.now += 2 * MAX_ORDER_AGE_S
    leader._controllers = {E1: SimpleNamespace(last_order_at=clock.now)}
    election.stop()
    assert sent[0].order_ages_s == {E1: 0.0, E2: pytest.approx(MAX_ORDER_AGE_S)}


@pytest.mark.parametrize(
    ("counts", "release_age_s", "order_count", "unreachable", "wait_s"),
    [
        ([4], None, 4, False, 0.0),
        ([4], None, 5, False, GUARD_S),
        ([4], None, 4, True, GUARD_S),
        ([4], 1.0, 5, False, GUARD_S),
        ([], 1.0, 5, False, 0.0),
        ([], 1.0, 5, True, GUARD_S),
        ([NOT_COUNTED], None, 5, False, 0.0),
        ([9], None, 0, False, 0.0),
    ],
)
def test_wait_after_an_order_that_may_have_arrived_late(
    counts, release_age_s, order_count, unreachable, wait_s
):
    """Guards against an order soon after one that had waited on a stalled path."""
    clock = Clock()
    lease = SimpleNamespace(predecessor=predecessor(A))
    election = LeaderElection(B, lease, StubPeers([]), dict, GUARD_S, clock)
    for count in counts:
        election._history.record_orders(A, E1, count)
    clock.now += 5.0
    if release_age_s is not None:
        election._history.record_release(A, {E1: release_age_s})
    guard = election.order_guard(E1)
    allowed_at = guard.allowed_at(order_count, unreachable, clock.now)
    assert allowed_at - clock.now == wait_s
