"""Settings of the retry budget, common to all programs that send requests again."""

from dataclasses import dataclass

from ..decide.retries import DEFAULT_BOUND, RetryBound
from .load import setting


@dataclass(frozen=True, kw_only=True)
class RetrySettings:
    """Operators' bound of the retries that a service gets from all entries."""

    retry_ratio: float = setting(
        "retries",
        "ratio",
        "most retries of all entries to a service, against the requests for it",
        DEFAULT_BOUND.ratio,
        0,
    )
    retry_slack: float = setting(
        "retries",
        "slack",
        "retries of all entries to a service in a window allowed beyond that",
        DEFAULT_BOUND.slack,
        0,
    )
    retry_window_s: float = setting(
        "retries",
        "window",
        "seconds of the window in which retries are counted",
        DEFAULT_BOUND.window_s,
        0.1,
    )

    @property
    def retry_bound(self) -> RetryBound:
        """Return the bound."""
        return RetryBound(self.retry_ratio, self.retry_window_s, self.retry_slack)
