"""How long a call waits for a place, and what it is told when there is none.

Load pattern: more is asked than the engines can give for seconds, or a model that is
asked for is on no engine. A call that waits to its deadline and is refused then has
cost its caller all the time in which it could have gone elsewhere or come back; one
refused too early is lost although a place came free a moment later.

A call waits as long as its answer would still come on time, by its route's aim; after
that a later try serves it no worse than waiting does. ``LEAST_WAIT`` keeps calls with
hardly an aim from being refused by the delay of a message. Retry times are spread over
``SPREAD``, so that those who were refused together don't come back together.
"""

import random
from typing import Final

from ..verdict import ErrorCode, Failure
from .dispatch import DispatchRequest, Step

MIN_WAIT_S: Final = 0.05
WAIT_SHARE: Final = 0.9
"""Part of the aim that may pass before the call is sent; the rest is for its answer."""
RETRY_S: Final = 0.5
"""Seconds after which a place may be free: about the time of a short answer."""
LOAD_REPORT_TIMEOUT_S: Final = 0.5
"""Seconds within which the holder of the lease of orders says that a load has begun;
without its word none may come, since every place may hold what is asked for more."""
LIMIT_REPLY_TIMEOUT_S: Final = 0.3
"""Seconds within which a call is told whether there is a place for it at an upstream
that limits its requests."""
LOAD_WAIT_SHARE: Final = 0.6
"""Part of its time that a call spends on a load: what is left has to do for the wait
behind the others that waited for it, and for its answer."""
FIRST_EVENT_S: Final = 0.4
"""Seconds from the end of a load to the first event: the adapter's order, the prompt,
and those of others that waited for the same load."""
RETRY_JITTER: Final = 0.5
"""Part of a retry time by which it is lengthened at random."""


def wait_deadline(request: DispatchRequest) -> float:
    """Return the monotonic time up to which a call waits for a place."""
    end = request.arrived + (request.latency_target_at - request.arrived) * WAIT_SHARE
    return min(request.deadline_at, max(end, request.arrived + MIN_WAIT_S))


def load_wait_deadline(request: DispatchRequest) -> float:
    """Return the monotonic time up to which a call waits for a model's load.

    A caller leaves a stream of which nothing comes, often long before its deadline. One
    that waits for a load that ends after that gets no answer and no time to come back.
    """
    end = request.arrived + (request.deadline_at - request.arrived) * LOAD_WAIT_SHARE
    return min(end, request.first_event_by - FIRST_EVENT_S)


def limit_refusal(request: DispatchRequest, wait: float | None) -> Failure:
    """Return what a caller is told if all upstreams for its call limit their requests.

    ``wait`` are the seconds until one of them takes another, None if not known.
    """
    jitter = 1.0 + random.random() * RETRY_JITTER
    reason = (
        f"all upstreams of {request.service} that can run this limit their requests"
    )
    delay = max(wait or RETRY_S, MIN_WAIT_S) * jitter
    return Failure(ErrorCode.OVERLOADED, reason, retry_after=delay)


def refusal(step: Step, request: DispatchRequest, wait: float | None = None) -> Failure:
    """Return what a caller is told whose call found no place.

    ``load_time`` are the seconds until its model is loaded, None if no load has begun.
    """
    jitter = 1.0 + random.random() * RETRY_JITTER
    if step is Step.NO_UPSTREAM:
        reason = f"no upstream of {request.service} is known"
        return Failure(ErrorCode.NO_UPSTREAM, reason, retry_after=RETRY_S * jitter)
    if step is Step.LOAD and wait is None:
        reason = f"no upstream has {request.model}, and none loads it yet"
        return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=RETRY_S * jitter)
    if step is Step.LOAD:
        reason = f"{request.model} is being loaded, ready in {wait:.1f} s"
        delay = max(RETRY_S, wait or 0.0)
        return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=delay * jitter)
    if step is Step.LOAD_ADAPTER:
        reason = f"an adapter of {request.model} is being loaded"
        return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=RETRY_S * jitter)
    if step is Step.WAIT_FOR_MODEL:
        reason = (
            f"the upstreams with {request.model} load no adapter until a load has ended"
        )
        return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=RETRY_S * jitter)
    reason = f"all upstreams of {request.service} that can run this are full"
    return Failure(ErrorCode.OVERLOADED, reason, retry_after=RETRY_S * jitter)
