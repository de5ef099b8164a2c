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

ANSWER_TIMEOUT: Final = 0.25
"""Seconds for the first answer; twice a round trip between distant regions."""
PROBE_FIRST: Final = 0.25
PROBE_MOST: Final = 8.0
"""Seconds between probes of a holder that does not answer; doubles each time."""
POOL_BELOW: Final = 0.5
"""Part of its own burst below which the home holder pools the other shares: an
account that needs less than one share's rate then costs no messages for it."""
POOL_IDLE: Final = 30.0
"""Seconds without a request after which pooled shares go back."""
RENEW_AT: Final = 1.0
"""Seconds left of a lease at which it is renewed: time for a second try."""


@dataclass
class HolderView:
    """What this VM knows of another holder."""

    parts: int
    up: bool = True
    probe_at: float = 0.0
    probe_pause: float = PROBE_FIRST
    asked: bool = False
    """A ``PoolAsk`` or a probe is on its way."""
    pool_again_at: float = 0.0
    """It has refused to pool until then."""

    def answered(self) -> None:
        """Note that it answers."""
        self.up, self.probe_pause = True, PROBE_FIRST

    def silent(self, now: float) -> None:
        """Note that it did not answer in time."""
        self.up = False
        self.probe_at = now + self.probe_pause
        self.probe_pause = min(PROBE_MOST, 2 * self.probe_pause)


Views = Mapping[Vm, HolderView]


def home(order: Sequence[Vm], me: Vm, views: Views) -> Vm | None:
    """Return the holder to ask: the first that answers, or this VM itself."""
    for vm in order:
        if vm == me or views[vm].up:
            return vm
    return None


def to_probe(views: Views, now: float) -> list[Vm]:
    """Return the silent holders that are due for a probe."""
    return [
        vm
        for vm, view in views.items()
        if not view.up and not view.asked and view.probe_at <= now
    ]


def poolable(views: Views, now: float) -> int:
    """Return the parts of the shares that may still be pooled."""
    return sum(
        view.parts for view in views.values() if view.up and view.pool_again_at <= now
    )


def time_to_fill(shortage: float, rate: float) -> float:
    """Return the seconds until a shortage is refilled."""
    if shortage <= 0:
        return 0.0
    return shortage / rate if rate > 0 else float("inf")


def hopeless(
    needs: Iterable[tuple[float, float]], have: float, rate: float
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
    answers: list[float | None] = []
    ahead = 0.0
    for tokens, left in needs:
        seconds = time_to_fill(ahead + tokens - have, rate)
        if seconds > left:
            answers.append(seconds)
            continue
        answers.append(None)
        ahead += tokens
    return answers
