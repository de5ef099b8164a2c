"""Admission of request bodies into the memory of an entry.

Load pattern: dozens of callers send bodies of megabytes at the same moment on open
connections, so that no limit on new connections holds them back. Each body is held
until its request ends, since the request may have to be sent again; together they
exceed the memory of a small VM, and all requests of the process are lost.

A large body is read only once its memory is reserved, in the order in which they begin.
What doesn't fit stays with its caller until earlier requests end. A body that waits for
more than ``MAX_WAIT_S`` is given up unread, so that its caller can go to another entry.
"""

import threading
from collections import OrderedDict
from collections.abc import Hashable
from typing import Final

BODIES_FRACTION: Final = 0.3
"""Part of the VM's memory for large request bodies. The process itself takes up to a
third of it; answers and unread bytes of callers an eighth each."""
FREE_BODY_BYTES: Final = 64 * 1024
"""Size up to which a body is not counted, as each request has such buffers anyway."""
MAX_WAIT_S: Final = 2.5
"""Longest wait for memory. Callers give up an unread request that may be repeated after
a second; others have deadlines of several seconds, and time left at another entry."""


def max_body_memory(memory_mb: int) -> int | None:
    """Return the bound in bytes for a VM with this memory; None if it is unknown."""
    return int(memory_mb * 1e6 * BODIES_FRACTION) or None


class BodyMemory:
    """Memory of large request bodies, with a bound on their total; thread-safe.

    Parameters
    ----------
    max_bytes : int or None
        Bound on the total; None for no bound. A larger body is read alone.
    """

    def __init__(self, max_bytes: int | None) -> None:
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._held: dict[Hashable, int] = {}
        self._waiting: OrderedDict[Hashable, float] = OrderedDict()
        """When each request began to wait, the first one first."""

    @property
    def held_bytes(self) -> int:
        """Return the memory that is reserved."""
        return sum(self._held.values())

    def try_reserve(self, request: Hashable, size: int, now: float) -> bool:
        """Return whether the body of a request may be read, of ``size`` bytes at most.

        A request that has to wait keeps its turn until ``release`` is called.
        """
        if self._max_bytes is None:
            return True
        with self._lock:
            if request in self._held:
                return True
            self._waiting.setdefault(request, now)
            is_first = next(iter(self._waiting)) is request
            fits = not self._held or self.held_bytes + size <= self._max_bytes
            if not (is_first and fits):
                return False
            del self._waiting[request]
            self._held[request] = size
            return True

    def release(self, request: Hashable) -> bool:
        """Release the memory or the turn of a request; return whether others wait."""
        with self._lock:
            self._held.pop(request, None)
            self._waiting.pop(request, None)
            return bool(self._waiting)

    def overdue(self, now: float) -> list[Hashable]:
        """Return the requests that have waited for too long."""
        with self._lock:
            return [
                request
                for request, since in self._waiting.items()
                if now - since > MAX_WAIT_S
            ]
