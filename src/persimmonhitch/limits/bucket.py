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

MARKS: Final = 128
"""Marks of low headroom kept; more are merged, on the side of crediting less."""


@dataclass
class _Mark:
    """The lowest headroom from the previous mark's time up to ``time``."""

    time: float
    headroom: float


@dataclass
class Loan:
    """Tokens that somebody else may spend up to ``until``."""

    until: float
    tokens: float


class Bucket:
    """Level, cap and refill; every method takes the time, which may not go back."""

    def __init__(self, rate: float, cap: float, now: float) -> None:
        self.rate = rate
        self.cap = cap
        self.level = 0.0
        self._now = now
        self._out = 0.0
        self._loans: list[Loan] = []
        self._marks: list[_Mark] = [_Mark(now, cap)]

    @property
    def headroom(self) -> float:
        """Return the room for refills: the cap less the level and loans still out."""
        return self.cap - self.level - self._out

    def advance(self, now: float) -> None:
        """Refill up to ``now``; loans that end on the way make room from there on."""
        while self._loans and self._loans[0].until <= now:
            loan = self._loans.pop(0)
            self._refill(loan.until)
            self._out -= loan.tokens
        if not self._loans:
            self._out = 0.0
        self._refill(now)

    def _refill(self, now: float) -> None:
        passed = max(0.0, now - self._now)
        self._now = max(self._now, now)
        gain = min(self.rate * passed, self.headroom)
        self.level += max(0.0, gain)
        self._mark()

    def _mark(self) -> None:
        headroom = self.headroom
        while self._marks and self._marks[-1].headroom >= headroom:
            self._marks.pop()
        self._marks.append(_Mark(self._now, headroom))
        if len(self._marks) > MARKS:
            first = self._marks.pop(0)
            self._marks[0].headroom = first.headroom

    def spend(self, tokens: float, now: float) -> bool:
        """Take tokens if they are there."""
        self.advance(now)
        if tokens > self.level:
            return False
        self.level -= tokens
        return True

    def lend(self, tokens: float, now: float, until: float) -> Loan | None:
        """Take tokens that a borrower may spend up to ``until``."""
        if not self.spend(tokens, now):
            return None
        return self._hold(tokens, until)

    def _hold(self, tokens: float, until: float) -> Loan:
        loan = Loan(until, tokens)
        insort(self._loans, loan, key=lambda item: item.until)
        self._out += tokens
        return loan

    def credit(self, tokens: float, since: float, now: float) -> float:
        """Give back tokens charged at ``since``; return how many found room."""
        self.advance(now)
        later = [mark for mark in self._marks if mark.time > since]
        room = min((mark.headroom for mark in later), default=self.headroom)
        credited = max(0.0, min(tokens, room))
        self.level += credited
        for mark in later:
            mark.headroom -= credited
        self._restore_order()
        return credited

    def repay(self, loan: Loan, tokens: float, now: float) -> float:
        """Take back a part of a loan; return how many tokens found room.

        While the loan counts, its room is still kept; afterwards it is credited
        only as far as there has been room since its end.
        """
        self.advance(now)
        tokens = min(tokens, loan.tokens)
        if loan.until <= now:
            return self.credit(tokens, loan.until, now)
        loan.tokens -= tokens
        self._out -= tokens
        self.level += tokens
        return tokens

    def _restore_order(self) -> None:
        kept: list[_Mark] = []
        for mark in self._marks:
            while kept and kept[-1].headroom >= mark.headroom:
                kept.pop()
            kept.append(mark)
        self._marks = kept

    def resize(self, rate: float, cap: float, now: float) -> None:
        """Take a new rate and cap; what no longer fits is lost."""
        self.advance(now)
        self.rate = rate
        self.cap = cap
        self.level = max(0.0, min(self.level, cap - self._out))
        self._mark()

    def deposit(self, tokens: float, now: float) -> float:
        """Take borrowed tokens as this bucket's own, as far as there is room now."""
        self.advance(now)
        taken = max(0.0, min(tokens, self.headroom))
        self.level += taken
        self._mark()
        return taken

    def hold_back(self, tokens: float, now: float, until: float) -> None:
        """Count tokens against the cap as if lent, though nothing was taken.

        Part of a share that comes from another process may still be lent out by
        it: until those loans have ended that part of the cap is not refilled.
        """
        self.advance(now)
        self._hold(tokens, until)
        self._mark()
