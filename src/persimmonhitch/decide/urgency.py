"""Weight of a request's demand for its model, by how long its caller can wait.

Load pattern: engines are lost and traffic doubles, until prompts queue at all engines.
At that time a burst of unhurried requests asks for many rare models. Copies of busy
models, whose callers are late or leave, then give way to models of callers that can
wait eight times as long.

A second of waiting costs a caller the more, the shorter the time that it can wait. The
demand of a rank is therefore weighted by the latency target of the most urgent rank of
the service over its own. Weights are at least ``MIN_WEIGHT``, so that the copies that
are planned for unhurried callers alone still serve all of them, with a queue.

Weights apply only while prompts queue for ``BACKLOG_SHARE`` of the time that the most
urgent callers can wait. With less load, urgent callers gain nothing from the copies
that unhurried ones lose.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from ..fleet.config import Route
from ..ids import Service
from .residency import COPY_CAPACITY

MIN_WEIGHT: Final = COPY_CAPACITY
"""Lowest weight: demand of this weight that fills a copy by plan takes the whole time
of its engine."""
BACKLOG_SHARE: Final = 0.25
"""Share of the latency target of the most urgent rank from which the time that engines
need for the prompts that they hold makes urgent callers late: it varies over engines,
and most of the target is for the prompt of the request itself."""
CONTENTION_S: Final = 2.0
"""Seconds for which weights apply at least: the time in which the average of the demand
follows them."""


@dataclass(frozen=True)
class RankWeights:
    """Weights of the demand for the models of one service, by rank."""

    weights: Mapping[int, float]
    urgent_wait_s: float
    """Latency target of the most urgent rank."""

    @classmethod
    def from_routes(cls, routes: Iterable[Route], service: Service) -> "RankWeights":
        """Return the weights for the routes that lead to a service."""
        waits: defaultdict[int, float] = defaultdict(lambda: math.inf)
        for route in routes:
            if any(target.service == service for target in route.targets):
                waits[route.rank] = min(waits[route.rank], route.latency_target)
        urgent_wait_s = waits[min(waits)] if waits else math.inf
        weights, weight = {}, 1.0
        for rank in sorted(waits):
            weight = min(weight, _wait_ratio(urgent_wait_s, waits[rank]))
            weights[rank] = max(MIN_WEIGHT, weight)
        return cls(weights, urgent_wait_s)

    @property
    def differ(self) -> bool:
        """Return whether ranks differ in weight."""
        return any(weight < 1.0 for weight in self.weights.values())

    def weight(self, rank: int) -> float:
        """Return the weight of a rank, or of the next more urgent one of a route.

        Accounts may have ranks that no route has.
        """
        known = [other for other in self.weights if other <= rank]
        return self.weights[max(known)] if known else 1.0

    def makes_late(self, backlog_s: float) -> bool:
        """Return whether a backlog at the engines makes urgent callers late."""
        return backlog_s >= BACKLOG_SHARE * self.urgent_wait_s


def _wait_ratio(urgent_wait_s: float, wait_s: float) -> float:
    """Return the ratio of two waits; 1 if it is unknown."""
    return urgent_wait_s / wait_s if 0 < urgent_wait_s < wait_s else 1.0
