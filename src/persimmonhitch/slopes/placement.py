"""Duration of a placement round against the numbers of upstreams and models."""

import time
from collections.abc import Iterator, Sequence
from typing import Final

from ..decide.placement import plan_moves
from ..decide.targets import CopyPhase, ModelRequirement, PlacedCopy, PlacementTarget
from ..ids import Model, Upstream, Zone
from .base import SLOPES, Reading, Slope

ZONES: Final = 18
MODELS: Final = 590
UPSTREAMS: Final = 1100
CAPACITY: Final = 80.0
MEMORY: Final = 20.0
SPEED: Final = 2000.0
PLACES: Final = 3
"""Copies on each upstream; there is room for one more."""


Fleet = tuple[dict[Model, ModelRequirement], list[PlacementTarget]]


def fleet(upstreams: int, models: int, lost: int) -> Fleet:
    """Return needs and targets, of which the last ``empty`` targets are empty."""
    copies = max(1, upstreams * PLACES // models)
    names = [Model(f"model-{number}") for number in range(models)]
    needs = {
        name: ModelRequirement(name, MEMORY, "r1", None, SPEED * copies / 4, copies)
        for name in names
    }
    sites = []
    for number in range(upstreams):
        held = [names[(number * PLACES + i) % models] for i in range(PLACES)]
        kept = [] if number >= upstreams - lost else held
        placed = {name: PlacedCopy(CopyPhase.SERVING, MEMORY, "r1") for name in kept}
        free = CAPACITY - MEMORY * len(placed)
        upstream, zone = Upstream(f"up-{number}"), Zone(f"zone-{number % ZONES}")
        sites.append(
            PlacementTarget(upstream, zone, CAPACITY, free, True, False, placed)
        )
    return needs, sites


def _round(upstreams: int, models: int, lost: int) -> tuple[float, int]:
    needs, sites = fleet(upstreams, models, lost)
    start = time.thread_time()
    moves = plan_moves(needs, sites, SPEED)
    return time.thread_time() - start, len(moves)


def _reading(size: int, upstreams: int, models: int) -> Reading:
    quiet, _ = _round(upstreams, models, 0)
    zone, zone_moves = _round(upstreams, models, upstreams // ZONES)
    empty, empty_moves = _round(upstreams, models, upstreams)
    return Reading(
        size,
        (
            ("quiet ms", quiet * 1000),
            ("zone lost ms", zone * 1000),
            ("moves", zone_moves),
            ("all empty ms", empty * 1000),
            ("moves when empty", empty_moves),
        ),
    )


def run_upstreams(sizes: Sequence[int]) -> Iterator[Reading]:
    """Measure rounds for all models on ``size`` upstreams."""
    for size in sizes:
        yield _reading(size, size, MODELS)


def run_models(sizes: Sequence[int]) -> Iterator[Reading]:
    """Measure rounds for ``size`` models on the upstreams of a region."""
    for size in sizes:
        yield _reading(size, UPSTREAMS, size)


SLOPES.register("placement-upstreams")(
    Slope("upstreams", (10, 100, 1000, 1100, 5500), run_upstreams)
)
SLOPES.register("placement-models")(Slope("models", (10, 100, 590), run_models))
