"""Election of the entries that watch the store.

Every entry computes the same result from the list of VMs, without messages.

Load pattern: a large fleet on a store that counts each watch as a call. Watches of
360 entries would use more calls than all other traffic to the store, so a few
entries of each region watch the store and push the changes to the others.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

from ..ids import Vm

MAX_WATCHERS: Final = 3
"""Watchers of the store per region: two of them may fail in the same second, and
five regions with three watchers each make 15 calls a second."""


def _score(salt: str, vm: Vm) -> bytes:
    return hashlib.sha256(f"{salt}/{vm}".encode()).digest()


def rank_vms(salt: str, vms: Iterable[Vm]) -> list[Vm]:
    """Rank VMs by rendezvous hash; the other VMs keep their order if one is removed."""
    return sorted(vms, key=lambda vm: _score(salt, vm), reverse=True)


def elect_watchers(region: str, vms: Iterable[Vm]) -> tuple[Vm, ...]:
    """Return the VMs of a region that are to watch the store."""
    return tuple(rank_vms(region, vms)[:MAX_WATCHERS])


def watcher_for(vm: Vm, watchers: Iterable[Vm]) -> Vm | None:
    """Return the watcher that pushes changes to ``vm``, None if there is none."""
    others = [other for other in watchers if other != vm]
    return rank_vms(vm, others)[0] if others else None
