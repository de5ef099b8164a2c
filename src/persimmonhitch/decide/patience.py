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
from .dispatch import Need, Step

LEAST_WAIT: Final = 0.05
AIM_PART: Final = 0.9
"""Part of the aim that may pass before the call is sent; the rest is for its answer."""
FULL_RETRY: Final = 0.5
"""Seconds after which a place may be free: about the time of a short answer."""
LOAD_WORD: Final = 0.5
"""Seconds within which the holder of the lease of orders says that a load has begun;
without its word none may come, since every place may hold what is asked for more."""
LIMIT_WORD: Final = 0.3
"""Seconds within which a call is told whether there is a place for it at an upstream
that limits its requests."""
LOAD_PART: Final = 0.6
"""Part of its time that a call spends on a load: what is left has to do for the wait
behind the others that waited for it, and for its answer."""
EVENT_TIME: Final = 0.4
"""Seconds from the end of a load to the first event: the adapter's order, the prompt,
and those of others that waited for the same load."""
SPREAD: Final = 0.5
"""Part of a retry time by which it is lengthened at random."""


def give_up_at(need: Need) -> float:
    """Return the monotonic time up to which a call waits for a place."""
    aim = need.arrived + (need.aim_at - need.arrived) * AIM_PART
    return min(need.deadline_at, max(aim, need.arrived + LEAST_WAIT))


def load_limit(need: Need) -> float:
    """Return the monotonic time up to which a call waits for a model's load.

    A caller leaves a stream of which nothing comes, often long before its deadline. One
    that waits for a load that ends after that gets no answer and no time to come back.
    """
    part = need.arrived + (need.deadline_at - need.arrived) * LOAD_PART
    return min(part, need.event_by - EVENT_TIME)


def limited(need: Need, wait: float | None) -> Failure:
    """Return what a caller is told if all upstreams for its call limit their requests.

    ``wait`` are the seconds until one of them takes another, None if not known.
    """
    spread = 1.0 + random.random() * SPREAD
    reason = f"all upstreams of {need.service} that can run this limit their requests"
    after = max(wait or FULL_RETRY, LEAST_WAIT) * spread
    return Failure(ErrorCode.OVERLOADED, reason, retry_after=after)


def refusal(step: Step, need: Need, load_time: float | None = None) -> Failure:
    """Return what a caller is told whose call found no place.

    ``load_time`` are the seconds until its model is loaded, None if no load has begun.
    """
    spread = 1.0 + random.random() * SPREAD
    if step is Step.NONE:
        reason = f"no upstream of {need.service} is known"
        return Failure(ErrorCode.NO_UPSTREAM, reason, retry_after=FULL_RETRY * spread)
    if step is Step.LOAD and load_time is None:
        reason = f"no upstream has {need.model}, and none loads it yet"
        return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=FULL_RETRY * spread)
    if step is Step.LOAD:
        reason = f"{need.model} is being loaded, ready in {load_time:.1f} s"
        after = max(FULL_RETRY, load_time or 0.0)
        return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=after * spread)
    if step is Step.FETCH:
        reason = f"an adapter of {need.model} is being loaded"
        return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=FULL_RETRY * spread)
    if step is Step.WAIT_TO_FETCH:
        reason = (
            f"the upstreams with {need.model} load no adapter until a load has ended"
        )
        return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=FULL_RETRY * spread)
    reason = f"all upstreams of {need.service} that can run this are full"
    return Failure(ErrorCode.OVERLOADED, reason, retry_after=FULL_RETRY * spread)
