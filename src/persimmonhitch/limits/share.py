"""One VM's share of an account, and the shares pooled with it.

Load pattern: entries that die, freeze and come back while the account sends at its
rate. A share is a fraction of rate and burst that the store's record gives to this
VM. It ends only by the record, never by time, so an outage of the store changes
nothing. Tokens in several buckets are worth less than in one: a bucket that is full
lets its refill run over while another is empty. So the holders lend their whole
shares to one of them, under a short lease between the two; when that one dies, they
have their shares back when the lease ends, without the store.

What goes wrong without the rules below, seen only as a fleet that admits more than
the plan:

- A share that is new here starts with no more than the tokens that came with it, and
  its refill is held back for as long as a loan may live, because whoever used it
  before may have lent out all of it.
- A holder that gives a part away stops using it before it writes the record, and
  uses it again only under a record newer than the one it tried to replace: a write
  whose answer was lost may still take effect.
- The lease of a pooled share is counted from the asking on the one side and from the
  later answer on the other, and longer there. It is looked at before each use, so a
  process that was frozen finds it ended.
- A process that starts leaves its share alone for the time of a lease, because the
  one before it may have lent it.
- A process that was frozen may also have lost its own share. After ``MAX_PAUSE``
  without a look at the clock it admits nothing before the record is confirmed.
"""

from dataclasses import dataclass
from typing import Final

from ..catalog.model import PlanEntry
from ..ids import LoanId, Vm
from .bucket import Bucket
from .record import NO_PARTS, PARTS, ShareRecord

LOAN_TTL_S: Final = 0.25
"""Seconds that a loan may live at most; a few round trips between regions."""
DRIFT_FACTOR: Final = 1.1
"""The giver counts loans and leases longer, since clocks drift apart."""
POOL_TTL_S: Final = 4.0
"""Seconds of a lease on a pooled share: how long a dead holder keeps the others'."""
MAX_PAUSE_S: Final = 5.0
"""Seconds; well above any collector's pause, well below ``RECLAIM_AFTER``."""
RECLAIM_AFTER_S: Final = 30.0
"""Seconds a VM must be missing from the platform's list before its share is taken."""


@dataclass
class Lease:
    """A share in the hands of another VM, seen from either side."""

    vm: Vm
    id: LoanId
    parts: int
    expires_at: float


class Share:
    """Fraction, plan, leases and bucket; every method takes the time."""

    def __init__(self, vm: Vm, plan: PlanEntry, now: float) -> None:
        self.vm = vm
        self.plan = plan
        self.record: ShareRecord = NO_PARTS
        self.parts = 0
        self.bucket = Bucket(0.0, 0.0, now)
        self.unconfirmed = False
        self._unconfirmed_since = now
        # The process that ran here before may have lent the share to another
        # holder just before it ended, and that one may use it until its lease ends.
        expires_at = now + POOL_TTL_S * DRIFT_FACTOR
        self.lent: Lease | None = Lease(vm, LoanId(""), PARTS, expires_at)
        self.pooled: dict[Vm, Lease] = {}
        self._in_use = 0
        self._min_generation = 0
        self._advanced_at = now

    def advance(self, now: float) -> bool:
        """End leases, refill, and return whether the share may be used."""
        if now - self._advanced_at > MAX_PAUSE_S:
            self.unconfirmed = True
            self._unconfirmed_since = now
        self._advanced_at = max(self._advanced_at, now)
        for lease in sorted(self.pooled.values(), key=lambda item: item.expires_at):
            if lease.expires_at <= now:
                del self.pooled[lease.vm]
                self._resize(lease.expires_at)
        if self.lent is not None and self.lent.expires_at <= now:
            expired_at, self.lent = self.lent.expires_at, None
            self._resize(expired_at)
        self.bucket.advance(now)
        return not self.unconfirmed

    def initialize(self, record: ShareRecord, now: float) -> None:
        """Take the first record of an account: nobody can have used its tokens."""
        self.advance(now)
        self.lent = None
        self.parts = record.parts.get(self.vm, 0)
        self._resize(now, self.plan.burst * self.parts / PARTS)

    def adopt(self, record: ShareRecord, now: float) -> bool:
        """Take a record that was read or heard of; return whether it is newer."""
        if record.generation < self.record.generation:
            return False
        newer = record.generation > self.record.generation
        self.record = record
        parts = record.parts.get(self.vm, 0)
        if record.generation < self._min_generation:
            parts = min(parts, self.parts)
        self.parts = parts
        for vm, lease in list(self.pooled.items()):
            if lease.parts > record.parts.get(vm, 0):
                del self.pooled[vm]
        self._resize(now)
        return newer

    def confirm(self, record: ShareRecord, as_of: float, now: float) -> bool:
        """Take a record that the store or a peer was asked for at ``asked``.

        An answer that was asked for before the pause says nothing: the share may
        have gone to another VM after it was given.
        """
        newer = self.adopt(record, now)
        current = record.generation >= self.record.generation
        if current and as_of >= self._unconfirmed_since:
            self.unconfirmed = False
        return newer

    def shrink_to(self, record: ShareRecord, now: float) -> bool:
        """Stop using what ``record`` gives away, before it is written.

        Return False while the share is in another VM's hands: it has to come back
        first, or both that VM and the new holder would use it.
        """
        if self.lent is not None:
            return False
        self._min_generation = record.generation
        self.parts = min(self.parts, record.parts.get(self.vm, 0))
        self._resize(now)
        return True

    def set_plan(self, plan: PlanEntry, now: float) -> None:
        """Take a changed rate and burst at once."""
        self.plan = plan
        self._resize(now)

    # -- pooling ---------------------------------------------------------------

    def lease_to(self, vm: Vm, lease_id: LoanId, now: float) -> float | None:
        """Give the whole share to another holder; return the tokens in it."""
        if self.lent is not None or self.pooled or self.parts == 0 or self.unconfirmed:
            return None
        tokens = self.bucket.level
        self.bucket.spend(tokens, now)
        self.lent = Lease(vm, lease_id, self.parts, now + POOL_TTL_S * DRIFT_FACTOR)
        self._resize(now)
        return tokens

    def extend(self, vm: Vm, lease_id: LoanId, now: float) -> bool:
        """Let another holder keep the share for longer."""
        lease = self.lent
        if lease is None or (lease.vm, lease.id) != (vm, lease_id) or self.unconfirmed:
            return False
        lease.expires_at = now + POOL_TTL_S * DRIFT_FACTOR
        return True

    def end_lease(self, lease_id: LoanId, tokens: float, now: float) -> None:
        """Take the share back, with the tokens left in it."""
        if self.lent is not None and self.lent.id == lease_id:
            self.lent = None
            self._resize(now, tokens)

    def pool(self, lease: Lease, tokens: float, generation: int, now: float) -> bool:
        """Use another holder's share until its lease ends; return whether it may."""
        if lease.expires_at <= now or generation < self.record.generation:
            return False
        existing = self.pooled.get(lease.vm)
        if existing is not None and existing.id == lease.id:
            existing.expires_at = max(existing.expires_at, lease.expires_at)
            return True
        self.pooled[lease.vm] = lease
        self._resize(now, tokens)
        return True

    def unpool(self, vm: Vm, now: float) -> tuple[LoanId, float]:
        """Stop using a pooled share; return its lease and its part of the tokens."""
        lease = self.pooled[vm]
        tokens = self.bucket.level * lease.parts / max(1, self._in_use)
        self.bucket.spend(tokens, now)
        del self.pooled[vm]
        self._resize(now)
        return lease.id, tokens

    # -- size ------------------------------------------------------------------

    def _parts_in_use(self) -> int:
        lent = 0 if self.lent is None else self.lent.parts
        return max(0, self.parts - lent) + sum(p.parts for p in self.pooled.values())

    def _resize(self, now: float, tokens: float = 0.0) -> None:
        parts, previous = self._parts_in_use(), self._in_use
        self._in_use = parts
        plan, bucket = self.plan, self.bucket
        bucket.resize(plan.rate * parts / PARTS, plan.burst * parts / PARTS, now)
        if parts <= previous:
            return
        added = plan.burst * (parts - previous) / PARTS
        tokens = bucket.deposit(min(tokens, added), now)
        bucket.withhold(added - tokens, now, now + LOAN_TTL_S * DRIFT_FACTOR)

    @property
    def in_use(self) -> int:
        """Return the parts that this VM may spend from, its own and pooled."""
        return self._in_use
