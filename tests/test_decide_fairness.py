"""What accounts get from one upstream's queue when one of them asks for more."""

import pytest

from persimmonhitch.decide.fairness import FairQueue, QueuedRequest
from persimmonhitch.wire.messages import Priority

BATCH = Priority.BATCH


def waiting(name, account="a", cost=100.0, at=0.0, time=60.0, weight=1.0, **more):
    priority = more.pop("priority", Priority.INTERACTIVE)
    return QueuedRequest(name, account, weight, priority, cost, at + time, at, **more)


def fill(queue, *items):
    for item in items:
        queue.push(item)
    return queue


def served(queue, tokens, now=0.0):
    """Return tokens served to each account out of the next ``tokens``."""
    got = {}
    while sum(got.values()) < tokens:
        item = queue.pop(now)
        got[item.account] = got.get(item.account, 0.0) + item.cost
    return got


@pytest.mark.parametrize(
    ("costs", "weights", "expected"),
    [
        ({"a": 100, "b": 100}, {}, {"a": 5000, "b": 5000}),
        ({"a": 1000, "b": 100}, {}, {"a": 5000, "b": 5000}),
        ({"a": 100, "b": 100}, {"a": 3.0}, {"a": 7500, "b": 2500}),
    ],
)
def test_service_follows_weights(costs, weights, expected):
    queue = FairQueue()
    for number in range(200):
        for account, cost in costs.items():
            weight = weights.get(account, 1.0)
            queue.push(waiting(f"{account}{number}", account, cost, weight=weight))
    got = served(queue, 10_000)
    assert got == pytest.approx(expected, rel=0.05)


def test_flood_stands_behind_itself_only():
    """One account has queued 500 requests when another sends its first.

    With one line for all, the other account would see a wait of 500 requests.
    """
    queue = fill(FairQueue(), *(waiting(f"a{n}") for n in range(500)))
    served(queue, 1000)
    assert queue.backlog("b", 1.0) <= 100.0
    queue.push(waiting("b0", "b"))
    assert "b" in {queue.pop(0.0).account for _ in range(2)}


def test_return_from_idleness_hoards_nothing():
    """An account was idle for long and comes back with a backlog.

    If its counter had stayed low, the others would wait until it caught up.
    """
    queue = fill(
        FairQueue(), waiting("b0", "b"), *(waiting(f"a{n}") for n in range(99))
    )
    served(queue, 5000)
    for number in range(1, 50):
        queue.push(waiting(f"b{number}", "b"))
    assert served(queue, 2000) == pytest.approx({"a": 1000, "b": 1000}, abs=100)


def test_correction_gives_back_what_was_not_used():
    queue = FairQueue()
    for number in range(20):
        fill(queue, waiting(f"a{number}", "a"), waiting(f"b{number}", "b"))
    queue.pop(0.0)
    queue.charge("a", -400.0)
    assert [queue.pop(0.0).account for _ in range(5)] == ["a"] * 4 + ["b"]


def test_batch_waits_for_spare_time_but_not_for_ever():
    """Interactive work never ends while an overnight run waits.

    The run would not start at all; its operator finds no summaries in the morning.
    """
    queue = fill(FairQueue(), waiting("late", "night", time=80.0, priority=BATCH))
    order = []
    for now in range(80):
        queue.push(waiting(f"a{now}", at=now))
        order.append(queue.pop(now).request)
    assert 55 <= order.index("late") <= 62


def test_batch_runs_when_nothing_else_waits():
    queue = fill(FairQueue(), waiting("b", priority=BATCH), waiting("i"))
    assert [queue.pop(0.0).request for _ in range(2)] == ["i", "b"]


def test_what_can_no_longer_finish_leaves_at_once():
    """A request's time runs out while it waits; its caller hears so at once."""
    queue = fill(FairQueue(), waiting("a", time=5.0, service_s=2.0), waiting("b"))
    assert [item.request for item in queue.expire(3.0)] == ["a"]
    assert (len(queue), queue.tokens) == (1, 100.0)


def test_overflow_is_taken_from_the_account_that_caused_it():
    """One account fills the queue to its bound, then another sends one request.

    The other account would be refused for a flood that it did not cause.
    """
    queue = fill(FairQueue(), *(waiting(f"a{n}") for n in range(10)))
    queue.push(waiting("b0", "b"))
    assert [item.request for item in queue.overflow(1000.0)] == ["a9"]
    assert queue.remove("b0") is not None
    assert queue.remove("b0") is None


def test_own_late_requests_go_after_those_that_can_be_in_time():
    queue = fill(FairQueue(), waiting("late"), waiting("fresh", at=4.9))
    assert [queue.pop(5.0).request for _ in range(2)] == ["fresh", "late"]
