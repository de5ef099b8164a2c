"""Cost of planning against the size of the fleet: time, memory and bytes."""

import resource
import time
from typing import Final

from ..decide.pacing import LoadPacer
from ..entry.sidecar_info import SidecarInfo
from ..ids import Epoch, Incarnation, Model, Region, Service, Upstream, Vm, Zone
from ..planner.fleet import FleetView
from ..planner.round import RoundPlanner
from ..wire.codec import encode
from ..wire.messages import UpstreamKind
from ..wire.placement import Copy, CopyState, CopyStatus, Inventory
from .placement_fleet import Held
from .placement_load import SPEED, Deployment, profiles
from .placement_planners import Asked, Steady
from .placement_play import Run
from .registry import PLAYS

SIZES: Final = ((59, 550), (147, 1375), (295, 2750), (590, 5500))
"""Numbers of models and upstreams; the last is the design size."""
COPIES: Final = 5
"""Copies at each upstream."""


def _full_fleet_round(run: Run, asked: Asked) -> float:
    """Return the seconds of a round in a full fleet with rising demand."""
    copies = sorted(run.fleet.places())
    for index, acc in enumerate(run.fleet.upstreams.values()):
        for step in range(len(copies)):
            model = copies[(index + step) % len(copies)]
            memory = run.needs[model].memory
            if acc.free() < memory:
                break
            acc.copies.setdefault((model, "1"), Held(memory, "1", 0.0))
    start = time.perf_counter()
    run.planner.moves(run.fleet, run.needs, {m: 20 * v for m, v in asked.items()})
    return time.perf_counter() - start


@PLAYS.register("planning-time")
def play_planning_time(args: list[str]) -> int:
    """Print the duration of a round for several fleet sizes."""
    print("| models | upstreams | fill s | steady s | full fleet s | copies |")
    print("| --- | --- | --- | --- | --- | --- |")
    for models, engines in SIZES:
        dep = Deployment("full", engines, models, 0, 50.0, 1000, 1000)
        run = Run(dep, Steady(), profiles(dep, 3600.0, 1.0, 1), False, 1)
        asked = {p.need.model: p.steady for p in run.models}
        slowest = 0.0
        for _ in range(400):
            start = time.perf_counter()
            moves = run.planner.moves(run.fleet, run.needs, asked)
            slowest = max(slowest, time.perf_counter() - start)
            if not moves:
                break
            run.fleet.apply(moves, run.needs)
            run.fleet.now += 1000.0
        start = time.perf_counter()
        run.planner.moves(run.fleet, run.needs, asked)
        steady = time.perf_counter() - start
        full = _full_fleet_round(run, asked)
        copies = sum(len(acc.copies) for acc in run.fleet.upstreams.values())
        times = f"{slowest:.2f} | {steady:.2f} | {full:.2f}"
        print(f"| {models} | {engines} | {times} | {copies} |")
    return 0


def _holdings(index: int, models: int) -> Inventory:
    held = tuple(
        CopyStatus(
            Copy(Model(f"model-{(index + step) % models}"), None, "r1"),
            CopyState.LOADED,
            16.0,
            40.0,
        )
        for step in range(COPIES)
    )
    name = f"engine-{index}"
    vm, zone = Vm(f"vm-{index}"), Zone(f"zone-{index % 18}")
    run, epoch = Incarnation("0" * 24), Epoch(7)
    return Inventory(Upstream(name), vm, zone, run, epoch, 80.0, 0.0, True, False, held)


def _info(msg: Inventory) -> SidecarInfo:
    return SidecarInfo(
        upstream=msg.upstream,
        vm=msg.vm,
        zone=msg.zone,
        region=Region("r"),
        host="10.0.0.1",
        port=7000,
        kind=UpstreamKind.ENGINE,
        service=Service(""),
        incarnation=msg.incarnation,
        models=frozenset(held.copy.name for held in msg.copies),
        draining=False,
    )


def _resident() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0


@PLAYS.register("planner-scale")
def play_planner_scale(args: list[str]) -> int:
    """Print the memory of the fleet view for several sizes."""
    print("| upstreams | MiB | bytes of holdings | ms to take all | ms for sites |")
    print("| --- | --- | --- | --- | --- |")
    rounds = RoundPlanner(SPEED, LoadPacer(1.0, 1, 1))
    for models, engines in SIZES:
        fleet = FleetView()
        first = [_holdings(index, models) for index in range(engines)]
        fleet.set_sidecars({msg.upstream: _info(msg) for msg in first})
        start = time.perf_counter()
        for msg in first:
            fleet.receive_inventory(msg, 0.0)
        taken = 1000.0 * (time.perf_counter() - start)
        start = time.perf_counter()
        asked = fleet.demand(Epoch(7))
        fleet.targets(Epoch(7), {}, 0.0)
        seen = 1000.0 * (time.perf_counter() - start)
        rounds.counts.smooth(asked, 0.0)
        size = len(encode(first[0]))
        print(f"| {engines} | {_resident():.0f} | {size} | {taken:.0f} | {seen:.0f} |")
    return 0
