"""Eras of the store: it may come back from an older copy, and then counts anew.

A version holds the era above the store's own revision, so that versions of two eras
compare as they should: whatever is of a newer era comes after all before it.
"""

import threading
from collections.abc import Callable
from typing import Final, NewType

from ..observe.logs import log
from .objects import Version

Era = NewType("Era", int)
"""How often the store has come back from a copy; 0 while it names none."""

REVISION_BITS: Final = 44
"""Bits of a version that hold the revision; a store that changes a thousand times a
second counts for five centuries."""


def version_of(era: Era, revision: int) -> Version:
    """Return the version of a revision in an era."""
    return Version((era << REVISION_BITS) | revision)


def era_of(version: Version) -> Era:
    """Return the era of a version."""
    return Era(version >> REVISION_BITS)


def revision_of(version: Version) -> int:
    """Return the store's own number of a version."""
    return version & ((1 << REVISION_BITS) - 1)


class EraState:
    """The newest era that this process has seen or heard of; safe for many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Callable[[Era], None]] = []
        self._missing = self._known = False
        self.current = Era(0)

    def on_change(self, listener: Callable[[Era], None]) -> None:
        """Call ``listener`` with each era that follows another one."""
        self._listeners.append(listener)

    def observe(self, era: Era | None) -> bool:
        """Take the era of an answer; return whether the answer still counts.

        ``None`` stands for an answer without an era that can be read.
        """
        with self._lock:
            previous = self.current
            had_era = self._known
            if era is None:
                is_new_gap, self._missing = had_era and not self._missing, True
            else:
                is_new_gap, self.current, self._known = False, max(previous, era), True
        if is_new_gap:
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
