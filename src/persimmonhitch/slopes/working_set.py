"""Links that an entry has in use at full size, against the time one is kept idle.

A computation with fixed seeds, not a measurement of this machine: requests come
at an entry's part of the peak, models are asked for by a Zipf law, each request
goes to one of the model's copies in reach and holds the link while it streams.
The figures say how many links and openings a second an entry would need if it
opened links on demand and closed idle ones.
"""

import heapq
import random
from collections.abc import Iterator, Sequence
from typing import Final

from .base import SLOPES, Reading, Slope

REQUEST_RATE: Final = 2100 / 360
STREAM_SECONDS: Final = 910_000 / 2100 * 0.054
"""Tokens a request at the longest time between two."""
MODELS: Final = 590
COPIES: Final = 6
"""Copies of a model in a region: 1,100 upstreams with three models each."""
LENGTH: Final = 3600.0
SEED: Final = 6


def run(sizes: Sequence[int]) -> Iterator[Reading]:
    """Compute links in use for so many seconds of idle time."""
    for size in sizes:
        links, opened = _play(float(size))
        yield Reading(size, (("links in use", links), ("opened /s", opened)))


def _play(idle: float) -> tuple[float, float]:
    rng = random.Random(SEED)
    weights = [1 / rank for rank in range(1, MODELS + 1)]
    until: dict[tuple[int, int], float] = {}
    ends: list[tuple[float, tuple[int, int]]] = []
    now, held, opened = 0.0, 0.0, 0
    while now < LENGTH:
        step = rng.expovariate(REQUEST_RATE)
        now += step
        while ends and ends[0][0] <= now:
            _, link = heapq.heappop(ends)
            if until.get(link, now) <= now:
                until.pop(link, None)
        held += step * len(until)
        model = rng.choices(range(MODELS), weights)[0]
        link = (model, rng.randrange(COPIES))
        opened += link not in until
        until[link] = now + STREAM_SECONDS + idle
        heapq.heappush(ends, (until[link], link))
    return held / now, opened / now


SLOPES.register("working-set")(Slope("idle seconds", (1, 5, 15, 30, 60), run))
