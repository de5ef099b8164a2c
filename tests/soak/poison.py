"""Poison requests, which crash every upstream that runs them, sent repeatedly."""

import random
import threading
import time

from soak.callers import Caller
from soak.upstreams import PART_BODY, POISON_PREFIX

MEAN_GAP_S = 0.9
"""Mean seconds between two sends of one poison request."""
KINDS = ("book", "chat", "read")


class PoisonCaller(Caller):
    """Sends one poison request repeatedly, through a random ready entry each time.

    Uses its own random generator, so that the other faults of a seed do not change.
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


class PartPoisonCaller(PoisonCaller):
    """Sends requests that are all different but share a part that crashes upstreams.

    Sound requests have the same account, models and first part.
    """

    def __init__(self, balancer, operator, records, seed, number, stopped):
        super().__init__(balancer, operator, records, seed, number, stopped)
        self._rng = random.Random(f"poison part {seed} {number}")
        self._part = number
        self._sent = 0

    def _choose_request(self):
        self._sent += 1
        self.body = f"{PART_BODY.decode()}{self._part} {self._sent}".encode()
        return "chat", "plain"

    def _prompt_parts(self, number):
        first, *others = super()._prompt_parts(number)
        return [first, f"bad{self._part}", *others]


class CrashHandler:
    """Crashes upstreams that run a poison request, and starts replacements."""

    def __init__(self, platform, records, seed):
        self._platform = platform
        self._records = records
        self._rng = random.Random(f"crashes {seed}")

    def crash(self, upstream):
        """Crash an upstream and start a replacement after a delay."""
        self._records.open_span("crash", upstream.spec.name)
        self._platform.crash(upstream)
        threading.Thread(target=self._replace, args=(upstream,), daemon=True).start()

    def _replace(self, upstream):
        time.sleep(self._rng.uniform(0.3, 1.5))
        self._platform.add(upstream.spec.service, self._rng.randrange(8))
