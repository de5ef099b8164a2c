"""Enforces the rate of each account jointly with the other entries."""

import math
import threading
import time
from collections.abc import Callable, Mapping

from ..fleet.config import AccountSpec, FleetConfig
from ..ids import Account, Tokens, Vm
from ..limits.pooled import PEER_TIMEOUT_S, PooledBucket


class Quota:
    """Token buckets of all accounts; thread-safe.

    Parameters
    ----------
    peers : callable
        Returns the other entries of the fleet, reachable or not.
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
        self._usage_at: dict[Vm, float] = {}
        """Monotonic time of the newest usage reported by each peer."""

    def update(self, cfg: FleetConfig) -> None:
        """Apply the rates of a new configuration."""
        now = self._clock()
        with self._lock:
            for account in cfg.accounts.values():
                self._resize(account, now)

    def _resize(self, account: AccountSpec, now: float) -> None:
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = PooledBucket(account.rate, account.burst, now)
            self._buckets[account.name] = bucket
        else:
            bucket.resize(account.rate, account.burst)

    def spend(self, account: Account, cost: Tokens) -> float | None:
        """Spend tokens; if too few are left, return the seconds until enough are."""
        now = self._clock()
        peers = self._peers()
        with self._lock:
            ages = [now - self._usage_at.get(vm, -PEER_TIMEOUT_S) for vm in peers]
            unresponsive = sum(age > PEER_TIMEOUT_S for age in ages)
            bucket = self._buckets[account]
            bucket.advance(now, unresponsive, len(peers) + 1)
            lag_s = sum(a for a in ages if a <= PEER_TIMEOUT_S) / max(1, len(ages))
            return bucket.spend(cost, lag_s)

    def is_isolated(self) -> bool:
        """Return whether there are peers and all of them are unresponsive."""
        now = self._clock()
        peers = self._peers()
        with self._lock:
            return bool(peers) and all(
                now - self._usage_at.get(vm, -math.inf) > PEER_TIMEOUT_S for vm in peers
            )

    def responsive_peers(self) -> frozenset[Vm]:
        """Return the entries that sent an update recently, listed or not."""
        now = self._clock()
        with self._lock:
            return frozenset(
                vm for vm, at in self._usage_at.items() if now - at <= PEER_TIMEOUT_S
            )

    def hears_all_peers(self) -> bool:
        """Return whether there are peers and all of them are responsive."""
        now = self._clock()
        peers = self._peers()
        with self._lock:
            return bool(peers) and all(
                now - self._usage_at.get(vm, -math.inf) <= PEER_TIMEOUT_S
                for vm in peers
            )

    def refund(self, account: Account, cost: Tokens) -> None:
        """Credit an account with the tokens of a request that did not run."""
        with self._lock:
            self._buckets[account].refund(cost)

    def tokens_used(self) -> dict[Account, float]:
        """Return the tokens that each account has spent at this entry."""
        with self._lock:
            return {name: bucket.used for name, bucket in self._buckets.items()}

    def fleet_usage(self) -> tuple[dict[Account, float], dict[Account, float]]:
        """Return the tokens spent at all entries and the rate, of limited accounts."""
        with self._lock:
            limited = {n: b for n, b in self._buckets.items() if b.rate > 0}
            used = {name: bucket.total_used for name, bucket in limited.items()}
            return used, {name: bucket.rate for name, bucket in limited.items()}

    def receive(
        self, vm: Vm, tokens_used: Mapping[Account, float], as_of: float | None = None
    ) -> None:
        """Deduct the tokens spent at a peer since its previous update.

        ``tokens_used`` are totals since the start of the peer as of the monotonic time
        ``as_of``; None means now.
        """
        now = self._clock()
        with self._lock:
            self._usage_at[vm] = now if as_of is None else as_of
            for account, tokens in tokens_used.items():
                bucket = self._buckets.get(account)
                if bucket is not None:
                    bucket.receive(vm, tokens, now)
