"""Token shares of accounts in the queue of one upstream when one account floods it."""

import pytest

from persimmonhitch.decide.fairness import FairQueue, QueuedRequest
from persimmonhitch.wire.messages import Priority

BATCH = Priority.BATCH


def queued(name, account="a", cost=100.0, at=0.0, left=60.0, weight=1.0, **kwds):
    priority = kwds.pop("priority", Priority.INTERACTIVE)
    return QueuedRequest(name, account, weight, priority, cost, at + left, at, **kwds)


def fill(queue, *items):
    for item in items:
        queue.push(item)
    return queue


def serve_tokens(queue, tokens, now=0.0):
    """Return how many of the next ``tokens`` served go to each account."""
    by_account = {}
    while sum(by_account.values()) < tokens:
        item = queue.pop(now)
        by_account[item.account] = by_account.get(item.account, 0.0) + item.cost
    return by_account


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
            queue.push(queued(f"{account}{number}", account, cost, weight=weight))
    by_account = serve_tokens(queue, 10_000)
    assert by_account == pytest.approx(expected, rel=0.05)


def test_flood_delays_only_its_own_account():
    """One account has 500 queued requests when another sends its first.

    In a single first-come, first-served queue the other account would wait for all 500.
    """
    queue = fill(FairQueue(), *(queued(f"a{n}") for n in range(500)))
    serve_tokens(queue, 1000)
    assert queue.backlog("b", 1.0) <= 100.0
    queue.push(queued("b0", "b"))
    assert "b" in {queue.pop(0.0).account for _ in range(2)}


def test_idle_account_accrues_no_credit():
    """An account returns from a long idle period with many requests.

    If its counter had stayed low, the others would wait until it caught up.
    """
    queue = fill(FairQueue(), queued("b0", "b"), *(queued(f"a{n}") for n in range(99)))
    serve_tokens(queue, 5000)
    for number in range(1, 50):
        queue.push(queued(f"b{number}", "b"))
    assert serve_tokens(queue, 2000) == pytest.approx({"a": 1000, "b": 1000}, abs=100)


def test_charge_refunds_unused_tokens():
    queue = FairQueue()
    for number in range(20):
        fill(queue, queued(f"a{number}", "a"), queued(f"b{number}", "b"))
    queue.pop(0.0)
    queue.charge("a", -400.0)
    assert [queue.pop(0.0).account for _ in range(5)] == ["a"] * 4 + ["b"]


def test_batch_waits_for_idle_time_but_does_not_starve():
    """Interactive requests arrive without pause while an overnight run waits.

    Without promotion the run would never start, and its summaries would be missing in
    the morning.
    """
    queue = fill(FairQueue(), queued("late", "night", left=80.0, priority=BATCH))
    order = []
    for now in range(80):
        queue.push(queued(f"a{now}", at=now))
        order.append(queue.pop(now).request)
    assert 55 <= order.index("late") <= 62


def test_batch_runs_when_nothing_else_waits():
    queue = fill(FairQueue(), queued("b", priority=BATCH), queued("i"))
    assert [queue.pop(0.0).request for _ in range(2)] == ["i", "b"]


def test_expire_removes_requests_that_cannot_finish():
    """A queued request that can no longer finish is removed and refused at once."""
    queue = fill(FairQueue(), queued("a", left=5.0, service_s=2.0), queued("b"))
    assert [item.request for item in queue.expire(3.0)] == ["a"]
    assert (len(queue), queue.tokens) == (1, 100.0)


def test_overflow_removes_requests_of_the_account_that_caused_it():
    """One account fills the queue to its bound, then another sends one request.

    A plain bound would refuse the other account for a flood it did not cause.
    """
    queue = fill(FairQueue(), *(queued(f"a{n}") for n in range(10)))
    queue.push(queued("b0", "b"))
    assert [item.request for item in queue.remove_excess(1000.0)] == ["a9"]
    assert queue.remove("b0") is not None
    assert queue.remove("b0") is None


def test_late_requests_of_an_account_run_after_timely_ones():
    queue = fill(FairQueue(), queued("late"), queued("fresh", at=4.9))
    assert [queue.pop(5.0).request for _ in range(2)] == ["fresh", "late"]
