"""Play of placement: moves, reachability and served demand for both deployments."""

import random
from dataclasses import dataclass
from typing import Final

from ..decide.pacing import LoadPacer
from ..decide.targets import ModelRequirement
from ..ids import Model, Upstream
from ..standin.weights import WeightStore
from .placement_fleet import Accelerator, Fleet
from .placement_load import (
    CAPACITY,
    DEPLOYMENTS,
    SPEED,
    Deployment,
    Profile,
    profiles,
)
from .placement_planners import PLANNERS, Asked, Planner
from .registry import PLAYS

PERIOD: Final = 5.0
ZONES: Final = 4
FILL_S: Final = 900.0
"""Seconds of the initial fill, which is not counted."""
HOURS: Final = 3.0
SURGES_AN_HOUR: Final = 0.3
DEATH_EVERY_S: Final = 1800.0
REPLACED_AFTER_S: Final = 300.0
PARTS: Final = 6
"""Parts into which the demand of a model with several copies is split."""


@dataclass
class Tally:
    """Counts of one run after the initial fill."""

    loads: int = 0
    unloads: int = 0
    unreachable_s: float = 0.0
    longest_s: float = 0.0
    asked: float = 0.0
    served: float = 0.0

    def row(self, name: str) -> str:
        """Return a row of the table."""
        return (
            f"| {name} | {self.loads} | {self.unloads} | {self.unreachable_s:.0f} | "
            f"{self.longest_s:.0f} | {100.0 * self.served / self.asked:.2f}% |"
        )


@dataclass
class Run:
    """One planner with the fleet and demand of a deployment."""

    dep: Deployment
    planner: Planner
    models: list[Profile]
    deaths: bool
    seed: int

    def __post_init__(self) -> None:
        dep = self.dep
        self.needs: dict[Model, ModelRequirement] = {
            p.need.model: p.need for p in self.models
        }
        bases = {m for m, need in self.needs.items() if need.base is not None}
        self.adapters = frozenset(bases)
        self.fleet = Fleet(WeightStore(dep.rate, dep.at_once, dep.adapters_at_once))
        self.fleet.add(dep.engines, ZONES, CAPACITY)
        self.pacer = LoadPacer(dep.rate, dep.at_once, dep.adapters_at_once, PERIOD)
        self.out: dict[Model, float] = {}
        self.tally = Tally()
        self.dead: list[tuple[float, Upstream, Accelerator]] = []

    def play(self, seconds: float) -> Tally:
        """Simulate the whole period; return the counts."""
        rng = random.Random(self.seed)
        while self.fleet.now < seconds:
            asked = {p.need.model: p.at(self.fleet.now, rng) for p in self.models}
            self._move(asked)
            if self.fleet.now >= FILL_S:
                self._count(asked)
            if self.deaths:
                self._die_and_return(rng)
            self.fleet.now += PERIOD
        self.tally.loads += self.fleet.loads
        self.tally.unloads += self.fleet.unloads
        return self.tally

    def _move(self, asked: Asked) -> None:
        fleet = self.fleet
        moves = self.planner.moves(fleet, self.needs, asked)
        under_way = fleet.under_way(self.adapters)
        admitted = self.pacer.admit(moves, self.adapters, *under_way, fleet.now)
        fleet.apply(admitted, self.needs)
        if fleet.now < FILL_S:
            fleet.loads = fleet.unloads = 0

    def _count(self, asked: Asked) -> None:
        missing = self.fleet.unreachable(asked)
        self.tally.unreachable_s += PERIOD * len(missing)
        self.out = {m: self.out.get(m, 0.0) + PERIOD for m in missing}
        self.tally.longest_s = max(self.tally.longest_s, *self.out.values(), 0.0)
        self.tally.asked += sum(asked.values())
        self.tally.served += self._served(asked)

    def _served(self, asked: Asked) -> float:
        """Return the served demand if routing balances the load of the upstreams."""
        heat = dict.fromkeys(self.fleet.upstreams, 0.0)
        places = self.fleet.places()
        for model in sorted(places, key=lambda model: len(places[model])):
            parts = 1 if len(places[model]) == 1 else PARTS
            for _ in range(parts):
                coolest = min(places[model], key=heat.__getitem__)
                heat[coolest] += asked[model] / parts
        return sum(min(SPEED, value) for value in heat.values())

    def _die_and_return(self, rng: random.Random) -> None:
        now = self.fleet.now
        if now >= FILL_S and now % DEATH_EVERY_S < PERIOD:
            victim = rng.choice(sorted(self.fleet.upstreams))
            acc = self.fleet.upstreams.pop(victim)
            fresh = Accelerator(acc.zone, acc.capacity)
            self.dead.append((now + REPLACED_AFTER_S, victim, fresh))
        for item in [item for item in self.dead if item[0] <= now]:
            self.dead.remove(item)
            self.fleet.upstreams[item[1]] = item[2]


def play_one(
    dep: Deployment, name: str, deaths: bool, hours: float, seed: int
) -> Tally:
    """Return the counts of one planner for one deployment."""
    models = profiles(dep, hours * 3600.0, SURGES_AN_HOUR, seed)
    steady = {p.need.model: p.steady for p in models}
    run = Run(dep, PLANNERS[name](steady), models, deaths, seed)
    return run.play(hours * 3600.0)


@PLAYS.register("placement")
def play_placement(args: list[str]) -> int:
    """Print the table of all planners; ``args`` are seeds."""
    seeds = [int(arg) for arg in args] or [1, 2, 3]
    print("| run | loads | unloads | unreachable model-s | longest s | served |")
    print("| --- | --- | --- | --- | --- | --- |")
    for dep in DEPLOYMENTS:
        for deaths in (False, True):
            for name in PLANNERS:
                for seed in seeds:
                    tally = play_one(dep, name, deaths, HOURS, seed)
                    what = "deaths" if deaths else "surges"
                    print(tally.row(f"{dep.name}, {what}, {name}, seed {seed}"))
    return 0
