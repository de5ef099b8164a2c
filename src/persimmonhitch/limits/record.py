"""The store's record of one account's shares: which VM holds how much.

Load pattern: entries come, go and die while an account sends on all of them. The
record maps at most ``HOLDERS`` VMs to parts that sum to ``PARTS``, and changes only
by conditional update, so two entries that change it at once cannot both succeed. It
has no lease: while the store is down nobody's share ends. ``HOLDERS`` is fixed
because a share must hold the burst for one request and because the messages of a
request grow with the number of holders, not of entries (docs/notes/rate-limits.md).
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
"""A whole share; integers, so that the sum is exact."""
MAX_HOLDERS: Final = 4
MIN_PARTS: Final = PARTS // 20
"""Parts below which a share is not worth a holder's place."""
MAX_PARTS: Final = PARTS * 2 // 5
"""Parts that demand may gather on one VM: what its death may cost an account."""
MIN_DEMAND_RATIO: Final = 2.0
"""A borrower must use this many times what the holder uses to take its share."""
MIN_DEMAND_SHARE: Final = 0.35
"""Part of all tokens taken that a borrower must use; below it a move saves little."""


@dataclass(frozen=True)
class ShareRecord:
    """Parts of one account by VM; ``generation`` rises with each change."""

    generation: int
    parts: Mapping[Vm, int]

    def fraction(self, vm: Vm) -> float:
        """Return a VM's part of the whole."""
        return self.parts.get(vm, 0) / PARTS

    def holders(self) -> list[Vm]:
        """Return the holders, the largest first: the order in which to ask."""
        return sorted(self.parts, key=lambda vm: (-self.parts[vm], vm))

    def to_spec(self) -> Spec:
        """Return the form that the store keeps."""
        return {"generation": self.generation, "parts": dict(self.parts)}


NO_PARTS: Final = ShareRecord(0, {})


def from_spec(spec: Spec) -> Result[ShareRecord, str]:
    """Read a record, or say what is wrong with it."""
    generation, parts = spec.get("generation"), spec.get("parts")
    if type(generation) is not int or type(parts) is not dict:
        return Err("generation or parts missing")
    if any(type(part) is not int or part <= 0 for part in parts.values()):
        return Err("a part is not a whole number above zero")
    if parts and sum(parts.values()) != PARTS:
        return Err(f"parts sum to {sum(parts.values())}")
    return Success(ShareRecord(generation, {Vm(vm): n for vm, n in parts.items()}))


def _next(record: ShareRecord, parts: Mapping[Vm, int]) -> ShareRecord:
    nonzero = {vm: part for vm, part in parts.items() if part > 0}
    return ShareRecord(record.generation + 1, nonzero)


def _equal_parts(vms: list[Vm]) -> dict[Vm, int]:
    parts = {vm: PARTS // len(vms) for vm in vms}
    parts[vms[0]] += PARTS - sum(parts.values())
    return parts


def rank_vms(account: Account, vms: Iterable[Vm]) -> list[Vm]:
    """Order VMs by a hash with the account, so that holders spread over the fleet."""
    return sorted(
        set(vms), key=lambda vm: hashlib.sha256(f"{account}/{vm}".encode()).digest()
    )


def allocate(record: ShareRecord, account: Account, live: Iterable[Vm]) -> ShareRecord:
    """Give the shares of a record without holders to live VMs."""
    chosen = rank_vms(account, live)[:MAX_HOLDERS]
    return _next(record, _equal_parts(chosen)) if chosen else record


def split_share(record: ShareRecord, holder: Vm, new_holder: Vm) -> ShareRecord | None:
    """Let a holder halve its share for a new holder; None when it must not."""
    part = record.parts.get(holder, 0)
    excluded = len(record.parts) >= MAX_HOLDERS or new_holder in record.parts
    if excluded or part < 2 * MIN_PARTS:
        return None
    parts = {**record.parts, holder: part - part // 2, new_holder: part // 2}
    return _next(record, parts)


def release(record: ShareRecord, vm: Vm, live: Iterable[Vm] = ()) -> ShareRecord:
    """Give up a VM's share to the other holders, or to a live VM, or to nobody."""
    if vm not in record.parts:
        return record
    others = {other: part for other, part in record.parts.items() if other != vm}
    successors = sorted(others) or sorted(set(live) - {vm})[:1]
    if not successors:
        return _next(record, {})
    each, remainder = divmod(record.parts[vm], len(successors))
    parts = {successor: others.get(successor, 0) + each for successor in successors}
    parts[successors[0]] += remainder
    return _next(record, parts)


def reclaim(record: ShareRecord, lost: Iterable[Vm], live: Iterable[Vm]) -> ShareRecord:
    """Take the shares of VMs that the platform no longer lists."""
    candidates = list(live)
    removed = set(lost)
    for vm in sorted(removed & set(record.parts)):
        record = release(record, vm, set(candidates) - removed)
    return record


def rebalance(
    record: ShareRecord, holder: Vm, demand: Mapping[Vm, float]
) -> ShareRecord | None:
    """Move this holder's share towards the VM that uses its tokens most.

    Parameters
    ----------
    record : ShareRecord
        The record as this holder knows it.
    me : Vm
        The holder that decides; it can only give its own.
    demand : mapping
        Tokens a second that each VM took from this holder's share, itself included.

    Returns
    -------
    ShareRecord or None
        The record to write, or None where a move would gain too little. Half the
        share moves at a time; a share below ``2 * LEAST`` moves whole.
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
    whole = part < 2 * MIN_PARTS or (
        borrower not in record.parts and len(record.parts) >= MAX_HOLDERS
    )
    moved = part if whole else part // 2
    total = record.parts.get(borrower, 0) + moved
    if total > MAX_PARTS:
        return None
    return _next(record, {**record.parts, holder: part - moved, borrower: total})
