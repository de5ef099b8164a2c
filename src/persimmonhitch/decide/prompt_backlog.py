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

How long a stream pauses while its engine reads depends on how much the engine reads
between two tokens, which it does not state. The limit therefore shrinks while more than
``ALLOWED_PAUSED_SHARE`` of the streams that end have paused for too long.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from ..fleet.config import Route, RouteKind
from ..ids import Service

BACKLOG_SHARE: Final = 0.5
"""Share of the shortest latency target in which an engine reads all of its prompts."""
ALLOWED_PAUSED_SHARE: Final = 0.05
"""Share of streams with a pause that is too long at which the limit is kept."""
MIN_PAUSE_SHARE: Final = 0.4
"""Least limit as a share of the longest pause: a stream pauses while the prompts are
read that come within the time of one event."""
PAUSE_WEIGHT: Final = 0.05
"""Weight of the newest stream in the share of streams that have paused."""


@dataclass
class BacklogLimit:
    """Limit of the seconds of prompts that an engine of one service may have unread."""

    latency_limit_s: float = math.inf
    """Limit by the shortest latency target."""
    pause_target_s: float = math.inf
    """Shortest of the longest pauses that callers accept."""
    _paused_share: float = 0.0

    @classmethod
    def from_routes(cls, routes: Iterable[Route], service: Service) -> "BacklogLimit":
        """Return the limit for the streaming routes that lead to a service."""
        limit = cls()
        for route in routes:
            leads_there = any(target.service == service for target in route.targets)
            if route.kind is not RouteKind.STREAM or not leads_there:
                continue
            share_s = route.latency_target * BACKLOG_SHARE
            limit.latency_limit_s = min(limit.latency_limit_s, share_s)
            if route.token_gap_target > 0:
                pause_s = min(limit.pause_target_s, route.token_gap_target)
                limit.pause_target_s = pause_s
        return limit

    def with_pauses_of(self, other: "BacklogLimit") -> "BacklogLimit":
        """Return this limit with the pauses that another one has recorded."""
        return replace(self, _paused_share=other._paused_share)

    def record_stream(self, longest_pause_s: float) -> None:
        """Record the longest pause of a stream that has ended."""
        paused = float(longest_pause_s > self.pause_target_s)
        self._paused_share += PAUSE_WEIGHT * (paused - self._paused_share)

    @property
    def seconds(self) -> float:
        """Return the current limit in seconds; infinite without streaming routes."""
        limit_s = min(self.latency_limit_s, self.pause_target_s)
        if self._paused_share <= ALLOWED_PAUSED_SHARE:
            return limit_s
        least_s = min(limit_s, self.pause_target_s * MIN_PAUSE_SHARE)
        return max(least_s, limit_s * ALLOWED_PAUSED_SHARE / self._paused_share)


def fits_backlog(unread_s: float, read_s: float, limit_s: float) -> bool:
    """Return whether an engine may get one more prompt.

    Parameters
    ----------
    unread_s : float
        Seconds that the engine takes to read the prompts that it has.
    read_s : float
        Seconds that it takes to read the new prompt.
    limit_s : float
        Limit in seconds, infinite for none.
    """
    return unread_s <= 0 or unread_s + read_s <= limit_s
