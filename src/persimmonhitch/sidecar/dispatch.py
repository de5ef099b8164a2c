"""Path of a submitted attempt to its answer: registry, queue, limit, upstream.

One actor owns the queue, the registry and the jobs. Links, upstream threads and the
ticker send it messages, so that none of them sees a state that is half changed.
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
from .request_registry import RequestRegistry
from .upstream import UpstreamCall

RESUME_GRACE_S: Final = 5.0
"""Time for which a running attempt outlives its link, for the entry to reconnect.

An entry detects a reset link at once and a dead one within 6 s. After that no caller
waits for a repeatable answer, and other requests need the accelerator.
"""
ANSWER_RETENTION_S: Final = 10.0
"""Time for which a finished answer is kept for an entry that lost its link."""
TICK_INTERVAL_S: Final = 0.05
"""Time between two checks of deadlines."""


@dataclass(frozen=True)
class Load:
    """Running and queued requests at one upstream."""

    running: int
    limit: int
    queued: int
    queued_tokens: float


class Dispatcher(pykka.ThreadingActor):
    """Owns the jobs of this sidecar.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation of this sidecar process.
    call : UpstreamCall
        Sends requests to the upstream.
    meter : LoadMeter
        Measures the upstream and limits its concurrent requests.
    max_running : int
        Number of threads, and the upper bound of that limit.
    queue_tokens : float
        Maximum number of queued tokens.
    traces : Traces
        Receives spans.
    on_broken : callable
        Called when an internal error may have left an inconsistent state.
    """

    use_daemon_thread = True

    def __init__(
        self,
        incarnation: Incarnation,
        call: UpstreamCall,
        meter: LoadMeter,
        max_running: int,
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
        self._registry = RequestRegistry()
        self._queue = FairQueue()
        self._jobs: dict[RequestId, Job] = {}
        self._running: set[tuple[RequestId, int]] = set()
        self._pool = ThreadPoolExecutor(max_running, thread_name_prefix="upstream")
        self._stopping = threading.Event()

    @classmethod
    def launch(cls, *args: Any) -> "DispatcherProxy":
        """Start the actor and return its proxy."""
        return cast(DispatcherProxy, cls.start(*args).proxy())

    def on_start(self) -> None:
        """Start the thread that checks deadlines."""
        proxy = cast(DispatcherProxy, self.actor_ref.proxy())
        self._proxy = proxy
        ticker = threading.Thread(target=self._run_ticker, args=(proxy,), daemon=True)
        ticker.start()

    def on_stop(self) -> None:
        """Stop the threads."""
        self._stopping.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def on_failure(self, *failure: object) -> None:
        """End the process rather than continue with an inconsistent state.

        An inconsistent registry could let a request run twice. A new incarnation
        starts with an empty registry and refuses requests sent to this one.
        """
        log("dispatcher_failed", error=repr(failure[1]))
        self._on_broken()

    def _run_ticker(self, proxy: "DispatcherProxy") -> None:
        while not self._stopping.wait(TICK_INTERVAL_S):
            try:
                proxy.tick().get()
            except pykka.ActorDeadError:
                return

    def submit(self, sub: Submit, link: Link) -> None:
        """Accept an attempt, or refuse it at once."""
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
            # The earlier incarnation may have run this request before a crash.
            reason = "addressed to an earlier incarnation of this sidecar"
            return Failure(ErrorCode.STALE_INCARNATION, reason, retry_after=0.1)
        if self._draining:
            return Failure(ErrorCode.SHUTTING_DOWN, "leaving", retry_after=0.1)
        admission = admit(self._view(sub), sub.cost, sub.timeout_s, sub.priority)
        if not isinstance(admission, Success):
            return admission.failure()
        admitted = self._registry.admit(sub.request, sub.attempt, sub.repeatable, now)
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
        """Refuse requests beyond the queue's capacity, of the account that fills it."""
        refusal = queue_full_refusal(self._queue_tokens, self._meter.service_rate)
        for item in self._queue.remove_excess(self._queue_tokens):
            self._registry.add_tombstone(item.request, now)
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
        """Call the upstream; runs on a thread of the pool."""
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
        """Return whether a job may start; if so, record its start."""
        sub, now = job.submit, time.monotonic()
        if job.cancelled.is_set():
            self._registry.add_tombstone(sub.request, now)
            return False
        return self._registry.start(sub.request, sub.attempt, now)

    def finish(self, job: Job) -> None:
        """Record the end of a job and start queued ones."""
        sub, now = job.submit, time.monotonic()
        job.ended_at = now
        self._running.discard((sub.request, sub.attempt))
        self._meter.ended(len(self._running))
        self._registry.finish(sub.request, sub.attempt, now)
        self._queue.charge(sub.account, job.used - sub.cost, sub.priority)
        self._start_next()

    def cancel(self, msg: Cancel) -> None:
        """Stop an attempt whose caller no longer waits."""
        job = self._jobs.get(msg.request)
        if job is None or job.submit.attempt != msg.attempt:
            return
        if self._queue.remove(msg.request) is not None:
            self._drop(msg.request, time.monotonic())
        elif job.submit.repeatable:
            job.cancelled.set()

    def flow(self, msg: FlowControl) -> None:
        """Pause or resume reading an attempt's answer from the upstream."""
        job = self._jobs.get(msg.request)
        if job is None or job.submit.attempt != msg.attempt:
            return
        if msg.resume:
            job.flowing.set()
        else:
            job.flowing.clear()

    def add_tombstone(self, msg: Tombstone, link: Link) -> None:
        """Prevent a request from starting and reply with its verdict."""
        link.send(
            TombstoneReply(msg.request, self._tombstone(msg.request, msg.incarnation))
        )

    def _tombstone(self, request: RequestId, incarnation: Incarnation) -> Verdict:
        if incarnation != self._incarnation:
            return Verdict.MAY_HAVE_RUN
        self._queue.remove(request)
        return self._registry.add_tombstone(request, time.monotonic())

    def resume(self, msg: Resume, link: Link) -> None:
        """Continue an answer over a new link, or report that it is lost."""
        job = self._jobs.get(msg.request)
        same = job is not None and job.submit.attempt == msg.attempt
        if job is not None and same and job.can_resume(msg):
            job.attach(link, msg)
            return
        verdict = self._tombstone(msg.request, msg.incarnation)
        reason = "the link was lost before the answer"
        exc = Failure(ErrorCode.UPSTREAM_LOST, reason, verdict, retry_after=0.1)
        link.send(Fail.from_failure(msg.request, msg.attempt, exc))

    def link_lost(self, link: Link) -> None:
        """Keep the answers of a link's jobs for a resume."""
        now = time.monotonic()
        for job in self._jobs.values():
            if job.link is link:
                job.detach(now)

    def tick(self) -> None:
        """Expire queued requests and old answers."""
        now = time.monotonic()
        self._expire(now)
        self._remove_old(now)

    def _expire(self, now: float) -> None:
        for item in self._queue.expire(now):
            job = self._jobs[item.request]
            job.ended_at = now
            self._registry.add_tombstone(item.request, now)
            job.fail(deadline_refusal(self._queue.tokens, self._meter.service_rate))

    def _remove_old(self, now: float) -> None:
        for request, job in list(self._jobs.items()):
            if job.ended_at is not None and now - job.ended_at > ANSWER_RETENTION_S:
                del self._jobs[request]
            elif _abandoned(job, now):
                job.cancelled.set()
                if self._queue.remove(request) is not None:
                    self._drop(request, now)

    def _drop(self, request: RequestId, now: float) -> None:
        self._registry.add_tombstone(request, now)
        del self._jobs[request]

    def load(self) -> Load:
        """Return the numbers of running and queued requests."""
        queue = self._queue
        return Load(len(self._running), self._meter.limit, len(queue), queue.tokens)

    def open_on(self, model: Model) -> int:
        """Return the number of queued and running requests for a model."""
        jobs = self._jobs.values()
        return sum(j.submit.model == model and j.ended_at is None for j in jobs)

    def refuse_new(self) -> None:
        """Refuse new requests from now on."""
        self._draining = True


class DispatcherProxy(pykka.ActorProxy[Dispatcher]):
    """Proxy of the dispatcher, for any thread."""

    submit = proxied(Dispatcher.submit)
    cancel = proxied(Dispatcher.cancel)
    add_tombstone = proxied(Dispatcher.add_tombstone)
    flow = proxied(Dispatcher.flow)
    resume = proxied(Dispatcher.resume)
    link_lost = proxied(Dispatcher.link_lost)
    begin = proxied(Dispatcher.begin)
    finish = proxied(Dispatcher.finish)
    tick = proxied(Dispatcher.tick)
    load = proxied(Dispatcher.load)
    open_on = proxied(Dispatcher.open_on)
    refuse_new = proxied(Dispatcher.refuse_new)


def drain(dispatcher: DispatcherProxy, limit: float, forced: threading.Event) -> int:
    """Refuse new requests and finish the others; return the number of cut jobs."""
    dispatcher.refuse_new().get()
    end = time.monotonic() + limit
    while True:
        load = dispatcher.load().get()
        left = load.running + load.queued
        if not left or time.monotonic() >= end or forced.wait(TICK_INTERVAL_S):
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
    return job.submit.repeatable and now - job.orphaned_at > RESUME_GRACE_S
