"""Refusal of requests from entries with an outdated configuration.

Load pattern: none; the check covers an entry that has lost the store and its
peers, or has just thawed, and still sends requests. Otherwise this entry would
run the requests of withdrawn keys for as long as the partition lasts.

A sidecar receives versions from all its entries. A version first reported
``GRACE_S`` seconds ago should be in force everywhere; a request under an older
version is refused with the verdict "not run", and the caller's next attempt
reaches another entry.
"""

from collections import deque
from typing import Final

from ..ids import ConfigVersion
from ..verdict import ErrorCode, Failure

GRACE_S: Final = 4.0
"""Time an entry has to catch up. A configuration must be in force everywhere within
6 s, and entries report a version to a sidecar within 2 s. A shorter period would
refuse requests of entries that only wait for an answer of a slow store."""
RETRY_AFTER_S: Final = 1.0
"""Another entry accepts a retry at once, this one as soon as it is up to date."""


class ReportedVersions:
    """Versions reported by entries, each with the time of the first report."""

    def __init__(self) -> None:
        self._pending: deque[tuple[float, ConfigVersion]] = deque()
        self.newest = ConfigVersion(0)
        self._min_version = ConfigVersion(0)

    def record(self, version: ConfigVersion, now: float) -> None:
        """Record that an entry has a version."""
        if version > self.newest:
            self.newest = version
            self._pending.append((now, version))

    def min_version(self, now: float) -> ConfigVersion:
        """Return the oldest version that requests may still use."""
        while self._pending and now - self._pending[0][0] >= GRACE_S:
            self._min_version = self._pending.popleft()[1]
        return self._min_version

    def refusal(self, version: ConfigVersion, now: float) -> Failure | None:
        """Return the refusal of a request under ``version``, None if it is accepted."""
        if version >= self.min_version(now):
            return None
        reason = "this entry lags behind the configuration"
        return Failure(ErrorCode.STALE_CONFIG, reason, retry_after=RETRY_AFTER_S)
