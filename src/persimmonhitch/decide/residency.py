"""Which models the engines of a service hold, as demand moves within seconds.

Load pattern: many models share few engines, each engine has room for two or three, a
few models get most calls, and which ones these are changes every few seconds. A model
that nobody holds refuses all of its callers until a load has ended; one whose only copy
is on a full engine makes its callers wait while other engines are idle.

Demand is in tokens a second. The relief that a further copy gives is the demand that it
takes from each copy there is: with n copies, d/n - d/(n+1). What it costs is the same
figure for the copies that make room for it, and the whole demand for a model's last
copy, weighed by ``LAST_COPY`` since all of its callers are refused meanwhile. A move is
made only if the relief is ``GAIN`` times the cost, and above a floor that grows with
the time of the load, so that two models don't take each other's place without end.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from ..fleet.config import ModelSpec
from ..ids import Model, Upstream

LAST_COPY: Final = 3.0
"""Times the demand that the last copy of a model is worth."""
GAIN: Final = 1.5
"""Times by which the relief of a further copy must exceed what it displaces."""
LOAD_FLOOR: Final = 40.0
"""Tokens a second of relief that a second of loading must bring; a fortieth of what one
engine reads, so that loads for a handful of calls don't take its place."""
IDLE_VALUE: Final = 1.0
"""Tokens a second that a last copy is worth without any demand."""


@dataclass(frozen=True)
class EngineView:
    """One engine; memory in MB. ``open`` says whether it can take an order now."""

    upstream: Upstream
    memory: float
    adapters_memory: float
    models: frozenset[Model]
    open: bool
    coming: frozenset[Model] = frozenset()
    leaving: frozenset[Model] = frozenset()
    in_memory: frozenset[Model] = frozenset()
    on_disk: frozenset[Model] = frozenset()


@dataclass(frozen=True)
class Move:
    """One load, and the models that make room for it."""

    model: Model
    upstream: Upstream
    victims: tuple[Model, ...]
    cold: bool
    """Whether the weights come from the weight store, whose rate is limited."""
    seconds: float


@dataclass
class _Board:
    specs: Mapping[Model, ModelSpec]
    demand: Mapping[Model, float]
    engines: list[EngineView]
    copies: dict[Model, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for engine in self.engines:
            for model in (engine.models | engine.coming) - engine.leaving:
                self.copies[model] = self.copies.get(model, 0) + 1

    def relief(self, model: Model) -> float:
        """Return what one more copy of a model is worth."""
        count, demand = self.copies.get(model, 0), self.demand.get(model, 0.0)
        if count == 0:
            return demand * LAST_COPY
        return demand / count - demand / (count + 1)

    def value(self, model: Model) -> float:
        """Return what one copy of a model is worth."""
        count, demand = self.copies.get(model, 0), self.demand.get(model, 0.0)
        if count <= 1:
            return max(IDLE_VALUE, demand * LAST_COPY)
        return demand / (count - 1) - demand / count


def next_move(
    specs: Mapping[Model, ModelSpec],
    demand: Mapping[Model, float],
    engines: Iterable[EngineView],
    cold_allowed: bool,
) -> Move | None:
    """Return the load that helps most now, or None if none is worth its cost."""
    board = _Board(specs, demand, list(engines))
    wanted = sorted(
        (m for m in demand if m in specs and demand[m] > 0),
        key=lambda m: -board.relief(m),
    )
    for model in wanted:
        move = _best(board, model, cold_allowed)
        if move is not None:
            return move
    return None


def _best(board: _Board, model: Model, cold_allowed: bool) -> Move | None:
    best: tuple[float, Move] | None = None
    relief = board.relief(model)
    for engine in board.engines:
        if not engine.open or model in engine.models | engine.coming:
            continue
        move = _move(board, engine, model)
        if move is None or (move.cold and not cold_allowed):
            continue
        displaced = sum(board.value(victim) for victim in move.victims)
        floor = LOAD_FLOOR * move.seconds if board.copies.get(model) else 0.0
        gain = relief - GAIN * displaced - floor
        # The sooner of two equal places: callers wait for its load.
        gain /= 1.0 + move.seconds
        if gain > 0 and (best is None or gain > best[0]):
            best = (gain, move)
    return best[1] if best else None


def _move(board: _Board, engine: EngineView, model: Model) -> Move | None:
    spec = board.specs[model]
    held = engine.models | engine.coming
    free = engine.memory - engine.adapters_memory
    free -= sum(board.specs[m].memory for m in held if m in board.specs)
    victims: list[Model] = []
    candidates = sorted(engine.models - engine.leaving, key=board.value)
    for victim in candidates:
        if free >= spec.memory:
            break
        if victim in board.specs:
            victims.append(victim)
            free += board.specs[victim].memory
    if free < spec.memory:
        return None
    if model in engine.in_memory:
        return Move(model, engine.upstream, tuple(victims), False, spec.load_memory)
    if model in engine.on_disk:
        return Move(model, engine.upstream, tuple(victims), False, spec.load_disk)
    return Move(model, engine.upstream, tuple(victims), True, spec.load_cold)
