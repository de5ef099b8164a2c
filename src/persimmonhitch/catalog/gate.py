"""Check that the configuration of a process is current after a freeze.

Load pattern: none; the gate protects against a process that was frozen. Once
resumed, the process has an outdated configuration and would accept keys that were
withdrawn during the freeze, until the first update arrives. The gate detects the
gap in its record of activity and delays requests until a source has answered a
query sent after the gap.
"""

import math
import threading
from typing import Final

FREEZE_GAP_S: Final = 2.0
"""Time without recorded activity after which the process counts as frozen. Each
request records activity, and two loops do so about every second. A process that
gets no CPU time for 2 s on a busy machine counts as frozen too, which costs it
only one more query."""
ISOLATION_TIMEOUT_S: Final = 5.0
"""Time without an answer from the store or a peer after a thaw, after which the
last known version applies again. A shorter timeout could elapse before links lost
in the freeze are open again (up to 3 s); a longer one would delay callers without
need. From then on sidecars refuse requests with an outdated version."""


class ThawGate:
    """Tracks activity and answered queries; callers pass the time."""

    def __init__(self, now: float) -> None:
        self._lock = threading.Lock()
        self._last_active = now
        self._resumed_at = now
        self._confirmed_at = -math.inf

    def record_activity(self, now: float) -> None:
        """Record that this process is running."""
        with self._lock:
            self._record_activity(now)

    def _record_activity(self, now: float) -> None:
        if now - self._last_active > FREEZE_GAP_S:
            self._resumed_at = now
        self._last_active = max(self._last_active, now)

    def confirm(self, sent_at: float) -> None:
        """Record that a confirmed source answered a query sent at ``sent_at``."""
        with self._lock:
            self._confirmed_at = max(self._confirmed_at, sent_at)

    def confirmed(self, now: float) -> bool:
        """Return whether a source has answered a query sent after the last freeze."""
        with self._lock:
            self._record_activity(now)
            return self._confirmed_at >= self._resumed_at

    def open(self, now: float) -> bool:
        """Return whether requests may proceed."""
        confirmed = self.confirmed(now)
        with self._lock:
            return confirmed or now - self._resumed_at > ISOLATION_TIMEOUT_S
