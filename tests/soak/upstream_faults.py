"""Faults that strike a random upstream from time to time."""

import random
import threading


class UpstreamFaults(threading.Thread):
    """Changes one upstream after the other until it is stopped.

    Uses its own random generator, so that the other faults of a seed do not change.
    """

    def __init__(self, name, platform, seed, mean_gap_s):
        super().__init__(daemon=True)
        self._platform = platform
        self._mean_gap_s = mean_gap_s
        self._rng = random.Random(f"{name} {seed}")
        self._stopped = threading.Event()

    def stop(self):
        self._stopped.set()

    def run(self):
        while not self._stopped.wait(self._rng.expovariate(1 / self._mean_gap_s)):
            self._change(self._rng.choice(sorted(self._platform.upstreams.items()))[1])

    def _change(self, upstream):
        """Make one change; subclasses override this method."""
        raise NotImplementedError

    def _start(self, step, *args):
        """Run the rest of a change beside the next ones."""
        threading.Thread(target=step, args=args, daemon=True).start()
