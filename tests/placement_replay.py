"""Replays a load on engines whose models are placed by the pure decisions."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

from persimmonhitch.decide.demand import DemandTracker
from persimmonhitch.decide.engine_demand import ServiceDemand
from persimmonhitch.decide.missing import MissingModels
from persimmonhitch.decide.residency import (
    SETTLE_S,
    EngineView,
    next_load,
    next_overdue_load,
)
from persimmonhitch.fleet.config import ModelSpec
from persimmonhitch.ids import Model, Upstream, Vm

ROUND_S = 0.2
SLOW_RATE = 20_000.0
"""Tokens per second that an engine reads of a slow model."""
GOLDEN_RATIO = 0.618034
"""Spreads the first requests of callers."""
DISK_LOAD_S, COLD_LOAD_S = 1.5, 4.0
SLOW_MB, FAST_MB = 72.7, 65.1


def spec_of(name, fast):
    size = FAST_MB if fast else SLOW_MB
    return ModelSpec(Model(name), size, COLD_LOAD_S, DISK_LOAD_S, 1.1, 0, 0.0)


@dataclass(frozen=True)
class Caller:
    """Requests for a model, spread evenly over time.

    ``wait_s`` is the longest wait for an engine; callers refuse a longer one.
    """

    model: Model
    requests_per_s: float
    wait_s: float = 0.7
    tokens: int = 2400
    weight: float = 1.0
    """Weight of the tokens in the demand."""


@dataclass
class Engine:
    view: EngineView
    speed: float = 1.0
    work_s: float = 0.0
    """Time that a typical engine needs for the prompts yet to be read."""
    load_ends_at: float = 0.0
    settles_at: dict = field(default_factory=dict)


@dataclass
class Replay:
    """A service under load; ``costs`` are relative to the prompts of a slow model.

    ``make_demand`` returns the ``ServiceDemand`` of token rates at a time.
    """

    specs: dict
    costs: dict
    resident: list
    make_demand: object
    speeds: list = field(default_factory=list)
    speeds_known: bool = True
    now: float = 0.0
    loads: list = field(default_factory=list)
    asked: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)

    def __post_init__(self):
        speeds = self.speeds or [1.0] * len(self.resident)
        self.engines = {
            Upstream(f"e{n}"): Engine(
                EngineView(
                    Upstream(f"e{n}"),
                    230.0,
                    0.0,
                    frozenset(models),
                    on_disk=frozenset(self.specs),
                    speed=speed if self.speeds_known else 1.0,
                ),
                speed,
            )
            for n, (models, speed) in enumerate(zip(self.resident, speeds, strict=True))
        }
        self._tracker = DemandTracker()
        self._totals = defaultdict(float)
        self._missing = MissingModels()
        self._due = {}

    def run(self, seconds, callers):
        """Replay some seconds with the callers of a time."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += ROUND_S
            self._finish_loads()
            self._place()
            for engine in self.engines.values():
                engine.work_s = max(0.0, engine.work_s - ROUND_S * engine.speed)
            for caller in callers:
                due = self._due.get(caller, len(self._due) * GOLDEN_RATIO % 1.0)
                self._due[caller] = due + caller.requests_per_s * ROUND_S
                while self._due[caller] >= 1.0:
                    self._due[caller] -= 1.0
                    self._request(caller)

    def lose(self, count):
        """Lose the first engines and their models."""
        for name in list(self.engines)[:count]:
            del self.engines[name]

    def copies(self, model):
        """Return the number of engines with a model."""
        return sum(model in engine.view.models for engine in self.engines.values())

    def refused_share(self, *models):
        """Return the share of refused requests for some models."""
        asked = sum(self.asked[m] for m in models)
        return sum(self.refused[m] for m in models) / asked

    def _request(self, caller):
        model = caller.model
        self.asked[model] += 1
        self._totals[model] += caller.tokens * caller.weight
        able = [e for e in self.engines.values() if model in e.view.models]
        best = min(able, key=lambda e: e.work_s / e.speed, default=None)
        if best is None or best.work_s / best.speed > caller.wait_s:
            self.refused[model] += 1
        else:
            best.work_s += caller.tokens * self.costs[model] / SLOW_RATE

    def _place(self):
        self._tracker.receive(Vm("a"), dict(self._totals), self.now)
        demand = self.make_demand(self._tracker.rates(self.now), self.now)
        resident = frozenset().union(*(e.view.models for e in self.engines.values()))
        self._missing.update(self._tracker.requested_at(), resident, self.now)
        missing_for = self._missing.missing_durations(self.now)
        for _ in self.engines:
            views = [self._view(engine) for engine in self.engines.values()]
            self._missing.loading &= frozenset().union(*(v.loading for v in views))
            move = next_overdue_load(
                self.specs,
                demand.values,
                views,
                missing_for,
                True,
                self._missing.loading,
                demand.loads,
            )
            if move is not None:
                self._missing.loading.add(move.model)
            move = move or next_load(
                self.specs, demand.values, views, True, demand.loads
            )
            if move is None:
                return
            self._start(move)

    def _view(self, engine):
        settling = {m for m, at in engine.settles_at.items() if at > self.now}
        busy_s = max(0.0, engine.load_ends_at - self.now)
        return replace(engine.view, settling=frozenset(settling), busy_s=busy_s)

    def _start(self, move):
        self.loads.append((self.now, move))
        engine = self.engines[move.upstream]
        engine.view = replace(
            engine.view,
            models=engine.view.models - set(move.evicted),
            loading=frozenset({move.model}),
        )
        engine.load_ends_at = self.now + move.total_s

    def _finish_loads(self):
        for engine in self.engines.values():
            view = engine.view
            if view.loading and engine.load_ends_at <= self.now:
                for model in view.loading:
                    engine.settles_at[model] = self.now + SETTLE_S
                engine.view = replace(
                    view, models=view.models | view.loading, loading=frozenset()
                )


def single_rate(rate):
    """Return the demand at one read rate for all models."""
    return lambda rates, _now: ServiceDemand.from_single_rate(rates, rate)
