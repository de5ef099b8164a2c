"""Upstreams with unusual answers: without framing, or while they leave."""

import random
import threading
from dataclasses import dataclass

MEAN_GAP_S = 1.5
"""Mean seconds between two changes of the answers of an upstream."""
DURATION_S = 1.0, 4.0
"""Shortest and longest time without framing."""

LEAVING_SHARE = 0.15
"""Share of these times for which an upstream leaves instead."""
LEAVE_S = 6.0
"""Seconds that a leaving upstream still serves."""


@dataclass(frozen=True)
class AnswerStyle:
    """Shares of the answers without framing, and of those that are truncated."""

    unframed: float = 0.0
    truncated: float = 0.0


FRAMED = AnswerStyle()


class AnswerFaults(threading.Thread):
    """Changes the answers of upstreams for some seconds.

    Uses its own random generator, so that the other faults of a seed do not change.
    """

    def __init__(self, platform, seed, log):
        super().__init__(daemon=True)
        self._platform = platform
        self._log = log
        self._rng = random.Random(f"answers {seed}")
        self._stopped = threading.Event()

    def stop(self):
        self._stopped.set()

    def run(self):
        while not self._stopped.wait(self._rng.expovariate(1 / MEAN_GAP_S)):
            upstream = self._rng.choice(sorted(self._platform.upstreams.items()))[1]
            seconds = self._rng.uniform(*DURATION_S)
            if self._rng.random() < LEAVING_SHARE:
                step, args = self._leave, (upstream,)
            else:
                upstream.style = AnswerStyle(self._rng.uniform(0.1, 0.6), 0.3)
                step, args = self._restore, (upstream, seconds)
            threading.Thread(target=step, args=args, daemon=True).start()

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
            self._platform.crash(upstream)
