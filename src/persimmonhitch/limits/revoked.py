"""Revoked shares of VMs, as received by a sidecar.

A VM missing from the platform's list may still run. Without access to the store and the
other entries, it would continue to spend a share that other holders now have, and the
account would get that part of its rate twice. Sidecars refuse requests admitted from a
revoked share.
"""

from collections import OrderedDict
from typing import Final

from ..ids import Account, Vm
from ..verdict import ErrorCode, Failure
from .messages import ShareRevoked

MAX_REVOCATIONS: Final = 10_000
"""Maximum number of stored revocations; the oldest are dropped first."""
RETRY_AFTER_S: Final = 1.0


class RevokedShares:
    """Newest generation at which each VM lost its share of an account."""

    def __init__(self) -> None:
        self._generations: OrderedDict[tuple[Account, Vm], int] = OrderedDict()

    def add(self, msg: ShareRevoked) -> None:
        """Store a revocation received from an entry."""
        key = (msg.account, msg.vm)
        self._generations[key] = max(self._generations.get(key, 0), msg.generation)
        if len(self._generations) > MAX_REVOCATIONS:
            self._generations.popitem(last=False)

    def refusal(self, account: Account, lender: Vm, generation: int) -> Failure | None:
        """Return the refusal of a request admitted from a revoked share, else None."""
        if generation >= self._generations.get((account, lender), 0):
            return None
        reason = "admitted from a rate share that was taken back"
        return Failure(ErrorCode.RATE_LIMITED, reason, retry_after=RETRY_AFTER_S)
