"""A short randomized soak of real entries, and half of the seeds that ever failed."""

import pytest
from soak.run import Size, soak
from soak.seeds import EVEN_SEEDS

SHORT = Size(seconds=6.0)
SHORT_SEED = 100


@pytest.mark.parametrize(
    ("seed", "size"), [(SHORT_SEED, SHORT), *((seed, Size()) for seed in EVEN_SEEDS)]
)
def test_promises_hold_under_faults(seed, size, tmp_path):
    """Entries are stopped, killed, paused and cut off in series while callers go on,
    upstreams crash and leave, the store fails and configurations change. A caller sees
    a booking that ran twice, an answer that is another's, or a service that stays down.
    """
    assert soak(seed, size, tmp_path).failures == []
