"""The other half of the seeds of past failures, run on a separate test worker."""

import pytest
from soak.run import Size, soak
from soak.seeds import ODD_SEEDS


@pytest.mark.parametrize("seed", ODD_SEEDS)
def test_promises_hold_under_faults_of_kept_seeds(seed, tmp_path):
    """Guards against the failures that ``seeds.toml`` describes."""
    assert soak(seed, Size(), tmp_path).failures == []
