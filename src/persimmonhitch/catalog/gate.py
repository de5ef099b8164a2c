"""Whether a process may trust the configuration that it holds.

Load pattern: none; this answers a process that was frozen. When it thaws it
holds a configuration of the past, and would let in keys that were withdrawn
meanwhile until the first news arrives. The gate sees the gap in its own clock
and holds requests back until a question asked after the gap is answered.
"""

import math
import threading
from typing import Final

FREEZE_GAP_S: Final = 2.0
"""Seconds in which no thread looked at the clock: the process was frozen. Each
request looks, and two loops do so about every second; a process that starves for
2 s on a busy machine is taken for frozen too, and only has to ask once more."""
ISOLATION_TIMEOUT_S: Final = 5.0
"""Seconds after a thaw without any answer, from store or peer, after which the
last version is in force again. A shorter wait would pass before links that died
in the freeze are open again (up to 3 s); a longer one would refuse callers who
have done nothing wrong. From then on sidecars refuse what is too old."""


class ThawGate:
    """Notes looks at the clock and answered questions; has no clock itself."""

    def __init__(self, now: float) -> None:
        self._lock = threading.Lock()
        self._last_active = now
        self._resumed_at = now
        self._confirmed_at = -math.inf

    def record_activity(self, now: float) -> None:
        """Note that this process runs."""
        with self._lock:
            self._record_activity(now)

    def _record_activity(self, now: float) -> None:
        if now - self._last_active > FREEZE_GAP_S:
            self._resumed_at = now
        self._last_active = max(self._last_active, now)

    def confirm(self, asked_at: float) -> None:
        """Note that a steady source answered what was asked at ``asked_at``."""
        with self._lock:
            self._confirmed_at = max(self._confirmed_at, asked_at)

    def confirmed(self, now: float) -> bool:
        """Return whether a source has answered since the last gap."""
        with self._lock:
            self._record_activity(now)
            return self._confirmed_at >= self._resumed_at

    def open(self, now: float) -> bool:
        """Return whether requests may go on."""
        confirmed = self.confirmed(now)
        with self._lock:
            return confirmed or now - self._resumed_at > ISOLATION_TIMEOUT_S
