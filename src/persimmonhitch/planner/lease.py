"""A lease in the object API: a single holder and an epoch that only increases.

Two concurrent planners would each unload the copy on which the other relies, so only
the lease holder acts. The holder measures the duration from before it sent the write,
a standby from when it first read the result, so the holder stops first whatever their
clocks show. A holder that was paused finds the lease expired when it checks before it
acts. Orders sent just before the pause still arrive; sidecars refuse them by the
epoch, which increases with each acquisition.

While the store is unavailable, possibly for hours, the lease can neither be acquired
nor renewed. If an upstream crashed in that time, its models would have no copy. The
last holder therefore becomes the caretaker, which may load models that no upstream
serves and give no other order. If another process has acquired the lease unnoticed,
sidecars refuse the caretaker's epoch; a sidecar that has not received the newer epoch
at worst loads an extra copy.
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
"""Fraction of the duration by which the holder stops early, against clock drift."""
RENEWALS_PER_LEASE: Final = 3
NO_HOLDER: Final = ""
EPOCH_BITS: Final = 16
"""Low bits of an epoch that count acquisitions within one era of the store."""
MAX_EPOCH: Final = 2**62
"""Largest epoch of a readable record, so that the next epochs can be read as well."""
MAX_DURATION_S: Final = 60.0
"""Longest duration of a valid lease record."""


class LeaseUnreadable(ValueError):
    """Error for a malformed lease object."""


def boot_clock() -> float:
    """Return a monotonic time in seconds that includes suspension of the VM."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True)
class LeaseSpec:
    """Content of the lease object in the store."""

    holder: str
    incarnation: str
    epoch: int
    renewals: int
    duration: float
    last: str = NO_HOLDER
    """VM of the last holder, set on release; the next holder needs it."""

    @classmethod
    def from_object(cls, obj: StoredObject) -> "LeaseSpec":
        """Parse a stored object; raise ``LeaseUnreadable`` if it is malformed."""
        spec = obj.spec
        try:
            lease = cls(
                str(spec["holder"]),
                str(spec["incarnation"]),
                int(spec["epoch"]),
                int(spec["renewals"]),
                float(spec["duration"]),
                str(spec.get("last", NO_HOLDER)),
            )
        except (KeyError, TypeError, ValueError, OverflowError) as exc:
            raise LeaseUnreadable(repr(exc)) from exc
        is_epoch = 0 <= lease.epoch <= MAX_EPOCH
        if not is_epoch or not 0 <= lease.duration <= MAX_DURATION_S:
            raise LeaseUnreadable(f"epoch {lease.epoch}, duration {lease.duration}")
        return lease

    def to_spec(self) -> dict[str, Any]:
        """Return the content to store."""
        return dict(vars(self))


@dataclass(frozen=True)
class Predecessor:
    """Previous holder of the lease, as recorded in the lease object."""

    vm: Vm
    incarnation: Incarnation
    held_s: float
    """Minimum time for which it held the lease, from its count of renewals."""


UNKNOWN_PREDECESSOR: Final = Predecessor(Vm(NO_HOLDER), Incarnation(""), 0.0)
"""A holder that the store does not name: its record is lost or unreadable."""


class LeaseKeeper:
    """Acquires, renews and releases the lease; ``epoch`` is safe to call on any thread.

    Parameters
    ----------
    store : ObjectStore
        Stores the lease object.
    name : str
        Name of the lease object.
    vm, incarnation
        Identity of this process as a holder.
    duration : float
        Seconds for which a renewal is valid.
    clock : callable
        Monotonic time in seconds.
    store_era : callable
        Returns the count of restores of the store from an older copy.
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
        """When the seen version was first read, or written as its holder reported."""
        self._min_epoch = 0
        """Highest epoch observed; a lease with a lower epoch is not adopted."""
        self._sent: tuple[int, int, float] | None = None
        """Epoch, renewal count and send time of the last write."""
        self._caretaker: Epoch | None = None
        """Epoch under which this process is the caretaker, if it is."""
        self._store_unavailable = False
        self._last_step_at = 0.0
        self._peer_release: tuple[str, int] | None = None
        """VM and epoch of the last release that a holder reported."""
        self._restored_at: float | None = None
        """When this process learned that the store was restored from an older copy."""
        self._restored_era = 0
        """Era of the restore at ``_restored_at``."""
        self._exclusive_until = 0.0
        """Expiry of the lease that this process held when the store was restored from
        an older copy. Until this time no other process can acquire the lease."""
        self.predecessor: Predecessor | None = None
        """Previous holder, which may be an earlier process on this VM, or None."""

    @property
    def step_interval_s(self) -> float:
        """Return the interval at which ``step`` should be called."""
        return self._duration / RENEWALS_PER_LEASE

    def epoch(self) -> Epoch | None:
        """Return the epoch if the lease is held and valid now, else None."""
        with self._lock:
            if self._held is None or self._clock() >= self._valid_until:
                return None
            return Epoch(LeaseSpec.from_object(self._held).epoch)

    @property
    def renewal_failing(self) -> bool:
        """Return whether the lease is held but the store is unavailable."""
        return self._store_unavailable and self._held is not None

    def last_renewal(self) -> tuple[Version, float] | None:
        """Return the version of the held lease and the seconds since its write."""
        with self._lock:
            if self._held is None or self._sent is None:
                return None
            return self._held.version, self._clock() - self._renewed_at

    def abandon(self) -> Epoch | None:
        """Give up the lease without a write to the store; return its epoch."""
        with self._lock:
            epoch = self.epoch()
            self._held = self._sent = self._caretaker = None
            self._exclusive_until = 0.0
        return epoch

    def receive_renewal(self, version: Version, age_s: float) -> None:
        """Record the time of a write of the lease, as reported by its holder.

        The lease then expires earlier for this process than by its own reads of the
        lease object, of which the first would only start the measurement.
        """
        with self._lock:
            if version != self._seen_version:
                self._seen_version, self._seen_at = version, self._clock() - age_s

    def receive_release(self, vm: Vm, epoch: Epoch) -> None:
        """Record that the holder has released its lease, as reported by the holder."""
        self._peer_release = (vm, epoch)

    def handle_store_restore(self) -> None:
        """Drop the lease, as the store was restored from an older copy.

        The previous holder may acquire it again at once, with a higher epoch. Other
        processes wait for as long as a lease can be valid, because the copy may show
        an earlier holder or none.
        """
        with self._lock:
            now = self._clock()
            if self._held is not None:
                spec = LeaseSpec.from_object(self._held)
                self._min_epoch = max(self._min_epoch, spec.epoch)
                self._exclusive_until = self._valid_until
                log("lease_in_doubt", epoch=spec.epoch)
            self._held = self._sent = self._caretaker = self._seen_version = None
            self._record_restore(now)

    def _record_restore(self, now: float) -> None:
        self._restored_at, self._restored_era = now, self._store_era()

    def _predates_restore(self, epoch: int) -> bool:
        """Return whether a lease record was written before the last restore.

        Such a record does not name the last holder. A process that has started after
        the restore learns of the restore from this record.
        """
        era = self._store_era()
        if epoch >> EPOCH_BITS >= era:
            return False
        if self._restored_at is None or self._restored_era < era:
            self._record_restore(self._clock())
        return True

    def _has_exclusive_claim(self) -> bool:
        """Return whether the lease held by this process at a restore is still valid."""
        return self._clock() < self._exclusive_until

    def _may_be_held_elsewhere(self) -> bool:
        """Return whether another process may hold a lease that the store has lost."""
        restored_at = self._restored_at
        if restored_at is None or self._has_exclusive_claim():
            return False
        return self._clock() - restored_at < self._duration

    def caretaker_epoch(self) -> Epoch | None:
        """Return the last epoch if the lease expired only because the store failed."""
        with self._lock:
            if self._clock() - self._last_step_at > self._duration:
                return None
            return self._caretaker

    def observe_epoch(self, epoch: Epoch) -> None:
        """Give up a lease with a lower epoch; the next epoch will be above this one."""
        with self._lock:
            self._min_epoch = max(self._min_epoch, epoch)
            if self._caretaker is not None and self._caretaker < epoch:
                self._caretaker = None
            held = self._held
            if held is not None and LeaseSpec.from_object(held).epoch < epoch:
                log("lease_superseded", epoch=epoch)
                self._held = None

    def store_reachable(self) -> bool:
        """Read the lease and return whether the store is available."""
        result = self._store.get(Kind.LEASE, self._name)
        if isinstance(result, Success):
            return True
        return result.failure().error is not StoreError.UNAVAILABLE

    def step(self) -> None:
        """Renew the lease or try to acquire it; call every ``step_interval_s``."""
        now = self._clock()
        paused = now - self._last_step_at > self._duration
        self._last_step_at = now
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
        """Release the lease in the store, so that it can be acquired at once."""
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
        spec = LeaseSpec.from_object(held)
        self._write(held, spec.epoch, spec.renewals + 1)

    def _try_acquire(self) -> None:
        result = self._store.get(Kind.LEASE, self._name)
        if isinstance(result, Success):
            self._caretaker = None
            self._acquire_existing(result.unwrap())
        elif result.failure().error is StoreError.UNAVAILABLE:
            # The holder could not renew the lease either. Measure its duration again
            # when the store is available, so that the holder has time to renew.
            self._seen_version = None
        elif result.failure().error is StoreError.NOT_FOUND:
            lost = self._predates_restore(0)
            if not self._may_be_held_elsewhere():
                if not self._has_exclusive_claim():
                    self.predecessor = UNKNOWN_PREDECESSOR if lost else None
                self._write(None, self._epoch_floor() + 1, 0)

    def _epoch_floor(self) -> int:
        """Return an epoch that is not below any that was ever used.

        A restored copy of the store may lack the latest epochs, but every epoch of an
        era is above all epochs of earlier eras.
        """
        return max(self._min_epoch, self._store_era() << EPOCH_BITS)

    def _acquire_existing(self, obj: StoredObject) -> None:
        try:
            old = LeaseSpec.from_object(obj)
        except LeaseUnreadable as exc:
            self._acquire_unreadable(obj, exc)
            return
        if self._adopt_unanswered_write(obj, old):
            return
        from_copy = self._predates_restore(old.epoch)
        if not from_copy:
            # Another process has acquired the lease since the restore.
            self._exclusive_until = 0.0
        if self._is_free(obj, old, from_copy):
            if not self._has_exclusive_claim():
                self.predecessor = (
                    UNKNOWN_PREDECESSOR if from_copy else self._read_predecessor(old)
                )
            self._write(obj, max(old.epoch, self._epoch_floor()) + 1, 0)

    def _acquire_unreadable(self, obj: StoredObject, exc: LeaseUnreadable) -> None:
        """Replace a malformed lease once any holder's lease has expired."""
        if self._seen_version != obj.version:
            log("lease_unreadable", version=obj.version, error=str(exc))
        if not self._may_be_held_elsewhere() and self._has_expired(obj, self._duration):
            self.predecessor = UNKNOWN_PREDECESSOR
            self._write(obj, self._epoch_floor() + 1, 0)

    def _read_predecessor(self, old: LeaseSpec) -> Predecessor:
        held_s = max(0, old.renewals - 1) * self.step_interval_s
        vm = old.last if old.holder == NO_HOLDER else old.holder
        return Predecessor(Vm(vm), Incarnation(old.incarnation), held_s)

    def _is_free(self, obj: StoredObject, old: LeaseSpec, from_copy: bool) -> bool:
        if self._has_exclusive_claim():
            return True
        if from_copy:
            # Every lease from before the restore has expired by the end of this wait.
            return not self._may_be_held_elsewhere()
        if self._peer_release == (old.holder, old.epoch):
            return True
        # A process that starts on a VM proves that the previous one there has ended.
        if old.holder in (NO_HOLDER, self._vm) or old.incarnation == self._incarnation:
            return True
        return self._has_expired(obj, old.duration)

    def _has_expired(self, obj: StoredObject, duration: float) -> bool:
        """Return whether a lease was not renewed for its duration."""
        now = self._clock()
        if self._seen_version != obj.version:
            self._seen_version, self._seen_at = obj.version, now
        return now - self._seen_at >= duration

    def _write(self, old: StoredObject | None, epoch: int, renewals: int) -> None:
        sent_at = self._clock()
        spec = LeaseSpec(
            self._vm, self._incarnation, epoch, renewals, self._duration
        ).to_spec()
        # If this write repeats one without an answer, the first may have taken effect,
        # so the duration starts at the first.
        repeated = self._sent is not None and self._sent[:2] == (epoch, renewals)
        if not repeated:
            self._sent = (epoch, renewals, sent_at)
        if old is None:
            result = self._store.create(Kind.LEASE, self._name, spec)
        else:
            result = self._store.update(old, spec)
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
        # If only the answer to a renewal was lost, the stored version is newer than the
        # held one. Every later renewal would conflict, and a healthy holder would lose
        # its lease.
        if error is StoreError.UNAVAILABLE:
            # The next renewal shows the result. A read now could take as long as the
            # write did, and peers that reach the store must be asked before expiry.
            return
        if error is not StoreError.CONFLICT:
            self._held = None
            return
        result = self._store.get(Kind.LEASE, self._name)
        if not isinstance(result, Success):
            return
        obj = result.unwrap()
        try:
            adopted = self._adopt_unanswered_write(obj, LeaseSpec.from_object(obj))
        except LeaseUnreadable as exc:
            log("lease_unreadable", version=obj.version, error=str(exc))
            adopted = False
        if not adopted and obj.version != (self._held and self._held.version):
            self._held = None

    def _adopt_unanswered_write(self, obj: StoredObject, spec: LeaseSpec) -> bool:
        """Adopt a valid lease if it is the result of an own write without an answer."""
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
