"""Demand for the models of one service, by its value and by the engine time it takes.

Load pattern: models with smaller weights read prompts up to eight times as fast as
others on the same engines, and each model is busy at times. With one rate for all
models, that of the fastest, a busy slow model keeps a single copy: its callers are
refused since all upstreams that can run it are full, while other engines idle. A busy
fast model gets several times the copies that it needs.

Two measures are needed. The load of a model is its tokens over its own rate; it tells
how many copies it takes. The value of its demand is its tokens over a rate common to
all models, since a caller who is refused loses the same whatever the cost of the model.
The common rate is the harmonic mean of the rates of all models, for which value and
load of evenly spread requests are equal in sum.

Output tokens count like prompt tokens. Decode steps serve all running requests at once,
so a further token of one stream adds to a step about what a slow model takes to read
one prompt token.

A model that takes little engine time would keep a single copy however many callers it
has, and all of them would be refused for the time of a load when its engine is lost.
Its load therefore counts as at least ``MIN_LOAD_SHARE`` of its value, so that a copy
has a bounded share of the callers.

The rate of a model is unknown until an engine has run some of its requests. Weights of
similar size read at a similar rate, so the mean of the known models with the nearest
size is used until then.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from statistics import harmonic_mean
from typing import Final

from ..fleet.config import ModelSpec
from ..ids import Model, Upstream

MIN_LOAD_SHARE: Final = 0.5
"""Least load of a model as a share of its value: a model whose callers bring two
engines' worth of tokens keeps two copies, however fast it reads them."""


@dataclass(frozen=True)
class ServiceDemand:
    """Demand for each model of a service, in shares of a typical engine."""

    values: Mapping[Model, float]
    """Demand by what its callers lose, at a rate common to all models."""
    loads: Mapping[Model, float] | None = None
    """Demand by the share of a typical engine's time that it takes; None if all models
    read at one rate, so that load and value are equal."""
    read_rates: Mapping[Model, float] = field(default_factory=dict)
    """Tokens per second that a typical engine reads; empty if not known by model."""
    speeds: Mapping[Upstream, float] = field(default_factory=dict)
    """Speed of each engine relative to a typical one; empty if all are alike."""

    def speed(self, upstream: Upstream) -> float:
        """Return the speed of an engine relative to a typical one."""
        return self.speeds.get(upstream, 1.0)

    def load_share(self) -> float:
        """Return the share of the time of all engines that the demand takes."""
        loads, speeds = self.loads or {}, self.speeds
        return sum(loads.values()) / sum(speeds.values()) if speeds else 0.0

    @classmethod
    def from_single_rate(
        cls, token_rates: Mapping[Model, float], read_rate: float
    ) -> "ServiceDemand":
        """Return the demand if all models read at one rate."""
        return cls({model: rate / read_rate for model, rate in token_rates.items()})

    @classmethod
    def from_model_rates(
        cls,
        token_rates: Mapping[Model, float],
        specs: Mapping[Model, ModelSpec],
        known_rates: Mapping[Model, float],
        default_rate: float,
    ) -> "ServiceDemand":
        """Return the demand if models read at rates of their own.

        ``known_rates`` gives the rates of the models known so far, ``default_rate``
        that of all models if none is known.
        """
        rates = _all_rates(specs, known_rates, default_rate)
        common_rate = harmonic_mean(rates.values()) if rates else default_rate
        requested = {m: rate for m, rate in token_rates.items() if m in rates}
        values = {model: rate / common_rate for model, rate in requested.items()}
        loads = {
            model: max(rate / rates[model], values[model] * MIN_LOAD_SHARE)
            for model, rate in requested.items()
        }
        return cls(values, loads, rates)


def _all_rates(
    specs: Mapping[Model, ModelSpec],
    known_rates: Mapping[Model, float],
    default_rate: float,
) -> dict[Model, float]:
    """Return the rate of each model; unknown ones take that of the nearest size."""
    by_size: defaultdict[float, list[float]] = defaultdict(list)
    for model, rate in known_rates.items():
        if model in specs and rate > 0:
            by_size[specs[model].memory_mb].append(rate)
    rates = {size: harmonic_mean(known) for size, known in by_size.items()}
    for size in {spec.memory_mb for spec in specs.values()} - by_size.keys():
        nearest = min(by_size, key=lambda known: abs(known - size), default=None)
        rates[size] = default_rate if nearest is None else rates[nearest]
    return {
        model: rate
        if (rate := known_rates.get(model, 0.0)) > 0
        else rates[spec.memory_mb]
        for model, spec in specs.items()
    }
