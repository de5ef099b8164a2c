"""Choose the callers to drop when unread answers take too much memory or many places.

Load pattern: hundreds of callers read a kilobyte per second, beside callers that read
at once. Each unread answer occupies memory, and if it exceeds the buffers of its
connection also the place of a request, while the slow callers go on to read it for
minutes. New callers find no place although the upstreams are idle.

As long as there is room, a slow caller costs nobody anything and keeps its answer. At a
bound the slowest reader goes first. A caller is dropped only after ``MIN_WAIT_S``: the
rate of a shorter time says little, and nearly all callers read within milliseconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

MIN_WAIT_S: Final = 1.0
UNSENT_FRACTION: Final = 0.125
"""Part of the VM's memory for answers that are sent and not yet read."""
BLOCKED_FRACTION: Final = 0.5
"""Part of the places that slow readers may occupy."""


@dataclass(frozen=True)
class SlowReader:
    """A caller with unread bytes."""

    conn: int
    """Identifies its connection."""
    unread: int
    """Bytes that wait to be sent."""
    read: int
    """Bytes sent while others waited."""
    waiting_s: float
    """Time since there were no unread bytes."""
    blocks: bool
    """Whether its request occupies a place until it reads on."""

    @property
    def rate(self) -> float:
        """Return the bytes read per second."""
        return self.read / max(self.waiting_s, MIN_WAIT_S)


def max_unread_bytes(memory_mb: int) -> int | None:
    """Return the bound for a VM with this memory; None if the memory is unknown."""
    return int(memory_mb * 1e6 * UNSENT_FRACTION) or None


def readers_to_drop(
    readers: Iterable[SlowReader], max_unread: int, max_blocked: int
) -> list[SlowReader]:
    """Return the callers to drop, the slowest first.

    Parameters
    ----------
    readers : iterable of SlowReader
        All callers with unread bytes.
    max_unread : int
        Bound on the unread bytes of all callers.
    max_blocked : int
        Bound on the places that slow readers occupy.
    """
    known = list(readers)
    unread = sum(reader.unread for reader in known)
    blocked = sum(reader.blocks for reader in known)
    dropped: list[SlowReader] = []
    for reader in sorted(known, key=lambda each: each.rate):
        if unread <= max_unread and blocked <= max_blocked:
            break
        # A caller that blocks no place does not help those who wait for one.
        helps = unread > max_unread or reader.blocks
        if reader.waiting_s < MIN_WAIT_S or not helps:
            continue
        dropped.append(reader)
        unread -= reader.unread
        blocked -= reader.blocks
    return dropped
