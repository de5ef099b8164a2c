"""Time for which requested models are missing."""

import pytest

from persimmonhitch.decide.missing import DEMAND_TTL_S, UNSERVED_TTL_S, MissingModels
from persimmonhitch.ids import Model

RARE = Model("rare")


@pytest.mark.parametrize(
    ("updates", "missing_for"),
    [
        ([(0.0, 0.0, False), (9.0, 0.0, False)], 9.0),
        ([(0.0, 0.0, False), (5.0, 5.0, True)], None),
        ([(0.0, 0.0, False), (5.0, 5.0, True), (8.0, 7.0, False)], 0.0),
        ([(0.0, 0.0, False), (DEMAND_TTL_S + 1, 0.0, False)], None),
        ([(0.0, 0.0, False), (DEMAND_TTL_S + 1, 20.0, False)], DEMAND_TTL_S + 1),
    ],
)
def test_model_is_missing_from_first_request_until_resident(updates, missing_for):
    """Guards against a duration that restarts between two requests."""
    missing = MissingModels()
    for now, requested_at, is_resident in updates:
        missing.update({RARE: requested_at}, [RARE] if is_resident else [], now)
    assert missing.missing_durations(updates[-1][0]).get(RARE) == missing_for


@pytest.mark.parametrize(
    ("missing_s", "resident_s", "is_used", "expected"),
    [
        (9.0, 0.0, False, True),
        (9.0, UNSERVED_TTL_S - 0.1, False, True),
        (9.0, UNSERVED_TTL_S, False, False),
        (9.0, 1.0, True, False),
        (2.0, 1.0, False, False),
    ],
)
def test_model_is_kept_until_a_refused_caller_has_returned(
    missing_s, resident_s, is_used, expected
):
    """Guards against the eviction of a model that no caller has found loaded yet."""
    missing, requests = MissingModels(), {RARE: 0.0}
    missing.update(requests, [], 0.0)
    missing.update(requests, [RARE], missing_s)
    in_use = [RARE] if is_used else []
    missing.update(requests, [RARE], missing_s + resident_s, in_use)
    assert missing.unserved() == ({RARE} if expected else frozenset())
