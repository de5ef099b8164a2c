"""One round of the planner: from the fleet's state to the moves that may start."""

from dataclasses import dataclass, field

from ..catalog.model import Catalog
from ..decide.copy_count import CopyCounts
from ..decide.pacing import LoadPacer, LoadTarget, RetryBackoff
from ..decide.placement import Move, Reason, make_plan
from ..decide.targets import CopyPhase, ModelRequirement, PlacementTarget
from ..ids import Model
from ..observe.logs import log


@dataclass
class Rounds:
    """Keeps what the decisions need from one round to the next.

    Parameters
    ----------
    speed : float
        Tokens a second that one upstream gives.
    pacer : LoadPacer
        The weight store's pace.
    """

    speed: float
    pacer: LoadPacer
    retry: RetryBackoff = field(default_factory=RetryBackoff)

    def __post_init__(self) -> None:
        self.counts = CopyCounts(self.speed)
        self._stuck: set[tuple[Model, Reason]] = set()

    def needs(
        self, catalog: Catalog, asked: dict[Model, float], now: float
    ) -> dict[Model, ModelRequirement]:
        """Return every model of the catalog with its demand and copies wanted."""
        entries = catalog.models
        bases = {m: e.base for m, e in entries.items() if e.base is not None}
        demand = self.counts.smooth({m: asked.get(m, 0.0) for m in entries}, now)
        wanted = self.counts.update(demand, bases, now)
        return {
            model: ModelRequirement(
                model=model,
                memory=entry.memory + entry.kv_memory,
                revision=entry.revision,
                base=entry.base,
                demand=demand[model],
                wanted=wanted[model].wanted,
                floor=wanted[model].floor,
            )
            for model, entry in entries.items()
        }

    def moves(
        self,
        needs: dict[Model, ModelRequirement],
        sites: list[PlacementTarget],
        ordered: set[LoadTarget],
        now: float,
    ) -> list[Move]:
        """Return the moves to order now; places with an open order are left out."""
        planned = make_plan(needs, sites, self.speed)
        self._tell_stuck(planned.unplaced)
        blocked = self.retry.blocked_targets(now) | ordered
        chosen = [
            move
            for move in (*planned.moves, *_unfinished(needs, sites))
            if (move.model, move.upstream) not in blocked
        ]
        adapters = frozenset(m for m, need in needs.items() if need.base is not None)
        models, lora = _under_way(sites, adapters)
        return list(self.pacer.admit(chosen, adapters, models, lora, now))

    def _tell_stuck(self, stuck: tuple[tuple[Model, Reason], ...]) -> None:
        for model, reason in set(stuck) - self._stuck:
            log("model_without_room", model=model, reason=reason.value)
        self._stuck = set(stuck)


def _unfinished(
    needs: dict[Model, ModelRequirement], sites: list[PlacementTarget]
) -> list[Move]:
    """Return loads that a sidecar has reserved for; they may have been lost."""
    return [
        Move(True, model, site.upstream, placed.revision, Reason.UNREACHABLE)
        for site in sites
        if site.accepting
        for model, placed in site.copies.items()
        if placed.phase is CopyPhase.LOADING and model in needs
    ]


def _under_way(
    sites: list[PlacementTarget], adapters: frozenset[Model]
) -> tuple[int, int]:
    loading = [
        model
        for site in sites
        for model, placed in site.copies.items()
        if placed.phase is CopyPhase.LOADING
    ]
    lora = sum(model in adapters for model in loading)
    return len(loading) - lora, lora
