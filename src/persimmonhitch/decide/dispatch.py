"""Choose the upstream for a request, or the step required before it can be sent.

Load pattern: an engine batches up to a number of slots and reads prompts one after the
other. Several entries send to the same engines, and each sees the work of the others a
fraction of a second late. A request sent to a full engine queues there behind others
regardless of its rank. If prompts and answers together exceed the KV memory of an
engine, the engine preempts a request during its answer and reads its prompt again.

Requests therefore wait at the entry until an engine has a free slot and free memory,
and go to the engine with the earliest expected first token. Loading an adapter takes
some ten milliseconds and a slot that another adapter may need. ``ADAPTER_LOAD_COST_S``
therefore favours engines on which the adapter is resident, unless another engine is
clearly faster. ``CROSS_ZONE_COST_S`` covers a round trip between availability zones, a
few milliseconds, and the billed traffic between them. ``DEFAULT_READ_RATE`` applies
until an engine's own rate is known.

Dozens of entries with the same view of the fleet would all choose the same engine and
send it every request that arrives before the next update; an engine that joins or
returns would get all of them. The choice is therefore random between the best engine
and those that differ from it only in their wait, with a higher probability the closer
the waits are. A difference below the mean of all waits is regarded as uncertain, since
about as many unread tokens as the updates report have been sent since the last update.
The view of idle engines is up to date.
"""

import math
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from statistics import fmean as mean
from typing import Final

from ..ids import (
    Account,
    Adapter,
    Cause,
    Fingerprint,
    Model,
    PartId,
    Service,
    SoftwareVersion,
    Upstream,
    Zone,
)
from .even_choice import Option, choose_even
from .load_estimate import LoadEstimate
from .prompt_backlog import fits_backlog

ADAPTER_LOAD_COST_S: Final = 0.08
"""Additional wait accepted to use an engine on which the adapter is resident."""
CROSS_ZONE_COST_S: Final = 0.04
"""Additional wait accepted to stay within the availability zone."""
MAX_CROSSING_SHARE: Final = 0.5
"""Share of a plain upstream's slots that may be taken before requests leave its zone,
although crossing costs more than the wait."""
FULL_BATCH_COST_S: Final = 0.05
"""Additional wait at an upstream with all slots taken: tokens take longer there."""
DEFAULT_READ_RATE: Final = 15_000.0
"""Prompt tokens per second that an engine reads; a third below the published rate of an
engine that does nothing else."""
MIN_WAIT_ERROR_S: Final = 0.005
"""Smallest uncertainty of a wait: the duration of one engine step."""
MAX_KV_SHARE: Final = 0.97
"""Share of the KV capacity that requests may reserve. Reservations overestimate the
use: shared prompts are counted more than once, and most outputs end before their
limit."""


@dataclass(frozen=True)
class DispatchRequest:
    """A request that needs an upstream; times are monotonic seconds."""

    service: Service
    model: Model | None
    adapter: Adapter | None
    prompt_tokens: int
    kv_tokens: int
    """KV memory that the request may use, in tokens."""
    rank: int
    arrived: float
    latency_target_at: float
    first_event_by: float
    """When the caller disconnects from a stream without events."""
    deadline_at: float
    fingerprint: Fingerprint = Fingerprint(Cause(""))
    parts: tuple[PartId, ...] = ()
    """Parts of the prompt that other requests may share, in order."""
    version: SoftwareVersion | None = None
    """Software version required of the upstream; None for any."""
    account: Account | None = None
    read_tokens: int | None = None
    """Work of reading the prompt in tokens of the reference model; None if the prompts
    of all models count alike."""

    @property
    def read_work(self) -> int:
        """Return the work of reading the prompt, in the unit of unread tokens."""
        return self.prompt_tokens if self.read_tokens is None else self.read_tokens


@dataclass
class UpstreamView:
    """State of one upstream as seen by this entry, with the work of all entries."""

    upstream: Upstream
    zone: Zone
    slots: int
    kv_capacity: int
    running: int
    kv_tokens: int
    unread: int
    """Prompt tokens that the engine has yet to read."""
    has_model: bool
    has_adapter: bool
    adapters_wait_s: float = 0.0
    """Seconds until the engine accepts adapter loads; none during a model load."""
    read_rate: float = DEFAULT_READ_RATE
    traffic_share: float = 1.0
    """Share of the usual traffic during recovery from failures; 0 for none."""
    leaving: bool = False
    """Whether the zone of the upstream is being evacuated; then it receives only
    requests that no other upstream can take."""
    unresponsive: bool = False
    """Whether the requests that run there have received no output for a time."""
    backlog_limit_s: float = math.inf
    """Seconds of unread prompts that the engine may have."""
    estimate: LoadEstimate | None = None
    """Expected load if upstreams of the service state theirs, else None."""


class Step(Enum):
    """Next step for a request."""

    SEND = "send"
    LOAD_ADAPTER = "fetch"
    """Load the adapter at the upstream, then choose again."""
    LOAD = "load"
    """The model is resident on no upstream."""
    WAIT = "wait"
    """All upstreams that can run the request are full."""
    WAIT_FOR_MODEL = "wait_to_fetch"
    """No upstream has the adapter, and those with its model are loading another one."""
    NO_UPSTREAM = "none"
    """There is no candidate upstream."""


@dataclass(frozen=True)
class Choice:
    """A step and the upstream that it applies to."""

    step: Step
    upstream: Upstream | None = None
    wait_s: float = 0.0
    """Seconds until a load ends that ``WAIT_FOR_MODEL`` waits for."""


def first_token_delay(view: UpstreamView, request: DispatchRequest) -> float:
    """Return the seconds until the first token of a request that is sent now."""
    return (view.unread + request.read_work) / view.read_rate


def has_capacity(view: UpstreamView, request: DispatchRequest) -> bool:
    """Return whether an upstream has a slot, memory and time for one more request."""
    running: float = view.running
    if view.estimate is not None and view.traffic_share >= 1.0:
        running = view.estimate.certain_running
    if view.traffic_share <= 0 or running >= max(1.0, view.slots * view.traffic_share):
        return False
    if view.running == 0:
        return True
    unread_s, read_s = view.unread / view.read_rate, request.read_work / view.read_rate
    if not fits_backlog(unread_s, read_s, view.backlog_limit_s):
        return False
    if view.kv_capacity <= 0:
        return True
    return view.kv_tokens + request.kv_tokens <= view.kv_capacity * MAX_KV_SHARE


def weighted_wait(view: UpstreamView, request: DispatchRequest, zone: Zone) -> float:
    """Return the expected wait at an upstream plus the costs of adapter and zone."""
    wait = first_token_delay(view, request)
    wait += view.running / max(1, view.slots) * FULL_BATCH_COST_S
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
    """Return the next step for a request; ``draw`` returns a number from 0 to 1."""
    candidates = list(views)
    if not candidates:
        return Choice(Step.NO_UPSTREAM)
    capable = [v for v in candidates if request.model is None or v.has_model]
    if not capable:
        return Choice(Step.LOAD)
    eligible = [
        v
        for v in capable
        if request.adapter is None or v.has_adapter or v.adapters_wait_s <= 0.0
    ]
    if not eligible:
        wait_s = min(view.adapters_wait_s for view in capable)
        return Choice(Step.WAIT_FOR_MODEL, wait_s=wait_s)
    available = [view for view in eligible if has_capacity(view, request)]
    available = [view for view in available if not view.leaving] or available
    if not available:
        return Choice(Step.WAIT)
    best = _choose_near_best(available, request, zone, draw())
    if request.adapter is not None and not best.has_adapter:
        return Choice(Step.LOAD_ADAPTER, best.upstream)
    return Choice(Step.SEND, best.upstream)


def _choose_near_best(
    views: Sequence[UpstreamView], request: DispatchRequest, zone: Zone, sample: float
) -> UpstreamView:
    """Return the best upstream, or one whose wait differs by an uncertain amount."""
    if all(view.estimate is not None for view in views):
        return _choose_even(views, request, zone, sample)
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
    """Return whether an upstream differs from the best one only in its wait."""
    same_locality = (view.zone == zone) == (best.zone == zone)
    return same_locality and view.has_adapter == best.has_adapter


def _choose_even(
    views: Sequence[UpstreamView], request: DispatchRequest, zone: Zone, sample: float
) -> UpstreamView:
    """Return an upstream so that the decisions of all entries spread the load."""
    options = [_option(view, request, zone) for view in views]
    if request.adapter is not None:
        costs = [
            option.known_s
            + option.request_s
            + option.crossing_s
            + (0.0 if view.has_adapter else ADAPTER_LOAD_COST_S)
            for view, option in zip(views, options, strict=True)
        ]
        has_adapter = views[costs.index(min(costs))].has_adapter
        views = [view for view in views if view.has_adapter == has_adapter]
        options = [_option(view, request, zone) for view in views]
    return views[choose_even(options, sample)]


def _option(view: UpstreamView, request: DispatchRequest, zone: Zone) -> Option:
    """Return the expected waits at an upstream whose load is estimated."""
    estimate, share = view.estimate, max(view.traffic_share, 0.05)
    assert estimate is not None
    if request.model is None:
        request_s = estimate.service_s * estimate.slowdown / max(1, view.slots)
        known_s = request_s * estimate.known_running
        unseen = estimate.running - estimate.known_running
        crossing_s = min(CROSS_ZONE_COST_S, MAX_CROSSING_SHARE * estimate.service_s)
    else:
        total_s = first_token_delay(view, request)
        tokens = max(1, request.read_work)
        request_s = max(MIN_WAIT_ERROR_S, total_s * tokens / (view.unread + tokens))
        wait_s = max(0.0, total_s - request_s)
        known_s = wait_s * estimate.known_unread
        unseen = (wait_s - known_s) / request_s
        known_s += estimate.known_running / max(1, view.slots) * FULL_BATCH_COST_S
        crossing_s = CROSS_ZONE_COST_S
    return Option(
        known_s / share,
        unseen,
        request_s / share,
        crossing_s if view.zone != zone else 0.0,
    )
