"""How much work an upstream gets after it has failed.

Load pattern: an upstream crashes, goes silent, or fails a part of its requests while
its health check is good. Until its entry lapses, seconds later, every entry would go on
sending it its full part of the calls, and those that may not be repeated are lost. When
it is back, all entries would send it everything they have at once.

A connection that is refused or times out takes an upstream out at once, since no call
can run there: for ``OUT_FIRST``, doubled at each repeat up to ``OUT_MOST``. Answers
that fail take it out after ``FAILURES`` of the last ``WINDOW``, as one that loses a
part of its requests answers others between them. One that is silent while calls run
there, for ``SILENT`` seconds, gets no more of them: a VM without power refuses nothing,
and each call that it gets is lost only when its caller gives up.

It returns with one call at a time, and from the first good answer by a part that rises
over ``RETURN_SECONDS``, so that one that still fails is found out with few calls.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

OUT_FIRST: Final = 0.3
OUT_MOST: Final = 2.0
"""Seconds that an upstream gets no call; a restart takes a few of them, and one that
is gone for good leaves the list within about four."""
WINDOW: Final = 10
FAILURES: Final = 4
"""Failures among the last calls; an upstream that fails one in ten by chance reaches
four of ten in one of a hundred windows."""
RETURN_SECONDS: Final = 2.0
RETURN_LEAST: Final = 0.01
"""Part of its work that is one call at a time."""
MOST_FAILING: Final = 0.34
"""Part of a service's upstreams that may be kept from work because their answers fail.
Where more of them fail the cause is not the upstream, and those that are left could
not take the calls of all."""
SILENT: Final = 0.7
"""Seconds; engines send tokens each 10 to 50 ms, plain services answer in as many."""


@dataclass
class Trust:
    """Successes and failures of one upstream; times are monotonic seconds."""

    _recent: list[bool] = field(default_factory=list)
    _out_until: float = 0.0
    _out_for: float = 0.0
    reachable: bool = True
    """Whether it took connections when it was last taken out."""
    _good_from: float | None = None
    """When the first good answer came since it was taken out."""

    def ok(self, now: float) -> None:
        """Note an answer that is as it should be."""
        self._note(False)
        if self._good_from is None:
            self._good_from = now
        elif now - self._good_from > RETURN_SECONDS and sum(self._recent) == 0:
            self._out_for = 0.0

    def failed(self, now: float) -> bool:
        """Note an answer that failed; return whether it takes the upstream out."""
        self._note(True)
        if sum(self._recent) < FAILURES or now < self._out_until:
            return False
        self._take_out(now)
        self.reachable = True
        return True

    def unreachable(self, now: float) -> bool:
        """Note a connection that could not be made; return whether this is news."""
        if now < self._out_until:
            return False
        self._take_out(now)
        self.reachable = False
        return True

    def _note(self, failure: bool) -> None:
        self._recent.append(failure)
        del self._recent[:-WINDOW]

    def _take_out(self, now: float) -> None:
        self._out_for = min(OUT_MOST, max(OUT_FIRST, self._out_for * 2))
        self._out_until = now + self._out_for
        self._recent.clear()
        self._good_from = None

    def part(self, now: float) -> float:
        """Return the part of its usual work that it gets now, from 0 to 1."""
        if now < self._out_until:
            return 0.0
        if self._out_for == 0.0:
            return 1.0
        if self._good_from is None:
            return RETURN_LEAST
        risen = (now - self._good_from) / RETURN_SECONDS
        return min(1.0, max(RETURN_LEAST, risen))


def parts(trusts: Sequence[Trust], now: float) -> list[float]:
    """Return the parts of their usual work that the upstreams of a service get.

    Parameters
    ----------
    trusts : sequence of Trust
        One for each upstream.
    now : float
        Monotonic seconds.
    """
    found = [trust.part(now) for trust in trusts]
    failing = [t.reachable and p < 1.0 for t, p in zip(trusts, found, strict=True)]
    if sum(failing) <= len(trusts) * MOST_FAILING:
        return found
    return [1.0 if f else p for f, p in zip(failing, found, strict=True)]


def is_silent(running: int, heard_at: float, oldest_at: float, now: float) -> bool:
    """Return whether an upstream has said nothing to the calls that run there.

    Parameters
    ----------
    running : int
        Calls of this entry there.
    heard_at, oldest_at : float
        When it last said anything, and when it was last without a call.
    """
    return running > 0 and now - max(heard_at, oldest_at) > SILENT
