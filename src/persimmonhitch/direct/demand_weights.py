"""Weights of the demand that this entry reports, while engines have a backlog."""

from collections.abc import Callable

from ..decide.dispatch import DispatchRequest
from ..decide.urgency import CONTENTION_S, RankWeights
from ..fleet.config import FleetConfig
from ..ids import Service
from ..observe.logs import log


class DemandWeights:
    """Weights by service and rank; not thread-safe, callers must hold a lock."""

    def __init__(self) -> None:
        self._ranks: dict[Service, RankWeights] = {}
        self._apply_until: dict[Service, float] = {}
        """When the weights of a service cease to apply, unless the backlog stays."""

    def configure(self, cfg: FleetConfig) -> None:
        """Apply a new configuration."""
        ranks = {
            service.name: RankWeights.from_routes(cfg.routes, service.name)
            for service in cfg.services.values()
            if service.engine is not None
        }
        self._ranks = {
            name: weights for name, weights in ranks.items() if weights.differ
        }

    def update(self, backlog_s: Callable[[Service], float | None], now: float) -> None:
        """Apply the weights of services whose engines have a backlog.

        ``backlog_s`` returns the seconds that the engines of a service need for the
        prompts that they hold; None if its upstreams don't state their load.
        """
        for service, ranks in self._ranks.items():
            backlog = backlog_s(service)
            applied = service in self._apply_until
            if backlog is not None and ranks.makes_late(backlog):
                self._apply_until[service] = now + CONTENTION_S
            elif applied and now >= self._apply_until[service]:
                del self._apply_until[service]
            if applied is not (service in self._apply_until):
                log(
                    "demand_weights",
                    service=service,
                    applied=not applied,
                    backlog=backlog,
                )

    def weigh(self, request: DispatchRequest) -> float:
        """Return the tokens of a request that count as demand for its model."""
        ranks = self._ranks.get(request.service)
        if ranks is None or request.service not in self._apply_until:
            return request.kv_tokens
        return request.kv_tokens * ranks.weight(request.rank)
