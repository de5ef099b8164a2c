"""A short randomized soak of real entries, and half of the seeds of past failures."""

import pytest
from soak.run import Size, soak
from soak.seeds import EVEN_SEEDS

SHORT = Size(seconds=6.0)
SHORT_SEED = 100
WITH_PART = Size(seconds=6.0, poison_parts=1)
PART_SEED = 101


@pytest.mark.parametrize(
    ("seed", "size"),
    [
        (SHORT_SEED, SHORT),
        (PART_SEED, WITH_PART),
        *((seed, Size()) for seed in EVEN_SEEDS),
    ],
)
def test_promises_hold_under_faults(seed, size, tmp_path):
    """Guards against bookings that run twice, answers of other requests and services
    that stay down, while entries stop, crash, pause and lose connections, upstreams
    crash and drain, the store fails and configurations change.
    """
    assert soak(seed, size, tmp_path).failures == []
