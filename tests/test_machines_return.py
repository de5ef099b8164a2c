"""Real entries whose upstreams, or all machines, are lost together and come back."""

from concurrent.futures import ThreadPoolExecutor

import pytest
from soak.returns import Lost, ReturnSize, play

SMALL = {"entries": 3, "engines": 4, "ledgers": 4, "rate": 40.0}
ALL = frozenset(Lost)
CASES = {
    "upstreams": (1, ReturnSize(times=2, **SMALL)),
    "upstreams-and-entries": (
        2,
        ReturnSize(ALL - {Lost.STORE}, times=2, **SMALL),
    ),
    "upstreams-entries-and-store": (3, ReturnSize(ALL, **SMALL)),
}
"""Seed and size of each play."""


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory):
    """Return the outcome of each play; all are played at the same time."""
    folder = tmp_path_factory.mktemp("returns")
    with ThreadPoolExecutor(len(CASES)) as pool:
        futures = {
            name: pool.submit(play, size, seed, folder / name)
            for name, (seed, size) in CASES.items()
        }
    return {name: future.result() for name, future in futures.items()}


@pytest.mark.parametrize("name", CASES)
def test_lost_machines_serve_again_after_their_return(outcomes, name):
    """Guards against popular requests that no entry serves after a loss of power."""
    assert outcomes[name].failures() == []
