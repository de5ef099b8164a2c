"""Upstreams with unusual answers: unframed, late, cut, with backoffs, or leaving."""

import random
import threading
from dataclasses import dataclass

MEAN_GAP_S = 1.5
"""Mean seconds between two changes of the answers of an upstream."""
DURATION_S = 1.0, 4.0
"""Shortest and longest time without framing."""

LEAVING_SHARE = 0.15
"""Share of these times for which an upstream leaves instead."""
BACKOFF_SHARE = 0.35
"""Share of these times for which an upstream rejects requests with a backoff."""
REJECTED_SHARE = 0.1, 0.9
BACKOFF_S = (0.0, 0.7, 2.0, 4.0)
LEAVE_S = 6.0
"""Seconds that a leaving upstream still serves."""


@dataclass(frozen=True)
class AnswerStyle:
    """Shares of the answers without framing, and of those that are truncated."""

    unframed: float = 0.0
    truncated: float = 0.0
    rejected: float = 0.0
    """Share of the requests that are rejected with a backoff of ``backoff_s``."""
    backoff_s: float = 0.0


FRAMED = AnswerStyle()


@dataclass(frozen=True)
class Flaws:
    """Shares of the answers that come again late, or end within their head."""

    copied: float = 0.0
    """Share of the answers that are sent again before the next on their connection."""
    headless: float = 0.0


FLAWLESS = Flaws()


class LateAnswers(threading.Thread):
    """Makes upstreams send answers twice, or cut heads, for some seconds.

    Uses its own random generator, so that the other faults of a seed do not change.
    """

    def __init__(self, platform, seed):
        super().__init__(daemon=True)
        self._platform = platform
        self._rng = random.Random(f"late answers {seed}")
        self._stopped = threading.Event()

    def stop(self):
        self._stopped.set()

    def run(self):
        while not self._stopped.wait(self._rng.expovariate(1 / MEAN_GAP_S)):
            upstream = self._rng.choice(sorted(self._platform.upstreams.items()))[1]
            seconds = self._rng.uniform(*DURATION_S)
            upstream.flaws = Flaws(
                self._rng.uniform(0.0, 0.5), self._rng.choice((0.0, 0.0, 0.2))
            )
            args = upstream, seconds
            threading.Thread(target=self._restore, args=args, daemon=True).start()

    def _restore(self, upstream, seconds):
        upstream.closed.wait(seconds)
        upstream.flaws = FLAWLESS


class AnswerFaults(threading.Thread):
    """Changes the answers of upstreams for some seconds.

    Uses its own random generator, so that the other faults of a seed do not change.
    """

    def __init__(self, platform, records, seed, log):
        super().__init__(daemon=True)
        self._platform = platform
        self._records = records
        self._log = log
        self._rng = random.Random(f"answers {seed}")
        self._stopped = threading.Event()

    def stop(self):
        self._stopped.set()

    def run(self):
        while not self._stopped.wait(self._rng.expovariate(1 / MEAN_GAP_S)):
            upstream = self._rng.choice(sorted(self._platform.upstreams.items()))[1]
            seconds = self._rng.uniform(*DURATION_S)
            draw = self._rng.random()
            if draw < LEAVING_SHARE:
                step, args = self._leave, (upstream,)
            else:
                is_backoff = draw < LEAVING_SHARE + BACKOFF_SHARE
                upstream.style = (
                    self._backoff_style() if is_backoff else self._unframed()
                )
                step, args = self._restore, (upstream, seconds)
            threading.Thread(target=step, args=args, daemon=True).start()

    def _unframed(self):
        return AnswerStyle(self._rng.uniform(0.1, 0.6), 0.3)

    def _backoff_style(self):
        rejected = self._rng.uniform(*REJECTED_SHARE)
        return AnswerStyle(rejected=rejected, backoff_s=self._rng.choice(BACKOFF_S))

    def _restore(self, upstream, seconds):
        upstream.closed.wait(seconds)
        upstream.style = FRAMED

    def _leave(self, upstream):
        """Make an upstream leave that reports it in its answers alone."""
        if upstream.draining:
            return
        upstream.draining = upstream.leaving = True
        self._log(f"{upstream.spec.name} leaves, as only its answers report")
        self._platform.add(upstream.spec.service, 0)
        if not upstream.closed.wait(LEAVE_S):
            self._records.open_span("crash", upstream.spec.name)
            self._platform.crash(upstream)
