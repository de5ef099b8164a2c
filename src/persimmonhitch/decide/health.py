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

MIN_EJECT_S: Final = 0.3
MAX_EJECT_S: Final = 2.0
"""Seconds that an upstream gets no call; a restart takes a few of them, and one that
is gone for good leaves the list within about four."""
WINDOW_ANSWERS: Final = 10
EJECT_AFTER_FAILURES: Final = 4
"""Failures among the last calls; an upstream that fails one in ten by chance reaches
four of ten in one of a hundred windows."""
RAMP_UP_S: Final = 2.0
MIN_TRAFFIC_SHARE: Final = 0.01
"""Part of its work that is one call at a time."""
MAX_EJECTED_SHARE: Final = 0.34
"""Part of a service's upstreams that may be kept from work because their answers fail.
Where more of them fail the cause is not the upstream, and those that are left could
not take the calls of all."""
UNRESPONSIVE_AFTER_S: Final = 0.7
"""Seconds; engines send tokens each 10 to 50 ms, plain services answer in as many."""


@dataclass
class UpstreamHealth:
    """Successes and failures of one upstream; times are monotonic seconds."""

    _failures: list[bool] = field(default_factory=list)
    _ejected_until: float = 0.0
    _ejection_s: float = 0.0
    reachable: bool = True
    """Whether it took connections when it was last taken out."""
    _recovering_since: float | None = None
    """When the first good answer came since it was taken out."""

    def succeeded(self, now: float) -> None:
        """Note an answer that is as it should be."""
        self._record(False)
        if self._recovering_since is None:
            self._recovering_since = now
        elif now - self._recovering_since > RAMP_UP_S and sum(self._failures) == 0:
            self._ejection_s = 0.0

    def failed(self, now: float) -> bool:
        """Note an answer that failed; return whether it takes the upstream out."""
        self._record(True)
        if sum(self._failures) < EJECT_AFTER_FAILURES or now < self._ejected_until:
            return False
        self._eject(now)
        self.reachable = True
        return True

    def unreachable(self, now: float) -> bool:
        """Note a connection that could not be made; return whether this is news."""
        if now < self._ejected_until:
            return False
        self._eject(now)
        self.reachable = False
        return True

    def _record(self, failed: bool) -> None:
        self._failures.append(failed)
        del self._failures[:-WINDOW_ANSWERS]

    def _eject(self, now: float) -> None:
        self._ejection_s = min(MAX_EJECT_S, max(MIN_EJECT_S, self._ejection_s * 2))
        self._ejected_until = now + self._ejection_s
        self._failures.clear()
        self._recovering_since = None

    def traffic_share(self, now: float) -> float:
        """Return the part of its usual work that it gets now, from 0 to 1."""
        if now < self._ejected_until:
            return 0.0
        if self._ejection_s == 0.0:
            return 1.0
        if self._recovering_since is None:
            return MIN_TRAFFIC_SHARE
        share = (now - self._recovering_since) / RAMP_UP_S
        return min(1.0, max(MIN_TRAFFIC_SHARE, share))


def traffic_shares(upstreams: Sequence[UpstreamHealth], now: float) -> list[float]:
    """Return the parts of their usual work that the upstreams of a service get.

    Parameters
    ----------
    trusts : sequence of Trust
        One for each upstream.
    now : float
        Monotonic seconds.
    """
    shares = [health.traffic_share(now) for health in upstreams]
    failing = [h.reachable and s < 1.0 for h, s in zip(upstreams, shares, strict=True)]
    if sum(failing) <= len(upstreams) * MAX_EJECTED_SHARE:
        return shares
    return [1.0 if f else s for f, s in zip(failing, shares, strict=True)]


def is_unresponsive(running: int, output_at: float, idle_at: float, now: float) -> bool:
    """Return whether an upstream has said nothing to the calls that run there.

    Parameters
    ----------
    running : int
        Calls of this entry there.
    heard_at, oldest_at : float
        When it last said anything, and when it was last without a call.
    """
    return running > 0 and now - max(output_at, idle_at) > UNRESPONSIVE_AFTER_S
