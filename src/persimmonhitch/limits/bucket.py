"""Token bucket of one share, in which loans count and refunds are exact.

Load pattern: an account that spends its burst at once, lends between VMs and gives
back reserved output it did not use. Without the two rules below the fleet would let
through more than rate and burst, a little in each window, and no log would show it:

- A loan still out counts against the cap. Else the giver refills what it lent while
  the borrower has yet to spend it, and both together hold more than the burst.
- A refund counts from the time of the charge. Tokens charged at ``t`` and given back
  later are credited only as far as the bucket would have had room for them ever since
  ``t``. Else a full bucket is spent, refunded by an old request and spent once more.

The second rule makes the record of what was used the same as if each request had
paid its true cost when it was admitted.
"""

from bisect import insort
from dataclasses import dataclass
from typing import Final

MAX_MARKS: Final = 128
"""Marks of low headroom kept; more are merged, on the side of crediting less."""


@dataclass
class _HeadroomMark:
    """The lowest headroom from the previous mark's time up to ``time``."""

    time: float
    headroom: float


@dataclass
class Loan:
    """Tokens that somebody else may spend up to ``until``."""

    expires_at: float
    tokens: float


class Bucket:
    """Level, cap and refill; every method takes the time, which may not go back."""

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
        """Return the room for refills: the cap less the level and loans still out."""
        return self.cap - self.level - self._lent

    def advance(self, now: float) -> None:
        """Refill up to ``now``; loans that end on the way make room from there on."""
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
        """Take tokens if they are there."""
        self.advance(now)
        if tokens > self.level:
            return False
        self.level -= tokens
        return True

    def lend(self, tokens: float, now: float, expires_at: float) -> Loan | None:
        """Take tokens that a borrower may spend up to ``until``."""
        if not self.spend(tokens, now):
            return None
        return self._add_loan(tokens, expires_at)

    def _add_loan(self, tokens: float, expires_at: float) -> Loan:
        loan = Loan(expires_at, tokens)
        insort(self._loans, loan, key=lambda item: item.expires_at)
        self._lent += tokens
        return loan

    def credit(self, tokens: float, charged_at: float, now: float) -> float:
        """Give back tokens charged at ``since``; return how many found room."""
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
        """Take back a part of a loan; return how many tokens found room.

        While the loan counts, its room is still kept; afterwards it is credited
        only as far as there has been room since its end.
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
        """Take a new rate and cap; what no longer fits is lost."""
        self.advance(now)
        self.rate = rate
        self.cap = cap
        self.level = max(0.0, min(self.level, cap - self._lent))
        self._record_headroom()

    def deposit(self, tokens: float, now: float) -> float:
        """Take borrowed tokens as this bucket's own, as far as there is room now."""
        self.advance(now)
        deposited = max(0.0, min(tokens, self.headroom))
        self.level += deposited
        self._record_headroom()
        return deposited

    def withhold(self, tokens: float, now: float, expires_at: float) -> None:
        """Count tokens against the cap as if lent, though nothing was taken.

        Part of a share that comes from another process may still be lent out by
        it: until those loans have ended that part of the cap is not refilled.
        """
        self.advance(now)
        self._add_loan(tokens, expires_at)
        self._record_headroom()
