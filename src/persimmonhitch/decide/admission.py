"""Admission control at one upstream: run, queue or refuse a request.

Load pattern: saturation and bursts. An unbounded queue accepts requests whose callers
have given up by the time they run. A queue bounded by the number of requests refuses a
burst of short requests that would finish in time, and accepts a few huge requests that
won't. This queue is bounded by time: the predicted wait is the number of tokens queued
ahead of the request, divided by the rate at which the upstream has served tokens. A
request that can't finish before its deadline is refused at once, with a time after
which to retry; every other request may wait.

Only ``WAIT_ESTIMATE_WEIGHT`` of the predicted wait counts, because predictions err in
both directions: a wrongly refused request, such as a booking, is lost, whereas
``FairQueue.expire`` removes a wrongly admitted request while it waits. ``MAX_QUEUE_S``
bounds the queue of an upstream when callers set very long deadlines.
"""

from dataclasses import dataclass
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..verdict import ErrorCode, Failure, Verdict
from ..wire.messages import Priority

WAIT_ESTIMATE_WEIGHT: Final = 0.8
MAX_QUEUE_S: Final = 30.0
MAX_BATCH_QUEUE_S: Final = 8 * 3600.0
MIN_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 60.0
MIN_RATE: Final = 1.0
"""Lower bound of the service rate in estimates, in tokens per second."""
RESERVED_THREADS: Final = 4
"""Threads of an entry that stay free for refusals, health checks and metrics."""
EXPECTED_OUTPUT_SHARE: Final = 0.25
"""Share of its maximum output that a request is assumed to produce."""
RATE_WINDOW_S: Final = 1.0
EWMA_WEIGHT: Final = 0.3
"""Weight of the newest window in the moving average of the service rate."""


@dataclass(frozen=True)
class LoadView:
    """Load of one upstream, as seen by admission control.

    Attributes
    ----------
    backlog : float
        Queued tokens that are served before the request.
    rate : float
        Tokens per second, prompt and output, that the upstream serves when busy;
        0 if it has not been busy yet.
    first_token_s : float
        Seconds from the start of a request at the upstream to its first token.
    running, limit : int
        Number of running requests, and its upper bound.
    """

    backlog: float
    rate: float
    first_token_s: float = 0.0
    running: int = 0
    limit: int = 1

    @property
    def wait_s(self) -> float:
        """Return the predicted wait of a new request in seconds."""
        if self.rate <= 0.0 or (self.backlog <= 0.0 and self.running < self.limit):
            return 0.0
        return self.backlog / max(self.rate, MIN_RATE)


@dataclass(frozen=True)
class Admitted:
    """An admitted request; ``wait_s`` is its predicted wait in seconds."""

    wait_s: float


def max_queue_tokens(rate: float, priority: Priority = Priority.INTERACTIVE) -> float:
    """Return the maximum number of queued tokens at a service rate of ``rate``."""
    is_batch = priority is Priority.BATCH
    max_wait_s = MAX_BATCH_QUEUE_S if is_batch else MAX_QUEUE_S
    return max(rate, MIN_RATE) * max_wait_s


def retry_after(excess_s: float) -> float:
    """Return the seconds after which to retry a wait too long by ``excess_s``."""
    return min(max(excess_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def queue_full_refusal(tokens: float, rate: float) -> Failure:
    """Return the refusal of a request that exceeds the bound of the queue."""
    retry_s = retry_after(tokens / max(rate, MIN_RATE))
    return _refusal(ErrorCode.OVERLOADED, "the queue is full", retry_s)


def deadline_refusal(tokens: float, rate: float) -> Failure:
    """Return the refusal of a request whose deadline passed in the queue."""
    retry_s = retry_after(tokens / max(rate, MIN_RATE))
    return _refusal(ErrorCode.DEADLINE, "the deadline passed in the queue", retry_s)


def admit(
    view: LoadView,
    cost: float,
    remaining_s: float,
    priority: Priority,
    service_s: float = 0.0,
) -> Result[Admitted, Failure]:
    """Decide whether to admit a request.

    Parameters
    ----------
    view : LoadView
        Load of the upstream that would run the request.
    cost : float
        Tokens reserved for the request.
    remaining_s : float
        Seconds until the deadline of the request.
    priority : Priority
        Priority class of the request.
    service_s : float
        Expected service time once started, in seconds; 0 if unknown.
    """
    if remaining_s <= service_s:
        return Err(_refusal(ErrorCode.DEADLINE, "too little time left", None))
    wait_s = view.wait_s
    max_wait_s = remaining_s - service_s - view.first_token_s
    if WAIT_ESTIMATE_WEIGHT * wait_s > max(max_wait_s, 0.0):
        retry_s = retry_after(WAIT_ESTIMATE_WEIGHT * wait_s - max_wait_s)
        return Err(_refusal(ErrorCode.OVERLOADED, "can't finish in time", retry_s))
    max_tokens = max_queue_tokens(view.rate, priority)
    if view.rate > 0.0 and view.backlog > 0.0 and view.backlog + cost > max_tokens:
        retry_s = retry_after((view.backlog + cost - max_tokens) / view.rate)
        return Err(_refusal(ErrorCode.OVERLOADED, "queue is full", retry_s))
    return Success(Admitted(wait_s))


def _refusal(code: ErrorCode, message: str, retry_s: float | None) -> Failure:
    return Failure(code, message, Verdict.NOT_RUN, retry_s)


def expected_service(first_token_s: float, gap_s: float, max_output: float) -> float:
    """Return the expected service time of a request in seconds."""
    return first_token_s + gap_s * EXPECTED_OUTPUT_SHARE * max_output


class ServiceRate:
    """Tokens per second that an upstream serves while requests wait for it.

    An upstream with an empty queue serves only the requested tokens. If that low rate
    were taken for its capacity, long waits would be predicted for the next burst.
    """

    def __init__(self) -> None:
        self.rate = 0.0
        self._window_start: float | None = None
        self._window_tokens = 0.0

    def on_start(self, now: float, cost: float, waiting: int) -> None:
        """Record a request that leaves the queue, and the number still waiting."""
        if waiting == 0:
            self._window_start = None
            return
        if self._window_start is None:
            self._window_start = now
            self._window_tokens = 0.0
            return
        self._window_tokens += cost
        elapsed_s = now - self._window_start
        if elapsed_s < RATE_WINDOW_S:
            return
        measured = self._window_tokens / elapsed_s
        weight = EWMA_WEIGHT if self.rate > 0.0 else 1.0
        self.rate += weight * (measured - self.rate)
        self._window_start = now
        self._window_tokens = 0.0


def connections_refusal(open_requests: int, max_requests: int) -> Failure | None:
    """Return a refusal if the entry has no thread to spare for a request, else None.

    ``RESERVED_THREADS`` threads stay free. If long streams occupied all threads, new
    callers and the load balancer's readiness probe would wait unnoticed in the listen
    backlog, and the balancer would mark a healthy entry as dead.
    """
    if open_requests <= max_requests - RESERVED_THREADS:
        return None
    return _refusal(ErrorCode.OVERLOADED, "all connections are busy", MIN_RETRY_AFTER_S)
