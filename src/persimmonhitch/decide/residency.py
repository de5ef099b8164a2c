"""Which models the engines of a service hold, as demand moves within seconds.

Load pattern: many models share few engines, each engine has room for two or three, a
few models get most calls, and which ones these are changes every few seconds. A model
that nobody holds refuses all of its callers until a load has ended; one whose only copy
is on a full engine makes its callers wait while other engines are idle.

Demand is in parts of what one engine reads. A copy serves up to ``COMFORT`` of it;
what more is asked of a model waits. The relief that a further copy gives is the demand
that no longer waits, and what it costs is the demand that does once others have made
room for it. A model's last copy counts for its whole demand, ``LAST_COPY`` times, since
all of its callers are refused without it. Copies beyond what the demand needs are worth
the little by which they spread it, a last copy without demand ``IDLE_VALUE``.

A move is made only if the relief is ``GAIN`` times the cost, and above a floor that
grows with the time until it serves; a model that has just been loaded stays for
``SETTLED``. Else models that are asked for now and then take each other's place
without end, and each is on its way whenever a call comes for it.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Final

from ..fleet.config import ModelSpec
from ..ids import Model, Upstream

LAST_COPY_WEIGHT: Final = 3.0
"""Times the demand that the last copy of a model is worth."""
MIN_RELIEF_RATIO: Final = 1.5
"""Times by which the relief of a further copy must exceed what it displaces."""
MIN_RELIEF_PER_S: Final = 0.016
"""Relief that a second of loading must bring for a further copy."""
MIN_URGENT: Final = 0.25
"""Relief from which a load may begin on any engine: the last copy of a model that gets
a call a second. Others leave two thirds of the engines free of loads, since a load for
a rare model would else keep a busy one waiting that is asked for a moment later."""
ENGINES_PER_RARE_LOAD: Final = 3
"""One in so many engines may load at a time what is not urgent."""
DISRUPTION_PER_S: Final = 0.05
"""Part of the demand for models with adapters that a second of loading disturbs: an
engine takes no order for an adapter while it loads a model."""
IDLE_COPY_VALUE: Final = 0.004
"""Part of an engine that a last copy is worth once its demand has ended. It is little,
since an engine that had a model before has it back from its disk within two seconds."""
NEW_COPY_VALUE: Final = 0.08
"""Part of an engine that a last copy is worth which nobody has asked for yet: one call
a second. Demand moves on to such models; those it has left come back later."""
COPY_CAPACITY: Final = 0.5
"""Part of what an engine reads that one copy serves without a wait."""
EXTRA_COPY_WEIGHT: Final = 0.3
"""Part of a copy's demand that a copy beyond need is worth."""
OVERDUE_AFTER_S: Final = 6.0
"""Seconds after which a model is loaded that is asked for and that nobody holds,
whatever it displaces: two thirds of a load from the weight store. By its worth alone a
model with a call each second or two never gets a place while others are asked for more
than the engines can give, and all of its callers are refused for as long."""
SETTLE_S: Final = 3.0
"""Seconds that a model stays after its load, twice the time of a load from disk."""


@dataclass(frozen=True)
class EngineView:
    """One engine; memory in MB. It can take an order in ``busy_for`` seconds."""

    upstream: Upstream
    memory_mb: float
    adapters_memory_mb: float
    models: frozenset[Model]
    busy_s: float = 0.0
    loading: frozenset[Model] = frozenset()
    load_overdue: bool = False
    """Whether what it loads should have been there by now."""
    evicting: frozenset[Model] = frozenset()
    in_memory: frozenset[Model] = frozenset()
    on_disk: frozenset[Model] = frozenset()
    settling: frozenset[Model] = frozenset()
    """Models that were loaded less than ``SETTLED`` ago."""
    in_use: frozenset[Model] = frozenset()
    """Models that calls use; their unload waits for these, for ``drain`` seconds."""
    drain_s: float = 0.0


@dataclass(frozen=True)
class Move:
    """One load, and the models that make room for it."""

    model: Model
    upstream: Upstream
    evicted: tuple[Model, ...]
    cold: bool
    """Whether the weights come from the weight store, whose rate is limited."""
    load_s: float
    drain_s: float = 0.0
    """Seconds before the load in which victims wait for their calls to end."""

    @property
    def total_s(self) -> float:
        """Return the seconds until the model serves."""
        return self.drain_s + self.load_s


@dataclass
class _PlacementState:
    specs: Mapping[Model, ModelSpec]
    demand: Mapping[Model, float]
    engines: list[EngineView]
    copies: dict[Model, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for engine in self.engines:
            for model in (engine.models | engine.loading) - engine.evicting:
                self.copies[model] = self.copies.get(model, 0) + 1

    def load_count(self) -> int:
        """Return the engines that load a model now."""
        return sum(bool(engine.loading) for engine in self.engines)

    def max_rare_loads(self) -> int:
        """Return the engines that may load at a time what is not urgent."""
        return max(1, len(self.engines) // ENGINES_PER_RARE_LOAD)

    def relief(self, model: Model) -> float:
        """Return what one more copy of a model is worth."""
        count, demand = self.copies.get(model, 0), self.demand.get(model, 0.0)
        if count == 0:
            return demand * LAST_COPY_WEIGHT
        return _queued_demand(demand, count) - _queued_demand(demand, count + 1)

    def copy_value(self, model: Model) -> float:
        """Return what one copy of a model is worth."""
        count, demand = self.copies.get(model, 0), self.demand.get(model, 0.0)
        if count <= 1:
            floor = IDLE_COPY_VALUE if model in self.demand else NEW_COPY_VALUE
            return max(floor, demand * LAST_COPY_WEIGHT)
        relief = _queued_demand(demand, count - 1) - _queued_demand(demand, count)
        return relief + EXTRA_COPY_WEIGHT * demand / count


def _queued_demand(demand: float, copies: int) -> float:
    """Return the demand that waits with a number of copies."""
    return max(0.0, demand - copies * COPY_CAPACITY)


def next_move(
    specs: Mapping[Model, ModelSpec],
    demand: Mapping[Model, float],
    engines: Iterable[EngineView],
    cold_allowed: bool,
) -> Move | None:
    """Return the load that helps most now, or None if none is worth its cost."""
    state = _PlacementState(specs, demand, list(engines))
    requested = [m for m in demand if m in specs and state.relief(m) > 0]
    best_moves = [_best(state, model, cold_allowed) for model in requested]
    worthwhile = [gain for gain in best_moves if gain is not None]
    return max(worthwhile, key=lambda gain: gain.gain).move if worthwhile else None


def next_overdue(
    specs: Mapping[Model, ModelSpec],
    demand: Mapping[Model, float],
    engines: Iterable[EngineView],
    missing_for: Mapping[Model, float],
    cold_allowed: bool,
    loading: Collection[Model] = (),
) -> Move | None:
    """Return a load for the model whose callers have been refused for longest.

    ``missing_for`` are the seconds since each model was asked for that nobody holds,
    ``loading`` the overdue models that engines load already. A load from near goes
    first, and what displaces least; None if none is overdue.

    While few engines load anything, several load overdue models at a time. One after
    the other, callers of the last would wait for the loads of all before it; while many
    engines load, more of them would keep models waiting that are asked for far more. A
    load that is late, such as one whose order was lost, holds back no other.
    """
    state = _PlacementState(specs, demand, list(engines))
    busy = [e for e in state.engines if not e.load_overdue and e.loading & set(loading)]
    if busy and state.load_count() >= state.max_rare_loads():
        return None
    overdue = [m for m, duration in missing_for.items() if duration >= OVERDUE_AFTER_S]
    for model in sorted(overdue, key=lambda m: -missing_for[m]):
        if model not in specs or state.copies.get(model):
            continue
        free = [engine for engine in state.engines if engine.busy_s <= 0]
        found = [_plan(state, engine, model) for engine in free]
        moves = [move for move in found if move and (cold_allowed or not move.cold)]
        if moves:
            return min(moves, key=lambda move: (move.cold, _evicted_value(state, move)))
    return None


def _evicted_value(state: _PlacementState, move: Move) -> float:
    return sum(state.copy_value(model) for model in move.evicted)


@dataclass(frozen=True)
class _Gain:
    gain: float
    move: Move


def _best(state: _PlacementState, model: Model, cold_allowed: bool) -> _Gain | None:
    """Return the best load of one model, if any is worth its cost."""
    best: _Gain | None = None
    relief = state.relief(model)
    if relief < MIN_URGENT and state.load_count() >= state.max_rare_loads():
        return None
    delay = _cached_load_delay(state, model)
    for engine in state.engines:
        if engine.busy_s > 0 or model in engine.models | engine.loading:
            continue
        move = _plan(state, engine, model)
        if move is None or (move.cold and not cold_allowed):
            continue
        remote = delay == math.inf
        if move.cold and (delay < move.load_s or (relief < MIN_URGENT and not remote)):
            # A load from the weight store keeps an engine from taking other orders
            # for several times as long; a place near the weights comes free sooner.
            continue
        evicted_value = _evicted_value(state, move)
        floor = MIN_RELIEF_PER_S * move.total_s if state.copies.get(model) else 0.0
        gain = relief - MIN_RELIEF_RATIO * evicted_value - floor
        gain -= DISRUPTION_PER_S * move.total_s * _disrupted_demand(state, engine, move)
        # The sooner of two equal places: callers wait for its load.
        gain /= 1.0 + move.total_s
        if gain > 0 and (best is None or gain > best.gain):
            best = _Gain(gain, move)
    return best


def _cached_load_delay(state: _PlacementState, model: Model) -> float:
    """Return the seconds until a copy can be loaded from near, or infinity."""
    spec = state.specs[model]
    times = [
        engine.busy_s + spec.load_disk
        for engine in state.engines
        if model in engine.in_memory | engine.on_disk and model not in engine.models
    ]
    return min(times, default=math.inf)


def next_staging(
    specs: Mapping[Model, ModelSpec],
    demand: Mapping[Model, float],
    usable: Iterable[EngineView],
    engines: Iterable[EngineView],
    missing: Iterable[Model] = (),
) -> Move | None:
    """Return a load for a model whose weights are near no engine, while one is idle.

    ``able`` are those of the engines that may be used for it. What callers ask for and
    nobody holds, ``missing``, goes first.

    Its first callers would else wait for a load from the weight store, which takes
    several times as long as one from a disk, and longer than many of them have.
    """
    state = _PlacementState(specs, demand, list(engines))
    requested = [m for m in missing if m in specs and not state.copies.get(m)]
    candidates = requested or [
        model
        for model in specs
        if not state.copies.get(model) and _cached_load_delay(state, model) == math.inf
    ]
    idle = [e for e in usable if e.busy_s <= 0 and _is_idle(state, e)]
    for model in candidates:
        moves = [move for e in idle if (move := _plan(state, e, model)) is not None]
        if moves:
            return min(moves, key=lambda move: _staging_cost(state, move))
    return None


def next_restore(
    specs: Mapping[Model, ModelSpec],
    demand: Mapping[Model, float],
    engines: Iterable[EngineView],
    initial_models: Mapping[Upstream, frozenset[Model]],
) -> Move | None:
    """Return a load that brings back what staging took from its place.

    What engines held when they were first seen was put there by whoever knows which
    models are busy. Only while nobody asks for anything; demand decides after that.
    """
    state = _PlacementState(specs, demand, list(engines))
    if any(demand.values()):
        return None
    for engine in state.engines:
        initial = initial_models.get(engine.upstream, frozenset())
        if engine.busy_s > 0:
            continue
        added = engine.models - initial
        trimmed = replace(engine, settling=engine.models - added)
        for model in sorted(initial - engine.models):
            move = _plan(state, trimmed, model) if model in specs else None
            if move is not None and not move.cold:
                return move
    return None


def _is_idle(state: _PlacementState, engine: EngineView) -> bool:
    return not any(state.demand.get(m, 0.0) for m in engine.models | engine.loading)


def _staging_cost(state: _PlacementState, move: Move) -> tuple[int, int]:
    """Prefer few victims, and models with few copies: more were put there for a reason.

    What staging takes comes back, but a busy model that has lost a copy when the first
    callers come makes all of them wait.
    """
    return len(move.evicted), sum(state.copies.get(model, 1) for model in move.evicted)


def _disrupted_demand(state: _PlacementState, engine: EngineView, move: Move) -> float:
    """Return the demand at an engine for models whose adapters it could not load."""
    remaining = engine.models - engine.evicting - frozenset(move.evicted)
    return sum(
        state.demand.get(model, 0.0) / max(1, state.copies.get(model, 1))
        for model in remaining
        if model in state.specs and state.specs[model].adapters
    )


def _plan(state: _PlacementState, engine: EngineView, model: Model) -> Move | None:
    spec = state.specs[model]
    occupying = engine.models | engine.loading
    free = engine.memory_mb - engine.adapters_memory_mb
    free -= sum(state.specs[m].memory for m in occupying if m in state.specs)
    evicted: list[Model] = []
    candidates = sorted(
        engine.models - engine.evicting - engine.settling, key=state.copy_value
    )
    for evictee in candidates:
        if free >= spec.memory:
            break
        if evictee in state.specs:
            evicted.append(evictee)
            free += state.specs[evictee].memory
    if free < spec.memory:
        return None
    drain_s = engine.drain_s if engine.in_use.intersection(evicted) else 0.0
    cached = model in engine.in_memory | engine.on_disk
    load_s = spec.load_cold
    if cached:
        load_s = spec.load_memory if model in engine.in_memory else spec.load_disk
    return Move(model, engine.upstream, tuple(evicted), not cached, load_s, drain_s)
