"""The planner's lease in the object API: one holder, and an epoch that only rises.

Two planners at once would each unload the copy that the other counts on. The lease
keeps it to one: a holder counts its time from before it sent the write that gave it
the lease, a standby from when it first saw that write, so the holder stops first
whatever their clocks say. A holder that was paused finds its time over when it looks
before it acts. What it sent just before still arrives; sidecars refuse it by the
epoch, which each new holding raises.

While the store is away nobody can take or renew the lease, for hours if need be. An
upstream that dies then would leave its models without a copy. The last holder stays
as caretaker: it may load what nobody serves, and nothing else. Should another have
taken the lease unseen, sidecars refuse the caretaker's epoch, and where they don't yet
know the newer one a load at worst adds a copy.
"""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Final

from returns.result import Success

from ..ids import Epoch, Incarnation, Vm
from ..observe.logs import log
from ..store.objects import Kind, ObjectStore, StoredObject, StoreError, Version

EXPIRY_MARGIN: Final = 0.05
"""Part of the duration by which the holder stops early: clocks run unevenly."""
RENEWALS_PER_LEASE: Final = 3
NO_HOLDER: Final = ""
EPOCH_BITS: Final = 16
"""Bits of an epoch below the store's era: holdings within one era."""


def boot_clock() -> float:
    """Return seconds that go on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True)
class LeaseSpec:
    """What the store's object says."""

    holder: str
    incarnation: str
    epoch: int
    renewals: int
    duration: float
    last: str = NO_HOLDER
    """Who held it before it was released; whoever is next has to know."""

    @classmethod
    def from_object(cls, obj: StoredObject) -> "LeaseSpec":
        """Return the lease of a stored object."""
        spec = obj.spec
        return cls(
            str(spec["holder"]),
            str(spec["incarnation"]),
            int(spec["epoch"]),
            int(spec["renewals"]),
            float(spec["duration"]),
            str(spec.get("last", NO_HOLDER)),
        )

    def to_spec(self) -> dict[str, Any]:
        """Return it as the store keeps it."""
        return dict(vars(self))


@dataclass(frozen=True)
class Predecessor:
    """Who held the lease before, as the store's object tells it."""

    vm: Vm
    incarnation: Incarnation
    held_s: float
    """Seconds for which it held the lease at least."""


class LeaseKeeper:
    """Takes, renews and releases the lease; ``epoch`` may be called by any thread.

    Parameters
    ----------
    store : ObjectStore
        Where the lease is.
    name : str
        Name of the lease's object.
    vm, incarnation
        Who holds it.
    duration : float
        Seconds that one renewal lasts.
    clock : callable
        Seconds that never go back.
    store_era : callable
        Returns how often the store has come back from a copy.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        vm: Vm,
        incarnation: Incarnation,
        duration: float,
        clock: Callable[[], float] = boot_clock,
        store_era: Callable[[], int] = lambda: 0,
    ) -> None:
        self._store_era = store_era
        self._store = store
        self._name = name
        self._vm = vm
        self._incarnation = incarnation
        self._duration = duration
        self._clock = clock
        self._lock = threading.RLock()
        self._held: StoredObject | None = None
        self._renewed_at = 0.0
        self._valid_until = 0.0
        self._seen_version: Version | None = None
        self._seen_at = 0.0
        self._min_epoch = 0
        self._sent: tuple[int, int, float] | None = None
        self._caretaker: Epoch | None = None
        self._store_unavailable = False
        self._stepped_at = 0.0
        self._peer_release: tuple[str, int] | None = None
        self._restored_at: float | None = None
        """When it was heard that the store has come back from a copy."""
        self._exclusive_until = 0.0
        """Until when nobody else may take a lease that was held at that time."""
        self.predecessor: Predecessor | None = None
        """Who held the lease before it was ours, this VM included; None for nobody."""

    @property
    def step_interval_s(self) -> float:
        """Return the seconds between two steps."""
        return self._duration / RENEWALS_PER_LEASE

    def epoch(self) -> Epoch | None:
        """Return the epoch held at this moment, or None."""
        with self._lock:
            if self._held is None or self._clock() >= self._valid_until:
                return None
            return Epoch(LeaseSpec.from_object(self._held).epoch)

    @property
    def renewal_failing(self) -> bool:
        """Return whether the store's absence keeps the held lease from renewal."""
        return self._store_unavailable and self._held is not None

    def last_renewal(self) -> tuple[Version, float] | None:
        """Return the held lease's version and the seconds since it was sent."""
        with self._lock:
            if self._held is None or self._sent is None:
                return None
            return self._held.version, self._clock() - self._renewed_at

    def abandon(self) -> Epoch | None:
        """Give the lease up without the store; return the epoch that ends."""
        with self._lock:
            epoch = self.epoch()
            self._held = self._sent = self._caretaker = None
            self._exclusive_until = 0.0
        return epoch

    def receive_renewal(self, version: Version, age_s: float) -> None:
        """Take from the holder itself when it wrote a version of the lease.

        The lease is over that much sooner than by this process's own looks at it, of
        which the first would only begin to count.
        """
        with self._lock:
            if version != self._seen_version:
                self._seen_version, self._seen_at = version, self._clock() - age_s

    def receive_release(self, vm: Vm, epoch: Epoch) -> None:
        """Take from the holder itself that it acts under an epoch no more."""
        self._peer_release = (vm, epoch)

    def handle_store_restore(self) -> None:
        """Hold nothing by the word of a store that has come back from a copy.

        Whoever held the lease takes it anew, above its last epoch. All others wait as
        long as it might be held: the copy may name a holder of before, or none.
        """
        with self._lock:
            now = self._clock()
            if self._held is not None:
                spec = LeaseSpec.from_object(self._held)
                self._min_epoch = max(self._min_epoch, spec.epoch)
                self._exclusive_until = self._valid_until
                log("lease_in_doubt", epoch=spec.epoch)
            self._held = self._sent = self._caretaker = self._seen_version = None
            self._restored_at = now

    def _has_exclusive_claim(self) -> bool:
        """Return whether this process held the lease when the store came back."""
        return self._clock() < self._exclusive_until

    def _may_be_held_elsewhere(self) -> bool:
        """Return whether another holder may still act on a lease that was lost."""
        restored_at = self._restored_at
        if restored_at is None or self._has_exclusive_claim():
            return False
        return self._clock() - restored_at < self._duration

    def caretaker_epoch(self) -> Epoch | None:
        """Return the last epoch held, if only the store's absence ended it."""
        with self._lock:
            if self._clock() - self._stepped_at > self._duration:
                return None
            return self._caretaker

    def observe_epoch(self, epoch: Epoch) -> None:
        """Give up a lease that somebody overtook; the next one goes higher."""
        with self._lock:
            self._min_epoch = max(self._min_epoch, epoch)
            if self._caretaker is not None and self._caretaker < epoch:
                self._caretaker = None
            held = self._held
            if held is not None and LeaseSpec.from_object(held).epoch < epoch:
                log("lease_overtaken", epoch=epoch)
                self._held = None

    def store_reachable(self) -> bool:
        """Return whether the store answers a look at the lease now."""
        result = self._store.get(Kind.LEASE, self._name)
        if isinstance(result, Success):
            return True
        return result.failure().error is not StoreError.UNAVAILABLE

    def step(self) -> None:
        """Renew the lease, or take it where it is free; call a few times a lease."""
        now = self._clock()
        paused = now - self._stepped_at > self._duration
        self._stepped_at = now
        if paused:
            self._caretaker = None
        epoch = self.epoch()
        held = self._held
        if epoch is not None and held is not None:
            self._renew(held)
            return
        if held is not None:
            self._expire(held, paused)
        self._try_acquire()

    def release(self) -> None:
        """Let the next holder in at once."""
        held, self._held, self._sent, self._caretaker = self._held, None, None, None
        if held is None:
            return
        spec = LeaseSpec.from_object(held)
        new = replace(spec, holder=NO_HOLDER, renewals=spec.renewals + 1, last=self._vm)
        self._store.update(held, new.to_spec())

    def _expire(self, held: StoredObject, paused: bool) -> None:
        epoch = LeaseSpec.from_object(held).epoch
        self._held = None
        if self._store_unavailable and not paused:
            self._caretaker = Epoch(epoch)
        log("lease_lapsed", epoch=epoch, caretaker=self._caretaker is not None)

    def _renew(self, held: StoredObject) -> None:
        old = LeaseSpec.from_object(held)
        self._write(held, old.epoch, old.renewals + 1)

    def _try_acquire(self) -> None:
        result = self._store.get(Kind.LEASE, self._name)
        if isinstance(result, Success):
            self._caretaker = None
            self._acquire_existing(result.unwrap())
        elif result.failure().error is StoreError.UNAVAILABLE:
            # The holder could not renew it meanwhile either, and is to have its time
            # for that when the store is back.
            self._seen_version = None
        elif result.failure().error is StoreError.NOT_FOUND:
            if not self._may_be_held_elsewhere():
                self._write(None, self._epoch_floor() + 1, 0)

    def _epoch_floor(self) -> int:
        """Return an epoch that is not below any that was ever taken.

        A copy of the store may have lost the newest; those of a later era are above all
        of the eras before.
        """
        return max(self._min_epoch, self._store_era() << EPOCH_BITS)

    def _acquire_existing(self, obj: StoredObject) -> None:
        old = LeaseSpec.from_object(obj)
        if self._adopt_unanswered_write(obj, old):
            return
        if self._is_free(obj, old):
            if not self._has_exclusive_claim():
                self.predecessor = self._read_predecessor(old)
            self._write(obj, max(old.epoch, self._epoch_floor()) + 1, 0)

    def _read_predecessor(self, old: LeaseSpec) -> Predecessor:
        held_s = max(0, old.renewals - 1) * self.step_interval_s
        vm = old.last if old.holder == NO_HOLDER else old.holder
        return Predecessor(Vm(vm), Incarnation(old.incarnation), held_s)

    def _is_free(self, obj: StoredObject, old: LeaseSpec) -> bool:
        now = self._clock()
        if self._peer_release == (old.holder, old.epoch) or self._has_exclusive_claim():
            return True
        if self._may_be_held_elsewhere():
            return False
        # A process that starts on a VM is proof that the one before it has ended.
        if old.holder in (NO_HOLDER, self._vm) or old.incarnation == self._incarnation:
            return True
        if self._seen_version != obj.version:
            self._seen_version, self._seen_at = obj.version, now
        return now - self._seen_at >= old.duration

    def _write(self, old: StoredObject | None, epoch: int, renewals: int) -> None:
        sent_at = self._clock()
        lease = LeaseSpec(
            self._vm, self._incarnation, epoch, renewals, self._duration
        ).to_spec()
        # The same write sent again may have taken effect the first time, without an
        # answer; the lease counts from then.
        repeated = self._sent is not None and self._sent[:2] == (epoch, renewals)
        if not repeated:
            self._sent = (epoch, renewals, sent_at)
        if old is None:
            result = self._store.create(Kind.LEASE, self._name, lease)
        else:
            result = self._store.update(old, lease)
        if isinstance(result, Success):
            self._store_unavailable = False
            self._set_held(result.unwrap(), sent_at)
            return
        failure = result.failure()
        self._store_unavailable = failure.error is StoreError.UNAVAILABLE
        log("lease_not_written", error=failure.error.value, detail=failure.detail)
        if old is not None and self._held is old:
            self._handle_failed_renewal(failure.error)

    def _handle_failed_renewal(self, error: StoreError) -> None:
        # A renewal whose answer was lost has a newer version than the one held:
        # all later renewals would conflict and a healthy holder lose its lease.
        if error is StoreError.UNAVAILABLE:
            # The next renewal tells; a look now would take as long as this one, and
            # whoever can reach the store is to be asked before the lease is over.
            return
        if error is not StoreError.CONFLICT:
            self._held = None
            return
        result = self._store.get(Kind.LEASE, self._name)
        if not isinstance(result, Success):
            return
        obj = result.unwrap()
        own = self._adopt_unanswered_write(obj, LeaseSpec.from_object(obj))
        if not own and obj.version != (self._held and self._held.version):
            self._held = None

    def _adopt_unanswered_write(self, obj: StoredObject, spec: LeaseSpec) -> bool:
        """Hold a lease whose write took effect without an answer."""
        if spec.incarnation != self._incarnation or self._sent is None:
            return False
        epoch, renewals, sent_at = self._sent
        if (spec.epoch, spec.renewals) != (epoch, renewals):
            return False
        if epoch < self._min_epoch:
            return False
        if self._clock() >= self._expiry(sent_at):
            return False
        self._set_held(obj, sent_at)
        return True

    def _set_held(self, obj: StoredObject, sent_at: float) -> None:
        with self._lock:
            if obj.spec["epoch"] < self._min_epoch:
                return
            if self._held is None:
                log("lease_taken", epoch=obj.spec["epoch"])
            self._held = obj
            self._renewed_at = sent_at
            self._exclusive_until = 0.0
            self._valid_until = self._expiry(sent_at)

    def _expiry(self, sent_at: float) -> float:
        return sent_at + self._duration * (1.0 - EXPIRY_MARGIN)
