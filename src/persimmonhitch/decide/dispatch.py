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

FETCH_COST: Final = 0.08
"""Seconds of waiting that a call takes on to stay where its adapter is."""
ZONE_COST: Final = 0.04
"""Seconds; see the module."""
READ_RATE: Final = 15_000.0
"""Prompt tokens a second that an engine reads; a third less than the published rate of
an engine that does nothing else."""
LEAST_DOUBT: Final = 0.005
"""Seconds by which waits always are in doubt: a step of an engine."""
KV_PART: Final = 0.97
"""Part of an engine's memory for tokens that calls may fill: prompts that are shared
are counted once too often, outputs mostly end before their limit."""


@dataclass(frozen=True)
class Need:
    """One call that looks for an upstream; times are monotonic seconds."""

    service: Service
    model: Model | None
    adapter: Adapter | None
    prompt: int
    tokens: int
    rank: int
    arrived: float
    aim_at: float
    event_by: float
    """When its caller leaves if nothing has come of a stream."""
    deadline_at: float
    call: Fingerprint = Fingerprint("")


@dataclass
class Lane:
    """One upstream as this entry sees it, with the work of all entries."""

    upstream: Upstream
    zone: Zone
    slots: int
    kv_tokens: int
    running: int
    tokens: int
    unread: int
    model_here: bool
    adapter_here: bool
    fetches: bool = True
    """Whether it takes an order for an adapter now; none while it loads a model."""
    read_rate: float = READ_RATE
    trust: float = 1.0
    """Part of its usual work that it gets while it returns from failures; 0 is none."""
    silent: bool = False
    """Whether it says nothing to the calls that run there."""


class Step(Enum):
    """What is to be done for a call."""

    SEND = "send"
    FETCH = "fetch"
    """Have the adapter loaded at the upstream, then look again."""
    LOAD = "load"
    """No upstream has the model."""
    WAIT = "wait"
    """All upstreams that could run it are full."""
    WAIT_TO_FETCH = "wait_to_fetch"
    """Its adapter is nowhere, and all upstreams of its model load another model."""
    NONE = "none"
    """There is no upstream."""


@dataclass(frozen=True)
class Choice:
    """A step, and the upstream that it is about."""

    step: Step
    upstream: Upstream | None = None


def first_token_in(lane: Lane, need: Need) -> float:
    """Return the seconds until a call's first token, if it were sent now."""
    return (lane.unread + need.prompt) / lane.read_rate


def has_room(lane: Lane, need: Need) -> bool:
    """Return whether an upstream has a place and memory for one more call."""
    if lane.trust <= 0 or lane.running >= max(1.0, lane.slots * lane.trust):
        return False
    if lane.kv_tokens <= 0 or lane.running == 0:
        return True
    return lane.tokens + need.tokens <= lane.kv_tokens * KV_PART


def cost(lane: Lane, need: Need, zone: Zone) -> float:
    """Return the expected wait at an upstream with what else counts against it."""
    wait = first_token_in(lane, need)
    wait += lane.running / max(1, lane.slots) * 0.05
    if need.adapter is not None and not lane.adapter_here:
        wait += FETCH_COST
    if lane.zone != zone:
        wait += ZONE_COST
    return wait / max(lane.trust, 0.05)


def choose(
    lanes: Iterable[Lane],
    need: Need,
    zone: Zone,
    draw: Callable[[], float] = random.random,
) -> Choice:
    """Return what to do for a call now; ``draw`` returns a number from 0 to 1."""
    every = list(lanes)
    if not every:
        return Choice(Step.NONE)
    able = [ln for ln in every if need.model is None or ln.model_here]
    if not able:
        return Choice(Step.LOAD)
    able = [ln for ln in able if need.adapter is None or ln.adapter_here or ln.fetches]
    if not able:
        return Choice(Step.WAIT_TO_FETCH)
    open_lanes = [lane for lane in able if has_room(lane, need)]
    if not open_lanes:
        return Choice(Step.WAIT)
    best = _spread(open_lanes, need, zone, draw())
    if need.adapter is not None and not best.adapter_here:
        return Choice(Step.FETCH, best.upstream)
    return Choice(Step.SEND, best.upstream)


def _spread(lanes: Sequence[Lane], need: Need, zone: Zone, drawn: float) -> Lane:
    """Return the best lane, or one as good but for a wait that is in doubt."""
    costs = [cost(lane, need, zone) for lane in lanes]
    doubt = max(LEAST_DOUBT, mean(lane.unread / lane.read_rate for lane in lanes))
    least = min(costs)
    best = lanes[costs.index(least)]
    weights = [
        math.exp((least - seconds) / doubt) if _is_like(lane, best, zone) else 0.0
        for lane, seconds in zip(lanes, costs, strict=True)
    ]
    left = drawn * sum(weights)
    for lane, weight in zip(lanes, weights, strict=True):
        left -= weight
        if left < 0:
            return lane
    return best


def _is_like(lane: Lane, best: Lane, zone: Zone) -> bool:
    """Return whether a lane differs from the best one in nothing but its wait."""
    near = (lane.zone == zone) == (best.zone == zone)
    return near and lane.adapter_here == best.adapter_here
