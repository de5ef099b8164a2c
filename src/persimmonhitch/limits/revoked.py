"""Shares that were taken from VMs, as a sidecar knows them.

A VM that the platform's list has lost may still run: cut off from the store and the
other entries, it would go on spending a share that others now have, and the account
would get that part of its rate twice. Sidecars refuse what it admits.
"""

from collections import OrderedDict
from typing import Final

from ..ids import Account, Vm
from ..verdict import ErrorCode, Failure
from .messages import ShareRevoked

MAX_REVOCATIONS: Final = 10_000
"""Revocations kept; the oldest go first."""
RETRY_AFTER_S: Final = 1.0


class RevokedShares:
    """The newest generation at which each VM lost its share of an account."""

    def __init__(self) -> None:
        self._generations: OrderedDict[tuple[Account, Vm], int] = OrderedDict()

    def add(self, msg: ShareRevoked) -> None:
        """Take what an entry says."""
        key = (msg.account, msg.vm)
        self._generations[key] = max(self._generations.get(key, 0), msg.generation)
        if len(self._generations) > MAX_REVOCATIONS:
            self._generations.popitem(last=False)

    def refusal(self, account: Account, lender: Vm, generation: int) -> Failure | None:
        """Return why a request may not run, or None."""
        if generation >= self._generations.get((account, lender), 0):
            return None
        reason = "admitted from a rate share that was taken back"
        return Failure(ErrorCode.RATE_LIMITED, reason, retry_after=RETRY_AFTER_S)
