"""Whom to ask for tokens, when to pool shares, and when to give a request up.

Load pattern: the balancer sends an account's requests to entries that hold no share,
or whose share is used up. Without lending those requests are refused while tokens
lie unused elsewhere: with equal shares over 30 entries two requests in three
(docs/notes/rate-limits.md has the run).

Every entry asks the first holder that answers, in the order of the record: the home
holder. Because all ask the same one, requests that wait do so in one queue and in
their order, and because it pools the other holders' shares, tokens stand in one
bucket. Estimates of what may come are upper bounds, so that a request is given up
only when it cannot succeed.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from ..ids import Vm

ANSWER_TIMEOUT_S: Final = 0.25
"""Seconds for the first answer; twice a round trip between distant regions."""
MIN_PROBE_INTERVAL_S: Final = 0.25
MAX_PROBE_INTERVAL_S: Final = 8.0
"""Seconds between probes of a holder that does not answer; doubles each time."""
POOL_THRESHOLD: Final = 0.5
"""Part of its own burst below which the home holder pools the other shares: an
account that needs less than one share's rate then costs no messages for it."""
POOL_IDLE_S: Final = 30.0
"""Seconds without a request after which pooled shares go back."""
RENEW_BEFORE_S: Final = 1.0
"""Seconds left of a lease at which it is renewed: time for a second try."""


@dataclass
class HolderView:
    """What this VM knows of another holder."""

    parts: int
    up: bool = True
    probe_at: float = 0.0
    probe_interval_s: float = MIN_PROBE_INTERVAL_S
    pending: bool = False
    """A ``PoolAsk`` or a probe is on its way."""
    pool_retry_at: float = 0.0
    """It has refused to pool until then."""

    def mark_responsive(self) -> None:
        """Note that it answers."""
        self.up, self.probe_interval_s = True, MIN_PROBE_INTERVAL_S

    def mark_unresponsive(self, now: float) -> None:
        """Note that it did not answer in time."""
        self.up = False
        self.probe_at = now + self.probe_interval_s
        self.probe_interval_s = min(MAX_PROBE_INTERVAL_S, 2 * self.probe_interval_s)


Views = Mapping[Vm, HolderView]


def home_holder(order: Sequence[Vm], own_vm: Vm, views: Views) -> Vm | None:
    """Return the holder to ask: the first that answers, or this VM itself."""
    for vm in order:
        if vm == own_vm or views[vm].up:
            return vm
    return None


def due_for_probe(views: Views, now: float) -> list[Vm]:
    """Return the silent holders that are due for a probe."""
    return [
        vm
        for vm, view in views.items()
        if not view.up and not view.pending and view.probe_at <= now
    ]


def poolable_parts(views: Views, now: float) -> int:
    """Return the parts of the shares that may still be pooled."""
    return sum(
        view.parts for view in views.values() if view.up and view.pool_retry_at <= now
    )


def time_to_fill(shortage: float, rate: float) -> float:
    """Return the seconds until a shortage is refilled."""
    if shortage <= 0:
        return 0.0
    return shortage / rate if rate > 0 else float("inf")


def excess_waits(
    requests: Iterable[tuple[float, float]], available: float, rate: float
) -> list[float | None]:
    """Say for each request of a queue whether it cannot get its tokens in time.

    Parameters
    ----------
    needs : iterable of (tokens, seconds)
        Cost and remaining time of each, in their order.
    have, rate : float
        Most tokens there can be now, and their refill.

    Returns
    -------
    list
        None for one that may succeed, else the seconds after which the tokens it
        needs will be there. Given-up requests do not count for those behind them.
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
