"""Memory and time of the metrics against the number of labelled accounts."""

from collections.abc import Iterator, Sequence
from typing import Final

from ..ids import Account
from ..observe.metrics import Metrics
from ..verdict import ErrorCode, Failure
from .base import MICRO, SLOPES, Reading, Slope, resident, seconds_each

KIB: Final = 1024
FAILURE: Final = Failure(ErrorCode.RATE_LIMITED, "rate")


def _request(metrics: Metrics, account: Account) -> None:
    metrics.request_started("chat")
    metrics.queue_time(account, 0.01)
    metrics.first_token(account, 0.3)
    metrics.tokens_used(account, 400.0)
    metrics.request_done(account, "chat", 200, None, 2.0)


def run(sizes: Sequence[int]) -> Iterator[Reading]:
    """Measure metrics with ``size`` accounts."""
    before = resident()
    metrics = Metrics("entry", "vm", max_accounts=max(sizes))
    for size in sizes:
        for number in range(size):
            account = Account(f"account-{number}")
            _request(metrics, account)
            metrics.request_done(account, "chat", 429, FAILURE, 0.1)
        text = metrics.render()
        yield Reading(
            size,
            (
                ("memory KiB", (resident() - before) / KIB),
                ("scrape ms", seconds_each(metrics.render) * 1000),
                ("scrape KiB", len(text) / KIB),
                ("request us", _cost(metrics) * MICRO),
            ),
        )
    metrics.close()


def _cost(metrics: Metrics) -> float:
    account = Account("account-0")
    return seconds_each(lambda: _request(metrics, account))


SLOPES.register("scrape")(Slope("accounts", (5, 50, 200, 1000), run))
