"""From a submitted attempt to its answer: record, queue, limit, upstream."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from returns.result import Success

from ..decide.admission import LoadView, admit, expired, queue_full
from ..decide.fairness import FairQueue, Waiting
from ..ids import Incarnation, RequestId
from ..observe.logs import log
from ..observe.traces import Traces
from ..verdict import ErrorCode, Failure, Verdict
from ..wire.link import Link
from ..wire.messages import Buried, Bury, Cancel, Fail, Resume, Submit
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


class Dispatcher:
    """Owns every job of this sidecar.

    Parameters
    ----------
    call : UpstreamCall
        How the upstream is reached.
    meter : LoadMeter
        Says how many requests may be at the upstream at once.
    most_running : int
        Threads, the upper bound of that.
    queue_tokens : float
        Most tokens that wait.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        call: UpstreamCall,
        meter: LoadMeter,
        most_running: int,
        queue_tokens: float,
        traces: Traces,
    ) -> None:
        self.incarnation = incarnation
        self.draining = False
        self._call = call
        self.meter = meter
        self._traces = traces
        self._queue_tokens = queue_tokens
        self._seen = SeenRequests()
        self._queue = FairQueue()
        self._jobs: dict[RequestId, Job] = {}
        self._running: set[tuple[RequestId, int]] = set()
        self._lock = threading.RLock()
        self._pool = ThreadPoolExecutor(most_running, thread_name_prefix="upstream")
        self._stopping = threading.Event()
        self._ticker = threading.Thread(target=self._tick, name="tick", daemon=True)
        self._ticker.start()

    def submit(self, sub: Submit, link: Link) -> None:
        """Take one attempt; refusals are answered at once."""
        now = time.monotonic()
        job = Job(sub, link, now, JobSpans(self._traces, sub))
        with self._lock:
            refusal = self._refusal(sub, now)
            if refusal is None:
                self._replace(job)
                self._queue.push(_waiting(job))
            overflow = self._overflow(now)
        for late in overflow:
            late.fail(queue_full(self._queue_tokens, self.meter.service_rate))
        if refusal is not None:
            job.fail(refusal)
            return
        self._start_next()

    def _replace(self, job: Job) -> None:
        request = job.submit.request
        old = self._jobs.get(request)
        if old is not None:
            old.cancelled.set()
            self._queue.remove(request)
        self._jobs[request] = job

    def _refusal(self, sub: Submit, now: float) -> Failure | None:
        if sub.incarnation != self.incarnation:
            # Another incarnation may have run this very request before a crash.
            # It shows as a doubled booking; only the addressee may run it.
            reason = "meant for an earlier life of this sidecar"
            return Failure(ErrorCode.STALE_INCARNATION, reason, retry_after=0.1)
        if self.draining:
            return Failure(ErrorCode.SHUTTING_DOWN, "leaving", retry_after=0.1)
        admission = admit(self._view(sub), sub.cost, sub.deadline, sub.priority)
        if not isinstance(admission, Success):
            return admission.failure()
        admitted = self._seen.admit(sub.request, sub.attempt, sub.repeatable, now)
        return None if isinstance(admitted, Success) else admitted.failure()

    def _view(self, sub: Submit) -> LoadView:
        return LoadView(
            ahead=self._queue.ahead(sub.account, sub.weight, sub.priority),
            rate=self.meter.service_rate,
            first_token=self.meter.first_token_p95,
            running=len(self._running),
            limit=self.meter.limit,
        )

    def _overflow(self, now: float) -> list[Job]:
        """Take out what the queue can't hold, from the account that fills it."""
        gone = self._queue.overflow(self._queue_tokens)
        jobs = [self._jobs.pop(item.request) for item in gone]
        for job in jobs:
            self._seen.bury(job.submit.request, now)
        return jobs

    def _start_next(self) -> None:
        with self._lock:
            while len(self._running) < self.meter.limit:
                item = self._queue.pop(time.monotonic())
                if item is None:
                    return
                self.meter.left_queue(item.cost, len(self._queue))
                job = self._jobs[item.request]
                self._running.add((item.request, job.submit.attempt))
                self.meter.started(len(self._running))
                self._pool.submit(self._run, job)

    def _run(self, job: Job) -> None:
        sub = job.submit
        try:
            self._call.run(job, lambda: self._started(job), self.meter)
        except Exception as exc:
            log("job_failed", request=sub.request, error=repr(exc))
            reason = "the sidecar failed"
            job.fail(Failure(ErrorCode.INTERNAL, reason, Verdict.MAY_HAVE_RUN))
        finally:
            self._finished(job)

    def _started(self, job: Job) -> bool:
        sub = job.submit
        with self._lock:
            if job.cancelled.is_set():
                self._seen.bury(sub.request, time.monotonic())
                return False
            return self._seen.start(sub.request, sub.attempt, time.monotonic())

    def _finished(self, job: Job) -> None:
        sub = job.submit
        with self._lock:
            now = time.monotonic()
            job.ended_at = now
            self._running.discard((sub.request, sub.attempt))
            self.meter.ended(len(self._running))
            self._seen.finish(sub.request, sub.attempt, now)
            self._queue.charge(sub.account, job.used - sub.cost, sub.priority)
        self._start_next()

    def cancel(self, msg: Cancel) -> None:
        """Stop an attempt that nobody waits for any more."""
        with self._lock:
            job = self._jobs.get(msg.request)
            if job is None or job.submit.attempt != msg.attempt:
                return
            if self._queue.remove(msg.request) is not None:
                self._seen.bury(msg.request, time.monotonic())
                del self._jobs[msg.request]
                return
            if job.submit.repeatable:
                job.cancelled.set()

    def bury(self, msg: Bury, link: Link) -> None:
        """Answer what is true of a request and keep it true."""
        link.send(Buried(msg.request, self._bury(msg.request, msg.incarnation)))

    def _bury(self, request: RequestId, incarnation: Incarnation) -> Verdict:
        with self._lock:
            if incarnation != self.incarnation:
                return Verdict.MAY_HAVE_RUN
            self._queue.remove(request)
            return self._seen.bury(request, time.monotonic())

    def resume(self, msg: Resume, link: Link) -> None:
        """Go on with an answer over a new link, or say that there is none."""
        with self._lock:
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
        with self._lock:
            for job in self._jobs.values():
                if job.link is link:
                    job.detach(now)

    def _tick(self) -> None:
        while not self._stopping.wait(TICK):
            now = time.monotonic()
            self._expire(now)
            self._forget(now)

    def _expire(self, now: float) -> None:
        with self._lock:
            late = [self._jobs[item.request] for item in self._queue.expire(now)]
            for job in late:
                self._seen.bury(job.submit.request, now)
                job.ended_at = now
            waiting = self._queue.tokens
        for job in late:
            job.fail(expired(waiting, self.meter.service_rate))

    def _forget(self, now: float) -> None:
        with self._lock:
            for request, job in list(self._jobs.items()):
                if job.ended_at is not None and now - job.ended_at > KEEP_ANSWER:
                    del self._jobs[request]
                elif _abandoned(job, now):
                    job.cancelled.set()
                    if self._queue.remove(request) is not None:
                        self._seen.bury(request, now)
                        del self._jobs[request]

    def load(self) -> tuple[int, int, int, float]:
        """Return running, limit, waiting requests and waiting tokens."""
        with self._lock:
            queue = self._queue
            return len(self._running), self.meter.limit, len(queue), queue.tokens

    def drain(self, limit: float, forced: threading.Event) -> int:
        """Take nothing new, finish what is here; return how many are cut."""
        self.draining = True
        end = time.monotonic() + limit
        while self._open_jobs() and time.monotonic() < end and not forced.is_set():
            forced.wait(TICK)
        return self._open_jobs()

    def _open_jobs(self) -> int:
        with self._lock:
            return len(self._running) + len(self._queue)

    def close(self) -> None:
        """Stop the threads."""
        self._stopping.set()
        self._pool.shutdown(wait=False, cancel_futures=True)


def _waiting(job: Job) -> Waiting:
    sub = job.submit
    return Waiting(
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
