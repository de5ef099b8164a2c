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

GRACE: Final = 4.0
"""Seconds. Configuration must be in force everywhere within 6; entries tell a
sidecar of a version within 2. Shorter would refuse entries that lag for no more
than a slow store's answer, which callers see as refusals without a cause."""
RETRY_AFTER: Final = 1.0
"""Seconds; another entry answers at once, this one once it has caught up."""


class HeardVersions:
    """The versions heard of lately, each with the time when it was first heard."""

    def __init__(self) -> None:
        self._heard: deque[tuple[float, ConfigVersion]] = deque()
        self.newest = ConfigVersion(0)
        self._floor = ConfigVersion(0)

    def note(self, version: ConfigVersion, now: float) -> None:
        """Note that a peer has a version."""
        if version > self.newest:
            self.newest = version
            self._heard.append((now, version))

    def floor(self, now: float) -> ConfigVersion:
        """Return the oldest version that may still be in force somewhere."""
        while self._heard and now - self._heard[0][0] >= GRACE:
            self._floor = self._heard.popleft()[1]
        return self._floor

    def refusal(self, version: ConfigVersion, now: float) -> Failure | None:
        """Return why a request under ``version`` is refused, None if it is not."""
        if version >= self.floor(now):
            return None
        reason = "this entry lags behind the configuration"
        return Failure(ErrorCode.STALE_CONFIG, reason, retry_after=RETRY_AFTER)
