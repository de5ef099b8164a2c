"""Time for which requested models are missing."""

import pytest

from persimmonhitch.decide.missing import DEMAND_TTL_S, MissingModels
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
