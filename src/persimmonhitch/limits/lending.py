"""Choose the lender, the time to pool shares, and the requests to refuse early.

Load pattern: the load balancer sends the requests of an account to entries without a
share, or with an exhausted one. Without lending these requests are refused while other
entries have unused tokens: two of three requests with equal shares on 30 entries
(docs/notes/rate-limits.md has the run).

Every entry borrows from the home holder: the first responsive holder in the order of
the record. All entries use the same home holder, so waiting requests form one queue and
are served in order. The home holder pools the shares of the other holders, so their
tokens are in one bucket. Estimates of available tokens are upper bounds: a request is
refused early only when it cannot succeed.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from ..ids import Vm

ANSWER_TIMEOUT_S: Final = 0.25
"""Timeout of a lender's first reply; twice the round trip between distant regions."""
MIN_PROBE_INTERVAL_S: Final = 0.25
MAX_PROBE_INTERVAL_S: Final = 8.0
"""Interval between probes of an unresponsive holder; doubles after each probe."""
POOL_THRESHOLD: Final = 0.5
"""Fraction of its own burst below which the home holder pools the other shares. An
account that uses less than the rate of one share then needs no pool messages."""
POOL_IDLE_S: Final = 30.0
"""Idle time after which pooled shares are returned."""
RENEW_BEFORE_S: Final = 1.0
"""Time before expiry at which a pool lease is renewed; allows for a retry."""


@dataclass
class HolderView:
    """State of another holder as observed by this VM."""

    parts: int
    up: bool = True
    probe_at: float = 0.0
    probe_interval_s: float = MIN_PROBE_INTERVAL_S
    pending: bool = False
    """Whether a ``PoolRequest`` or a probe is unanswered."""
    pool_retry_at: float = 0.0
    """Time before which the holder must not be asked to pool again."""

    def mark_responsive(self) -> None:
        """Mark the holder as responsive and reset the probe interval."""
        self.up, self.probe_interval_s = True, MIN_PROBE_INTERVAL_S

    def mark_unresponsive(self, now: float) -> None:
        """Mark the holder as unresponsive and schedule the next probe."""
        self.up = False
        self.probe_at = now + self.probe_interval_s
        self.probe_interval_s = min(MAX_PROBE_INTERVAL_S, 2 * self.probe_interval_s)


Views = Mapping[Vm, HolderView]


def home_holder(order: Sequence[Vm], own_vm: Vm, views: Views) -> Vm | None:
    """Return the first holder that is responsive or is ``own_vm``."""
    for vm in order:
        if vm == own_vm or views[vm].up:
            return vm
    return None


def due_for_probe(views: Views, now: float) -> list[Vm]:
    """Return the unresponsive holders whose next probe is due."""
    return [
        vm
        for vm, view in views.items()
        if not view.up and not view.pending and view.probe_at <= now
    ]


def poolable_parts(views: Views, now: float) -> int:
    """Return the total parts of the shares that may be pooled now."""
    return sum(
        view.parts for view in views.values() if view.up and view.pool_retry_at <= now
    )


def time_to_fill(shortage: float, rate: float) -> float:
    """Return the seconds in which a shortage of tokens is refilled."""
    if shortage <= 0:
        return 0.0
    return shortage / rate if rate > 0 else float("inf")


def excess_waits(
    requests: Iterable[tuple[float, float]], available: float, rate: float
) -> list[float | None]:
    """Return the waits of queued requests that exceed their remaining time.

    Parameters
    ----------
    requests : iterable of (tokens, seconds)
        Cost and remaining time of each request, in queue order.
    available, rate : float
        Upper bounds of the tokens available now and of the refill per second.

    Returns
    -------
    list
        None for a request that may succeed, otherwise the seconds until its tokens are
        available. A request with such a wait reserves no tokens ahead of later ones.
    """
    waits: list[float | None] = []
    reserved = 0.0
    for tokens, timeout_s in requests:
        seconds = time_to_fill(reserved + tokens - available, rate)
        if seconds > timeout_s:
            waits.append(seconds)
            continue
        waits.append(None)
        reserved += tokens
    return waits
