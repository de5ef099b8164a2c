"""Share of traffic that an upstream gets after failures.

Load pattern: an upstream crashes, becomes unresponsive, or fails some of its requests
while its health check is good. Until its registration record expires, seconds later,
every entry would still send its full share of the requests there, and those that may
not be repeated would be lost. When the upstream recovers, all entries would send it all
their requests at once.

A connection that is refused or times out ejects an upstream at once, since the upstream
can run no request. The ejection lasts ``MIN_EJECT_S``, doubled at each repeat up to
``MAX_EJECT_S``. Failed answers eject an upstream if they are ``EJECT_AFTER_FAILURES``
of its last ``WINDOW_ANSWERS``; they need not be consecutive, since an upstream that
loses some requests answers others in between. An upstream without output for
``UNRESPONSIVE_AFTER_S`` while requests run there gets no further requests: a VM without
power refuses no connection, and the loss of a request sent there would only be noticed
when its caller gives up.

Rejected requests eject an upstream in the same way, and ``REJECTIONS_IN_A_ROW`` do so
at once: they have not run, but each costs a retry, and retries are few. Upstreams that
reject requests may leave the work to fewer others than those that fail, since requests
wait while the others are full.

An ejected upstream returns with one request at a time, and from its first good answer
with a share that rises over ``RAMP_UP_S``, so that a persistent fault affects few
requests.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

MIN_EJECT_S: Final = 0.3
MAX_EJECT_S: Final = 2.0
"""Longest ejection. A restart takes a few seconds, and an upstream that has failed
permanently is removed from the list of upstreams within about four."""
WINDOW_ANSWERS: Final = 10
EJECT_AFTER_FAILURES: Final = 4
"""Failures among the last answers that eject an upstream. If one answer in ten fails at
random, about one window in a hundred contains four failures."""
REJECTIONS_IN_A_ROW: Final = 2
"""Rejections in a row that eject an upstream. Few requests reach each of many entries,
and each rejection costs one of them a retry."""
RAMP_UP_S: Final = 2.0
MIN_TRAFFIC_SHARE: Final = 0.01
"""Share at which an upstream gets one request at a time."""
MAX_EJECTED_SHARE: Final = 0.34
"""Share of a service's upstreams that failed answers may eject. If more of them fail,
they have a common cause, and the others could not serve all requests."""
MAX_REJECTING_SHARE: Final = 0.67
"""Share of a service's upstreams that rejections may eject. If more of them reject, the
service as a whole is overloaded."""
UNRESPONSIVE_AFTER_S: Final = 0.7
"""Seconds without output; engines send a token each 10 to 50 ms, and plain services
answer within the same time."""


@dataclass
class UpstreamHealth:
    """Successes, failures and ejection of one upstream; times are monotonic seconds."""

    _failures: list[bool] = field(default_factory=list)
    _ejected_until: float = 0.0
    _ejection_s: float = 0.0
    reachable: bool = True
    """Whether the upstream accepted connections at its last ejection."""
    rejecting: bool = False
    """Whether rejected requests caused its last ejection."""
    _rejections: int = 0
    """Rejections since the last other answer."""
    _recovering_since: float | None = None
    """Time of the first good answer after the ejection."""

    def succeeded(self, now: float) -> None:
        """Record a good answer."""
        self._record(False)
        self._rejections = 0
        if self._recovering_since is None:
            self._recovering_since = now
        elif now - self._recovering_since > RAMP_UP_S and sum(self._failures) == 0:
            self._ejection_s = 0.0

    def failed(self, now: float) -> bool:
        """Record a failed answer; return whether the upstream is ejected for it."""
        self._rejections = 0
        return self._failed(now, rejecting=False)

    def rejected(self, now: float) -> bool:
        """Record a rejection; return whether the upstream is ejected for it."""
        self._rejections += 1
        return self._failed(now, rejecting=True)

    def _failed(self, now: float, rejecting: bool) -> bool:
        self._record(True)
        failing = sum(self._failures) >= EJECT_AFTER_FAILURES
        if not failing and self._rejections < REJECTIONS_IN_A_ROW:
            return False
        if now < self._ejected_until:
            return False
        self._eject(now)
        self.reachable, self.rejecting = True, rejecting
        return True

    def unreachable(self, now: float) -> bool:
        """Record a failed connection; return whether the upstream is ejected for it."""
        if now < self._ejected_until:
            return False
        self._eject(now)
        self.reachable = self.rejecting = False
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
        """Return the current share of the usual traffic, from 0 to 1."""
        if now < self._ejected_until:
            return 0.0
        if self._ejection_s == 0.0:
            return 1.0
        if self._recovering_since is None:
            return MIN_TRAFFIC_SHARE
        share = (now - self._recovering_since) / RAMP_UP_S
        return min(1.0, max(MIN_TRAFFIC_SHARE, share))


def traffic_shares(upstreams: Sequence[UpstreamHealth], now: float) -> list[float]:
    """Return the share of its usual traffic for each upstream of a service.

    Parameters
    ----------
    upstreams : sequence of UpstreamHealth
        Health of each upstream.
    now : float
        Monotonic seconds.
    """
    shares = [health.traffic_share(now) for health in upstreams]
    for rejecting, limit in ((False, MAX_EJECTED_SHARE), (True, MAX_REJECTING_SHARE)):
        ejected = [
            health.reachable and health.rejecting is rejecting and share < 1.0
            for health, share in zip(upstreams, shares, strict=True)
        ]
        if sum(ejected) > len(upstreams) * limit:
            shares = [1.0 if e else s for e, s in zip(ejected, shares, strict=True)]
    return shares


def is_unresponsive(running: int, output_at: float, idle_at: float, now: float) -> bool:
    """Return whether the requests at an upstream have received no output for a time.

    Parameters
    ----------
    running : int
        Requests of this entry in progress at the upstream.
    output_at, idle_at : float
        When the upstream last sent output, and when it last had no request.
    """
    return running > 0 and now - max(output_at, idle_at) > UNRESPONSIVE_AFTER_S
