"""Holds every account to its rate together with the other entries."""

import math
import threading
import time
from collections.abc import Callable, Mapping

from ..fleet.config import AccountSpec, FleetConfig
from ..ids import Account, Tokens, Vm
from ..limits.pooled import SILENT_AFTER, PooledBucket


class Quota:
    """Buckets of all accounts; safe to use from many threads.

    Parameters
    ----------
    peers : callable
        Returns the other entries of the fleet, in reach or not.
    """

    def __init__(
        self,
        peers: Callable[[], frozenset[Vm]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._lock = threading.Lock()
        self._buckets: dict[Account, PooledBucket] = {}
        self._heard: dict[Vm, float] = {}

    def update(self, cfg: FleetConfig) -> None:
        """Take the rates of a new configuration."""
        now = self._clock()
        with self._lock:
            for account in cfg.accounts.values():
                self._size(account, now)

    def _size(self, account: AccountSpec, now: float) -> None:
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = PooledBucket(account.rate, account.burst, now)
            self._buckets[account.name] = bucket
        else:
            bucket.resize(account.rate, account.burst)

    def take(self, account: Account, cost: Tokens) -> float | None:
        """Spend tokens; return None, or the seconds until they are there."""
        now = self._clock()
        peers = self._peers()
        with self._lock:
            ages = [now - self._heard.get(vm, -SILENT_AFTER) for vm in peers]
            silent = sum(age > SILENT_AFTER for age in ages)
            bucket = self._buckets[account]
            bucket.advance(now, silent, len(peers) + 1)
            late = sum(a for a in ages if a <= SILENT_AFTER) / max(1, len(ages))
            return bucket.take(cost, late)

    def hears_nobody(self) -> bool:
        """Return whether all other entries are silent, if there are any."""
        now = self._clock()
        peers = self._peers()
        with self._lock:
            return bool(peers) and all(
                now - self._heard.get(vm, -math.inf) > SILENT_AFTER for vm in peers
            )

    def refund(self, account: Account, cost: Tokens) -> None:
        """Give back the tokens of a request that has not run."""
        with self._lock:
            self._buckets[account].refund(cost)

    def used(self) -> dict[Account, float]:
        """Return what each account has spent here."""
        with self._lock:
            return {name: bucket.used for name, bucket in self._buckets.items()}

    def hear(
        self, vm: Vm, used: Mapping[Account, float], as_of: float | None = None
    ) -> None:
        """Take off what a peer has spent, as far as it has changed.

        ``as_of`` is when it was so, if that was not just now.
        """
        now = self._clock()
        with self._lock:
            self._heard[vm] = now if as_of is None else as_of
            for account, tokens in used.items():
                bucket = self._buckets.get(account)
                if bucket is not None:
                    bucket.hear(vm, tokens, now)
