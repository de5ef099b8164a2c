"""Rate at which an entry has lately won room at upstreams while requests waited.

Load pattern: dozens of entries compete for the room of the engines with a model, and
none knows how many requests wait at the others. At one entry a few requests a second
wait for a model, often one at a time. What an entry wins is therefore counted per class
of requests, better classes first: room that better ones took is not available to the
rest, although it became free. Over a window of ``WINDOW_S`` a class may win nothing.
The estimate assumes that the next room comes no later than after another time as long
as that, so a request that waits alone is refused only after it has seen the room taken
for as long as its caller has left.
"""

import math
from typing import Final

WINDOW_S: Final = 3.0
"""Averaging time of the rate; a burst lasts some seconds."""
MIN_WORK: Final = 1e-3
"""Work below which a class is forgotten."""

Precedence = tuple[int, bool]
"""Class of a request, the lowest first: its rank, one more if it is late, and whether
it is late."""


class RoomRate:
    """Work won by the requests of one pool at this entry; times are monotonic."""

    def __init__(self, now: float) -> None:
        self.updated_at = now
        self.contested = False
        """Whether requests wait."""
        self._contested_s = 0.0
        self._won: dict[Precedence, float] = {}
        self._won_at: dict[Precedence, float] = {}
        """When a request of each class last won room."""
        self._contested_since = now

    def advance(self, now: float, contested: bool) -> None:
        """Account for the time since the last call; state whether requests wait now."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        decay = math.exp(-elapsed_s / WINDOW_S)
        self._contested_s *= decay
        if self.contested:
            self._contested_s += WINDOW_S * (1 - decay)
        self._won = {
            precedence: work * decay
            for precedence, work in self._won.items()
            if work * decay > MIN_WORK
        }
        if contested and not self.contested:
            self._contested_since = now
        self.contested = contested

    def record_won(self, precedence: Precedence, work: float) -> None:
        """Record that a request won room for which others waited, or had waited."""
        self._won[precedence] = self._won.get(precedence, 0.0) + work
        self._won_at[precedence] = self.updated_at

    def wait_s(self, precedence: Precedence, ahead: float, work: float) -> float:
        """Return the expected seconds until a request has room.

        Parameters
        ----------
        ahead : float
            Work of the same class that goes before it.
        work : float
            Work of the request.
        """
        won = sum(won for other, won in self._won.items() if other >= precedence)
        wins = [at for other, at in self._won_at.items() if other >= precedence]
        quiet_s = self.updated_at - max([self._contested_since, *wins])
        quiet_s = quiet_s if self.contested else 0.0
        return (ahead + work) * max(self._contested_s / (won + work), quiet_s / work)
