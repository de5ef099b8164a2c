"""What is let in, what waits, and what is refused at once.

Load pattern: saturation and bursts. A queue without bounds takes on work that its
callers have given up by the time it runs; a queue bounded by count refuses a burst of
short requests that would have been served in time and takes giant ones that won't.
Here the bound is time: the wait predicted from tokens that go before the request and
from the rate at which the upstream has been seen to serve tokens. What can't finish
before its deadline is refused at once, with when to come back; what can, waits.

A prediction errs. The wait is counted at ``TRUST`` of its estimate, because a refusal
of a request that would have made it is a lost booking, whereas one let in too many is
found out by ``FairQueue.expire`` while it waits. ``QUEUE_SECONDS`` bounds what waits at
one upstream when callers set no deadline worth the name.
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
RESERVED_THREADS: Final = 4
"""Threads of an entry that only answer at once: refusals, health, metrics."""
EXPECTED_OUTPUT_SHARE: Final = 0.25
"""Part of the allowed output that a request is sure enough to use."""
RATE_WINDOW_S: Final = 1.0
EWMA_WEIGHT: Final = 0.3
"""Weight of the newest window in the service rate."""


@dataclass(frozen=True)
class LoadView:
    """Load of one upstream as the decider knows it.

    Attributes
    ----------
    ahead : float
        Tokens that wait and are served before the request.
    rate : float
        Tokens a second, prompt and output, that the upstream serves when busy;
        0 when it has not been seen busy yet.
    first_token : float
        Seconds from the upstream's start until the first token.
    running, limit : int
        Requests that run, and how many may.
    """

    backlog: float
    rate: float
    first_token_s: float = 0.0
    running: int = 0
    limit: int = 1

    @property
    def wait_s(self) -> float:
        """Return the seconds that a new request is predicted to wait."""
        if self.rate <= 0.0 or (self.backlog <= 0.0 and self.running < self.limit):
            return 0.0
        return self.backlog / max(self.rate, MIN_RATE)


@dataclass(frozen=True)
class Admitted:
    """A request is let in; ``wait`` is the predicted wait in seconds."""

    wait_s: float


def max_queue_tokens(rate: float, priority: Priority = Priority.INTERACTIVE) -> float:
    """Return how many tokens may wait at an upstream that serves at ``rate``."""
    is_batch = priority is Priority.BATCH
    max_wait_s = MAX_BATCH_QUEUE_S if is_batch else MAX_QUEUE_S
    return max(rate, MIN_RATE) * max_wait_s


def retry_after(excess_s: float) -> float:
    """Return when to come back, for a wait that is ``excess`` seconds too long."""
    return min(max(excess_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def queue_full_refusal(tokens: float, rate: float) -> Failure:
    """Return the refusal of a request that the full queue can't hold."""
    retry_s = retry_after(tokens / max(rate, MIN_RATE))
    return _refusal(ErrorCode.OVERLOADED, "the queue is full", retry_s)


def deadline_refusal(tokens: float, rate: float) -> Failure:
    """Return the refusal of a request whose time ran out in the queue."""
    retry_s = retry_after(tokens / max(rate, MIN_RATE))
    return _refusal(ErrorCode.DEADLINE, "the deadline passed in the queue", retry_s)


def admit(
    view: LoadView,
    cost: float,
    remaining_s: float,
    priority: Priority,
    service_s: float = 0.0,
) -> Result[Admitted, Failure]:
    """Decide whether a request is let in.

    Parameters
    ----------
    view : LoadView
        Load of the upstream that would run it.
    cost : float
        Tokens reserved for the request.
    deadline_left : float
        Seconds until its deadline.
    priority : Priority
        Its class.
    needs : float
        Seconds of service it needs once started, 0 when unknown.
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
    """Return the seconds of service that a request is expected to need."""
    return first_token_s + gap_s * EXPECTED_OUTPUT_SHARE * max_output


class ServiceRate:
    """Tokens a second that an upstream serves while work waits for it.

    Counts only while work waits: what an idle upstream serves is what it was asked
    for, and taken as its speed it would predict long waits for the next burst.
    """

    def __init__(self) -> None:
        self.rate = 0.0
        self._window_start: float | None = None
        self._window_tokens = 0.0

    def on_start(self, now: float, cost: float, waiting: int) -> None:
        """Note a request that leaves the queue, and how many wait behind it."""
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
    """Return the refusal of a request that an entry has no thread to wait with.

    Threads for ``READY_THREADS`` requests are kept: with all of them held by long
    streams, callers would wait unseen in the listener's backlog, and the balancer's
    look at readiness with them, until it took a healthy entry for dead.
    """
    if open_requests <= max_requests - RESERVED_THREADS:
        return None
    return _refusal(ErrorCode.OVERLOADED, "all connections are busy", MIN_RETRY_AFTER_S)
