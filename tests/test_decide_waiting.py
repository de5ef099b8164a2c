"""Waits for models that no upstream serves."""

import pytest

from persimmonhitch.decide.admission import RESERVED_THREADS, connections_refusal
from persimmonhitch.decide.waiting import (
    INITIAL_LOAD_S,
    MIN_REMAINING_S,
    LoadWaitEstimator,
)
from persimmonhitch.verdict import ErrorCode, Verdict


@pytest.mark.parametrize(
    ("loads", "missing_s", "timeout", "retry_after"),
    [
        ([], 0.0, 60.0, None),
        ([], 0.0, 5.0, INITIAL_LOAD_S),
        ([], 18.0, 5.0, None),
        ([], 30.0, 0.5, MIN_REMAINING_S),
        ([5.0] * 20, 0.0, 6.0, None),
        ([60.0] * 20, 0.0, 30.0, 60.0),
        ([], 100.0, 5.0, INITIAL_LOAD_S),
    ],
)
def test_wait_for_a_missing_model(loads, missing_s, timeout, retry_after):
    """The last copy of a model fails. A request with time for a load waits; one without
    is refused at once with a retry time, instead of at its deadline.
    """
    estimator, now = LoadWaitEstimator(INITIAL_LOAD_S), 0.0
    for seconds in loads:
        estimator.record_missing("m", now)
        now += seconds
        estimator.record_served("m", now)
    estimator.record_missing("m", now)
    now += missing_s
    refusal = estimator.refusal("m", now, now + timeout)
    if retry_after is None:
        assert refusal is None
        return
    assert (refusal.code, refusal.verdict) == (
        ErrorCode.MODEL_LOADING,
        Verdict.NOT_RUN,
    )
    assert refusal.retry_after == pytest.approx(retry_after, rel=0.05)


@pytest.mark.parametrize(("spare", "refused"), [(1, True), (0, False)])
def test_full_entry_still_answers(spare, refused):
    failure = connections_refusal(128 - RESERVED_THREADS + spare, 128)
    assert (failure is not None) is refused
