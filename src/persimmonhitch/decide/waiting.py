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

FIRST_LOAD: Final = 20.0
FIRST_RESTART: Final = 2.0
LEAST_LEFT: Final = 1.0
GIVE_UP: Final = 4.0
NEW: Final = 0.3
"""Weight of the newest load in the usual time."""


class MissingCopies:
    """What one entry has seen of models, or services, that nobody served.

    Parameters
    ----------
    usual : float
        Seconds that one is missing, until some have been seen.
    """

    def __init__(self, usual: float) -> None:
        self.usual = usual
        self._since: dict[Model, float] = {}

    def missing(self, model: Model, now: float) -> None:
        """Note that no copy serves a model."""
        self._since.setdefault(model, now)

    def served(self, model: Model, now: float) -> None:
        """Note that a copy serves a model; one that was missing has been loaded."""
        since = self._since.pop(model, None)
        if since is not None:
            self.usual += NEW * (now - since - self.usual)

    def left(self, model: Model, now: float) -> float:
        """Return the seconds until a copy is expected."""
        absent = now - self._since.get(model, now)
        if absent > GIVE_UP * self.usual:
            return self.usual
        return max(self.usual - absent, LEAST_LEFT)

    def refusal(self, model: Model, now: float, deadline_at: float) -> Failure | None:
        """Return why a request should not wait, or None if it should."""
        left = self.left(model, now)
        if now + left <= deadline_at:
            return None
        reason = f"{model} is not loaded and would come too late"
        return Failure(ErrorCode.MODEL_LOADING, reason, retry_after=left)
