"""Plays the calls of a scene against a policy, with the time passed in."""

import heapq
from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random
from typing import Final

from returns.result import Failure as Err

from ..decide.admission import LoadView, ServiceRate, likely_service, queue_bound
from ..decide.fairness import Waiting
from ..decide.outliers import OutlierDetector
from ..decide.routing import Candidate, RouteRequest, UpstreamLoad
from ..decide.shift import warmup_weight
from ..ids import ConfigVersion, Incarnation, Model, RequestId, Upstream, Zone
from ..wire.messages import Priority, Report
from .calls import Call, Pattern, Scene
from .engine import EngineModel, Step, Stream
from .policy import PLACE_EVERY, Policy
from .score import GAP_AIM, Figures, Outcome, Score, judge

REPORT_EVERY: Final = 0.25
REPORT_LAG: Final = 0.2
EXPIRE_EVERY: Final = 0.25
HOP: Final = 0.001
GAP_SAMPLE: Final = 8
"""An entry looks at one in so many gaps of a stream."""
SLOWNESS: Final = 5.0
SLOW_FROM: Final = 0.25
SLOW_UNTIL: Final = 0.75


class Clock:
    """Events in order of time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def at(self, time: float, run: Callable[[], None]) -> None:
        """Run something at a time."""
        heapq.heappush(self._events, (time, next(self._numbers), run))

    def play(self) -> None:
        """Run all events."""
        while self._events:
            self.now, _, run = heapq.heappop(self._events)
            run()


class SidecarModel:
    """One upstream's queue, limit and engine."""

    def __init__(
        self,
        name: Upstream,
        zone: Zone,
        policy: Policy,
        clock: Clock,
        score: Score,
        ended: Callable[[Call], None],
    ) -> None:
        self.name = name
        self.zone = zone
        self.models: dict[Model, float] = {}
        """Models served, and since when."""
        self.engine = EngineModel()
        self._queue = policy.queue()
        self._limit = policy.limit()
        self._policy = policy
        self._clock = clock
        self._score = score
        self._ended = ended
        self._meter = ServiceRate()
        self._calls: dict[RequestId, Call] = {}
        self._stepping = False
        self.on_gap: Callable[[Call, float], None] = lambda call, seconds: None

    def submit(self, call: Call, weight: float) -> bool:
        """Let a call in, or return False."""
        now = self._clock.now
        self._drop_late()
        needs = likely_service(0.0, self._limit.gap_p95, call.most_output)
        view = LoadView(
            ahead=self._queue.ahead(call.account, weight, call.priority),
            rate=self._meter.rate,
            first_token=self._limit.first_token_p95,
            running=len(self.engine.streams),
            limit=self._limit.limit,
        )
        left = call.deadline_at - now
        answer = self._policy.admit(view, call.reserved, left, call.priority, needs)
        if isinstance(answer, Err):
            return False
        self._calls[call.request] = call
        self._queue.push(
            Waiting(
                call.request,
                call.account,
                weight,
                call.priority,
                call.reserved,
                call.deadline_at,
                call.at,
                needs,
            )
        )
        if self._meter.rate > 0.0:
            bound = queue_bound(self._meter.rate, Priority.BATCH)
            for item in self._queue.overflow(bound):
                self._end(self._calls.pop(item.request), Outcome.REFUSED)
        self._pump()
        return True

    def report(self) -> Report:
        """Return the load as it is now."""
        return Report(
            upstream=self.name,
            incarnation=Incarnation("i"),
            models=tuple(self.models),
            draining=False,
            running=len(self.engine.streams),
            limit=self._limit.limit,
            queued=len(self._queue),
            queued_tokens=self._queue.tokens,
            token_rate=self._meter.rate,
            first_token=self._limit.first_token_p95,
            token_gap=self._limit.gap_p95,
            version=ConfigVersion(1),
        )

    def tick(self) -> None:
        """Refuse what can no longer finish, and start what may."""
        self._drop_late()
        self._pump()

    def _drop_late(self) -> None:
        for item in self._queue.expire(self._clock.now):
            self._end(self._calls.pop(item.request), Outcome.EXPIRED)

    def _pump(self) -> None:
        now = self._clock.now
        while len(self._queue) and len(self.engine.streams) < self._limit.limit:
            item = self._queue.pop(now)
            if item is None:
                break
            self._meter.on_start(now, item.cost, len(self._queue))
            self.engine.start(now, self._calls[item.request])
            self._limit.on_start(len(self.engine.streams))
        if self.engine.streams and not self._stepping:
            self._stepping = True
            self._step()

    def _step(self) -> None:
        now = self._clock.now
        step = self.engine.step(now)
        self._clock.at(now + step.seconds, partial(self._stepped, step))

    def _stepped(self, step: Step) -> None:
        now = self._clock.now
        for stream in step.firsts:
            self._limit.on_first_token(now, now - stream.started_at)
            if stream.call.priority is Priority.INTERACTIVE:
                self._score.firsts.append(now - stream.call.at)
        for stream in step.decoded:
            self._limit.on_gap(now, step.seconds)
            self._score.gaps.append(step.seconds)
            stream.slow_gaps += step.seconds > GAP_AIM
            if stream.gaps % GAP_SAMPLE == 0:
                self.on_gap(stream.call, step.seconds)
        for stream in step.done:
            self._finish(stream, judge(stream, now))
        for stream in self.engine.cancel_late(now):
            self._finish(stream, Outcome.EXPIRED)
        self._stepping = False
        self._pump()

    def _finish(self, stream: Stream, outcome: Outcome) -> None:
        call = stream.call
        self._calls.pop(call.request, None)
        self._limit.on_done(self._clock.now, len(self.engine.streams))
        used = call.prompt + call.output - max(stream.left, 0)
        self._queue.charge(call.account, used - call.reserved, call.priority)
        self._end(call, outcome)

    def _end(self, call: Call, outcome: Outcome) -> None:
        self._score.outcomes[call.request] = outcome
        self._ended(call)


class EntryModel:
    """One entry's view of the upstreams, and its decisions."""

    def __init__(self, zone: Zone, policy: Policy, rng: Random) -> None:
        self.zone = zone
        self.loads: dict[Upstream, UpstreamLoad] = {}
        self.detector = OutlierDetector()
        self._choose = policy.chooser()
        self._policy = policy
        self._rng = rng

    def route(
        self, now: float, call: Call, copies: list[SidecarModel]
    ) -> SidecarModel | None:
        """Return the sidecar that gets a call."""
        candidates = [self._candidate(now, call, each) for each in copies]
        req = RouteRequest(self.zone, call.reserved, call.adapter)
        chosen = self._choose(candidates, req, self._rng)
        if chosen is None:
            return None
        return next(each for each in copies if each.name == chosen.upstream)

    def load(self, upstream: Upstream) -> UpstreamLoad:
        """Return the load of an upstream as seen from here."""
        return self.loads.setdefault(upstream, UpstreamLoad())

    def _candidate(self, now: float, call: Call, sidecar: SidecarModel) -> Candidate:
        load = self.load(sidecar.name)
        share = 1.0
        if self._policy.ejects:
            share = self.detector.share(now, sidecar.name, call.model)
        if self._policy.warms_up:
            share *= warmup_weight(now - sidecar.models[call.model])
        return Candidate(
            upstream=sidecar.name,
            zone=sidecar.zone,
            work=load.work,
            rate=load.rate,
            share=share,
            warm_prefix=sidecar.engine.warm_prefix(call.prefix),
            has_adapter=sidecar.engine.has_adapter(call.adapter),
        )


class Player:
    """Plays one scene against one policy."""

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
        """Play the scene and return its figures."""
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
                for model in placed.get(sidecar.name, frozenset())
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
    """Play a scene against a policy and return its figures."""
    return Player(scene, policy, seed).run()
