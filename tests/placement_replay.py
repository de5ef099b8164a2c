"""Replays a load on engines whose models are placed by the pure decisions."""

import math
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace
from statistics import mean

from persimmonhitch.decide.demand import DemandTracker
from persimmonhitch.decide.engine_demand import ServiceDemand
from persimmonhitch.decide.missing import MissingModels
from persimmonhitch.decide.residency import (
    SETTLE_S,
    EngineView,
    next_load,
    next_overdue_load,
)
from persimmonhitch.decide.urgency import RankWeights
from persimmonhitch.decide.wait_limits import LOAD_REPORT_TIMEOUT_S
from persimmonhitch.fleet.config import ModelSpec
from persimmonhitch.ids import Model, Upstream, Vm

ROUND_S = 0.2
SLOW_RATE = 20_000.0
"""Tokens per second that an engine reads of a slow model."""
DISK_LOAD_S, COLD_LOAD_S = 1.5, 4.0
SLOW_MB, FAST_MB = 72.7, 65.1


def spec_of(name, fast):
    size = FAST_MB if fast else SLOW_MB
    return ModelSpec(Model(name), size, COLD_LOAD_S, DISK_LOAD_S, 1.1, 0, 0.0)


@dataclass(frozen=True)
class Caller:
    """Requests for a model at random times."""

    model: Model
    requests_per_s: float
    wait_s: float = 0.7
    """Longest wait at an engine; requests that would wait longer are refused."""
    load_wait_s: float = 2.8
    """Longest wait for a load of the model."""
    rank: int = 0
    tokens: int = 2400


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
    ranks: RankWeights | None = None
    seed: int = 1
    now: float = 0.0
    loads: list = field(default_factory=list)
    asked: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)
    late: Counter = field(default_factory=Counter)
    """Requests that waited for a load for longer than ``Caller.wait_s``."""

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
        self._random = random.Random(self.seed)
        self._waiting = []
        """Callers of missing models, and the times of their requests."""

    def run(self, seconds, callers):
        """Replay some seconds with the callers of a time."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += ROUND_S
            self._finish_loads()
            self._place()
            for engine in self.engines.values():
                engine.work_s = max(0.0, engine.work_s - ROUND_S * engine.speed)
            weigh = self._has_backlog()
            for caller in callers:
                weight = self.ranks.weight(caller.rank) if weigh else 1.0
                for _ in range(self._draw_count(caller.requests_per_s * ROUND_S)):
                    self.asked[caller.model] += 1
                    self._totals[caller.model] += caller.tokens * weight
                    self._waiting.append((caller, self.now))
            self._waiting = [one for one in self._waiting if not self._answer(*one)]

    def _has_backlog(self):
        work = [engine.work_s / engine.speed for engine in self.engines.values()]
        return self.ranks is not None and self.ranks.makes_late(mean(work))

    def _draw_count(self, mean):
        """Return a number of requests by the Poisson distribution."""
        count, product = 0, self._random.random()
        while product > math.exp(-mean):
            count, product = count + 1, product * self._random.random()
        return count

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

    def late_share(self, *models):
        """Return the share of late requests for some models."""
        return sum(self.late[m] for m in models) / sum(self.asked[m] for m in models)

    def _answer(self, caller, asked_at):
        """Send or refuse a request; return False if it waits for its model."""
        model, waited = caller.model, self.now - asked_at
        able = [e for e in self.engines.values() if model in e.view.models]
        if not able:
            loads = [e for e in self.engines.values() if model in e.view.loading]
            ends_at = min((e.load_ends_at for e in loads), default=math.inf)
            in_time = ends_at - asked_at <= caller.load_wait_s
            if in_time or (not loads and waited < LOAD_REPORT_TIMEOUT_S):
                return False
        best = min(able, key=lambda e: e.work_s / e.speed, default=None)
        if best is None or best.work_s / best.speed > caller.wait_s:
            self.refused[model] += 1
        else:
            best.work_s += caller.tokens * self.costs[model] / SLOW_RATE
            self.late[model] += waited > caller.wait_s
        return True

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
