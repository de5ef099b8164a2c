"""Decide which models the engines of a service load and evict.

Load pattern: many models share few engines, each engine has room for two or three, a
few models get most requests, and the set of these changes every few seconds. All
requests for a model that is resident nowhere are refused until a load has ended; those
for a model whose only copy is on a full engine wait while other engines are idle.

Demand is expressed in shares of the tokens that one engine reads. A copy serves a load
of up to ``COPY_CAPACITY`` times the speed of its engine; demand beyond that queues. The
load may differ from the demand: the engine time of a token depends on its model, its
value to callers does not. The relief of a further copy is the demand that no longer
queues, and its cost is the demand that queues once other models are evicted for it. The
value of the last copy of a model is its whole demand times ``LAST_COPY_WEIGHT``, since
without this copy all callers of the model are refused. The value of a copy beyond the
demand is a small share of the demand, because the copy spreads the requests. A last
copy without demand has the value ``IDLE_COPY_VALUE``.

If loads are known by model, demand beyond the whole time of the engines of a model
counts as refused, too. By what queues alone, one more copy of a model in overload would
relieve less than a burst of requests for a rare model, and the busy model would keep
the copies that it had. Of two engines, a new copy goes to the one on which other models
leave it more time.

A move is made only if the relief exceeds ``MIN_RELIEF_RATIO`` times the cost and a
floor that grows with the time until the copy serves; a model is not evicted for
``SETTLE_S`` after its load. Otherwise models with rare requests would evict each other
without end, and each would still be loading when a request for it arrives.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Final

from ..fleet.config import ModelSpec
from ..ids import Model, Upstream

LAST_COPY_WEIGHT: Final = 3.0
"""Value of the last copy of a model as a multiple of its demand."""
MIN_RELIEF_RATIO: Final = 1.5
"""Smallest ratio of the relief of a further copy to the value of evicted copies."""
MIN_RELIEF_PER_S: Final = 0.016
"""Smallest relief of a further copy per second of its load."""
URGENT_RELIEF: Final = 0.25
"""Relief from which a load is urgent and may start on any engine: that of the first
copy of a model with one request per second. Other loads leave two thirds of the engines
free, since the load of a rare model would otherwise delay that of a busy model that is
requested a moment later."""
ENGINES_PER_RARE_LOAD: Final = 3
"""Engines per concurrent load that is not urgent."""
DISRUPTION_PER_S: Final = 0.05
"""Share of the demand for models with adapters that a second of loading disrupts: an
engine accepts no adapter load while it loads a model."""
IDLE_COPY_VALUE: Final = 0.004
"""Value of a last copy after its demand has ended, as a share of an engine. The value
is low, since an engine reloads the model from its disk within two seconds."""
NEW_COPY_VALUE: Final = 0.08
"""Value of a last copy that has not been requested yet, as a share of an engine: one
request per second. Demand moves to a model without earlier requests sooner than it
returns to a model whose demand has ended."""
COPY_CAPACITY: Final = 0.5
"""Share of the tokens read by an engine that one copy serves without a queue."""
BUSY_ENGINE_FACTOR: Final = 0.9
"""Factor of the gain of a load on an engine whose time other models take; all models
share the slots of an engine by the urgency of their requests."""
EXTRA_COPY_WEIGHT: Final = 0.3
"""Value of a copy beyond the demand, as a share of the demand per copy."""
OVERDUE_AFTER_S: Final = 6.0
"""Seconds after which a missing model is loaded regardless of the evicted models: two
thirds of a load from the weight store. By its value alone, a model with a request every
second or two would never be loaded while the demand for other models exceeds the
capacity of the engines, and all of its callers would be refused for that time."""
SETTLE_S: Final = 3.0
"""Seconds without eviction after a load: twice the duration of a load from disk."""


@dataclass(frozen=True)
class EngineView:
    """State of one engine; ``busy_s`` is the time until it accepts another order."""

    upstream: Upstream
    memory_mb: float
    adapters_memory_mb: float
    models: frozenset[Model]
    busy_s: float = 0.0
    loading: frozenset[Model] = frozenset()
    load_overdue: bool = False
    """Whether the model in ``loading`` should be resident by now."""
    evicting: frozenset[Model] = frozenset()
    in_memory: frozenset[Model] = frozenset()
    on_disk: frozenset[Model] = frozenset()
    settling: frozenset[Model] = frozenset()
    """Models that were loaded less than ``SETTLE_S`` ago."""
    drains: Mapping[Model, float] = field(default_factory=dict)
    """Expected seconds until the running requests of each model in use have ended; its
    unload waits for them."""
    speed: float = 1.0
    """Speed relative to a typical engine of the service."""


@dataclass(frozen=True)
class Move:
    """One load, and the models that are evicted for it."""

    model: Model
    upstream: Upstream
    evicted: tuple[Model, ...]
    cold: bool
    """Whether the weights come from the weight store, whose rate is limited."""
    load_s: float
    drain_s: float = 0.0
    """Seconds before the load in which requests of evicted models end."""

    @property
    def total_s(self) -> float:
        """Return the seconds until the model serves requests."""
        return self.drain_s + self.load_s


@dataclass
class _PlacementState:
    specs: Mapping[Model, ModelSpec]
    demand: Mapping[Model, float]
    engines: list[EngineView]
    loads: Mapping[Model, float] | None = None
    """Share of a typical engine's time that the demand for each model takes; None if
    equal to the demand for lack of read rates by model."""
    copies: dict[Model, int] = field(default_factory=dict)
    resident: Counter[Model] = field(default_factory=Counter)
    """Copies without those that are loading."""
    speeds: dict[Model, float] = field(default_factory=dict)
    """Sum of the speeds of the engines with each model."""

    def __post_init__(self) -> None:
        for engine in self.engines:
            self.resident.update(engine.models - engine.evicting)
            for model in (engine.models | engine.loading) - engine.evicting:
                self.copies[model] = self.copies.get(model, 0) + 1
                self.speeds[model] = self.speeds.get(model, 0.0) + engine.speed
        self._by_name = {engine.upstream: engine for engine in self.engines}

    def engine(self, move: Move) -> EngineView:
        """Return the engine of a move."""
        return self._by_name[move.upstream]

    def load_count(self) -> int:
        """Return the number of engines that are loading a model."""
        return sum(bool(engine.loading) for engine in self.engines)

    def max_rare_loads(self) -> int:
        """Return the number of loads at which only urgent ones may start."""
        return max(1, len(self.engines) // ENGINES_PER_RARE_LOAD)

    def relief(self, model: Model, speed: float = 1.0) -> float:
        """Return the demand that one more copy of a model relieves.

        ``speed`` is that of its engine.
        """
        if self.loads is None and not self.copies.get(model):
            return self.demand.get(model, 0.0) * LAST_COPY_WEIGHT
        held = self.speeds.get(model, 0.0)
        return self._lost_demand(model, held) - self._lost_demand(model, held + speed)

    def copy_value(self, model: Model, speed: float = 1.0) -> float:
        """Return the value of the copy of a model on an engine of some speed.

        If loads are known, loading copies replace no resident one: their loads may take
        several seconds, or be lost.
        """
        demand, held = self.demand.get(model, 0.0), self.speeds.get(model, 0.0)
        copies = self.copies if self.loads is None else self.resident
        if copies.get(model, 0) > 1:
            lost = self._lost_demand(model, held - speed)
            relief = lost - self._lost_demand(model, held)
            return relief + EXTRA_COPY_WEIGHT * demand * speed / held
        value = demand * LAST_COPY_WEIGHT
        if self.loads is not None:
            value -= self._lost_demand(model, speed)
        floor = IDLE_COPY_VALUE if model in self.demand else NEW_COPY_VALUE
        return max(floor, value)

    def _lost_demand(self, model: Model, speeds: float) -> float:
        """Return the demand for a model beyond the capacity of copies.

        ``speeds`` is the sum of the speeds of their engines. Demand beyond the whole
        time of the engines is refused, like demand without a copy, if loads are known.
        """
        if self.loads is None:
            return max(0.0, self.demand.get(model, 0.0) - speeds * COPY_CAPACITY)
        load = self.loads.get(model, 0.0)
        if load <= 0:
            return 0.0
        queued = max(0.0, load - speeds * COPY_CAPACITY)
        refused = max(0.0, load - speeds)
        lost = queued + (LAST_COPY_WEIGHT - 1.0) * refused
        return lost * self.demand.get(model, 0.0) / load

    def free_share(self, move: Move) -> float:
        """Return the share of its engine's time that other models leave a load."""
        if self.loads is None:
            return 1.0
        engine = self.engine(move)
        kept = (engine.models | engine.loading) - engine.evicting - set(move.evicted)
        shares = [
            min(1.0, self.loads.get(model, 0.0) / self.speeds[model])
            for model in sorted(kept)
        ]
        return max(0.0, 1.0 - sum(shares))


def next_load(
    specs: Mapping[Model, ModelSpec],
    demand: Mapping[Model, float],
    engines: Iterable[EngineView],
    cold_allowed: bool,
    loads: Mapping[Model, float] | None = None,
) -> Move | None:
    """Return the model load with the largest positive gain, None if no load has one.

    ``loads`` gives the share of a typical engine's time that the demand for each model
    takes, if known by model. Callers beyond that time count as refused then.
    """
    state = _PlacementState(specs, demand, list(engines), loads)
    requested = [m for m in demand if m in specs and state.relief(m) > 0]
    best_gains = [_best_gain(state, model, cold_allowed) for model in requested]
    worthwhile = [gain for gain in best_gains if gain is not None]
    if not worthwhile:
        return None
    return max(worthwhile, key=lambda gain: (gain.gain, gain.move.model)).move


def next_overdue_load(
    specs: Mapping[Model, ModelSpec],
    demand: Mapping[Model, float],
    engines: Iterable[EngineView],
    missing_for: Mapping[Model, float],
    cold_allowed: bool,
    loading: Collection[Model] = (),
    loads: Mapping[Model, float] | None = None,
) -> Move | None:
    """Return a load for the model whose callers have been refused for longest.

    ``missing_for`` gives the seconds for which each model has been missing, ``loading``
    the overdue models that engines are loading already, and ``loads`` is that of
    ``next_load``. Engines with cached weights are
    preferred, then evictions of low value and loads that disrupt little demand for
    adapters, both in proportion to their time. Return None if no model is overdue.

    While few engines are loading, several overdue models may load at a time. If they
    were loaded one after the other, callers of the last model would wait for the loads
    of all others. While many engines are loading, further overdue loads would delay
    models of far higher demand. A load that should have ended by now, for example
    because its order was lost, does not delay the loads of overdue models.
    """
    state = _PlacementState(specs, demand, list(engines), loads)
    busy = [e for e in state.engines if not e.load_overdue and e.loading & set(loading)]
    if busy and state.load_count() >= state.max_rare_loads():
        return None
    overdue = [m for m, duration in missing_for.items() if duration >= OVERDUE_AFTER_S]
    for model in sorted(overdue, key=lambda m: (-missing_for[m], m)):
        if model not in specs or state.copies.get(model):
            continue
        free = [engine for engine in state.engines if engine.busy_s <= 0]
        plans = [_plan(state, engine, model) for engine in free]
        moves = [move for move in plans if move and (cold_allowed or not move.cold)]
        if moves:
            return min(moves, key=lambda move: (move.cold, _overdue_cost(state, move)))
    return None


def _overdue_cost(state: _PlacementState, move: Move) -> float:
    disrupted = DISRUPTION_PER_S * move.total_s * _disrupted_demand(state, move)
    return (_evicted_value(state, move) + disrupted) * (1.0 + move.total_s)


def _evicted_value(state: _PlacementState, move: Move) -> float:
    speed = state.engine(move).speed
    return sum(state.copy_value(model, speed) for model in move.evicted)


@dataclass(frozen=True)
class _Gain:
    gain: float
    move: Move


def _best_gain(
    state: _PlacementState, model: Model, cold_allowed: bool
) -> _Gain | None:
    """Return the load of a model with the largest gain, None if no gain is positive."""
    best: _Gain | None = None
    relief = state.relief(model)
    if relief < URGENT_RELIEF and state.load_count() >= state.max_rare_loads():
        return None
    eta = _cached_load_eta(state, model)
    for engine in state.engines:
        if engine.busy_s > 0 or model in engine.models | engine.loading:
            continue
        move = _plan(state, engine, model)
        if move is None or (move.cold and not cold_allowed):
            continue
        remote = eta == math.inf
        if move.cold and (eta < move.load_s or (relief < URGENT_RELIEF and not remote)):
            # A load from the weight store occupies an engine for several times as long;
            # an engine with cached weights becomes free sooner.
            continue
        evicted_value = _evicted_value(state, move)
        floor = MIN_RELIEF_PER_S * move.total_s if state.copies.get(model) else 0.0
        gain = state.relief(model, engine.speed)
        gain -= MIN_RELIEF_RATIO * evicted_value
        gain -= floor
        gain -= DISRUPTION_PER_S * move.total_s * _disrupted_demand(state, move)
        # Of two equal loads, prefer the shorter one, since callers wait for its end.
        gain /= 1.0 + move.total_s
        busy_share = 1.0 - state.free_share(move)
        gain *= 1.0 - (1.0 - BUSY_ENGINE_FACTOR) * busy_share
        if gain > 0 and (best is None or gain > best.gain):
            best = _Gain(gain, move)
    return best


def _cached_load_eta(state: _PlacementState, model: Model) -> float:
    """Return the seconds to a copy loaded from cached weights, infinity without any."""
    spec = state.specs[model]
    times = [
        engine.busy_s + spec.disk_load_s
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
    """Return a load that caches the weights of an uncached model on an idle engine.

    ``usable`` gives the engines that may be used for the load. Models in ``missing``,
    which are requested and resident nowhere, have precedence.

    Without staging, the first callers of an uncached model would wait for a load from
    the weight store, which takes several times as long as a load from a disk, and
    longer than the deadlines of many requests.
    """
    state = _PlacementState(specs, demand, list(engines))
    requested = [m for m in missing if m in specs and not state.copies.get(m)]
    candidates = requested or [
        model
        for model in specs
        if not state.copies.get(model) and _cached_load_eta(state, model) == math.inf
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
    """Return a load that restores a model that staging has evicted.

    The models initially resident on an engine were placed by an operator who knows
    which models are busy. They are restored only while there is no demand at all;
    otherwise ``next_load`` chooses the models.
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
    """Return a sort key that prefers few evictions, and of models with few copies.

    A model with several copies is expected to be busy. Evicted models are restored
    later, but if a busy model lacks a copy when its first callers arrive, they wait.
    """
    return len(move.evicted), sum(state.copies.get(model, 1) for model in move.evicted)


def _disrupted_demand(state: _PlacementState, move: Move) -> float:
    """Return the demand at an engine for models that could not load adapters."""
    engine = state.engine(move)
    remaining = engine.models - engine.evicting - frozenset(move.evicted)
    return sum(
        state.demand.get(model, 0.0) / max(1, state.copies.get(model, 1))
        for model in remaining
        if model in state.specs and state.specs[model].adapter_count
    )


def _plan(state: _PlacementState, engine: EngineView, model: Model) -> Move | None:
    spec = state.specs[model]
    resident = engine.models | engine.loading
    free = engine.memory_mb - engine.adapters_memory_mb
    free -= sum(state.specs[m].memory_mb for m in resident if m in state.specs)
    evicted: list[Model] = []
    candidates = sorted(
        engine.models - engine.evicting - engine.settling,
        key=lambda evictee: (state.copy_value(evictee, engine.speed), evictee),
    )
    for evictee in candidates:
        if free >= spec.memory_mb:
            break
        if evictee in state.specs:
            evicted.append(evictee)
            free += state.specs[evictee].memory_mb
    if free < spec.memory_mb:
        return None
    drain_s = max((engine.drains.get(m, 0.0) for m in evicted), default=0.0)
    cached = model in engine.in_memory | engine.on_disk
    load_s = spec.cold_load_s
    if cached:
        load_s = spec.memory_load_s if model in engine.in_memory else spec.disk_load_s
    return Move(model, engine.upstream, tuple(evicted), not cached, load_s, drain_s)
