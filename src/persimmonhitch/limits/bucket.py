"""Token bucket of one share, with loans and refunds.

Load pattern: an account spends its whole burst at once, its tokens are lent between
VMs, and requests refund reserved output that they did not use. Without the two rules
below the fleet would admit slightly more than rate and burst in each window, and no
log would show it:

- An outstanding loan counts against the cap. Otherwise the lender refills the tokens
  before the borrower has spent them, and both together have more than the burst.
- A refund applies from the time of the charge. Tokens charged at ``t`` are credited
  only up to the lowest headroom of the bucket since ``t``. Otherwise a full bucket is
  spent, refunded by an old request and spent again.

With the second rule, the accounted usage is the same as if each request had paid its
actual cost at admission.
"""

from bisect import insort
from dataclasses import dataclass
from typing import Final

MAX_MARKS: Final = 128
"""Maximum number of headroom marks. Merging older marks credits fewer tokens, never
more."""


@dataclass
class _HeadroomMark:
    """Lowest headroom between the time of the previous mark and ``time``."""

    time: float
    headroom: float


@dataclass
class Loan:
    """Tokens that a borrower may spend until ``expires_at``."""

    expires_at: float
    tokens: float


class Bucket:
    """Token bucket; the time passed to its methods must not decrease."""

    def __init__(self, rate: float, cap: float, now: float) -> None:
        self.rate = rate
        self.cap = cap
        self.level = 0.0
        self._updated_at = now
        self._lent = 0.0
        self._loans: list[Loan] = []
        self._marks: list[_HeadroomMark] = [_HeadroomMark(now, cap)]

    @property
    def headroom(self) -> float:
        """Return the cap less the level and the outstanding loans."""
        return self.cap - self.level - self._lent

    def advance(self, now: float) -> None:
        """Refill up to ``now``; an expired loan adds headroom from its expiry on."""
        while self._loans and self._loans[0].expires_at <= now:
            loan = self._loans.pop(0)
            self._refill(loan.expires_at)
            self._lent -= loan.tokens
        if not self._loans:
            self._lent = 0.0
        self._refill(now)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        refill = min(self.rate * elapsed_s, self.headroom)
        self.level += max(0.0, refill)
        self._record_headroom()

    def _record_headroom(self) -> None:
        headroom = self.headroom
        while self._marks and self._marks[-1].headroom >= headroom:
            self._marks.pop()
        self._marks.append(_HeadroomMark(self._updated_at, headroom))
        if len(self._marks) > MAX_MARKS:
            first = self._marks.pop(0)
            self._marks[0].headroom = first.headroom

    def spend(self, tokens: float, now: float) -> bool:
        """Spend tokens; return False if the level is too low."""
        self.advance(now)
        if tokens > self.level:
            return False
        self.level -= tokens
        return True

    def lend(self, tokens: float, now: float, expires_at: float) -> Loan | None:
        """Debit tokens that a borrower may spend until ``expires_at``."""
        if not self.spend(tokens, now):
            return None
        return self._add_loan(tokens, expires_at)

    def _add_loan(self, tokens: float, expires_at: float) -> Loan:
        loan = Loan(expires_at, tokens)
        insort(self._loans, loan, key=lambda item: item.expires_at)
        self._lent += tokens
        return loan

    def credit(self, tokens: float, charged_at: float, now: float) -> float:
        """Refund tokens charged at ``charged_at``; return the number credited."""
        self.advance(now)
        later = [mark for mark in self._marks if mark.time > charged_at]
        room = min((mark.headroom for mark in later), default=self.headroom)
        credited = max(0.0, min(tokens, room))
        self.level += credited
        for mark in later:
            mark.headroom -= credited
        self._restore_mark_order()
        return credited

    def repay(self, loan: Loan, tokens: float, now: float) -> float:
        """Credit part of a loan to the bucket; return the number of tokens credited.

        An outstanding loan still has its room reserved. After its expiry, tokens are
        credited only up to the lowest headroom since then.
        """
        self.advance(now)
        tokens = min(tokens, loan.tokens)
        if loan.expires_at <= now:
            return self.credit(tokens, loan.expires_at, now)
        loan.tokens -= tokens
        self._lent -= tokens
        self.level += tokens
        return tokens

    def _restore_mark_order(self) -> None:
        ordered: list[_HeadroomMark] = []
        for mark in self._marks:
            while ordered and ordered[-1].headroom >= mark.headroom:
                ordered.pop()
            ordered.append(mark)
        self._marks = ordered

    def resize(self, rate: float, cap: float, now: float) -> None:
        """Apply a new rate and cap; tokens above the cap are dropped."""
        self.advance(now)
        self.rate = rate
        self.cap = cap
        self.level = max(0.0, min(self.level, cap - self._lent))
        self._record_headroom()

    def deposit(self, tokens: float, now: float) -> float:
        """Add tokens up to the current headroom; return the number added."""
        self.advance(now)
        deposited = max(0.0, min(tokens, self.headroom))
        self.level += deposited
        self._record_headroom()
        return deposited

    def withhold(self, tokens: float, now: float, expires_at: float) -> None:
        """Count tokens against the cap like a loan, without debiting them.

        The previous holder of a share may have outstanding loans from it. Until
        they expire, that part of the cap must not be refilled.
        """
        self.advance(now)
        self._add_loan(tokens, expires_at)
        self._record_headroom()
