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
from .record import NOBODY, PARTS, ShareRecord

LOAN_LIFE: Final = 0.25
"""Seconds that a loan may live at most; a few round trips between regions."""
KEPT_FACTOR: Final = 1.1
"""The giver counts loans and leases longer, since clocks drift apart."""
POOL_LIFE: Final = 4.0
"""Seconds of a lease on a pooled share: how long a dead holder keeps the others'."""
MAX_PAUSE: Final = 5.0
"""Seconds; well above any collector's pause, well below ``RECLAIM_AFTER``."""
RECLAIM_AFTER: Final = 30.0
"""Seconds a VM must be missing from the platform's list before its share is taken."""


@dataclass
class Lease:
    """A share in the hands of another VM, seen from either side."""

    vm: Vm
    lease: LoanId
    parts: int
    ends: float


class Share:
    """Fraction, plan, leases and bucket; every method takes the time."""

    def __init__(self, vm: Vm, plan: PlanEntry, now: float) -> None:
        self.vm = vm
        self.plan = plan
        self.record: ShareRecord = NOBODY
        self.parts = 0
        self.bucket = Bucket(0.0, 0.0, now)
        self.doubtful = False
        self._doubtful_since = now
        # The process that ran here before may have lent the share to another
        # holder just before it ended, and that one may use it until its lease ends.
        ends = now + POOL_LIFE * KEPT_FACTOR
        self.away: Lease | None = Lease(vm, LoanId(""), PARTS, ends)
        self.pooled: dict[Vm, Lease] = {}
        self._in_use = 0
        self._least_generation = 0
        self._seen = now

    def look(self, now: float) -> bool:
        """End leases, refill, and return whether the share may be used."""
        if now - self._seen > MAX_PAUSE:
            self.doubtful = True
            self._doubtful_since = now
        self._seen = max(self._seen, now)
        for lease in sorted(self.pooled.values(), key=lambda item: item.ends):
            if lease.ends <= now:
                del self.pooled[lease.vm]
                self._resize(lease.ends)
        if self.away is not None and self.away.ends <= now:
            ends, self.away = self.away.ends, None
            self._resize(ends)
        self.bucket.advance(now)
        return not self.doubtful

    def found(self, record: ShareRecord, now: float) -> None:
        """Take the first record of an account: nobody can have used its tokens."""
        self.look(now)
        self.away = None
        self.parts = record.parts.get(self.vm, 0)
        self._resize(now, self.plan.burst * self.parts / PARTS)

    def learn(self, record: ShareRecord, now: float) -> bool:
        """Take a record that was read or heard of; return whether it is newer."""
        if record.generation < self.record.generation:
            return False
        newer = record.generation > self.record.generation
        self.record = record
        parts = record.parts.get(self.vm, 0)
        if record.generation < self._least_generation:
            parts = min(parts, self.parts)
        self.parts = parts
        for vm, lease in list(self.pooled.items()):
            if lease.parts > record.parts.get(vm, 0):
                del self.pooled[vm]
        self._resize(now)
        return newer

    def confirm(self, record: ShareRecord, asked: float, now: float) -> bool:
        """Take a record that the store or a peer was asked for at ``asked``.

        An answer that was asked for before the pause says nothing: the share may
        have gone to another VM after it was given.
        """
        newer = self.learn(record, now)
        current = record.generation >= self.record.generation
        if current and asked >= self._doubtful_since:
            self.doubtful = False
        return newer

    def yield_to(self, record: ShareRecord, now: float) -> bool:
        """Stop using what ``record`` gives away, before it is written.

        Return False while the share is in another VM's hands: it has to come back
        first, or both that VM and the new holder would use it.
        """
        if self.away is not None:
            return False
        self._least_generation = record.generation
        self.parts = min(self.parts, record.parts.get(self.vm, 0))
        self._resize(now)
        return True

    def set_plan(self, plan: PlanEntry, now: float) -> None:
        """Take a changed rate and burst at once."""
        self.plan = plan
        self._resize(now)

    # -- pooling ---------------------------------------------------------------

    def hand_over(self, to: Vm, lease: LoanId, now: float) -> float | None:
        """Give the whole share to another holder; return the tokens in it."""
        if self.away is not None or self.pooled or self.parts == 0 or self.doubtful:
            return None
        tokens = self.bucket.level
        self.bucket.spend(tokens, now)
        self.away = Lease(to, lease, self.parts, now + POOL_LIFE * KEPT_FACTOR)
        self._resize(now)
        return tokens

    def extend(self, to: Vm, lease: LoanId, now: float) -> bool:
        """Let another holder keep the share for longer."""
        away = self.away
        if away is None or (away.vm, away.lease) != (to, lease) or self.doubtful:
            return False
        away.ends = now + POOL_LIFE * KEPT_FACTOR
        return True

    def take_back(self, lease: LoanId, tokens: float, now: float) -> None:
        """Take the share back, with the tokens left in it."""
        if self.away is not None and self.away.lease == lease:
            self.away = None
            self._resize(now, tokens)

    def pool(self, lease: Lease, tokens: float, generation: int, now: float) -> bool:
        """Use another holder's share until its lease ends; return whether it may."""
        if lease.ends <= now or generation < self.record.generation:
            return False
        known = self.pooled.get(lease.vm)
        if known is not None and known.lease == lease.lease:
            known.ends = max(known.ends, lease.ends)
            return True
        self.pooled[lease.vm] = lease
        self._resize(now, tokens)
        return True

    def give_back(self, vm: Vm, now: float) -> tuple[LoanId, float]:
        """Stop using a pooled share; return its lease and its part of the tokens."""
        lease = self.pooled[vm]
        tokens = self.bucket.level * lease.parts / max(1, self._in_use)
        self.bucket.spend(tokens, now)
        del self.pooled[vm]
        self._resize(now)
        return lease.lease, tokens

    # -- size ------------------------------------------------------------------

    def _parts_in_use(self) -> int:
        away = 0 if self.away is None else self.away.parts
        return max(0, self.parts - away) + sum(p.parts for p in self.pooled.values())

    def _resize(self, now: float, tokens: float = 0.0) -> None:
        parts, before = self._parts_in_use(), self._in_use
        self._in_use = parts
        plan, bucket = self.plan, self.bucket
        bucket.resize(plan.rate * parts / PARTS, plan.burst * parts / PARTS, now)
        if parts <= before:
            return
        grown = plan.burst * (parts - before) / PARTS
        tokens = bucket.deposit(min(tokens, grown), now)
        bucket.hold_back(grown - tokens, now, now + LOAN_LIFE * KEPT_FACTOR)

    @property
    def in_use(self) -> int:
        """Return the parts that this VM may spend from, its own and pooled."""
        return self._in_use
