"""Eras of the store; an era is the number of restores from an older copy so far.

A restored store may reuse revisions. A version has the era in its upper bits and the
store's revision in its lower bits, so that any version of a newer era is greater than
all versions of older eras.
"""

import threading
from collections.abc import Callable
from typing import Final, NewType

from ..observe.logs import log
from .objects import Version

Era = NewType("Era", int)
"""Number of restores of the store from an older copy; 0 if the store reports none."""

REVISION_BITS: Final = 44
"""Bits of a version that contain the revision; they suffice for five centuries at a
thousand writes per second."""


def version_of(era: Era, revision: int) -> Version:
    """Return the version of a revision in an era."""
    return Version((era << REVISION_BITS) | revision)


def era_of(version: Version) -> Era:
    """Return the era of a version."""
    return Era(version >> REVISION_BITS)


def revision_of(version: Version) -> int:
    """Return the store's revision in a version."""
    return version & ((1 << REVISION_BITS) - 1)


class EraState:
    """Newest era seen in replies of the store or reported by peers; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Callable[[Era], None]] = []
        self._has_gap = self._has_era = False
        """Whether a reply had no readable era, and whether a reply had an era."""
        self.current = Era(0)

    def on_change(self, listener: Callable[[Era], None]) -> None:
        """Call ``listener`` with each new era except the first one."""
        self._listeners.append(listener)

    def observe(self, era: Era | None) -> bool:
        """Record the era of a reply; return whether the reply is valid.

        A reply of an older era is invalid; a reply without a readable era (``None``) is
        valid.
        """
        with self._lock:
            previous = self.current
            had_era = self._has_era
            if era is None:
                new_gap, self._has_gap = had_era and not self._has_gap, True
            else:
                new_gap, self.current, self._has_era = False, max(previous, era), True
        if new_gap:
            log("store_era_missing", era=previous)
        if era is None or era == previous:
            return True
        if era < previous:
            log("store_era_older", era=era, current=previous)
            return False
        if had_era:
            log("store_restored", era=era, before=previous)
            for listener in self._listeners:
                listener(era)
        return True
