"""From a submitted attempt to its answer: record, queue, limit, upstream.

One actor owns the queue, the record and the jobs. Links, upstream threads and the
clock send it messages, so no two of them ever see the state half changed.
"""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, Final, cast

import pykka
from returns.result import Success

from ..decide.admission import LoadView, admit, deadline_refusal, queue_full_refusal
from ..decide.fairness import FairQueue, QueuedRequest
from ..ids import Incarnation, Model, RequestId
from ..kernel.actors import proxied
from ..observe.logs import log
from ..observe.traces import Traces
from ..verdict import ErrorCode, Failure, Verdict
from ..wire.link import Link
from ..wire.messages import (
    Cancel,
    Fail,
    FlowControl,
    Resume,
    Submit,
    Tombstone,
    TombstoneReply,
)
from .job import Job, JobSpans
from .load import LoadMeter
from .seen import SeenRequests
from .upstream import UpstreamCall

RESUME_GRACE: Final = 5.0
"""Seconds a running attempt outlives its link, for the entry to come back.

A cut shows to the entry within 6 s at worst and at once in the usual case of a
reset; after that nobody waits for a repeatable answer, and the accelerator is
better used by others.
"""
KEEP_ANSWER: Final = 10.0
"""Seconds a finished answer is held for an entry that lost its link at the end."""
TICK: Final = 0.05
"""Seconds between two looks at deadlines; well below any sensible deadline."""


@dataclass(frozen=True)
class Load:
    """What runs and waits at one upstream."""

    running: int
    limit: int
    queued: int
    queued_tokens: float


class Dispatcher(pykka.ThreadingActor):
    """Owns every job of this sidecar.

    Parameters
    ----------
    incarnation : Incarnation
        This life of the sidecar.
    call : UpstreamCall
        How the upstream is reached.
    meter : LoadMeter
        Says how many requests may be at the upstream at once.
    most_running : int
        Threads, the upper bound of that.
    queue_tokens : float
        Most tokens that wait.
    traces : Traces
        Where spans go.
    on_broken : callable
        Called when a fault of our own has left the state in doubt.
    """

    use_daemon_thread = True

    def __init__(
        self,
        incarnation: Incarnation,
        call: UpstreamCall,
        meter: LoadMeter,
        most_running: int,
        queue_tokens: float,
        traces: Traces,
        on_broken: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__()
        self._incarnation = incarnation
        self._draining = False
        self._call = call
        self._meter = meter
        self._traces = traces
        self._queue_tokens = queue_tokens
        self._on_broken = on_broken
        self._seen = SeenRequests()
        self._queue = FairQueue()
        self._jobs: dict[RequestId, Job] = {}
        self._running: set[tuple[RequestId, int]] = set()
        self._pool = ThreadPoolExecutor(most_running, thread_name_prefix="upstream")
        self._stopping = threading.Event()

    @classmethod
    def launch(cls, *args: Any) -> "DispatcherProxy":
        """Start the actor; return the proxy through which all calls go."""
        return cast(DispatcherProxy, cls.start(*args).proxy())

    def on_start(self) -> None:
        """Start the clock that drives deadlines."""
        proxy = cast(DispatcherProxy, self.actor_ref.proxy())
        self._proxy = proxy
        ticker = threading.Thread(target=self._keep_time, args=(proxy,), daemon=True)
        ticker.start()

    def on_stop(self) -> None:
        """Stop the threads."""
        self._stopping.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def on_failure(self, *failure: object) -> None:
        """End the process rather than go on with a state in doubt.

        A record of request ids that is half written could let a booking run
        twice. A new incarnation starts with none and refuses what was sent to
        this one, which is safe.
        """
        log("dispatcher_failed", error=repr(failure[1]))
        self._on_broken()

    def _keep_time(self, proxy: "DispatcherProxy") -> None:
        while not self._stopping.wait(TICK):
            try:
                proxy.tick().get()
            except pykka.ActorDeadError:
                return

    def submit(self, sub: Submit, link: Link) -> None:
        """Take one attempt; refusals are answered at once."""
        now = time.monotonic()
        job = Job(sub, link, now, JobSpans(self._traces, sub))
        refusal = self._refusal(sub, now)
        if refusal is not None:
            job.fail(refusal)
            return
        self._replace(job)
        self._queue.push(_waiting(job))
        self._shed_overflow(now)
        self._start_next()

    def _replace(self, job: Job) -> None:
        request = job.submit.request
        old = self._jobs.get(request)
        if old is not None:
            old.cancelled.set()
            self._queue.remove(request)
        self._jobs[request] = job

    def _refusal(self, sub: Submit, now: float) -> Failure | None:
        if sub.incarnation != self._incarnation:
            # Another incarnation may have run this very request before a crash.
            # It shows as a doubled booking; only the addressee may run it.
            reason = "meant for an earlier life of this sidecar"
            return Failure(ErrorCode.STALE_INCARNATION, reason, retry_after=0.1)
        if self._draining:
            return Failure(ErrorCode.SHUTTING_DOWN, "leaving", retry_after=0.1)
        admission = admit(self._view(sub), sub.cost, sub.timeout_s, sub.priority)
        if not isinstance(admission, Success):
            return admission.failure()
        admitted = self._seen.admit(sub.request, sub.attempt, sub.repeatable, now)
        return None if isinstance(admitted, Success) else admitted.failure()

    def _view(self, sub: Submit) -> LoadView:
        return LoadView(
            backlog=self._queue.backlog(sub.account, sub.weight, sub.priority),
            rate=self._meter.service_rate,
            first_token_s=self._meter.first_token_p95,
            running=len(self._running),
            limit=self._meter.limit,
        )

    def _shed_overflow(self, now: float) -> None:
        """Refuse what the queue can't hold, from the account that fills it."""
        refusal = queue_full_refusal(self._queue_tokens, self._meter.service_rate)
        for item in self._queue.remove_excess(self._queue_tokens):
            self._seen.bury(item.request, now)
            self._jobs.pop(item.request).fail(refusal)

    def _start_next(self) -> None:
        while len(self._running) < self._meter.limit:
            item = self._queue.pop(time.monotonic())
            if item is None:
                return
            self._meter.left_queue(item.cost, len(self._queue))
            job = self._jobs[item.request]
            self._running.add((item.request, job.submit.attempt))
            self._meter.started(len(self._running))
            self._pool.submit(self._run, job)

    def _run(self, job: Job) -> None:
        """Call the upstream; on a thread of the pool, not the actor's own."""
        sub, proxy = job.submit, self._proxy
        try:
            self._call.run(job, lambda: proxy.begin(job).get(), self._meter)
        except Exception as exc:
            log("job_failed", request=sub.request, error=repr(exc))
            reason = "the sidecar failed"
            job.fail(Failure(ErrorCode.INTERNAL, reason, Verdict.MAY_HAVE_RUN))
        finally:
            proxy.finish.defer(job)

    def begin(self, job: Job) -> bool:
        """Return whether a job may go to the upstream, and note that it does."""
        sub, now = job.submit, time.monotonic()
        if job.cancelled.is_set():
            self._seen.bury(sub.request, now)
            return False
        return self._seen.start(sub.request, sub.attempt, now)

    def finish(self, job: Job) -> None:
        """Note that a job is over and start what waits."""
        sub, now = job.submit, time.monotonic()
        job.ended_at = now
        self._running.discard((sub.request, sub.attempt))
        self._meter.ended(len(self._running))
        self._seen.finish(sub.request, sub.attempt, now)
        self._queue.charge(sub.account, job.used - sub.cost, sub.priority)
        self._start_next()

    def cancel(self, msg: Cancel) -> None:
        """Stop an attempt that nobody waits for any more."""
        job = self._jobs.get(msg.request)
        if job is None or job.submit.attempt != msg.attempt:
            return
        if self._queue.remove(msg.request) is not None:
            self._drop(msg.request, time.monotonic())
        elif job.submit.repeatable:
            job.cancelled.set()

    def flow(self, msg: FlowControl) -> None:
        """Stop or go on reading an attempt's answer from the upstream."""
        job = self._jobs.get(msg.request)
        if job is None or job.submit.attempt != msg.attempt:
            return
        if msg.resume:
            job.flowing.set()
        else:
            job.flowing.clear()

    def bury(self, msg: Tombstone, link: Link) -> None:
        """Answer what is true of a request and keep it true."""
        link.send(TombstoneReply(msg.request, self._bury(msg.request, msg.incarnation)))

    def _bury(self, request: RequestId, incarnation: Incarnation) -> Verdict:
        if incarnation != self._incarnation:
            return Verdict.MAY_HAVE_RUN
        self._queue.remove(request)
        return self._seen.bury(request, time.monotonic())

    def resume(self, msg: Resume, link: Link) -> None:
        """Go on with an answer over a new link, or say that there is none."""
        job = self._jobs.get(msg.request)
        same = job is not None and job.submit.attempt == msg.attempt
        if job is not None and same and job.can_resume(msg):
            job.attach(link, msg)
            return
        verdict = self._bury(msg.request, msg.incarnation)
        reason = "the link was lost before the answer"
        exc = Failure(ErrorCode.UPSTREAM_LOST, reason, verdict, retry_after=0.1)
        link.send(Fail.from_failure(msg.request, msg.attempt, exc))

    def link_lost(self, link: Link) -> None:
        """Hold the answers of a link's jobs for a while."""
        now = time.monotonic()
        for job in self._jobs.values():
            if job.link is link:
                job.detach(now)

    def tick(self) -> None:
        """Act on what time alone has changed."""
        now = time.monotonic()
        self._expire(now)
        self._forget(now)

    def _expire(self, now: float) -> None:
        for item in self._queue.expire(now):
            job = self._jobs[item.request]
            job.ended_at = now
            self._seen.bury(item.request, now)
            job.fail(deadline_refusal(self._queue.tokens, self._meter.service_rate))

    def _forget(self, now: float) -> None:
        for request, job in list(self._jobs.items()):
            if job.ended_at is not None and now - job.ended_at > KEEP_ANSWER:
                del self._jobs[request]
            elif _abandoned(job, now):
                job.cancelled.set()
                if self._queue.remove(request) is not None:
                    self._drop(request, now)

    def _drop(self, request: RequestId, now: float) -> None:
        self._seen.bury(request, now)
        del self._jobs[request]

    def load(self) -> Load:
        """Return what runs and waits."""
        queue = self._queue
        return Load(len(self._running), self._meter.limit, len(queue), queue.tokens)

    def open_on(self, model: Model) -> int:
        """Return how many requests for a model wait or run."""
        jobs = self._jobs.values()
        return sum(j.submit.model == model and j.ended_at is None for j in jobs)

    def leave(self) -> None:
        """Take nothing new from now on."""
        self._draining = True


class DispatcherProxy(pykka.ActorProxy[Dispatcher]):
    """Calls to the dispatcher, from any thread."""

    submit = proxied(Dispatcher.submit)
    cancel = proxied(Dispatcher.cancel)
    bury = proxied(Dispatcher.bury)
    flow = proxied(Dispatcher.flow)
    resume = proxied(Dispatcher.resume)
    link_lost = proxied(Dispatcher.link_lost)
    begin = proxied(Dispatcher.begin)
    finish = proxied(Dispatcher.finish)
    tick = proxied(Dispatcher.tick)
    load = proxied(Dispatcher.load)
    open_on = proxied(Dispatcher.open_on)
    leave = proxied(Dispatcher.leave)


def drain(dispatcher: DispatcherProxy, limit: float, forced: threading.Event) -> int:
    """Take nothing new, finish what is here; return how many jobs are cut."""
    dispatcher.leave().get()
    end = time.monotonic() + limit
    while True:
        load = dispatcher.load().get()
        left = load.running + load.queued
        if not left or time.monotonic() >= end or forced.wait(TICK):
            return left


def _waiting(job: Job) -> QueuedRequest:
    sub = job.submit
    return QueuedRequest(
        request=sub.request,
        account=sub.account,
        weight=sub.weight,
        priority=sub.priority,
        cost=sub.cost,
        deadline_at=job.deadline_at,
        arrived_at=job.arrived_at,
    )


def _abandoned(job: Job, now: float) -> bool:
    if job.orphaned_at is None or job.ended_at is not None:
        return False
    return job.submit.repeatable and now - job.orphaned_at > RESUME_GRACE
