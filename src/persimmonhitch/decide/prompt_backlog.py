"""Limit of the prompts that lie unread at an engine.

Load pattern: for some seconds, entries send more prompts than the engines with their
model can read. An engine has dozens of slots and reads prompts one after the other, so
without a limit it accepts several seconds of them. All of these answers are late, work
that is late already is read before work that could be in time, the backlog outlasts the
burst by seconds, and answers that the engine is streaming pause while it reads.

A request is therefore sent only to an engine that reads its prompt, and those before
it, within a share of the shortest latency target of its service; the rest of the
target covers news about the prompts of other entries that are still on their way. The
time must not exceed the longest pause that callers of streams accept either. All other
requests wait at their entry, where the most urgent one goes first and a free engine may
take it. An engine with nothing to read accepts any prompt.
"""

from collections.abc import Iterable
from typing import Final

from ..fleet.config import Route, RouteKind
from ..ids import Service

BACKLOG_SHARE: Final = 0.5
"""Share of the shortest latency target in which an engine reads all of its prompts."""


def backlog_limit_s(routes: Iterable[Route], service: Service) -> float | None:
    """Return the seconds of unread prompts that an engine of a service may have.

    Returns
    -------
    float or None
        None if no streaming route leads to the service.
    """
    streams = [
        route
        for route in routes
        if route.kind is RouteKind.STREAM
        and any(target.service == service for target in route.targets)
    ]
    if not streams:
        return None
    limits = [route.latency_target * BACKLOG_SHARE for route in streams]
    limits += [r.token_gap_target for r in streams if r.token_gap_target > 0]
    return min(limits)


def fits_backlog(unread_s: float, read_s: float, limit_s: float | None) -> bool:
    """Return whether an engine may get one more prompt.

    Parameters
    ----------
    unread_s : float
        Seconds that the engine takes to read the prompts that it has.
    read_s : float
        Seconds that it takes to read the new prompt.
    limit_s : float or None
        Result of ``backlog_limit_s``.
    """
    return limit_s is None or unread_s <= 0 or unread_s + read_s <= limit_s
