"""Which upstream a call goes to now, or what has to happen first.

Load pattern: engines batch up to a number of places and read prompts one after the
other; several entries send to the same engines and know each other's work a fraction of
a second late. A call that is sent to a full engine waits there behind others, whatever
its rank; and where more prompts and answers meet than an engine's memory holds, it
throws out a request in the middle of its answer and reads its prompt anew.

So a call waits here until an engine has a place and memory for it, and goes where its
first token is expected soonest. An adapter that is not there yet costs a load of some
ten milliseconds and a place that another adapter may need: ``FETCH_COST`` keeps calls
where their adapter is until the other engines are clearly sooner. ``ZONE_COST`` is what
a trip between availability zones costs, a few milliseconds there and back with the
bytes that are paid for. ``READ_RATE`` stands in until an engine's own rate is known.

Dozens of entries that look at the same news all find the same engine the soonest, and
send it everything that comes before the next news; the engine that has just come, or
come back, gets all of it. So a call goes to the best engine or, the more likely the
closer it is, to another one that is as good but for its wait. Waits that differ by less
than the mean of all are in doubt: with so much to read, about as much again has been
sent that nobody has heard of. Where engines are idle, news are as good as new.
"""

import math
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from statistics import fmean as mean
from typing import Final

from ..ids import Adapter, Fingerprint, Model, Service, Upstream, Zone

ADAPTER_LOAD_COST_S: Final = 0.08
"""Seconds of waiting that a call takes on to stay where its adapter is."""
CROSS_ZONE_COST_S: Final = 0.04
"""Seconds; see the module."""
DEFAULT_READ_RATE: Final = 15_000.0
"""Prompt tokens a second that an engine reads; a third less than the published rate of
an engine that does nothing else."""
MIN_WAIT_ERROR_S: Final = 0.005
"""Seconds by which waits always are in doubt: a step of an engine."""
MAX_KV_SHARE: Final = 0.97
"""Part of an engine's memory for tokens that calls may fill: prompts that are shared
are counted once too often, outputs mostly end before their limit."""


@dataclass(frozen=True)
class DispatchRequest:
    """One call that looks for an upstream; times are monotonic seconds."""

    service: Service
    model: Model | None
    adapter: Adapter | None
    prompt_tokens: int
    kv_tokens: int
    rank: int
    arrived: float
    latency_target_at: float
    first_event_by: float
    """When its caller leaves if nothing has come of a stream."""
    deadline_at: float
    fingerprint: Fingerprint = Fingerprint("")


@dataclass
class UpstreamView:
    """One upstream as this entry sees it, with the work of all entries."""

    upstream: Upstream
    zone: Zone
    slots: int
    kv_capacity: int
    running: int
    kv_tokens: int
    unread: int
    has_model: bool
    has_adapter: bool
    loads_adapters: bool = True
    """Whether it takes an order for an adapter now; none while it loads a model."""
    read_rate: float = DEFAULT_READ_RATE
    traffic_share: float = 1.0
    """Part of its usual work that it gets while it returns from failures; 0 is none."""
    unresponsive: bool = False
    """Whether it says nothing to the calls that run there."""


class Step(Enum):
    """What is to be done for a call."""

    SEND = "send"
    LOAD_ADAPTER = "fetch"
    """Have the adapter loaded at the upstream, then look again."""
    LOAD = "load"
    """No upstream has the model."""
    WAIT = "wait"
    """All upstreams that could run it are full."""
    WAIT_FOR_MODEL = "wait_to_fetch"
    """Its adapter is nowhere, and all upstreams of its model load another model."""
    NO_UPSTREAM = "none"
    """There is no upstream."""


@dataclass(frozen=True)
class Choice:
    """A step, and the upstream that it is about."""

    step: Step
    upstream: Upstream | None = None


def first_token_delay(view: UpstreamView, request: DispatchRequest) -> float:
    """Return the seconds until a call's first token, if it were sent now."""
    return (view.unread + request.prompt_tokens) / view.read_rate


def has_capacity(view: UpstreamView, request: DispatchRequest) -> bool:
    """Return whether an upstream has a place and memory for one more call."""
    if view.traffic_share <= 0 or view.running >= max(
        1.0, view.slots * view.traffic_share
    ):
        return False
    if view.kv_capacity <= 0 or view.running == 0:
        return True
    return view.kv_tokens + request.kv_tokens <= view.kv_capacity * MAX_KV_SHARE


def weighted_wait(view: UpstreamView, request: DispatchRequest, zone: Zone) -> float:
    """Return the expected wait at an upstream with what else counts against it."""
    wait = first_token_delay(view, request)
    wait += view.running / max(1, view.slots) * 0.05
    if request.adapter is not None and not view.has_adapter:
        wait += ADAPTER_LOAD_COST_S
    if view.zone != zone:
        wait += CROSS_ZONE_COST_S
    return wait / max(view.traffic_share, 0.05)


def choose_upstream(
    views: Iterable[UpstreamView],
    request: DispatchRequest,
    zone: Zone,
    draw: Callable[[], float] = random.random,
) -> Choice:
    """Return what to do for a call now; ``draw`` returns a number from 0 to 1."""
    candidates = list(views)
    if not candidates:
        return Choice(Step.NO_UPSTREAM)
    eligible = [v for v in candidates if request.model is None or v.has_model]
    if not eligible:
        return Choice(Step.LOAD)
    eligible = [
        v
        for v in eligible
        if request.adapter is None or v.has_adapter or v.loads_adapters
    ]
    if not eligible:
        return Choice(Step.WAIT_FOR_MODEL)
    available = [view for view in eligible if has_capacity(view, request)]
    if not available:
        return Choice(Step.WAIT)
    best = _choose_near_best(available, request, zone, draw())
    if request.adapter is not None and not best.has_adapter:
        return Choice(Step.LOAD_ADAPTER, best.upstream)
    return Choice(Step.SEND, best.upstream)


def _choose_near_best(
    views: Sequence[UpstreamView], request: DispatchRequest, zone: Zone, sample: float
) -> UpstreamView:
    """Return the best lane, or one as good but for a wait that is in doubt."""
    costs = [weighted_wait(view, request, zone) for view in views]
    error = max(MIN_WAIT_ERROR_S, mean(view.unread / view.read_rate for view in views))
    least = min(costs)
    best = views[costs.index(least)]
    weights = [
        math.exp((least - seconds) / error) if _is_equivalent(view, best, zone) else 0.0
        for view, seconds in zip(views, costs, strict=True)
    ]
    remaining = sample * sum(weights)
    for view, weight in zip(views, weights, strict=True):
        remaining -= weight
        if remaining < 0:
            return view
    return best


def _is_equivalent(view: UpstreamView, best: UpstreamView, zone: Zone) -> bool:
    """Return whether a lane differs from the best one in nothing but its wait."""
    same_side = (view.zone == zone) == (best.zone == zone)
    return same_side and view.has_adapter == best.has_adapter
