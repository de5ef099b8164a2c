"""Ejection of upstreams that are slower than their peers or fail.

Load pattern: one slow upstream. It answers, so no request counts as failed, yet every
caller routed to it waits. Although it finishes fewer requests, balancing by in-flight
requests still sends it a considerable part of the traffic. An upstream is compared with
the peers that serve the same models, and only an upstream slow relative to them is
ejected. If all are slow, the cause is the load, and an ejection would increase the load
of the others.

The compared latency is the gap between tokens, which depends neither on the length of a
request nor on queueing or a cold cache. An outlier exceeds both ``SLOW_FACTOR`` times
the median of its peers and ``TOKEN_GAP_TARGET_S``, because load alone exceeds only the
former: a healthy busy upstream may be several times slower than idle peers, but its
concurrency limit keeps the gap within the target. At most ``MAX_EJECTED_FRACTION`` of
the upstreams are ejected at a time. If all copies of a model, or its only copy, are
ejected, they receive its traffic as if none were ejected. After ``BASE_EJECTION_S``,
doubled at each repeat, the traffic share of an upstream ramps up again, so that an
upstream that is still slow is detected with few callers affected.
"""

from collections import deque
from dataclasses import dataclass, field
from statistics import median
from typing import Final

from ..ids import Model, Upstream
from .warmup import warmup_share

SLOW_FACTOR: Final = 2.5
TOKEN_GAP_TARGET_S: Final = 0.06
"""Gap between tokens up to which an upstream is never an outlier."""
MIN_SAMPLES: Final = 8
SAMPLE_WINDOW_S: Final = 10.0
MAX_SAMPLES: Final = 64
MAX_EJECTED_FRACTION: Final = 0.34
BASE_EJECTION_S: Final = 10.0
MAX_EJECTION_S: Final = 120.0
RETURN_RAMP_S: Final = 10.0
RETURN_MIN_SHARE: Final = 0.1
FAILURES_TO_EJECT: Final = 5
"""Consecutive failures after which an upstream is ejected."""


@dataclass
class _UpstreamStats:
    """Latency samples, failures and ejection of one upstream."""

    samples: dict[Model, deque[tuple[float, float]]] = field(default_factory=dict)
    failures: int = 0
    ejected_at: float | None = None
    ejected_until: float = 0.0
    ejection_count: int = 0

    def is_ejected(self, now: float) -> bool:
        return self.ejected_at is not None and now < self.ejected_until


class OutlierDetector:
    """Ejects outliers by latency and failures, and sets their traffic shares.

    Parameters
    ----------
    token_gap_target_s : float
        Gap between tokens, in seconds, up to which an upstream is never an outlier.
    """

    def __init__(self, token_gap_target_s: float = TOKEN_GAP_TARGET_S) -> None:
        self._token_gap_target_s = token_gap_target_s
        self._stats: dict[Upstream, _UpstreamStats] = {}
        self._copies: dict[Model, tuple[Upstream, ...]] = {}

    def on_latency(
        self, now: float, upstream: Upstream, model: Model, seconds: float
    ) -> None:
        """Record a latency that does not depend on the length of the request."""
        stats = self._stats.setdefault(upstream, _UpstreamStats())
        stats.failures = 0
        samples = stats.samples.setdefault(model, deque(maxlen=MAX_SAMPLES))
        samples.append((now, seconds))

    def on_failure(self, upstream: Upstream) -> None:
        """Record a failed attempt at an upstream."""
        self._stats.setdefault(upstream, _UpstreamStats()).failures += 1

    def remove(self, upstream: Upstream) -> None:
        """Remove an upstream that left the fleet."""
        self._stats.pop(upstream, None)

    def traffic_share(self, now: float, upstream: Upstream, model: Model) -> float:
        """Return the share of its normal traffic for a model to send to an upstream."""
        peers = self._copies.get(model, ())
        # If all copies are ejected, slow answers are better than none.
        if all(self._is_ejected(now, peer) for peer in peers):
            return 1.0
        stats = self._stats.get(upstream)
        if stats is None or stats.ejected_at is None:
            return 1.0
        if now < stats.ejected_until:
            return 0.0
        return warmup_share(now - stats.ejected_until, RETURN_RAMP_S, RETURN_MIN_SHARE)

    def update(self, now: float, copies: dict[Model, tuple[Upstream, ...]]) -> None:
        """Eject outliers; ``copies`` maps each model to the upstreams that serve it."""
        self._copies = copies
        upstreams = {upstream for peers in copies.values() for upstream in peers}
        max_ejected = max(1, int(MAX_EJECTED_FRACTION * len(upstreams)))
        for upstream in sorted(upstreams & self._stats.keys()):
            ejected = sum(self._is_ejected(now, peer) for peer in upstreams)
            if ejected >= max_ejected or len(upstreams) - ejected <= 1:
                return
            if not self._is_ejected(now, upstream) and self._is_outlier(now, upstream):
                self._eject(now, self._stats[upstream])

    def _is_ejected(self, now: float, upstream: Upstream) -> bool:
        stats = self._stats.get(upstream)
        return stats is not None and stats.is_ejected(now)

    def _is_outlier(self, now: float, upstream: Upstream) -> bool:
        if self._stats[upstream].failures >= FAILURES_TO_EJECT:
            return True
        slow = compared = 0
        for model in self._stats[upstream].samples:
            own = self._median(now, upstream, model)
            peers = [
                value
                for peer in self._copies.get(model, ())
                if peer != upstream
                and (value := self._median(now, peer, model)) is not None
            ]
            if own is None or not peers:
                continue
            compared += 1
            slow += own > max(SLOW_FACTOR * median(peers), self._token_gap_target_s)
        return 2 * slow > compared

    def _median(self, now: float, upstream: Upstream, model: Model) -> float | None:
        stats = self._stats.get(upstream)
        samples = stats.samples.get(model, ()) if stats is not None else ()
        recent = [seconds for at, seconds in samples if now - at <= SAMPLE_WINDOW_S]
        return median(recent) if len(recent) >= MIN_SAMPLES else None

    def _eject(self, now: float, stats: _UpstreamStats) -> None:
        if now - stats.ejected_until > MAX_EJECTION_S:
            stats.ejection_count = 0
        seconds = min(BASE_EJECTION_S * 2**stats.ejection_count, MAX_EJECTION_S)
        stats.ejected_at = now
        stats.ejected_until = now + seconds
        stats.ejection_count += 1
        stats.failures = 0
        stats.samples.clear()
