"""How long a request waits for a model that no upstream serves yet.

Load pattern: the last copy of a model has died, or its first one is on its way, while
its callers keep coming. Refused at once, all of them see errors for a load that ends in
seconds; left waiting to their deadlines, those with little time learn too late that
there was no hope, and their threads are missing to others.

The wait expected is the usual time of a load less the time the model has been missing.
``FIRST_LOAD`` stands in until a load was seen: the time of a load at the weight store's
stand-in; ``FIRST_RESTART`` is that of a service's sidecar, which loads nothing. A load
that is overdue may end at any moment, hence ``LEAST_LEFT``; one that is overdue by
``GIVE_UP`` usual times is not counted on.
"""

from typing import Final

from ..ids import Model
from ..verdict import ErrorCode, Failure

INITIAL_LOAD_S: Final = 20.0
INITIAL_RESTART_S: Final = 2.0
MIN_REMAINING_S: Final = 1.0
MAX_OVERDUE_FACTOR: Final = 4.0
NEWEST_WEIGHT: Final = 0.3
"""Weight of the newest load in the usual time."""


class LoadWaitEstimator:
    """What one entry has seen of models, or services, that nobody served.

    Parameters
    ----------
    usual : float
        Seconds that one is missing, until some have been seen.
    """

    def __init__(self, typical_s: float) -> None:
        self.typical_s = typical_s
        self._since: dict[Model, float] = {}

    def record_missing(self, model: Model, now: float) -> None:
        """Note that no copy serves a model."""
        self._since.setdefault(model, now)

    def record_served(self, model: Model, now: float) -> None:
        """Note that a copy serves a model; one that was missing has been loaded."""
        since = self._since.pop(model, None)
        if since is not None:
            self.typical_s += NEWEST_WEIGHT * (now - since - self.typical_s)

    def remaining(self, model: Model, now: float) -> float:
        """Return the seconds until a copy is expected."""
        missing_s = now - self._since.get(model, now)
        if missing_s > MAX_OVERDUE_FACTOR * self.typical_s:
            return self.typical_s
        return max(self.typical_s - missing_s, MIN_REMAINING_S)

    def refusal(self, model: Model, now: float, deadline_at: float) -> Failure | None:
        """Return why a request should not wait, or None if it should."""
        remaining_s = self.remaining(model, now)
        if now + remaining_s <= deadline_at:
            return None
        reason = f"{model} is not loaded and would come too late"
        return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=remaining_s)
