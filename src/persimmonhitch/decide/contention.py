"""Order the requests that wait for room, and find those that can't be served in time.

Load pattern: for seconds, callers ask for two or three times what the engines with a
model can read, or some of these engines are lost, or one account sends several times
its usual. Requests with a latency target of less than a second compete with others that
may wait for seconds, and each entry has only a few requests waiting for a model at a
time.

Requests go by rank, those that can still meet their latency target before late ones,
and late ones also after those on time of the next rank: a late answer is worth less to
its caller, and if it is served at the cost of one that would be in time, both are late.
Late urgent requests still precede unhurried ones of all other ranks. Among equals,
those that were sent before precede new ones, because their callers hold a part of the
answer or have waited already, and accounts that use no more than what they are owed
precede those that use more. The rest go by the time that is left to them.

A request waits as long as its answer can reach a caller that still waits, but only as
long as the room for it is expected in that time. Otherwise it is refused at once, so
that its caller learns early when to return. Since requests are examined in the order in
which they are served, the refused ones are those with the least claim.
"""

import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from ..ids import Model, Service
from .dispatch import DispatchRequest
from .room_rate import Precedence, RoomRate
from .wait_limits import ANSWER_S, RETRY_SHARE

DEFAULT_FIRST_EVENT_S: Final = 0.1
"""Expected seconds from sending a request to its first event until it is known."""
MAX_FIRST_EVENT_SHARE: Final = 0.5
"""Share of the latency target up to which an expected first event counts. Otherwise all
requests with a short target would go last while the engines are slow."""
MIN_RETRY_S: Final = 0.2
"""Least time after which a refused caller with time left returns; connecting again
sooner costs the entry more than it gains."""
RETRY_JITTER: Final = 0.5
"""Largest random extension of a retry time, as a share of it."""

Pool = tuple[Service, Model | None]
"""Requests that compete for the same upstreams."""


@dataclass(frozen=True, eq=False)
class Claim:
    """What a waiting request is owed; times are monotonic seconds."""

    request: DispatchRequest
    waiting_since: float
    first_event_s: float = DEFAULT_FIRST_EVENT_S
    """Expected seconds from sending the request to its first event."""
    resumed: bool = False
    """Whether its caller has events of the stream already."""
    repeated: bool = False
    """Whether an earlier attempt of the request failed."""
    excess: int = 0
    """How far the account's recent use exceeds that of the others; 0 for not at all."""

    @property
    def pool(self) -> Pool:
        """Return the pool in which the request competes."""
        return self.request.service, self.request.model

    @property
    def work(self) -> float:
        """Return the work of the request: its prompt, or one for a plain request."""
        return float(max(1, self.request.prompt_tokens))

    @property
    def late_at(self) -> float:
        """Return when the request must have been sent to meet its latency target."""
        if self.resumed:
            return self.send_by
        req = self.request
        target_s = req.latency_target_at - req.arrived
        first_event_s = min(self.first_event_s, target_s * MAX_FIRST_EVENT_SHARE)
        return min(req.latency_target_at - first_event_s, self.send_by)

    @property
    def send_by(self) -> float:
        """Return when the request must have been sent to reach a waiting caller."""
        req = self.request
        event_by = req.first_event_by
        if self.resumed:
            # The caller has events; its patience starts again with the interruption.
            event_by = self.waiting_since + event_by - req.arrived
        return min(event_by - self.first_event_s, req.deadline_at - ANSWER_S)

    @property
    def precedes_new(self) -> bool:
        """Return whether the request precedes new ones of its class."""
        return self.resumed or self.repeated

    def precedence(self, now: float) -> Precedence:
        """Return the class in which the request waits, the lowest first."""
        return precedence(now > self.late_at, self.request.rank)


def precedence(late: bool, rank: int) -> Precedence:
    """Return the class of a request; late ones follow those on time a rank lower."""
    return rank + late, late


@dataclass(frozen=True)
class Unservable:
    """A request for which no room is expected in useful time."""

    claim: Claim
    place: int
    """Number of requests that would have gone before it."""
    wait_s: float
    """Predicted seconds until there is room."""


def waiting_order(claim: Claim, now: float) -> tuple[int, bool, bool, int, float]:
    """Return the sort key of a waiting request; the lowest gets the next room.

    Late requests go by the time at which their callers leave: none of them has another
    target, and those that can't be reached in time are refused.
    """
    late = now > claim.late_at
    until = claim.send_by if late else claim.late_at
    return *claim.precedence(now), not claim.precedes_new, claim.excess, until


def find_unservable(
    claims: Iterable[Claim], rate: RoomRate, now: float
) -> Iterator[Unservable]:
    """Yield the requests of one pool for which no room is expected in useful time.

    Each class has the room that better ones have left to it lately. A request that
    won't meet its latency target is examined again as a late one.
    """
    ahead: defaultdict[Precedence, float] = defaultdict(float)
    place = 0
    late: list[Claim] = []
    for claim in sorted(claims, key=lambda claim: waiting_order(claim, now)):
        group = precedence(now > claim.late_at, claim.request.rank)
        wait_s = rate.wait_s(group, ahead[group], claim.work)
        if now + wait_s > claim.late_at:
            late.append(claim)
            continue
        ahead[group] += claim.work
        place += 1
    for claim in sorted(late, key=_late_order):
        group = precedence(True, claim.request.rank)
        wait_s = rate.wait_s(group, ahead[group], claim.work)
        if now + wait_s > claim.send_by:
            yield Unservable(claim, place, wait_s)
            continue
        ahead[group] += claim.work
        place += 1


def _late_order(claim: Claim) -> tuple[int, bool, bool, int, float]:
    return waiting_order(claim, claim.late_at + 1.0)


def retry_delay(
    request: DispatchRequest,
    wait_s: float,
    now: float,
    draw: Callable[[], float] = random.random,
) -> float:
    """Return the seconds after which a refused caller returns.

    It leaves the caller most of its time for the one retry that it may have, and is
    spread so that callers refused together do not return together.
    """
    latest = max(0.0, request.deadline_at - now) * RETRY_SHARE / (1 + RETRY_JITTER)
    delay = min(max(MIN_RETRY_S, wait_s), latest)
    return delay * (1 + RETRY_JITTER * draw())
