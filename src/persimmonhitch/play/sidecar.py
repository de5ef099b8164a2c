"""Model of one upstream: its queue, its limit and its engine."""

from collections.abc import Callable
from functools import partial
from typing import Final

from returns.result import Failure as Err

from ..decide.admission import LoadView, ServiceRate, expected_service, max_queue_tokens
from ..decide.fairness import QueuedRequest
from ..ids import ConfigVersion, Incarnation, Model, RequestId, Upstream, Zone
from ..wire.messages import LoadReport, Priority
from .calls import Call
from .clock import Clock
from .engine import EngineModel, Step, Stream
from .policy import Policy
from .score import GAP_AIM, Outcome, Score, judge

GAP_SAMPLE: Final = 8
"""Number of gaps of a stream per sampled gap."""


class SidecarModel:
    """Queue, limit and engine of one upstream."""

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
        """Admit a call; return whether it was admitted."""
        now = self._clock.now
        self._drop_late()
        needs = expected_service(0.0, self._limit.gap_p95, call.most_output)
        view = LoadView(
            backlog=self._queue.backlog(call.account, weight, call.priority),
            rate=self._meter.rate,
            first_token_s=self._limit.first_token_p95,
            running=len(self.engine.streams),
            limit=self._limit.limit,
        )
        left = call.deadline_at - now
        answer = self._policy.admit(view, call.reserved, left, call.priority, needs)
        if isinstance(answer, Err):
            return False
        self._calls[call.request] = call
        self._queue.push(
            QueuedRequest(
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
            bound = max_queue_tokens(self._meter.rate, Priority.BATCH)
            for item in self._queue.remove_excess(bound):
                self._end(self._calls.pop(item.request), Outcome.REFUSED)
        self._pump()
        return True

    def report(self) -> LoadReport:
        """Return the current load."""
        return LoadReport(
            upstream=self.name,
            incarnation=Incarnation("i"),
            models=tuple(self.models),
            draining=False,
            running=len(self.engine.streams),
            concurrency_limit=self._limit.limit,
            queued=len(self._queue),
            queued_tokens=self._queue.tokens,
            token_rate=self._meter.rate,
            first_token_s=self._limit.first_token_p95,
            token_gap_s=self._limit.gap_p95,
            version=ConfigVersion(1),
        )

    def tick(self) -> None:
        """Refuse calls that can no longer finish, and start others."""
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
