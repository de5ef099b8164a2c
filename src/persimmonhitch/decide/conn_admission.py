"""Decide whether an entry takes new connections: by threads, processor and link.

Load pattern: for seconds, the load balancer hands most new connections of a zone or
region to one entry. A refusal of a request that was read costs its caller a retry and
the time to come back. A caller whose connection is refused connects again at once, and
the balancer hands it to another entry.

An entry takes as many requests as it can serve. Three bounds tell how many these are:
the threads, each of which holds one request for as long as it waits or streams, the
processor, and the link of the VM. Beyond the capacity of processor or link no request
fails, all become late: they wait to be read and for their threads, or their packets
wait at the link. Short of processor, an entry with few new requests still has those in
progress to go on with, and what waits at its listener counts nowhere; so the lag of its
event loop counts as well.

Connections are refused by not listening, for a moment at a time: a connection that is
accepted and closed has sent its request already, and the requests of a flood fill the
link of a small VM.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from .admission import RESERVED_THREADS

OPEN_CONNS_SHARE: Final = 0.125
"""Part of the threads for requests on connections that are open already."""
MAX_PAUSE_S: Final = 1.0
"""Longest time without new connections: to the platform, an entry that is ready and
takes none for seconds looks dead."""
MAX_START_S: Final = 2.0
"""Seconds after its start for which an entry without a configuration takes no
connections. After that it refuses requests with the time to come back: the store may be
away, and no other entry any better off."""
MAX_DELAY_S: Final = 0.05
"""Delay before a thread, or at the link, from which on a caller loses less by another
connection."""
MAX_LOOP_LAG_S: Final = 0.1
"""Wait for the server's loop from which on the same holds. A new request waits twice,
to be accepted and to be read, and callers of short requests give up unread ones after
a third of their time."""
MIN_DELAYS: Final = 5
"""Least number of recent delays by which an entry counts as late."""

LINK_SHARE: Final = 0.5
"""Part of the link for bytes from and to callers. They pass it both ways, since they go
on to and come from upstreams; other entries and the store need some of it, and so do
the requests of connections that are reset while they open."""
MAX_BACKLOG_S: Final = 0.5
"""Longest backlog of the link that is counted."""
BYTES_PER_MEGABIT: Final = 125_000

REQUEST_MEMORY_MB: Final = 0.128
"""Memory of a request with its thread, prompt, buffers and connections."""
REQUESTS_SHARE: Final = 0.25
"""Part of the VM's memory for requests in progress, beside that of answers."""
DESCRIPTORS_SHARE: Final = 0.25
"""Part of the VM's file descriptors for requests in progress, beside idle connections
of callers and to upstreams."""
REQUEST_DESCRIPTORS: Final = 2
"""Connection of the caller, and connection to the upstream."""
DEFAULT_THREADS: Final = 192
"""Most requests at a time on a VM whose memory is unknown."""


class PauseCause(Enum):
    """Why an entry takes no new connections for a moment."""

    STARTING = "starting"
    THREADS = "threads"
    PROCESSOR = "processor"
    LINK = "link"


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
    link_s : float
        Time in which the link passes the bytes of callers beyond its rate.
    loop_lag_s : float
        Median time for which work waits for the server's loop.
    """

    requests: int
    oldest_wait_s: float = 0.0
    delays: int = 0
    delay_s: float = 0.0
    link_s: float = 0.0
    loop_lag_s: float = 0.0

    @property
    def is_late(self) -> bool:
        """Return whether requests wait too long to be read, or for their threads."""
        if self.loop_lag_s > MAX_LOOP_LAG_S:
            return True
        if self.oldest_wait_s <= 0.0:
            return False
        were_late = self.delays >= MIN_DELAYS and self.delay_s > MAX_DELAY_S
        return were_late or self.oldest_wait_s > MAX_DELAY_S


def max_requests(threads: int, memory_mb: int, descriptors: int = 0) -> int:
    """Return the most requests at a time.

    Parameters
    ----------
    threads : int
        Upper bound by the settings.
    memory_mb, descriptors : int
        Memory and file descriptors of the VM; 0 if unknown.
    """
    if not memory_mb:
        return min(threads, DEFAULT_THREADS)
    bounds = [threads, int(memory_mb * REQUESTS_SHARE / REQUEST_MEMORY_MB)]
    if descriptors:
        bounds.append(int(descriptors * DESCRIPTORS_SHARE / REQUEST_DESCRIPTORS))
    return max(min(bounds), 2 * RESERVED_THREADS)


class LinkBacklog:
    """Bytes of callers that a link has not had the time to pass yet.

    Parameters
    ----------
    link_mbps : float
        Megabits per second of the link; 0 if unknown.
    """

    def __init__(self, link_mbps: float) -> None:
        self._bytes_per_s = link_mbps * BYTES_PER_MEGABIT * LINK_SHARE
        self._bytes = 0.0
        self._updated_at = 0.0

    def add(self, count: int, now: float) -> None:
        """Count bytes that were read or sent."""
        passed = (now - self._updated_at) * self._bytes_per_s
        most = MAX_BACKLOG_S * self._bytes_per_s
        self._bytes = min(most, max(0.0, self._bytes - passed) + count)
        self._updated_at = now

    def seconds(self, now: float) -> float:
        """Return the time in which the link passes the bytes beyond its rate."""
        if not self._bytes_per_s:
            return 0.0
        self.add(0, now)
        return self._bytes / self._bytes_per_s


class ConnAdmission:
    """Decides when an entry takes new connections; used by one thread.

    Parameters
    ----------
    threads : int
        Most requests at a time.
    can_serve : callable
        Whether the entry knows its configuration and upstreams.
    listen_by : float
        Monotonic time from which on the entry takes connections also without them.
    """

    def __init__(
        self,
        threads: int,
        can_serve: Callable[[], bool] = lambda: True,
        listen_by: float = 0.0,
    ) -> None:
        self._can_serve = can_serve
        self._listen_by = listen_by
        reserved = max(RESERVED_THREADS, int(threads * OPEN_CONNS_SHARE))
        self.max_running = threads - reserved
        """Most requests beside which a new connection is taken."""
        self._taken_at = float("-inf")

    def pause_cause(self, now: float, load: RequestLoad) -> PauseCause | None:
        """Return why to take no new connections, or None to take some."""
        if now < self._listen_by and not self._can_serve():
            return PauseCause.STARTING
        if now - self._taken_at >= MAX_PAUSE_S:
            return None
        if load.requests >= self.max_running:
            return PauseCause.THREADS
        if load.is_late:
            return PauseCause.PROCESSOR
        return PauseCause.LINK if load.link_s > MAX_DELAY_S else None

    def taken(self, now: float) -> None:
        """Record that a new connection was taken."""
        self._taken_at = now
