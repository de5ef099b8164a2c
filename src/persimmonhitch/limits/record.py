"""Record in the store of the shares of one account: the part of each holder.

Load pattern: entries start, stop and crash while an account sends requests to all of
them. The record maps at most ``MAX_HOLDERS`` VMs to parts that sum to ``PARTS``. It is
changed only by conditional update, so of two concurrent changes only one succeeds. It
has no lease, so no share expires while the store is unavailable. ``MAX_HOLDERS`` does
not depend on the number of entries: the burst of one share must cover a request, and
the messages per request grow with the number of holders (docs/notes/rate-limits.md).
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..ids import Account, Vm
from ..store.objects import Spec

PARTS: Final = 1_000_000
"""Parts of a whole account; integers, so that the sum is exact."""
MAX_HOLDERS: Final = 4
MIN_PARTS: Final = PARTS // 20
"""Minimum share after a split; a smaller share does not justify another holder."""
MAX_PARTS: Final = PARTS * 2 // 5
"""Maximum share of a VM after rebalancing; bounds the part of its rate that an account
loses when the VM fails."""
MIN_DEMAND_RATIO: Final = 2.0
"""Minimum ratio of the borrower's demand to the holder's for a transfer."""
MIN_DEMAND_SHARE: Final = 0.35
"""Minimum fraction of total demand for a borrower; below it a transfer saves little."""


@dataclass(frozen=True)
class ShareRecord:
    """Parts of one account by VM; each change increments ``generation``."""

    generation: int
    parts: Mapping[Vm, int]

    def fraction(self, vm: Vm) -> float:
        """Return the share of a VM as a fraction of the account."""
        return self.parts.get(vm, 0) / PARTS

    def holders(self) -> list[Vm]:
        """Return the holders in borrowing order, largest share first."""
        return sorted(self.parts, key=lambda vm: (-self.parts[vm], vm))

    def to_spec(self) -> Spec:
        """Return the record in its stored form."""
        return {"generation": self.generation, "parts": dict(self.parts)}


NO_PARTS: Final = ShareRecord(0, {})


def from_spec(spec: Spec) -> Result[ShareRecord, str]:
    """Parse a stored record; return an error text if it is invalid."""
    generation, parts = spec.get("generation"), spec.get("parts")
    if type(generation) is not int or type(parts) is not dict:
        return Err("generation or parts are missing or of the wrong type")
    if any(type(part) is not int or part <= 0 for part in parts.values()):
        return Err("a part is not a positive integer")
    if parts and sum(parts.values()) != PARTS:
        return Err(f"the sum of the parts is {sum(parts.values())}")
    return Success(ShareRecord(generation, {Vm(vm): n for vm, n in parts.items()}))


def _next(record: ShareRecord, parts: Mapping[Vm, int]) -> ShareRecord:
    nonzero = {vm: part for vm, part in parts.items() if part > 0}
    return ShareRecord(record.generation + 1, nonzero)


def _equal_parts(vms: list[Vm]) -> dict[Vm, int]:
    parts = {vm: PARTS // len(vms) for vm in vms}
    parts[vms[0]] += PARTS - sum(parts.values())
    return parts


def rank_vms(account: Account, vms: Iterable[Vm]) -> list[Vm]:
    """Order VMs by a hash with the account, to spread holders over the fleet."""
    return sorted(
        set(vms), key=lambda vm: hashlib.sha256(f"{account}/{vm}".encode()).digest()
    )


def allocate(record: ShareRecord, account: Account, live: Iterable[Vm]) -> ShareRecord:
    """Split an account without holders equally among live VMs."""
    chosen = rank_vms(account, live)[:MAX_HOLDERS]
    return _next(record, _equal_parts(chosen)) if chosen else record


def split_share(record: ShareRecord, holder: Vm, new_holder: Vm) -> ShareRecord | None:
    """Give half of a share to a new holder; return None if not allowed."""
    part = record.parts.get(holder, 0)
    excluded = len(record.parts) >= MAX_HOLDERS or new_holder in record.parts
    if excluded or part < 2 * MIN_PARTS:
        return None
    parts = {**record.parts, holder: part - part // 2, new_holder: part // 2}
    return _next(record, parts)


def release(record: ShareRecord, vm: Vm, live: Iterable[Vm] = ()) -> ShareRecord:
    """Transfer the share of a VM to the other holders, else to a live VM, if any."""
    if vm not in record.parts:
        return record
    others = {other: part for other, part in record.parts.items() if other != vm}
    successors = sorted(others) or sorted(set(live) - {vm})[:1]
    if not successors:
        return _next(record, {})
    share, remainder = divmod(record.parts[vm], len(successors))
    parts = {successor: others.get(successor, 0) + share for successor in successors}
    parts[successors[0]] += remainder
    return _next(record, parts)


def reclaim(record: ShareRecord, lost: Iterable[Vm], live: Iterable[Vm]) -> ShareRecord:
    """Transfer the shares of VMs that the platform no longer lists to other VMs."""
    candidates = list(live)
    removed = set(lost)
    for vm in sorted(removed & set(record.parts)):
        record = release(record, vm, set(candidates) - removed)
    return record


def rebalance(
    record: ShareRecord, holder: Vm, demand: Mapping[Vm, float]
) -> ShareRecord | None:
    """Move part of a holder's share to the VM that uses most of its tokens.

    Parameters
    ----------
    record : ShareRecord
        The newest record that the holder has read.
    holder : Vm
        The VM that calls this function; it can transfer only its own share.
    demand : mapping
        Tokens spent from this share since the last rebalancing, by VM, including the
        holder.

    Returns
    -------
    ShareRecord or None
        The record to write, or None if the transfer is not worthwhile. Each call
        transfers half of the share, or all of it if it is below ``2 * MIN_PARTS`` or
        if the record has no room for another holder.
    """
    part = record.parts.get(holder, 0)
    borrower = max(
        (vm for vm in demand if vm != holder), key=lambda vm: demand[vm], default=holder
    )
    if borrower == holder or part == 0 or demand[borrower] <= 0:
        return None
    if demand[borrower] < MIN_DEMAND_RATIO * demand.get(holder, 0.0):
        return None
    if demand[borrower] < MIN_DEMAND_SHARE * sum(demand.values()):
        return None
    move_all = part < 2 * MIN_PARTS or (
        borrower not in record.parts and len(record.parts) >= MAX_HOLDERS
    )
    moved = part if move_all else part // 2
    total = record.parts.get(borrower, 0) + moved
    if total > MAX_PARTS:
        return None
    return _next(record, {**record.parts, holder: part - moved, borrower: total})
