"""Reports the load that callers put on this entry, as metrics and a log line."""

import time
from collections.abc import Callable
from typing import Final

from ..observe.logs import log
from ..observe.metrics import Metrics
from ..web.load import LoadFigures, LoadMeter

REPORT_INTERVAL_S: Final = 1.0
BUSY_FRACTION: Final = 0.5
"""Part of the threads in use from which on each report is logged."""
LATE_S: Final = 0.02
"""Delay before a thread, or wait for the loop, from which on each report is logged."""
BITS_PER_BYTE: Final = 8


class CallerLoad:
    """Reports the load of the server for callers; used by one thread."""

    def __init__(
        self,
        meter: LoadMeter,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._meter = meter
        self._metrics = metrics
        self._clock = clock
        self._reported_at = clock()

    def report(self) -> None:
        """Report the load, at most once per ``REPORT_INTERVAL_S``."""
        now = self._clock()
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported_at = now
        figures = self._meter.take_figures()
        closed = {f"closed_{cause.value}": n for cause, n in figures.closed.items()}
        self._metrics.server_load(
            figures.running,
            figures.delay_s,
            {"accepted": figures.accepted, **closed},
            {"read": figures.read_bytes, "sent": figures.sent_bytes},
            {cause.value: s for cause, s in figures.paused_s.items()},
        )
        paused = {f"paused_{cause.value}": s for cause, s in figures.paused_s.items()}
        if paused or _is_loaded(figures):
            log(
                "caller_load",
                running=figures.running,
                threads=figures.threads,
                delay=figures.delay_s,
                loop_lag=figures.loop_lag_s,
                requests=figures.requests,
                accepted=figures.accepted,
                read_mbit=_megabits_per_s(figures.read_bytes, figures.seconds),
                sent_mbit=_megabits_per_s(figures.sent_bytes, figures.seconds),
                seconds=figures.seconds,
                **closed,
                **paused,
            )


def _is_loaded(figures: LoadFigures) -> bool:
    is_busy = figures.running >= BUSY_FRACTION * figures.threads
    return is_busy or max(figures.delay_s, figures.loop_lag_s) >= LATE_S


def _megabits_per_s(count: int, seconds: float) -> float:
    return count * BITS_PER_BYTE / 1e6 / max(seconds, 0.001)
