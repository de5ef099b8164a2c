"""Load of a server: its threads, delays, connections and bytes."""

import statistics
import threading
import time
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from ..decide.conn_admission import LinkBacklog, PauseCause, RequestLoad

LAG_SAMPLES: Final = 5
"""Waits for the loop whose median counts, over a quarter of a second or longer."""
DELAY_WINDOW_S: Final = 0.25
"""Seconds for which the delay of a request counts."""


@dataclass(frozen=True)
class LoadFigures:
    """Load of a server, and what it counted since the figures before."""

    seconds: float
    """Time since the figures before."""
    running: int
    """Requests that run or wait for a thread."""
    threads: int
    """Most requests at a time."""
    delay_s: float
    """Median delay of recent requests before their thread; 0 without requests."""
    requests: int
    accepted: int
    """Connections that were accepted and kept."""
    closed: Mapping[PauseCause, int]
    """Connections that were closed before anything was read, by cause."""
    paused_s: Mapping[PauseCause, float]
    """Time without a listener, by cause."""
    read_bytes: int
    sent_bytes: int
    loop_lag_s: float
    """Median of the newest waits for the server's loop; 0 with few requests."""


class LoadMeter:
    """Counts the work of a server; thread-safe.

    Parameters
    ----------
    threads : int
        Most requests at a time.
    link_mbps : float
        Megabits per second of the VM's link; 0 if unknown.
    """

    def __init__(
        self,
        threads: int,
        link_mbps: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.threads = threads
        self._link = LinkBacklog(link_mbps)
        self._mean_bytes = 0.0
        """Mean size of a request; what a closed connection has sent in vain."""
        self._clock = clock
        self._lock = threading.Lock()
        self._running = 0
        self._delays: deque[tuple[float, float]] = deque()
        """When each recent request got its thread, and after which delay."""
        self._waiting: deque[float] = deque()
        """When each request without a thread was read; they get them in this order."""
        self._lags: deque[float] = deque(maxlen=LAG_SAMPLES)
        """Newest waits for the server's loop."""
        self._probe_since: float | None = None
        """Since when the wait that is being measured lasts."""
        self._pause: tuple[PauseCause, float] | None = None
        """Cause of the current pause, and when it was last counted."""
        self._started_at = clock()
        self._reset()

    def _reset(self) -> None:
        self._requests = self._accepted = 0
        self._read_bytes = self._sent_bytes = 0
        self._closed: Counter[PauseCause] = Counter()
        self._paused_s: dict[PauseCause, float] = {}

    @property
    def running(self) -> int:
        """Return the number of requests that run or wait for a thread."""
        return self._running

    def accepted(self) -> None:
        """Count an accepted connection."""
        self._accepted += 1

    def closed_unread(self, cause: PauseCause) -> None:
        """Count a connection that is closed before anything is read."""
        with self._lock:
            self._closed[cause] += 1
            self._link.add(int(self._mean_bytes), self._clock())

    def paused(self, cause: PauseCause, now: float) -> None:
        """Record that the server stops listening."""
        with self._lock:
            self._pause = cause, now

    def resumed(self, now: float) -> None:
        """Record that the server listens again."""
        with self._lock:
            self._count_pause(now)
            self._pause = None

    def _count_pause(self, now: float) -> None:
        if self._pause is not None:
            cause, since = self._pause
            self._paused_s[cause] = self._paused_s.get(cause, 0.0) + now - since
            self._pause = cause, now

    def bytes_read(self, count: int) -> None:
        """Count bytes of callers."""
        with self._lock:
            self._read_bytes += count
            self._link.add(count, self._clock())

    def bytes_sent(self, count: int) -> None:
        """Count bytes that the kernel has accepted for callers."""
        with self._lock:
            self._sent_bytes += count
            self._link.add(count, self._clock())

    def begin_lag_probe(self) -> bool:
        """Begin to measure a wait for the loop; return False if one is measured."""
        with self._lock:
            if self._probe_since is not None:
                return False
            self._probe_since = self._clock()
            return True

    def end_lag_probe(self) -> None:
        """Record the end of the wait that is being measured."""
        now = self._clock()
        with self._lock:
            if self._probe_since is not None:
                self._lags.append(now - self._probe_since)
                self._probe_since = None

    def clear_loop_lag(self) -> None:
        """Forget the waits for the loop; they say nothing of a later load."""
        with self._lock:
            self._lags.clear()

    def _loop_lag_s(self, now: float) -> float:
        """Return the median wait, with the one under way if it is the longest."""
        lags = sorted(self._lags)
        if self._probe_since is not None:
            under_way = now - self._probe_since
            if not lags or under_way > lags[-1]:
                lags.append(under_way)
        return statistics.median_low(lags) if lags else 0.0

    def request_queued(self) -> float:
        """Count a request that waits for its thread; return the time."""
        now = self._clock()
        with self._lock:
            self._running += 1
            self._requests += 1
            self._waiting.append(now)
        return now

    def request_started(self, queued_at: float) -> None:
        """Record that a request has got its thread."""
        now = self._clock()
        with self._lock:
            if self._waiting:
                self._waiting.popleft()
            self._delays.append((now, now - queued_at))
            self._expire(now)

    def request_ended(self) -> None:
        """Count the end of a request."""
        with self._lock:
            self._running -= 1

    def _expire(self, now: float) -> None:
        while self._delays and now - self._delays[0][0] > DELAY_WINDOW_S:
            self._delays.popleft()

    def request_load(self, pending: int) -> RequestLoad:
        """Return the load that decides on new connections.

        Parameters
        ----------
        pending : int
            New connections without a request yet.
        """
        now = self._clock()
        with self._lock:
            self._expire(now)
            delays = [delay for _, delay in self._delays]
            oldest_wait_s = now - self._waiting[0] if self._waiting else 0.0
            link_s = self._link.seconds(now)
            loop_lag_s = self._loop_lag_s(now)
        delay_s = statistics.median(delays) if delays else 0.0
        return RequestLoad(
            self._running + pending,
            oldest_wait_s,
            len(delays),
            delay_s,
            link_s,
            loop_lag_s,
        )

    def take_figures(self) -> LoadFigures:
        """Return the figures; the next ones count from here."""
        load = self.request_load(0)
        now = self._clock()
        with self._lock:
            self._count_pause(now)
            figures = LoadFigures(
                now - self._started_at,
                self._running,
                self.threads,
                load.delay_s,
                self._requests,
                self._accepted,
                dict(self._closed),
                dict(self._paused_s),
                self._read_bytes,
                self._sent_bytes,
                load.loop_lag_s,
            )
            if self._requests:
                self._mean_bytes = self._read_bytes / self._requests
            self._started_at = now
            self._reset()
        return figures
