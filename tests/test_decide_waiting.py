"""Waits for models that no upstream serves."""

import pytest

from persimmonhitch.decide.admission import RESERVED_THREADS, connections_refusal
from persimmonhitch.decide.waiting import FIRST_LOAD, LEAST_LEFT, MissingCopies
from persimmonhitch.verdict import ErrorCode, Verdict


@pytest.mark.parametrize(
    ("loads", "absent", "timeout", "back"),
    [
        ([], 0.0, 60.0, None),
        ([], 0.0, 5.0, FIRST_LOAD),
        ([], 18.0, 5.0, None),
        ([], 30.0, 0.5, LEAST_LEFT),
        ([5.0] * 20, 0.0, 6.0, None),
        ([60.0] * 20, 0.0, 30.0, 60.0),
        ([], 100.0, 5.0, FIRST_LOAD),
    ],
)
def test_wait_for_a_missing_model(loads, absent, timeout, back):
    """The last copy of a model dies. A caller with time for its load waits; one
    without hears at once when to come back, instead of at its deadline.
    """
    copies, now = MissingCopies(FIRST_LOAD), 0.0
    for seconds in loads:
        copies.missing("m", now)
        now += seconds
        copies.served("m", now)
    copies.missing("m", now)
    now += absent
    refusal = copies.refusal("m", now, now + timeout)
    if back is None:
        assert refusal is None
        return
    assert (refusal.code, refusal.verdict) == (
        ErrorCode.MODEL_LOADING,
        Verdict.NOT_RUN,
    )
    assert refusal.retry_after == pytest.approx(back, rel=0.05)


@pytest.mark.parametrize(("spare", "refused"), [(1, True), (0, False)])
def test_a_full_entry_still_answers(spare, refused):
    failure = connections_refusal(128 - RESERVED_THREADS + spare, 128)
    assert (failure is not None) is refused
