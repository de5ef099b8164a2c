"""Which upstreams are kept from traffic because they are slower than their peers.

Load pattern: one slow upstream. It answers, so nothing counts as failed, yet every
caller sent to it waits; and because it holds its work longest, its in-flight count
alone gives it a fair part of the rest. An upstream is compared with the peers that
serve the same models: only what is slow against them is ejected. When all are slow the
cause is the load, and ejecting anyone would leave the rest with more of it.

The latency compared is the time between tokens, for it depends neither on the length
of a request nor on a queue or a cold cache. ``SLOW`` times the peers' median and more
than is ``PROMISED`` is beyond what load does: a healthy upstream that is busy while its
peers idle is several times slower than they, but its concurrency limit holds the
promise. ``MOST_EJECTED`` is the part of the upstreams that may be gone at once. A model
whose copies are all ejected, or that has only one, is served by them as if none were.
After ``BASE_SECONDS``, doubled at each repeat, an upstream returns by a rising share,
so that one which is still slow is found out with few callers.
"""

from collections import deque
from dataclasses import dataclass, field
from statistics import median
from typing import Final

from ..ids import Model, Upstream
from .shift import warmup_weight

SLOW: Final = 2.5
PROMISED: Final = 0.06
"""Seconds between tokens up to which an upstream is never an outlier."""
LEAST_SAMPLES: Final = 8
WINDOW: Final = 10.0
MOST_SAMPLES: Final = 64
MOST_EJECTED: Final = 0.34
BASE_SECONDS: Final = 10.0
MOST_SECONDS: Final = 120.0
RETURN_SECONDS: Final = 10.0
RETURN_LEAST: Final = 0.1
FAILURES: Final = 5
"""Failures in a row after which an upstream is ejected."""


@dataclass
class _Seen:
    """What is known of one upstream."""

    samples: dict[Model, deque[tuple[float, float]]] = field(default_factory=dict)
    failures: int = 0
    ejected_at: float | None = None
    ejected_until: float = 0.0
    times: int = 0

    def is_out(self, now: float) -> bool:
        return self.ejected_at is not None and now < self.ejected_until


class OutlierDetector:
    """Compares upstreams by latency and failures and sets their shares.

    Parameters
    ----------
    promised : float
        Latency up to which an upstream is never an outlier.
    """

    def __init__(self, promised: float = PROMISED) -> None:
        self._promised = promised
        self._seen: dict[Upstream, _Seen] = {}
        self._copies: dict[Model, tuple[Upstream, ...]] = {}

    def on_latency(
        self, now: float, upstream: Upstream, model: Model, seconds: float
    ) -> None:
        """Note a latency that does not depend on the request's length."""
        seen = self._seen.setdefault(upstream, _Seen())
        seen.failures = 0
        samples = seen.samples.setdefault(model, deque(maxlen=MOST_SAMPLES))
        samples.append((now, seconds))

    def on_failure(self, upstream: Upstream) -> None:
        """Note an attempt that the upstream failed."""
        self._seen.setdefault(upstream, _Seen()).failures += 1

    def forget(self, upstream: Upstream) -> None:
        """Drop an upstream that has left."""
        self._seen.pop(upstream, None)

    def share(self, now: float, upstream: Upstream, model: Model) -> float:
        """Return the part of a model's usual traffic that an upstream may get."""
        peers = self._copies.get(model, ())
        # Ejecting the only copy would turn slow answers into none.
        if all(self._is_out(now, peer) for peer in peers):
            return 1.0
        seen = self._seen.get(upstream)
        if seen is None or seen.ejected_at is None:
            return 1.0
        if now < seen.ejected_until:
            return 0.0
        return warmup_weight(now - seen.ejected_until, RETURN_SECONDS, RETURN_LEAST)

    def update(self, now: float, copies: dict[Model, tuple[Upstream, ...]]) -> None:
        """Eject what is slow; ``copies`` are the upstreams that serve each model."""
        self._copies = copies
        everyone = {upstream for peers in copies.values() for upstream in peers}
        most = max(1, int(MOST_EJECTED * len(everyone)))
        for upstream in sorted(everyone & self._seen.keys()):
            out = sum(self._is_out(now, peer) for peer in everyone)
            if out >= most or len(everyone) - out <= 1:
                return
            if not self._is_out(now, upstream) and self._is_bad(now, upstream):
                self._eject(now, self._seen[upstream])

    def _is_out(self, now: float, upstream: Upstream) -> bool:
        seen = self._seen.get(upstream)
        return seen is not None and seen.is_out(now)

    def _is_bad(self, now: float, upstream: Upstream) -> bool:
        if self._seen[upstream].failures >= FAILURES:
            return True
        slow = compared = 0
        for model in self._seen[upstream].samples:
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
            slow += own > max(SLOW * median(peers), self._promised)
        return 2 * slow > compared

    def _median(self, now: float, upstream: Upstream, model: Model) -> float | None:
        seen = self._seen.get(upstream)
        samples = seen.samples.get(model, ()) if seen is not None else ()
        recent = [seconds for at, seconds in samples if now - at <= WINDOW]
        return median(recent) if len(recent) >= LEAST_SAMPLES else None

    def _eject(self, now: float, seen: _Seen) -> None:
        if now - seen.ejected_until > MOST_SECONDS:
            seen.times = 0
        seconds = min(BASE_SECONDS * 2**seen.times, MOST_SECONDS)
        seen.ejected_at = now
        seen.ejected_until = now + seconds
        seen.times += 1
        seen.failures = 0
        seen.samples.clear()
