"""Leave room at the engines for requests with a better claim, here or elsewhere.

Load pattern: callers of dozens of entries compete for the prompts that an engine can
read in time. Each entry orders only its own waiting requests, so an unhurried request
at an idle entry would go before an urgent one at a busy entry, and the requests of an
account that floods would fill the engines through all entries.

The entries agree without a message: the less a request is owed, the less may be unread
at an engine to which it is sent, as a share of ``UpstreamView.backlog_limit_s``. While
there is little to read, nothing is held back. An engine that has something to read
loses nothing by the room that is left.
"""

from collections.abc import Iterable
from typing import Final

from .contention import Claim
from .dispatch import DispatchRequest, UpstreamView

CLASS_RESERVE: Final = 0.1
"""Share of the room that each class leaves to the next better one."""
EXCESS_RESERVE: Final = 0.4
"""Share of the room that an account with excess use leaves to the others."""
MIN_ROOM_SHARE: Final = 0.3
"""Least share of the room that any request may use."""


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
    views: Iterable[UpstreamView], claim: Claim, top_rank: int, now: float
) -> None:
    """Leave a part of the room at each engine to better claims.

    ``top_rank`` is the most urgent rank among the requests of the service.
    """
    share = room_share(claim, top_rank, now)
    for view in views:
        view.backlog_limit_s *= share
