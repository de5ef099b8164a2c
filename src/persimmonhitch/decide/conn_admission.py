"""Decide whether an entry takes new connections: by threads and processor.

Load pattern: for seconds, the load balancer hands most new connections of a zone or
region to one entry. A refusal of a request that was read costs its caller a retry and
the time to come back. A caller whose connection is refused connects again at once, and
the balancer hands it to another entry.

An entry takes as many requests as it can serve. Two bounds tell how many these are: the
threads, each of which holds one request for as long as it waits or streams, and the
processor. Beyond the capacity of the processor no request fails, all become late: they
wait for their threads.

Connections are refused by not listening, for a moment at a time: a connection that is
accepted and closed has sent its request already, and the requests of a flood fill the
link of a small VM.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from .admission import RESERVED_THREADS

OPEN_CONNS_SHARE: Final = 0.125
"""Part of the threads for requests on connections that are open already."""
MAX_PAUSE_S: Final = 1.0
"""Longest time without new connections: to the platform, an entry that is ready and
takes none for seconds looks dead."""
MAX_DELAY_S: Final = 0.05
"""Delay before a thread from which on a caller loses less by another connection."""
MIN_DELAYS: Final = 5
"""Least number of recent delays by which an entry counts as late."""

REQUEST_MEMORY_MB: Final = 0.128
"""Memory of a request with its thread, prompt, buffers and connections."""
REQUESTS_SHARE: Final = 0.25
"""Part of the VM's memory for requests in progress, beside that of answers."""
DEFAULT_THREADS: Final = 192
"""Most requests at a time on a VM whose memory is unknown."""


class PauseCause(Enum):
    """Why an entry takes no new connections for a moment."""

    THREADS = "threads"
    PROCESSOR = "processor"


@dataclass(frozen=True)
class RequestLoad:
    """Requests of an entry.

    Attributes
    ----------
    requests : int
        Requests in progress, and new connections without a request yet.
    oldest_wait_s : float
        Time since the oldest request without a thread was read; 0 if there is none.
    delays : int
        Number of requests that got a thread recently.
    delay_s : float
        Median of the delays before their threads.
    """

    requests: int
    oldest_wait_s: float = 0.0
    delays: int = 0
    delay_s: float = 0.0

    @property
    def is_late(self) -> bool:
        """Return whether requests wait too long for their threads."""
        if self.oldest_wait_s <= 0.0:
            return False
        were_late = self.delays >= MIN_DELAYS and self.delay_s > MAX_DELAY_S
        return were_late or self.oldest_wait_s > MAX_DELAY_S


def max_requests(threads: int, memory_mb: int) -> int:
    """Return the most requests at a time, given the setting and the VM's memory.

    ``memory_mb`` is 0 if the memory is unknown.
    """
    if not memory_mb:
        return min(threads, DEFAULT_THREADS)
    by_memory = int(memory_mb * REQUESTS_SHARE / REQUEST_MEMORY_MB)
    return max(min(threads, by_memory), 2 * RESERVED_THREADS)


class ConnAdmission:
    """Decides when an entry takes new connections; used by one thread."""

    def __init__(self, threads: int) -> None:
        reserved = max(RESERVED_THREADS, int(threads * OPEN_CONNS_SHARE))
        self.max_running = threads - reserved
        """Most requests beside which a new connection is taken."""
        self._taken_at = float("-inf")

    def pause_cause(self, now: float, load: RequestLoad) -> PauseCause | None:
        """Return why to take no new connections, or None to take some."""
        if now - self._taken_at >= MAX_PAUSE_S:
            return None
        if load.requests >= self.max_running:
            return PauseCause.THREADS
        return PauseCause.PROCESSOR if load.is_late else None

    def taken(self, now: float) -> None:
        """Record that a new connection was taken."""
        self._taken_at = now
