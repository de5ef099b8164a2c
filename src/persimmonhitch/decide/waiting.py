"""Expected wait for a model that no upstream serves yet.

Load pattern: the last copy of a model has failed, or its first one is loading, while
requests for it still arrive. If all were refused at once, callers would see errors for
a load that ends in seconds. If all requests waited until their deadlines, requests with
little time would be refused too late to retry, and would occupy threads that others
need.

The expected wait is the typical duration of a load less the time for which the model
has been missing. Until the first load is recorded, the duration is ``INITIAL_LOAD_S``,
that of a load from the stand-in of the weight store, or ``INITIAL_RESTART_S`` for a
service whose sidecar restarts without loading a model. A load that takes longer than
usual may end at any moment, hence ``MIN_REMAINING_S``; after ``MAX_OVERDUE_FACTOR``
typical durations it counts as failed, and a whole load is expected.
"""

from typing import Final

from ..ids import Model
from ..verdict import ErrorCode, Failure

INITIAL_LOAD_S: Final = 20.0
INITIAL_RESTART_S: Final = 2.0
MIN_REMAINING_S: Final = 1.0
MAX_OVERDUE_FACTOR: Final = 4.0
NEWEST_WEIGHT: Final = 0.3
"""Weight of the newest load in the typical duration."""


class LoadWaitEstimator:
    """Estimates the wait for models, or services, without any serving copy.

    Parameters
    ----------
    typical_s : float
        Initial estimate of the time for which a model is missing.
    """

    def __init__(self, typical_s: float) -> None:
        self.typical_s = typical_s
        self._since: dict[Model, float] = {}

    def record_missing(self, model: Model, now: float) -> None:
        """Record that no copy serves a model."""
        self._since.setdefault(model, now)

    def record_served(self, model: Model, now: float) -> None:
        """Record that a copy serves a model, which ends a load if it was missing."""
        since = self._since.pop(model, None)
        if since is not None:
            self.typical_s += NEWEST_WEIGHT * (now - since - self.typical_s)

    def remaining(self, model: Model, now: float) -> float:
        """Return the seconds until a copy is expected to serve a model."""
        missing_s = now - self._since.get(model, now)
        if missing_s > MAX_OVERDUE_FACTOR * self.typical_s:
            return self.typical_s
        return max(self.typical_s - missing_s, MIN_REMAINING_S)

    def refusal(self, model: Model, now: float, deadline_at: float) -> Failure | None:
        """Return the refusal of a request that can't wait, or None if it can."""
        remaining_s = self.remaining(model, now)
        if now + remaining_s <= deadline_at:
            return None
        reason = f"{model} is not loaded and would come too late"
        return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=remaining_s)
