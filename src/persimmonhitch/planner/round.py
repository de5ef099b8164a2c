"""One planning round: turns the state of the fleet into moves that may start now."""

from dataclasses import dataclass, field

from ..catalog.model import Catalog
from ..decide.copy_count import CopyCounts
from ..decide.pacing import LoadPacer, LoadTarget, RetryBackoff
from ..decide.placement import Move, Reason, make_plan
from ..decide.targets import CopyPhase, ModelRequirement, PlacementTarget
from ..ids import Model
from ..observe.logs import log


@dataclass
class RoundPlanner:
    """Plans moves and retains the state that later rounds need.

    Parameters
    ----------
    upstream_tokens : float
        Tokens per second that one upstream generates.
    pacer : LoadPacer
        Limits the concurrent loads from the weight store.
    """

    upstream_tokens: float
    pacer: LoadPacer
    backoff: RetryBackoff = field(default_factory=RetryBackoff)

    def __post_init__(self) -> None:
        self.counts = CopyCounts(self.upstream_tokens)
        self._unplaced: set[tuple[Model, Reason]] = set()

    def needs(
        self, catalog: Catalog, reported: dict[Model, float], now: float
    ) -> dict[Model, ModelRequirement]:
        """Return the demand and the number of copies for each model of the catalog."""
        entries = catalog.models
        bases = {m: e.base for m, e in entries.items() if e.base is not None}
        demand = self.counts.smooth({m: reported.get(m, 0.0) for m in entries}, now)
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
        targets: list[PlacementTarget],
        pending: set[LoadTarget],
        now: float,
    ) -> list[Move]:
        """Return the moves to order now, except where an order is pending."""
        planned = make_plan(needs, targets, self.upstream_tokens)
        self._log_unplaced(planned.unplaced)
        blocked = self.backoff.blocked_targets(now) | pending
        chosen = [
            move
            for move in (*planned.moves, *_repeated_loads(needs, targets))
            if (move.model, move.upstream) not in blocked
        ]
        adapters = frozenset(m for m, need in needs.items() if need.base is not None)
        model_loads, adapter_loads = _count_loads(targets, adapters)
        return list(self.pacer.admit(chosen, adapters, model_loads, adapter_loads, now))

    def _log_unplaced(self, unplaced: tuple[tuple[Model, Reason], ...]) -> None:
        for model, reason in set(unplaced) - self._unplaced:
            log("model_without_room", model=model, reason=reason.value)
        self._unplaced = set(unplaced)


def _repeated_loads(
    needs: dict[Model, ModelRequirement], targets: list[PlacementTarget]
) -> list[Move]:
    """Return the loads in progress, to be ordered again in case an order was lost."""
    return [
        Move(True, model, target.upstream, placed.revision, Reason.UNREACHABLE)
        for target in targets
        if target.accepting
        for model, placed in target.copies.items()
        if placed.phase is CopyPhase.LOADING and model in needs
    ]


def _count_loads(
    targets: list[PlacementTarget], adapters: frozenset[Model]
) -> tuple[int, int]:
    loading = [
        model
        for target in targets
        for model, placed in target.copies.items()
        if placed.phase is CopyPhase.LOADING
    ]
    adapter_loads = sum(model in adapters for model in loading)
    return len(loading) - adapter_loads, adapter_loads
