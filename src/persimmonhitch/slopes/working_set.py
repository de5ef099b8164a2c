"""Links in use by an entry at full size, against the idle timeout of a link.

A computation with fixed seeds, not a measurement of this machine: requests come
at an entry's part of the peak, models are asked for by a Zipf law, each request
goes to a copy in the own availability zone, or where there is none to one in the
region, and holds the link to that upstream while it streams.
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
"""Tokens of a request times the longest gap between two."""
MODELS: Final = 590
UPSTREAMS: Final = 1100
"""Of one region."""
PLACES: Final = 3
"""Models on each upstream."""
ZONES: Final = 4
"""Availability zones of a region: 18 in 5 regions."""
LENGTH: Final = 3600.0
SEED: Final = 6


def run(sizes: Sequence[int]) -> Iterator[Reading]:
    """Compute the links in use for an idle timeout of ``size`` seconds."""
    for size in sizes:
        links, opened = _play(float(size))
        yield Reading(size, (("links in use", links), ("opened /s", opened)))


def _placed(rng: random.Random) -> list[list[int]]:
    """Return for each model the upstreams that an entry in zone 0 would use."""
    copies = [number % MODELS for number in range(UPSTREAMS * PLACES)]
    rng.shuffle(copies)
    places: list[list[int]] = [[] for _ in range(MODELS)]
    for index, model in enumerate(copies):
        places[model].append(index // PLACES)
    near = [[up for up in ups if up % ZONES == 0] for ups in places]
    return [own or ups for own, ups in zip(near, places, strict=True)]


def _play(idle: float) -> tuple[float, float]:
    rng = random.Random(SEED)
    places = _placed(rng)
    weights = [1 / rank for rank in range(1, MODELS + 1)]
    until: dict[int, float] = {}
    ends: list[tuple[float, int]] = []
    now, held, opened = 0.0, 0.0, 0
    while now < LENGTH:
        step = rng.expovariate(REQUEST_RATE)
        now += step
        while ends and ends[0][0] <= now:
            _, link = heapq.heappop(ends)
            if until.get(link, now) <= now:
                until.pop(link, None)
        held += step * len(until)
        link = rng.choice(places[rng.choices(range(MODELS), weights)[0]])
        opened += link not in until
        until[link] = now + STREAM_SECONDS + idle
        heapq.heappush(ends, (until[link], link))
    return held / now, opened / now


SLOPES.register("working-set")(Slope("idle seconds", (1, 5, 15, 30, 60), run))
