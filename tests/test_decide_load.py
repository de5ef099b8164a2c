"""Admission, concurrency, retries and warm-up under their load patterns."""

import pytest
from returns.result import Failure as Err
from returns.result import Success

from persimmonhitch.decide.admission import LoadView, admit
from persimmonhitch.decide.concurrency import ConcurrencyLimit
from persimmonhitch.decide.retries import RetryBudget, may_retry
from persimmonhitch.decide.warmup import warmup_share
from persimmonhitch.verdict import ErrorCode, Failure, Verdict
from persimmonhitch.wire.messages import Priority


@pytest.mark.parametrize(
    ("view", "remaining_s", "service_s", "expected"),
    [
        (LoadView(0, 0), 1.0, 0.0, 0.0),
        (LoadView(0, 1000, running=3, limit=8), 1.0, 0.0, 0.0),
        (LoadView(5000, 1000), 10.0, 2.0, 5.0),
        (LoadView(9000, 1000), 8.0, 0.0, 9.0),
        (LoadView(20000, 1000), 10.0, 2.0, (ErrorCode.OVERLOADED, 8.0)),
        (LoadView(0, 1000), 1.0, 2.0, (ErrorCode.DEADLINE, None)),
        (LoadView(40000, 1000), 300.0, 0.0, (ErrorCode.OVERLOADED, 10.1)),
    ],
)
def test_admission(view, remaining_s, service_s, expected):
    """Under overload a request that can't finish in time is refused at once."""
    result = admit(view, 100.0, remaining_s, Priority.INTERACTIVE, service_s)
    if isinstance(result, Success):
        assert result.unwrap().wait_s == pytest.approx(expected)
        return
    assert isinstance(result, Err)
    exc = result.failure()
    assert (exc.code, exc.retry_after) == expected
    assert exc.verdict is Verdict.NOT_RUN


def test_batch_may_wait_longer_than_interactive_work():
    view = LoadView(100_000, 1000)
    assert isinstance(admit(view, 100.0, 3600.0, Priority.BATCH), Success)
    assert isinstance(admit(view, 100.0, 3600.0, Priority.INTERACTIVE), Err)


def adapt(limit, gap_of, start=0, seconds=60, demand=200):
    """Adapt the limit to an upstream whose token gap depends on its concurrency."""
    for tick in range(start * 20, (start + seconds) * 20):
        running = min(limit.limit, demand)
        limit.on_start(running)
        for _ in range(8):
            limit.on_gap(tick / 20, gap_of(running))
    return limit.limit


@pytest.mark.parametrize(
    ("per_request", "demand", "low", "high"),
    [(0.001, 200, 40, 48), (0.004, 200, 8, 13), (0.001, 10, 16, 32)],
)
def test_limit_settles_at_the_latency_target(per_request, demand, low, high):
    """More callers send requests than an engine can stream to at 54 ms per token."""
    limit = ConcurrencyLimit()
    assert low <= adapt(limit, lambda n: 0.01 + per_request * n, demand=demand) <= high


def test_limit_follows_the_speed_of_the_engine():
    limit = ConcurrencyLimit()
    fast_limit = adapt(limit, lambda n: 0.01 + 0.001 * n)
    slow_limit = adapt(limit, lambda n: 0.01 + 0.003 * n, start=60)
    assert slow_limit <= 15 < fast_limit
    assert adapt(limit, lambda n: 0.01 + 0.001 * n, start=120, seconds=90) >= 38


def test_limit_decreases_once_for_streams_already_running():
    """Long streams are slow for many windows while no request starts or ends.

    A limit that decreased in each window fell to one, and for half a minute callers
    waited for seconds in front of an engine with spare capacity (simulation, pattern
    burst).
    """
    limit = ConcurrencyLimit()
    limit.on_start(16)
    for tick in range(400):
        limit.on_gap(tick / 20, 0.06)
    assert limit.limit == 14


def test_limit_decreases_immediately_on_an_error():
    limit = ConcurrencyLimit()
    limit.on_start(16)
    limit.on_error(0.0)
    assert limit.limit == 11


def test_retries_are_limited_to_a_share_of_requests():
    """If every failed request were retried, the fleet would get twice the load."""
    budget = RetryBudget()
    retried = 0
    for number in range(1000):
        budget.on_request(number / 100)
        retried += budget.try_spend(number / 100)
    assert 100 <= retried <= 130


def test_entry_with_few_requests_may_retry():
    budget = RetryBudget()
    assert all(budget.try_spend(float(second)) for second in range(60))


@pytest.mark.parametrize(
    ("age", "share"), [(-1, 0.2), (0, 0.2), (5, 0.6), (10, 1.0), (99, 1.0)]
)
def test_new_copy_ramps_up_traffic(age, share):
    assert warmup_share(age) == pytest.approx(share)


@pytest.mark.parametrize(
    ("code", "verdict", "repeatable", "expected"),
    [
        (ErrorCode.MODEL_LOADING, Verdict.NOT_RUN, False, True),
        (ErrorCode.SHUTTING_DOWN, Verdict.NOT_RUN, False, True),
        (ErrorCode.DEADLINE, Verdict.NOT_RUN, True, False),
        (ErrorCode.DUPLICATE, Verdict.NOT_RUN, True, False),
        (ErrorCode.UPSTREAM_LOST, Verdict.MAY_HAVE_RUN, True, True),
        (ErrorCode.UPSTREAM_LOST, Verdict.MAY_HAVE_RUN, False, False),
        (ErrorCode.UPSTREAM_ERROR, Verdict.RAN, True, False),
    ],
)
def test_may_retry(code, verdict, repeatable, expected):
    """A request that did not run, or is repeatable, is retried at another upstream.

    It fails because its copy was unloaded meanwhile or its upstream was lost.
    """
    assert may_retry(Failure(code, "", verdict), repeatable) is expected
