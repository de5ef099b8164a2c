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

TRUST: Final = 0.8
QUEUE_SECONDS: Final = 30.0
BATCH_QUEUE_SECONDS: Final = 8 * 3600.0
LEAST_RETRY: Final = 1.0
MOST_RETRY: Final = 60.0
LEAST_RATE: Final = 1.0
READY_THREADS: Final = 4
"""Threads of an entry that only answer at once: refusals, health, metrics."""
LIKELY_OUTPUT: Final = 0.25
"""Part of the allowed output that a request is sure enough to use."""
RATE_WINDOW: Final = 1.0
RATE_NEW: Final = 0.3
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

    ahead: float
    rate: float
    first_token: float = 0.0
    running: int = 0
    limit: int = 1

    @property
    def wait(self) -> float:
        """Return the seconds that a new request is predicted to wait."""
        if self.rate <= 0.0 or (self.ahead <= 0.0 and self.running < self.limit):
            return 0.0
        return self.ahead / max(self.rate, LEAST_RATE)


@dataclass(frozen=True)
class Admitted:
    """A request is let in; ``wait`` is the predicted wait in seconds."""

    wait: float


def queue_bound(rate: float, priority: Priority = Priority.INTERACTIVE) -> float:
    """Return how many tokens may wait at an upstream that serves at ``rate``."""
    batch = priority is Priority.BATCH
    seconds = BATCH_QUEUE_SECONDS if batch else QUEUE_SECONDS
    return max(rate, LEAST_RATE) * seconds


def retry_after(excess: float) -> float:
    """Return when to come back, for a wait that is ``excess`` seconds too long."""
    return min(max(excess, LEAST_RETRY), MOST_RETRY)


def queue_full(tokens: float, rate: float) -> Failure:
    """Return the refusal of a request that the full queue can't hold."""
    back = retry_after(tokens / max(rate, LEAST_RATE))
    return _refusal(ErrorCode.OVERLOADED, "the queue is full", back)


def expired(tokens: float, rate: float) -> Failure:
    """Return the refusal of a request whose time ran out in the queue."""
    back = retry_after(tokens / max(rate, LEAST_RATE))
    return _refusal(ErrorCode.DEADLINE, "the deadline passed in the queue", back)


def admit(
    view: LoadView,
    cost: float,
    deadline_left: float,
    priority: Priority,
    needs: float = 0.0,
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
    if deadline_left <= needs:
        return Err(_refusal(ErrorCode.DEADLINE, "too little time left", None))
    wait = view.wait
    longest = deadline_left - needs - view.first_token
    if TRUST * wait > max(longest, 0.0):
        back = retry_after(TRUST * wait - longest)
        return Err(_refusal(ErrorCode.OVERLOADED, "can't finish in time", back))
    bound = queue_bound(view.rate, priority)
    if view.rate > 0.0 and view.ahead > 0.0 and view.ahead + cost > bound:
        back = retry_after((view.ahead + cost - bound) / view.rate)
        return Err(_refusal(ErrorCode.OVERLOADED, "queue is full", back))
    return Success(Admitted(wait))


def _refusal(code: ErrorCode, message: str, back: float | None) -> Failure:
    return Failure(code, message, Verdict.NOT_RUN, back)


def likely_service(first_token: float, gap: float, most_output: float) -> float:
    """Return the seconds of service that a request is expected to need."""
    return first_token + gap * LIKELY_OUTPUT * most_output


class ServiceRate:
    """Tokens a second that an upstream serves while work waits for it.

    Counts only while work waits: what an idle upstream serves is what it was asked
    for, and taken as its speed it would predict long waits for the next burst.
    """

    def __init__(self) -> None:
        self.rate = 0.0
        self._since: float | None = None
        self._served = 0.0

    def on_start(self, now: float, cost: float, waiting: int) -> None:
        """Note a request that leaves the queue, and how many wait behind it."""
        if waiting == 0:
            self._since = None
            return
        if self._since is None:
            self._since = now
            self._served = 0.0
            return
        self._served += cost
        elapsed = now - self._since
        if elapsed < RATE_WINDOW:
            return
        seen = self._served / elapsed
        new = RATE_NEW if self.rate > 0.0 else 1.0
        self.rate += new * (seen - self.rate)
        self._since = now
        self._served = 0.0


def connections_full(open_requests: int, most: int) -> Failure | None:
    """Return the refusal of a request that an entry has no thread to wait with.

    Threads for ``READY_THREADS`` requests are kept: with all of them held by long
    streams, callers would wait unseen in the listener's backlog, and the balancer's
    look at readiness with them, until it took a healthy entry for dead.
    """
    if open_requests <= most - READY_THREADS:
        return None
    return _refusal(ErrorCode.OVERLOADED, "all connections are busy", LEAST_RETRY)
