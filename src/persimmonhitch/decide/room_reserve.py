"""Leave room at the engines for requests with a better claim, here or elsewhere.

Load pattern: callers of dozens of entries compete for the prompts that an engine can
read in time. Each entry orders only its own waiting requests, so an unhurried request
at an idle entry would go before an urgent one at a busy entry, and the requests of an
account that floods would fill the engines through all entries.

The entries agree without a message: the less a request is owed, the less may be unread
at an engine to which it is sent. While there is little to read, nothing is held back.
An engine that has something to read loses nothing by the room that is left.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from .contention import Claim
from .dispatch import DispatchRequest, UpstreamView

TARGET_SHARE: Final = 0.6
"""Share of the shortest latency target that prompts unread at an engine may take."""
CLASS_RESERVE: Final = 0.1
"""Share of the room that each class leaves to the next better one."""
EXCESS_RESERVE: Final = 0.4
"""Share of the room that an account with excess use leaves to the others."""
MIN_ROOM_SHARE: Final = 0.3
"""Least share of the room that any request may use."""


@dataclass(frozen=True)
class Urgency:
    """Rank and latency target in seconds of the most urgent requests of a service."""

    rank: int
    target_s: float

    def include(self, claim: Claim) -> "Urgency":
        """Return the urgency with one more request."""
        req = claim.request
        target_s = req.latency_target_at - req.arrived
        return Urgency(min(self.rank, req.rank), min(self.target_s, target_s))


def room_share(claim: Claim, top_rank: int, now: float) -> float:
    """Return the share of an engine's room that a request may use."""
    share = 1.0 - CLASS_RESERVE * (claim.precedence(now)[0] - top_rank)
    if claim.excess:
        share -= EXCESS_RESERVE
    return max(MIN_ROOM_SHARE, share)


def has_unused_room(views: Iterable[UpstreamView], request: DispatchRequest) -> bool:
    """Return whether an upstream that can run a request has few requests itself."""
    known = list(views)
    usual = sum(view.running for view in known) / max(1, len(known))
    return any(
        view.running < usual / 2
        for view in known
        if (request.model is None or view.has_model) and not view.unresponsive
    )


def reserve_room(
    views: Iterable[UpstreamView], claim: Claim, urgency: Urgency, now: float
) -> None:
    """Close engines on which the remaining room is left to better claims."""
    share = room_share(claim, urgency.rank, now)
    if claim.request.model is None or share >= 1.0:
        return
    max_unread_s = share * TARGET_SHARE * urgency.target_s
    for view in views:
        if view.unread / view.read_rate > max_unread_s:
            view.traffic_share = 0.0
