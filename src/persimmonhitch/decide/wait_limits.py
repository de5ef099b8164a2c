"""Time limits of waiting requests, and the refusals after them.

Load pattern: for seconds, callers request more than the engines can serve, or a model
that is resident on no engine. A request refused only at its deadline costs the caller
the time in which a retry or another service could have answered; a request refused too
early fails although a slot would have become free a moment later. A caller that returns
too early has spent its retries when the model is loaded.

A request waits as long as its answer can still meet the latency target of its route;
after that a later retry serves the caller as well. ``MIN_WAIT_S`` prevents the refusal
of a request with a very short latency target merely because a message is delayed. Retry
times are spread by ``RETRY_JITTER``, so that callers refused together do not retry
together.
"""

import random
from typing import Final

from ..verdict import ErrorCode, Failure
from .dispatch import DispatchRequest, Step

MIN_WAIT_S: Final = 0.05
WAIT_SHARE: Final = 0.9
"""Share of the latency target that may elapse before the request is sent; the rest is
for its answer."""
ANSWER_S: Final = 0.1
"""Seconds that remain for the answer when a request stops waiting. If it were sent at
its deadline, its caller could not learn whether it ran."""
RETRY_S: Final = 0.5
"""Seconds after which a slot may be free: about the duration of a short answer."""
LOAD_REPORT_TIMEOUT_S: Final = 0.5
"""Seconds within which the leader reports that a load has begun. Without a report there
may be no load, since every slot may be in use by a model of higher demand."""
LIMIT_REPLY_TIMEOUT_S: Final = 0.3
"""Seconds within which the leader answers whether an upstream that limits its requests
accepts one more."""
LOAD_WAIT_SHARE: Final = 0.6
"""Share of the time until its deadline that a request may wait for a load; the rest
covers the queue of requests that waited for the same load, and the answer."""
FIRST_EVENT_S: Final = 0.4
"""Seconds from the end of a load to the first event: the adapter load and the prompt
of this request and of others that waited for the same load."""
RETRY_SHARE: Final = 1 / 3
"""Share of the time until its deadline after which a caller returns at the latest if no
load has begun; it needs the rest for the request itself."""
MAX_RETRY_SPREAD_S: Final = 1.0
"""Largest extension of a retry time after a load; a rare model may be evicted again
some seconds after its load."""
RETRY_JITTER: Final = 0.5
"""Largest random extension of a retry time, as a share of it."""


def queue_key(request: DispatchRequest) -> tuple[int, float]:
    """Return the sort key of a waiting request; the lowest gets the next free slot.

    Requests of one rank go by the time at which their answers become late. By their
    arrival, those that may wait for seconds would take the slots of those that may not.
    """
    return request.rank, request.latency_target_at


def wait_deadline(request: DispatchRequest) -> float:
    """Return the monotonic time until which a request waits for a slot."""
    end = request.arrived + (request.latency_target_at - request.arrived) * WAIT_SHARE
    return min(request.deadline_at - ANSWER_S, max(end, request.arrived + MIN_WAIT_S))


def load_wait_deadline(request: DispatchRequest) -> float:
    """Return the monotonic time until which a request waits for a model load.

    Callers disconnect from a stream without events, often long before their deadline. A
    request that waits longer for a load gets no answer and no time to retry.
    """
    end = request.arrived + (request.deadline_at - request.arrived) * LOAD_WAIT_SHARE
    return min(end, request.first_event_by - FIRST_EVENT_S)


def limit_refusal(request: DispatchRequest, wait: float | None) -> Failure:
    """Return the refusal of a request whose upstreams all limit their requests.

    ``wait`` is the time in seconds until one of them accepts another request, None if
    unknown.
    """
    jitter = 1.0 + random.random() * RETRY_JITTER
    reason = (
        f"all upstreams of {request.service} that can run this limit their requests"
    )
    delay = max(wait or RETRY_S, MIN_WAIT_S) * jitter
    return Failure(ErrorCode.OVERLOADED, reason, retry_after=delay)


def load_refusal(
    step: Step, request: DispatchRequest, wait: float, now: float, loading: bool
) -> Failure:
    """Return the refusal of a request that would wait too long for a model load.

    Parameters
    ----------
    wait : float
        Expected seconds until the load has ended.
    loading : bool
        Whether the load has begun.
    """
    delay = max(RETRY_S, wait)
    if not loading:
        latest = (request.deadline_at - now) * RETRY_SHARE
        delay = max(RETRY_S, min(delay, latest))
    delay += min(delay * RETRY_JITTER, MAX_RETRY_SPREAD_S) * random.random()
    reason = f"no upstream has {request.model}, and none loads it yet"
    if step is Step.WAIT_FOR_MODEL:
        reason = (
            f"the upstreams with {request.model} load no adapter until a load has ended"
        )
    elif loading:
        reason = f"{request.model} is being loaded, ready in {wait:.1f} s"
    return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=delay)


def refusal(step: Step, request: DispatchRequest) -> Failure:
    """Return the refusal of a request that found no slot."""
    jitter = 1.0 + random.random() * RETRY_JITTER
    if step is Step.NO_UPSTREAM:
        reason = f"no upstream of {request.service} is known"
        return Failure(ErrorCode.NO_UPSTREAM, reason, retry_after=RETRY_S * jitter)
    if step is Step.LOAD_ADAPTER:
        reason = f"an adapter of {request.model} is being loaded"
        return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=RETRY_S * jitter)
    reason = f"all upstreams of {request.service} that can run this are full"
    return Failure(ErrorCode.OVERLOADED, reason, retry_after=RETRY_S * jitter)
