"""Calls that crash each upstream that runs them, sent again and again."""

import random
import threading
import time

from soak.callers import Caller
from soak.upstreams import POISON_PREFIX

MEAN_GAP_S = 0.9
"""Mean seconds between two sends of one such call."""
KINDS = ("book", "chat", "read")


class PoisonCaller(Caller):
    """Sends one call over and over, by all entries in turn.

    Its draws are its own, so that the faults of a seed stay as they are.
    """

    def __init__(self, balancer, operator, records, seed, number, stopped):
        rng = random.Random(f"poison {seed} {number}")
        super().__init__(balancer, operator, records, rng, stopped)
        self._kind = KINDS[number % len(KINDS)]
        self.body = POISON_PREFIX + str(number).encode()

    def _choose_request(self):
        return self._kind, "plain"

    def _choose_key(self, account):
        return self._operator.keys[account][0], account

    def run(self):
        while not self._stopped.wait(self._rng.expovariate(1 / MEAN_GAP_S)):
            self._disconnect()
            self._send_request()
        self._disconnect()


class CrashHandler:
    """Ends upstreams that run such a call, and starts others in their place."""

    def __init__(self, platform, records, seed):
        self._platform = platform
        self._records = records
        self._rng = random.Random(f"crashes {seed}")

    def crash(self, upstream):
        """End an upstream; another one comes after a while."""
        self._records.begin("crash", upstream.spec.name)
        self._platform.crash(upstream)
        threading.Thread(target=self._replace, args=(upstream,), daemon=True).start()

    def _replace(self, upstream):
        time.sleep(self._rng.uniform(0.3, 1.5))
        self._platform.add(upstream.spec.service, self._rng.randrange(8))
