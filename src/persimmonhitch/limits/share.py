"""Share of one VM in an account, and the shares of other holders pooled with it.

Load pattern: entries crash, freeze and restart while the account sends at its rate. A
share is a fraction of rate and burst that the record in the store assigns to this VM.
Only a new record ends a share, never a timeout: store outages have no effect on it.
Separate buckets waste tokens: a full bucket drops its refill while another is empty.
Therefore the holders lend their whole shares to one of them under short leases. If that
holder fails, each owner regains its share when the lease expires, without the store.

Violations of the rules below would show only as a fleet that admits more than the plan:

- A share received by this VM starts with no more than the transferred tokens. Its
  refill is withheld for the maximum lifetime of a loan, because the previous user may
  have lent all of it.
- A holder that transfers part of its share stops using that part before it writes the
  record. It uses the part again only under a record newer than the one it tried to
  write, because a write with a lost answer may still take effect.
- The lease of a pooled share starts at the request for the borrower, and at the later
  answer for the owner, who also adds a margin. The borrower checks the expiry before
  each use, so a resumed process sees that the lease has expired.
- A process does not use its share for the duration of one lease after its start,
  because the previous process on the VM may have lent it.
- A frozen process may also have lost its own share. If more than ``MAX_PAUSE_S``
  elapsed since its last step, it admits no requests until the record is confirmed.
"""

from dataclasses import dataclass
from typing import Final

from ..catalog.model import PlanEntry
from ..ids import LoanId, Vm
from .bucket import Bucket
from .record import NO_PARTS, PARTS, ShareRecord

LOAN_TTL_S: Final = 0.25
"""Maximum lifetime of a loan; a few round trips between regions."""
DRIFT_FACTOR: Final = 1.1
"""Factor by which lenders extend loans and leases, to allow for clock drift."""
POOL_TTL_S: Final = 4.0
"""Duration of a pool lease; a failed holder blocks the pooled shares this long."""
MAX_PAUSE_S: Final = 5.0
"""Pause after which a share is unconfirmed; well above the pauses of the garbage
collector and well below ``RECLAIM_AFTER_S``."""
RECLAIM_AFTER_S: Final = 30.0
"""Time that a VM is missing from the platform's list before its share is reclaimed."""


@dataclass
class Lease:
    """Lease on a pooled share; ``vm`` is the other party, borrower or owner."""

    vm: Vm
    id: LoanId
    parts: int
    expires_at: float


class Share:
    """Share of one VM: parts, plan, leases and bucket; methods receive the time."""

    def __init__(self, vm: Vm, plan: PlanEntry, now: float) -> None:
        self.vm = vm
        self.plan = plan
        self.record: ShareRecord = NO_PARTS
        self.parts = 0
        self.bucket = Bucket(0.0, 0.0, now)
        self.unconfirmed = False
        self._unconfirmed_since = now
        # The previous process on this VM may have lent the share just before it
        # ended; the borrower may use the share until its lease expires.
        expires_at = now + POOL_TTL_S * DRIFT_FACTOR
        self.lent: Lease | None = Lease(vm, LoanId(""), PARTS, expires_at)
        self.pooled: dict[Vm, Lease] = {}
        self._in_use = 0
        self._min_generation = 0
        self._advanced_at = now

    def advance(self, now: float) -> bool:
        """Expire leases, refill, and return whether the share may be used."""
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
        """Apply the first record of an account; all its tokens are still unused."""
        self.advance(now)
        self.lent = None
        self.parts = record.parts.get(self.vm, 0)
        self._resize(now, self.plan.burst * self.parts / PARTS)

    def adopt(self, record: ShareRecord, now: float) -> bool:
        """Apply a record unless it is older; return whether it is newer."""
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
        """Apply a record that the store or a peer returned to a request at ``as_of``.

        A reply to a request from before the pause does not confirm the share: the
        share may have been transferred to another VM since then.
        """
        newer = self.adopt(record, now)
        current = record.generation >= self.record.generation
        if current and as_of >= self._unconfirmed_since:
            self.unconfirmed = False
        return newer

    def shrink_to(self, record: ShareRecord, now: float) -> bool:
        """Shrink the share to the part in ``record`` before the record is written.

        Return False while the share is lent: until the lease ends, both the borrower
        and the new holder would use it.
        """
        if self.lent is not None:
            return False
        self._min_generation = record.generation
        self.parts = min(self.parts, record.parts.get(self.vm, 0))
        self._resize(now)
        return True

    def set_plan(self, plan: PlanEntry, now: float) -> None:
        """Apply the rate and burst of a changed plan."""
        self.plan = plan
        self._resize(now)

    # -- pooling ---------------------------------------------------------------

    def lease_to(self, vm: Vm, lease_id: LoanId, now: float) -> float | None:
        """Lend the whole share to another holder; return its tokens."""
        if self.lent is not None or self.pooled or self.parts == 0 or self.unconfirmed:
            return None
        tokens = self.bucket.level
        self.bucket.spend(tokens, now)
        self.lent = Lease(vm, lease_id, self.parts, now + POOL_TTL_S * DRIFT_FACTOR)
        self._resize(now)
        return tokens

    def extend(self, vm: Vm, lease_id: LoanId, now: float) -> bool:
        """Renew the lease of another holder; return whether it is still valid."""
        lease = self.lent
        if lease is None or (lease.vm, lease.id) != (vm, lease_id) or self.unconfirmed:
            return False
        lease.expires_at = now + POOL_TTL_S * DRIFT_FACTOR
        return True

    def end_lease(self, lease_id: LoanId, tokens: float, now: float) -> None:
        """End a lease early and credit the returned tokens."""
        if self.lent is not None and self.lent.id == lease_id:
            self.lent = None
            self._resize(now, tokens)

    def pool(self, lease: Lease, tokens: float, generation: int, now: float) -> bool:
        """Add or renew a pooled share; return False if its lease is not valid."""
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
        """Remove a pooled share; return its lease and its proportion of the tokens."""
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
        """Return the parts that this VM may spend from, both own and pooled."""
        return self._in_use
