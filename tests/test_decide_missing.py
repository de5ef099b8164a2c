"""Since when models are missing that callers ask for."""

import pytest

from persimmonhitch.decide.missing import ASKED_FOR, MissingModels
from persimmonhitch.ids import Model

RARE = Model("rare")


@pytest.mark.parametrize(
    ("looks", "missing_for"),
    [
        ([(0.0, 0.0, False), (9.0, 0.0, False)], 9.0),
        ([(0.0, 0.0, False), (5.0, 5.0, True)], None),
        ([(0.0, 0.0, False), (5.0, 5.0, True), (8.0, 7.0, False)], 0.0),
        ([(0.0, 0.0, False), (ASKED_FOR + 1, 0.0, False)], None),
        ([(0.0, 0.0, False), (ASKED_FOR + 1, 20.0, False)], ASKED_FOR + 1),
    ],
)
def test_a_model_is_missing_from_its_first_call_until_it_is_held(looks, missing_for):
    """Guards against a time missing that starts anew between two calls."""
    missing = MissingModels()
    for now, asked_at, is_held in looks:
        missing.update({RARE: asked_at}, [RARE] if is_held else [], now)
    assert missing.missing_for(looks[-1][0]).get(RARE) == missing_for
