"""Shares that were taken from VMs, as a sidecar knows them.

A VM that is frozen while its share goes to others may wake and admit a request in
the moment before it looks at the clock. Both the old and the new holder would then
have spent the same tokens, seen as an account above its rate. The sidecar hears of
the change from the other entries and refuses what the old share paid for.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from ..ids import Account, Vm
from ..verdict import ErrorCode, Failure
from ..wire.codec import message

MOST: Final = 10_000
"""Revocations held; at 84 VM failures a day and 5 accounts each, weeks of them."""
RETRY_AFTER: Final = 0.2


@message(29)
@dataclass(frozen=True)
class ShareRevoked:
    """Says that a VM has had no share of an account since ``generation``."""

    account: Account
    generation: int
    vm: Vm


class RevokedShares:
    """Newest revocation for each account and VM."""

    def __init__(self) -> None:
        self._since: OrderedDict[tuple[Account, Vm], int] = OrderedDict()

    def revoke(self, msg: ShareRevoked) -> None:
        """Note that a VM has had no share since a generation of the record."""
        key = (msg.account, msg.vm)
        self._since[key] = max(msg.generation, self._since.get(key, 0))
        if len(self._since) > MOST:
            self._since.popitem(last=False)

    def refusal(self, account: Account, giver: Vm, generation: int) -> Failure | None:
        """Return why a request is refused that a giver's share paid for, or None."""
        if generation >= self._since.get((account, giver), 0):
            return None
        reason = "the share that paid for this request was taken away"
        return Failure(ErrorCode.RATE_LIMITED, reason, retry_after=RETRY_AFTER)
