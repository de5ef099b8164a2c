"""Simulation of the calls of a scene under a policy."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

from ..ids import Model, RequestId, Upstream
from .calls import Call, Pattern, Scene
from .clock import Clock
from .entry import EntryModel
from .policy import PLACE_EVERY, Policy
from .score import Figures, Outcome, Score
from .sidecar import SidecarModel

REPORT_EVERY: Final = 0.25
REPORT_LAG: Final = 0.2
EXPIRE_EVERY: Final = 0.25
HOP: Final = 0.001
SLOWNESS: Final = 5.0
SLOW_FROM: Final = 0.25
SLOW_UNTIL: Final = 0.75


class Player:
    """Simulates one scene under one policy."""

    def __init__(self, scene: Scene, policy: Policy, seed: int) -> None:
        size = scene.deployment
        self._scene = scene
        self._policy = policy
        self._rng = Random(f"player/{seed}")
        self._clock = Clock()
        self._score = Score(scene)
        self._rates = policy.rates(scene.allowances, size.entries)
        self._placer = policy.placer(size)
        self._entry_of: dict[RequestId, EntryModel] = {}
        self._sidecar_of: dict[RequestId, SidecarModel] = {}
        self._demand: dict[Model, float] = {}
        self._entries = [
            EntryModel(size.zone_of(n), policy, Random(f"entry{n}/{seed}"))
            for n in range(size.entries)
        ]
        self._sidecars = [
            SidecarModel(
                name, size.zone_of(n), policy, self._clock, self._score, self._ended
            )
            for n, name in enumerate(size.upstream_names())
        ]
        for sidecar in self._sidecars:
            sidecar.on_gap = self._gap_seen(sidecar.name)

    def run(self) -> Figures:
        """Simulate the scene and return its figures."""
        self._every(PLACE_EVERY, self._place)
        self._every(REPORT_EVERY, self._report)
        self._every(EXPIRE_EVERY, self._tick)
        for call in self._scene.calls:
            self._clock.at(call.at, partial(self._arrive, call))
        if self._scene.pattern is Pattern.SLOW:
            seconds = self._scene.seconds
            self._clock.at(SLOW_FROM * seconds, lambda: self._slow(SLOWNESS))
            self._clock.at(SLOW_UNTIL * seconds, lambda: self._slow(1.0))
        self._clock.play()
        return self._score.figures(self._placer.moves)

    def _every(self, period: float, run: Callable[[], None]) -> None:
        def again() -> None:
            run()
            ended = len(self._score.outcomes) == len(self._scene.calls)
            if not ended:
                self._clock.at(self._clock.now + period, again)

        again()

    def _slow(self, factor: float) -> None:
        self._sidecars[0].engine.slowness = factor

    def _place(self) -> None:
        now = self._clock.now
        placed = self._placer.place(now, self._demand)
        self._demand = {}
        for sidecar in self._sidecars:
            born = now if now > 0.0 else -60.0
            sidecar.models = {
                model: sidecar.models.get(model, born)
                for model in sorted(placed.get(sidecar.name, frozenset()))
            }

    def _report(self) -> None:
        for sidecar in self._sidecars:
            report = sidecar.report()
            for entry in self._entries:
                load = entry.load(sidecar.name)
                arrives_at = self._clock.now + REPORT_LAG
                self._clock.at(arrives_at, partial(load.on_report, report))

    def _tick(self) -> None:
        for sidecar in self._sidecars:
            sidecar.tick()
        if not self._policy.ejects:
            return
        copies: dict[Model, tuple[Upstream, ...]] = {}
        for sidecar in self._sidecars:
            for model in sidecar.models:
                copies[model] = (*copies.get(model, ()), sidecar.name)
        for entry in self._entries:
            entry.detector.update(self._clock.now, copies)

    def _arrive(self, call: Call) -> None:
        number = self._rng.randrange(len(self._entries))
        entry = self._entries[number]
        now = self._clock.now
        if not self._rates.take(now, number, call.account, call.reserved):
            self._score.outcomes[call.request] = Outcome.REFUSED
            return
        rate = call.reserved / PLACE_EVERY
        self._demand[call.model] = self._demand.get(call.model, 0.0) + rate
        copies = [each for each in self._sidecars if call.model in each.models]
        sidecar = entry.route(now, call, copies)
        if sidecar is None:
            self._score.outcomes[call.request] = Outcome.REFUSED
            return
        entry.load(sidecar.name).on_send(call.reserved)
        self._entry_of[call.request] = entry
        self._sidecar_of[call.request] = sidecar
        self._clock.at(now + HOP, lambda: self._submit(call, sidecar))

    def _submit(self, call: Call, sidecar: SidecarModel) -> None:
        weight = self._scene.allowances[call.account].weight
        if not sidecar.submit(call, weight):
            self._score.outcomes[call.request] = Outcome.REFUSED
            self._ended(call)

    def _ended(self, call: Call) -> None:
        entry = self._entry_of.pop(call.request)
        sidecar = self._sidecar_of.pop(call.request)
        entry.load(sidecar.name).on_done(call.reserved)

    def _gap_seen(self, upstream: Upstream) -> Callable[[Call, float], None]:
        def seen(call: Call, seconds: float) -> None:
            entry = self._entry_of[call.request]
            now = self._clock.now
            entry.detector.on_latency(now, upstream, call.model, seconds)

        return seen


def play(scene: Scene, policy: Policy, seed: int = 0) -> Figures:
    """Simulate a scene under a policy and return its figures."""
    return Player(scene, policy, seed).run()
