"""The lease of orders changes hands without two holders, and without a long pause."""

import pytest

from persimmonhitch.direct.handover import OrderHistory
from persimmonhitch.ids import Incarnation, Upstream, Vm
from persimmonhitch.planner.lease import LeaseKeeper
from persimmonhitch.standin.store_state import Faults, StoreState

A, B, E1, E2 = Vm("a"), Vm("b"), Upstream("e1"), Upstream("e2")
GUARD = 3.0


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def keepers(duration=1.5):
    clock, store = Clock(), StoreState()
    made = [
        LeaseKeeper(store, "orders", vm, Incarnation(f"i-{vm}"), duration, clock)
        for vm in (A, B)
    ]
    return clock, store, *made


def test_a_holder_that_resigns_is_followed_at_once():
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
    assert second.before == A


def test_a_resigned_epoch_is_not_taken_up_again():
    clock, _store, first, second = keepers()
    first.step()
    epoch = first.resign()
    clock.now += 0.1
    first.step()
    assert first.epoch() == epoch + 1
    second.hear_resigned(A, epoch)
    second.step()
    assert second.epoch() is None


def test_the_holder_s_own_word_counts_from_its_last_renewal():
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


def test_after_an_outage_the_holder_has_its_time_to_renew():
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


def test_a_new_process_on_the_holder_s_vm_takes_over_at_once():
    clock, store, first, _second = keepers()
    first.step()
    again = LeaseKeeper(store, "orders", A, Incarnation("new"), 1.5, clock)
    again.step()
    assert again.epoch() == 2
    assert again.before is None


@pytest.mark.parametrize(
    ("before", "ended", "resigned", "upstream", "wait"),
    [
        (None, False, False, E1, GUARD - 1.0),
        (None, False, False, E2, 0.0),
        (A, False, False, E2, GUARD),
        (A, True, False, E1, GUARD - 1.0),
        (A, True, False, E2, 0.0),
        (A, False, True, E1, GUARD - 0.5),
        (A, False, True, E2, 0.0),
    ],
)
def test_when_an_engine_may_be_ordered(before, ended, resigned, upstream, wait):
    """Engine e1 was ordered a second ago by the last holder, e2 never. Orders of two
    holders that come close together could undo each other.
    """
    clock = Clock()
    history = OrderHistory(GUARD, clock)
    history.hear(A, E1, 4)
    clock.now += 1.0
    history.hear(A, E1, 4)
    if resigned:
        history.hear_resigned(A, {E1: 0.5})
    free = history.free_from(upstream, clock.now, before, ended)
    assert max(0.0, free - clock.now) == pytest.approx(wait)
