"""Which entries watch the store, worked out alike by all without a word.

Load pattern: a fleet whose every watch counts as a call. 360 entries that each
wait at the store would spend more of its calls than all the rest together, so a
few of each region watch and tell the others.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

from ..ids import Vm

MAX_WATCHERS: Final = 3
"""Entries of a region that watch the store: two may fail in the same second, and
five regions of three ask 15 times a second."""


def _score(salt: str, vm: Vm) -> bytes:
    return hashlib.sha256(f"{salt}/{vm}".encode()).digest()


def rank_vms(salt: str, vms: Iterable[Vm]) -> list[Vm]:
    """Return VMs by rendezvous hash: one that goes moves only its own place."""
    return sorted(vms, key=lambda vm: _score(salt, vm), reverse=True)


def elect_watchers(region: str, vms: Iterable[Vm]) -> tuple[Vm, ...]:
    """Return the VMs of a region that watch the store."""
    return tuple(rank_vms(region, vms)[:MAX_WATCHERS])


def watcher_for(vm: Vm, watchers: Iterable[Vm]) -> Vm | None:
    """Return the watcher that tells ``vm`` of changes."""
    others = [other for other in watchers if other != vm]
    return rank_vms(vm, others)[0] if others else None
