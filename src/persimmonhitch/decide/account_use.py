"""How far each account's recent use exceeds what it is owed when room is short.

Load pattern: for seconds, one account sends five to seven times its usual, within its
quota, and takes the room of fifteen others. The accounts are very unequal, so equal
shares would let the largest one bear every shortage. What an account is owed is
therefore measured by the rate that its configuration grants it, and compared with the
median of all accounts that are active. ``EXCESS_FACTOR`` leaves room for the usual
variation of a small account's few requests.

The totals of tokens spent at all entries arrive a fraction of a second late, which is
short against ``WINDOW_S``. An account without a rate has no totals and no excess.
"""

import math
from collections.abc import Mapping
from statistics import median
from typing import Final

from ..ids import Account

WINDOW_S: Final = 3.0
"""Averaging time of an account's use."""
EXCESS_FACTOR: Final = 2.0
"""Factor of the median use from one level of excess to the next."""
MAX_EXCESS: Final = 4
"""Highest level; further factors change nothing for the others."""
MIN_TOKENS: Final = 1.0
"""Tokens below which an account is idle."""


class AccountUse:
    """Recent use of each account relative to its rate; times are monotonic seconds."""

    def __init__(self) -> None:
        self._updated_at = 0.0
        self._totals: dict[Account, float] = {}
        self._spent: dict[Account, float] = {}
        self._excess: dict[Account, int] = {}

    def update(
        self,
        totals: Mapping[Account, float],
        rates: Mapping[Account, float],
        now: float,
    ) -> None:
        """Apply the tokens spent since the start and the tokens per second granted.

        Accounts that ``totals`` lacks are forgotten.
        """
        decay = math.exp(-max(0.0, now - self._updated_at) / WINDOW_S)
        self._updated_at = max(now, self._updated_at)
        self._spent = {
            account: self._spent.get(account, 0.0) * decay
            # Refunds and restarted entries lower a total.
            + max(0.0, total - self._totals.get(account, total))
            for account, total in totals.items()
        }
        self._totals = dict(totals)
        loads = {
            account: spent / rates[account]
            for account, spent in self._spent.items()
            if spent > MIN_TOKENS and rates.get(account, 0.0) > 0.0
        }
        usual = median(loads.values()) if loads else 0.0
        self._excess = {
            account: min(MAX_EXCESS, int(math.log(load / usual, EXCESS_FACTOR)))
            for account, load in loads.items()
            if load >= usual * EXCESS_FACTOR
        }

    def excess(self, account: Account | None) -> int:
        """Return the level of an account's excess; 0 for none."""
        return 0 if account is None else self._excess.get(account, 0)
