"""Choose the answers to cut when all answers held exceed the memory set aside for them.

Load pattern: dozens of answers are held at once, nearly all of them small and only for
milliseconds. A few upstreams send bodies without end, all of them at the same time, or
a few callers read large answers slowly. Each of these answers stays below the bound of
a single answer, but together they exceed the memory of a small VM.

The largest answers are cut first: as few as possible, and never the small answers that
arrive meanwhile. A cut request may have run.
"""

from collections.abc import Mapping
from typing import Final, TypeVar

K = TypeVar("K")

MEMORY_FRACTION: Final = 0.125
"""Part of the VM's memory for answers. The process itself takes up to a third of it,
and unread bytes of callers another eighth. An allocator with an arena per thread may
take three times what the answers hold."""


def max_held_bytes(memory_mb: int) -> int | None:
    """Return the bound for a VM with this memory; None if the memory is unknown."""
    return int(memory_mb * 1e6 * MEMORY_FRACTION) or None


def answers_to_cut(held: Mapping[K, int], max_bytes: int) -> list[K]:
    """Return the answers to cut, given the bytes that each of them holds."""
    excess = sum(held.values()) - max_bytes
    cut: list[K] = []
    for answer in sorted(held, key=lambda key: held[key], reverse=True):
        if excess <= 0:
            break
        cut.append(answer)
        excess -= held[answer]
    return cut
