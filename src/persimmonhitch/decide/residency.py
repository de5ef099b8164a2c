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

LAST_COPY: Final = 3.0
"""Times the demand that the last copy of a model is worth."""
GAIN: Final = 1.5
"""Times by which the relief of a further copy must exceed what it displaces."""
LOAD_FLOOR: Final = 0.016
"""Relief that a second of loading must bring for a further copy."""
URGENT: Final = 0.25
"""Relief from which a load may begin on any engine: the last copy of a model that gets
a call a second. Others leave two thirds of the engines free of loads, since a load for
a rare model would else keep a busy one waiting that is asked for a moment later."""
RARE_PART: Final = 3
"""One in so many engines may load at a time what is not urgent."""
DISTURB: Final = 0.05
"""Part of the demand for models with adapters that a second of loading disturbs: an
engine takes no order for an adapter while it loads a model."""
IDLE_VALUE: Final = 0.004
"""Part of an engine that a last copy is worth once its demand has ended. It is little,
since an engine that had a model before has it back from its disk within two seconds."""
FRESH_VALUE: Final = 0.08
"""Part of an engine that a last copy is worth which nobody has asked for yet: one call
a second. Demand moves on to such models; those it has left come back later."""
COMFORT: Final = 0.5
"""Part of what an engine reads that one copy serves without a wait."""
SPREAD_VALUE: Final = 0.3
"""Part of a copy's demand that a copy beyond need is worth."""
OVERDUE: Final = 6.0
"""Seconds after which a model is loaded that is asked for and that nobody holds,
whatever it displaces: two thirds of a load from the weight store. By its worth alone a
model with a call each second or two never gets a place while others are asked for more
than the engines can give, and all of its callers are refused for as long."""
SETTLED: Final = 3.0
"""Seconds that a model stays after its load, twice the time of a load from disk."""


@dataclass(frozen=True)
class EngineView:
    """One engine; memory in MB. It can take an order in ``busy_for`` seconds."""

    upstream: Upstream
    memory: float
    adapters_memory: float
    models: frozenset[Model]
    busy_for: float = 0.0
    coming: frozenset[Model] = frozenset()
    late: bool = False
    """Whether what it loads should have been there by now."""
    leaving: frozenset[Model] = frozenset()
    in_memory: frozenset[Model] = frozenset()
    on_disk: frozenset[Model] = frozenset()
    settling: frozenset[Model] = frozenset()
    """Models that were loaded less than ``SETTLED`` ago."""
    running: frozenset[Model] = frozenset()
    """Models that calls use; their unload waits for these, for ``drain`` seconds."""
    drain: float = 0.0


@dataclass(frozen=True)
class Move:
    """One load, and the models that make room for it."""

    model: Model
    upstream: Upstream
    victims: tuple[Model, ...]
    cold: bool
    """Whether the weights come from the weight store, whose rate is limited."""
    seconds: float
    drain: float = 0.0
    """Seconds before the load in which victims wait for their calls to end."""

    @property
    def takes(self) -> float:
        """Return the seconds until the model serves."""
        return self.drain + self.seconds


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

    def loading(self) -> int:
        """Return the engines that load a model now."""
        return sum(bool(engine.coming) for engine in self.engines)

    def rare_most(self) -> int:
        """Return the engines that may load at a time what is not urgent."""
        return max(1, len(self.engines) // RARE_PART)

    def relief(self, model: Model) -> float:
        """Return what one more copy of a model is worth."""
        count, demand = self.copies.get(model, 0), self.demand.get(model, 0.0)
        if count == 0:
            return demand * LAST_COPY
        return _waiting(demand, count) - _waiting(demand, count + 1)

    def value(self, model: Model) -> float:
        """Return what one copy of a model is worth."""
        count, demand = self.copies.get(model, 0), self.demand.get(model, 0.0)
        if count <= 1:
            idle = IDLE_VALUE if model in self.demand else FRESH_VALUE
            return max(idle, demand * LAST_COPY)
        more = _waiting(demand, count - 1) - _waiting(demand, count)
        return more + SPREAD_VALUE * demand / count


def _waiting(demand: float, copies: int) -> float:
    """Return the demand that waits with a number of copies."""
    return max(0.0, demand - copies * COMFORT)


def next_move(
    specs: Mapping[Model, ModelSpec],
    demand: Mapping[Model, float],
    engines: Iterable[EngineView],
    cold_allowed: bool,
) -> Move | None:
    """Return the load that helps most now, or None if none is worth its cost."""
    board = _Board(specs, demand, list(engines))
    wanted = [m for m in demand if m in specs and board.relief(m) > 0]
    found = [_best(board, model, cold_allowed) for model in wanted]
    gains = [gain for gain in found if gain is not None]
    return max(gains, key=lambda gain: gain.gain).move if gains else None


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
    board = _Board(specs, demand, list(engines))
    under_way = [e for e in board.engines if not e.late and e.coming & set(loading)]
    if under_way and board.loading() >= board.rare_most():
        return None
    overdue = [m for m, passed in missing_for.items() if passed >= OVERDUE]
    for model in sorted(overdue, key=lambda m: -missing_for[m]):
        if model not in specs or board.copies.get(model):
            continue
        free = [engine for engine in board.engines if engine.busy_for <= 0]
        found = [_move(board, engine, model) for engine in free]
        moves = [mv for mv in found if mv and (cold_allowed or not mv.cold)]
        if moves:
            return min(moves, key=lambda mv: (mv.cold, _displaced(board, mv)))
    return None


def _displaced(board: _Board, move: Move) -> float:
    return sum(board.value(victim) for victim in move.victims)


@dataclass(frozen=True)
class _Gain:
    gain: float
    move: Move


def _best(board: _Board, model: Model, cold_allowed: bool) -> _Gain | None:
    """Return the best load of one model, if any is worth its cost."""
    best: _Gain | None = None
    relief = board.relief(model)
    if relief < URGENT and board.loading() >= board.rare_most():
        return None
    near = _near_in(board, model)
    for engine in board.engines:
        if engine.busy_for > 0 or model in engine.models | engine.coming:
            continue
        move = _move(board, engine, model)
        if move is None or (move.cold and not cold_allowed):
            continue
        far = near == math.inf
        if move.cold and (near < move.seconds or (relief < URGENT and not far)):
            # A load from the weight store keeps an engine from taking other orders
            # for several times as long; a place near the weights comes free sooner.
            continue
        displaced = _displaced(board, move)
        floor = LOAD_FLOOR * move.takes if board.copies.get(model) else 0.0
        gain = relief - GAIN * displaced - floor
        gain -= DISTURB * move.takes * _disturbed(board, engine, move)
        # The sooner of two equal places: callers wait for its load.
        gain /= 1.0 + move.takes
        if gain > 0 and (best is None or gain > best.gain):
            best = _Gain(gain, move)
    return best


def _near_in(board: _Board, model: Model) -> float:
    """Return the seconds until a copy can be loaded from near, or infinity."""
    spec = board.specs[model]
    times = [
        engine.busy_for + spec.load_disk
        for engine in board.engines
        if model in engine.in_memory | engine.on_disk and model not in engine.models
    ]
    return min(times, default=math.inf)


def next_staging(
    specs: Mapping[Model, ModelSpec],
    demand: Mapping[Model, float],
    able: Iterable[EngineView],
    engines: Iterable[EngineView],
    missing: Iterable[Model] = (),
) -> Move | None:
    """Return a load for a model whose weights are near no engine, while one is idle.

    ``able`` are those of the engines that may be used for it. What callers ask for and
    nobody holds, ``missing``, goes first.

    Its first callers would else wait for a load from the weight store, which takes
    several times as long as one from a disk, and longer than many of them have.
    """
    board = _Board(specs, demand, list(engines))
    asked = [m for m in missing if m in specs and not board.copies.get(m)]
    far = asked or [
        model
        for model in specs
        if not board.copies.get(model) and _near_in(board, model) == math.inf
    ]
    idle = [e for e in able if e.busy_for <= 0 and _is_idle(board, e)]
    for model in far:
        moves = [move for e in idle if (move := _move(board, e, model)) is not None]
        if moves:
            return min(moves, key=lambda move: _staging_cost(board, move))
    return None


def next_return(
    specs: Mapping[Model, ModelSpec],
    demand: Mapping[Model, float],
    engines: Iterable[EngineView],
    homes: Mapping[Upstream, frozenset[Model]],
) -> Move | None:
    """Return a load that brings back what staging took from its place.

    What engines held when they were first seen was put there by whoever knows which
    models are busy. Only while nobody asks for anything; demand decides after that.
    """
    board = _Board(specs, demand, list(engines))
    if any(demand.values()):
        return None
    for engine in board.engines:
        home = homes.get(engine.upstream, frozenset())
        if engine.busy_for > 0:
            continue
        guests = engine.models - home
        trimmed = replace(engine, settling=engine.models - guests)
        for model in sorted(home - engine.models):
            move = _move(board, trimmed, model) if model in specs else None
            if move is not None and not move.cold:
                return move
    return None


def _is_idle(board: _Board, engine: EngineView) -> bool:
    return not any(board.demand.get(m, 0.0) for m in engine.models | engine.coming)


def _staging_cost(board: _Board, move: Move) -> tuple[int, int]:
    """Prefer few victims, and models with few copies: more were put there for a reason.

    What staging takes comes back, but a busy model that has lost a copy when the first
    callers come makes all of them wait.
    """
    return len(move.victims), sum(board.copies.get(v, 1) for v in move.victims)


def _disturbed(board: _Board, engine: EngineView, move: Move) -> float:
    """Return the demand at an engine for models whose adapters it could not load."""
    staying = engine.models - engine.leaving - frozenset(move.victims)
    return sum(
        board.demand.get(model, 0.0) / max(1, board.copies.get(model, 1))
        for model in staying
        if model in board.specs and board.specs[model].adapters
    )


def _move(board: _Board, engine: EngineView, model: Model) -> Move | None:
    spec = board.specs[model]
    held = engine.models | engine.coming
    free = engine.memory - engine.adapters_memory
    free -= sum(board.specs[m].memory for m in held if m in board.specs)
    victims: list[Model] = []
    candidates = sorted(
        engine.models - engine.leaving - engine.settling, key=board.value
    )
    for victim in candidates:
        if free >= spec.memory:
            break
        if victim in board.specs:
            victims.append(victim)
            free += board.specs[victim].memory
    if free < spec.memory:
        return None
    drain = engine.drain if engine.running.intersection(victims) else 0.0
    near = model in engine.in_memory | engine.on_disk
    seconds = spec.load_cold
    if near:
        seconds = spec.load_memory if model in engine.in_memory else spec.load_disk
    return Move(model, engine.upstream, tuple(victims), not near, seconds, drain)
