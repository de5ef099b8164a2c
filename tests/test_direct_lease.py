"""The lease of orders changes hands without two holders, and without a long pause."""

import pytest

from persimmonhitch.direct.handover import OrderHistory
from persimmonhitch.ids import Incarnation, Upstream, Vm
from persimmonhitch.planner.lease import LeaseKeeper, Predecessor
from persimmonhitch.standin.store_state import Faults, StoreState

A, B, E1, E2 = Vm("a"), Vm("b"), Upstream("e1"), Upstream("e2")
GUARD_S = 3.0


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def keepers(lease_s=1.5):
    clock, store = Clock(), StoreState()
    lease_keepers = [
        LeaseKeeper(store, "orders", vm, Incarnation(f"i-{vm}"), lease_s, clock)
        for vm in (A, B)
    ]
    return clock, store, *lease_keepers


def test_released_lease_is_acquired_immediately():
    """The holder is cut off from the store; the others are not. It resigns and says
    so; without its word they wait until its time is over.
    """
    clock, _store, first, second = keepers()
    first.step()
    second.step()
    epoch = first.resign()
    assert first.epoch() is None
    second.hear_resigned(A, epoch)
    clock.now += 0.1
    second.step()
    assert second.epoch() == epoch + 1
    assert second.before.vm == A


def test_released_epoch_is_not_reused():
    clock, _store, first, second = keepers()
    first.step()
    epoch = first.resign()
    clock.now += 0.1
    first.step()
    assert first.epoch() == epoch + 1
    second.hear_resigned(A, epoch)
    second.step()
    assert second.epoch() is None


def test_reported_renewal_counts_from_its_time():
    """The holder's VM loses power. Another entry that knows when it last renewed takes
    the lease when it is over; one that only then begins to look would wait once more.
    """
    clock, _store, first, second = keepers()
    first.step()
    version, age = first.renewal()
    second.hear_renewal(version, age)
    clock.now += 1.6
    second.step()
    assert second.epoch() == 2
    assert first.epoch() is None


def test_leader_can_renew_after_a_store_outage():
    """Nobody reached the store for seconds, and all come back at the same moment. A
    peer that counts the outage as the holder's silence would take its lease.
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
    assert restarted.before.vm == A
    assert restarted.before.held_for < GUARD_S


def test_released_lease_names_its_predecessor():
    """The holder stops as planned and leaves the lease free. A process that starts
    just then finds a lease of nobody, and would order engines at once that had an
    order a moment ago.
    """
    clock, store, first, second = keepers()
    first.step()
    first.release()
    second.step()
    assert second.epoch() == 2
    assert second.before.vm == A


def test_first_lease_has_no_predecessor():
    _clock, _store, first, _second = keepers()
    first.step()
    assert first.before is None


def predecessor(vm, held_for=0.0):
    """Return a predecessor."""
    return Predecessor(vm, Incarnation(f"i-{vm}"), held_for)


OLD_PROCESS_S, NEW_PROCESS_S = 10.0, 1.0
"""Seconds since the start of the process that takes the lease."""


@pytest.mark.parametrize(
    ("process_age_s", "previous", "ended", "released", "upstream", "wait_s"),
    [
        (OLD_PROCESS_S, None, False, False, E1, 0.0),
        (OLD_PROCESS_S, predecessor(B), False, False, E1, GUARD_S - 1.0),
        (OLD_PROCESS_S, predecessor(B), False, False, E2, 0.0),
        (OLD_PROCESS_S, predecessor(A), False, False, E2, GUARD_S),
        (OLD_PROCESS_S, predecessor(A), True, False, E1, GUARD_S - 1.0),
        (OLD_PROCESS_S, predecessor(A), True, False, E2, 0.0),
        (OLD_PROCESS_S, predecessor(A), False, True, E1, GUARD_S - 0.5),
        (OLD_PROCESS_S, predecessor(A), False, True, E2, 0.0),
        (NEW_PROCESS_S, None, False, False, E2, 0.0),
        (NEW_PROCESS_S, predecessor(A), False, True, E2, GUARD_S - NEW_PROCESS_S),
        (NEW_PROCESS_S, predecessor(A), True, False, E2, GUARD_S - NEW_PROCESS_S),
        (NEW_PROCESS_S, predecessor(B), False, False, E2, GUARD_S - NEW_PROCESS_S),
        (NEW_PROCESS_S, predecessor(B, held_for=GUARD_S), False, False, E2, 0.0),
    ],
)
def test_orders_allowed_at(process_age_s, previous, ended, released, upstream, wait_s):
    """Engine e1 was ordered a second ago by VM a, e2 by nobody of whom this process was
    told. Orders of two holders that come close together could undo each other; and a
    process that has just started was told of no order before its start.
    """
    clock = Clock()
    history = OrderHistory(B, GUARD_S, clock)
    clock.now += process_age_s - 1.0
    history.record_orders(A, E1, 4)
    clock.now += 1.0
    history.record_orders(A, E1, 4)
    if released:
        history.record_release(A, {E1: 0.5})
    allowed_at = history.orders_allowed_at(upstream, clock.now, previous, ended)
    assert max(0.0, allowed_at - clock.now) == pytest.approx(wait_s)
