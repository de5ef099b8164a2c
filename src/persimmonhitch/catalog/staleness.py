"""Refuse entries that lag behind the configuration.

Load pattern: none; this answers an entry that is cut off from the store and from
its peers, or has just thawed, and still sends requests. Without it such an entry
would go on running the requests of withdrawn keys for as long as the cut lasts.

A sidecar hears of versions from all its entries. A version that it has known
for ``GRACE`` seconds should be in force everywhere; an entry that still sends an
older one is refused, truthfully as not run, and its caller's next try comes
through another entry.
"""

from collections import deque
from typing import Final

from ..ids import ConfigVersion
from ..verdict import ErrorCode, Failure

GRACE_S: Final = 4.0
"""Seconds. Configuration must be in force everywhere within 6; entries tell a
sidecar of a version within 2. Shorter would refuse entries that lag for no more
than a slow store's answer, which callers see as refusals without a cause."""
RETRY_AFTER_S: Final = 1.0
"""Seconds; another entry answers at once, this one once it has caught up."""


class ReportedVersions:
    """The versions heard of lately, each with the time when it was first heard."""

    def __init__(self) -> None:
        self._pending: deque[tuple[float, ConfigVersion]] = deque()
        self.newest = ConfigVersion(0)
        self._min_version = ConfigVersion(0)

    def record(self, version: ConfigVersion, now: float) -> None:
        """Note that a peer has a version."""
        if version > self.newest:
            self.newest = version
            self._pending.append((now, version))

    def min_version(self, now: float) -> ConfigVersion:
        """Return the oldest version that may still be in force somewhere."""
        while self._pending and now - self._pending[0][0] >= GRACE_S:
            self._min_version = self._pending.popleft()[1]
        return self._min_version

    def refusal(self, version: ConfigVersion, now: float) -> Failure | None:
        """Return why a request under ``version`` is refused, None if it is not."""
        if version >= self.min_version(now):
            return None
        reason = "this entry lags behind the configuration"
        return Failure(ErrorCode.STALE_CONFIG, reason, retry_after=RETRY_AFTER_S)
