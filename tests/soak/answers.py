"""Upstreams whose answers have no framing, and end with their connection."""

import random
import threading
from dataclasses import dataclass

MEAN_GAP_S = 1.5
"""Mean seconds between the starts of two such times."""
DURATION_S = 1.0, 4.0
"""Shortest and longest duration."""


@dataclass(frozen=True)
class AnswerStyle:
    """Shares of the answers without framing, and of those that are truncated."""

    unframed: float = 0.0
    truncated: float = 0.0


FRAMED = AnswerStyle()


class AnswerFaults(threading.Thread):
    """Makes upstreams answer without framing for some seconds.

    Uses its own random generator, so that the other faults of a seed do not change.
    """

    def __init__(self, platform, seed):
        super().__init__(daemon=True)
        self._platform = platform
        self._rng = random.Random(f"answers {seed}")
        self._stopped = threading.Event()

    def stop(self):
        self._stopped.set()

    def run(self):
        while not self._stopped.wait(self._rng.expovariate(1 / MEAN_GAP_S)):
            upstream = self._rng.choice(sorted(self._platform.upstreams.items()))[1]
            seconds = self._rng.uniform(*DURATION_S)
            upstream.style = AnswerStyle(self._rng.uniform(0.1, 0.6), 0.3)
            threading.Thread(
                target=self._restore, args=(upstream, seconds), daemon=True
            ).start()

    def _restore(self, upstream, seconds):
        upstream.closed.wait(seconds)
        upstream.style = FRAMED
