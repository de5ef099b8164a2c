"""Simulated demand for placement: random variation and tenfold surges."""

import math
import random
from dataclasses import dataclass
from typing import Final

from ..decide.targets import ModelRequirement
from ..ids import Model

SPEED: Final = 400.0
"""Tokens per second of one upstream."""
CAPACITY: Final = 80.0
"""GiB of one accelerator."""
SIZES: Final = (12.0, 14.0, 16.0, 18.0)
ADAPTER_SIZE: Final = 0.5
MEAN_LOAD: Final = 0.35
"""Demand without surges as a share of the capacity of all upstreams."""
FLICKER: Final = 0.4
"""Standard deviation of the logarithm from one period to the next."""
SURGE: Final = 10.0
RAMP_S: Final = 1200.0
PEAK_S: Final = 1200.0


@dataclass(frozen=True)
class Deployment:
    """Size and weight store of a deployment."""

    name: str
    engines: int
    models: int
    adapters: int
    rate: float
    at_once: int
    adapters_at_once: int


CAVALCANTE: Final = Deployment("Cavalcante", 6, 20, 65, 1.5, 10, 90)
KRINGNIEUWS: Final = Deployment("Kringnieuws", 9, 25, 100, 2.5, 3, 25)
DEPLOYMENTS: Final = (CAVALCANTE, KRINGNIEUWS)


@dataclass(frozen=True)
class Profile:
    """Steady demand of one model and the times of its surges."""

    need: ModelRequirement
    steady: float
    surges: tuple[float, ...]

    def at(self, now: float, rng: random.Random) -> float:
        """Return the requested tokens per second around ``now``."""
        surge = max((_surge(now - start) for start in self.surges), default=1.0)
        return self.steady * surge * math.exp(rng.gauss(0.0, FLICKER))


def _surge(since: float) -> float:
    """Return the factor of a surge: up tenfold in RAMP_S, a peak, and down."""
    if since < 0.0 or since > 2 * RAMP_S + PEAK_S:
        return 1.0
    if since < RAMP_S:
        return float(SURGE ** (since / RAMP_S))
    if since < RAMP_S + PEAK_S:
        return SURGE
    return float(SURGE ** ((2 * RAMP_S + PEAK_S - since) / RAMP_S))


def profiles(
    dep: Deployment, seconds: float, surges_an_hour: float, seed: int
) -> list[Profile]:
    """Return all models and adapters of a deployment with their demand.

    A few models take most of the demand, as a few client accounts are large.
    """
    rng = random.Random(seed)
    total = dep.engines * SPEED * MEAN_LOAD
    weights = [1.0 / (rank + 1) for rank in range(dep.models)]
    found = []
    for rank in range(dep.models):
        steady = 0.7 * total * weights[rank] / sum(weights)
        need = ModelRequirement(Model(f"m{rank}"), rng.choice(SIZES), "1", None, 0.0, 1)
        found.append(Profile(need, steady, _starts(rng, seconds, surges_an_hour)))
    for index in range(dep.adapters):
        base = Model(f"m{rng.randrange(dep.models)}")
        name = Model(f"x{index}")
        need = ModelRequirement(name, ADAPTER_SIZE, "1", base, 0.0, 1)
        found.append(Profile(need, 0.3 * total / dep.adapters, ()))
    return found


def _starts(
    rng: random.Random, seconds: float, surges_an_hour: float
) -> tuple[float, ...]:
    mean = 3600.0 / surges_an_hour
    starts = []
    at = rng.expovariate(1.0 / mean)
    while at < seconds:
        starts.append(at)
        at += 2 * RAMP_S + PEAK_S + rng.expovariate(1.0 / mean)
    return tuple(starts)
