"""Real entries of which one after the other gets most new connections."""

import pytest
from soak.flood import FloodSize, play, too_few_served

STREAMS = FloodSize()
PLAIN_AND_KILL = FloodSize(threads=24, interval_s=0.1, plain=0.5, kill=True)

SMALL = FloodSize(
    threads=1024,
    cores=(0.2,),
    memory_mb=200,
    calm_rate=30,
    flood_rate=90,
    plain=0.3,
)


@pytest.mark.parametrize(
    ("seed", "size"), [(1, STREAMS), (2, PLAIN_AND_KILL), (3, SMALL)]
)
def test_requests_that_a_flooded_entry_reads_are_served(seed, size, tmp_path):
    """Guards against an entry that reads more requests than it can serve."""
    assert too_few_served(play(size, seed, tmp_path)) == []
