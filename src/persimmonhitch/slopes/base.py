"""Definition of a slope, and the gauges that slopes use."""

import gc
import os
import socket
import stat
import struct
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from ..kernel import Registry

PAGE: Final = os.sysconf("SC_PAGE_SIZE")
HEADER_BYTES: Final = 52
"""IP and TCP headers of one segment, with the timestamps option."""
TCP_INFO_FORMAT: Final = "=8x24I4Q2I"
"""The platform's ``struct tcp_info`` up to the segments received."""
MAX_INFO: Final = 256
BYTES_ACKED: Final = 26
SEGMENTS_OUT: Final = 28
MICRO: Final = 1e6


@dataclass(frozen=True)
class Reading:
    """Figures at one size; ``figures`` pairs a name with its value."""

    size: int
    figures: tuple[tuple[str, float], ...]


@dataclass(frozen=True)
class Slope:
    """A measurement, its sizes and the unit of a size."""

    unit: str
    sizes: tuple[int, ...]
    run: Callable[[Sequence[int]], Iterator[Reading]]


SLOPES: Final[Registry[Slope]] = Registry("slope")


def resident() -> int:
    """Return the resident memory of this process in bytes, after garbage collection."""
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE


def seconds_each(work: Callable[[], object], least: float = 0.2) -> float:
    """Return the processor seconds per call, averaged over at least ``seconds``."""
    calls = 1
    while True:
        start = time.thread_time()
        for _ in range(calls):
            work()
        spent = time.thread_time() - start
        if spent >= least:
            return spent / calls
        calls *= 2


@dataclass(frozen=True)
class Traffic:
    """Traffic of the TCP connections of this process."""

    payload: int
    segments: int

    @property
    def wire(self) -> int:
        """Return bytes with the headers of each segment."""
        return self.payload + self.segments * HEADER_BYTES

    def since(self, before: "Traffic") -> "Traffic":
        """Return the traffic since ``before``."""
        return Traffic(self.payload - before.payload, self.segments - before.segments)


def tcp_traffic() -> Traffic:
    """Return the sums over all open TCP connections."""
    payload = segments = 0
    for name in os.listdir("/proc/self/fd"):
        info = _tcp_info(int(name))
        if info is not None:
            payload += info[BYTES_ACKED]
            segments += info[SEGMENTS_OUT]
    return Traffic(payload, segments)


def _tcp_info(descriptor: int) -> tuple[int, ...] | None:
    try:
        if not stat.S_ISSOCK(os.fstat(descriptor).st_mode):
            return None
        sock = socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        return None
    with sock:
        try:
            raw = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, MAX_INFO)
        except OSError:
            return None
    size = struct.calcsize(TCP_INFO_FORMAT)
    return struct.unpack(TCP_INFO_FORMAT, raw[:size]) if len(raw) >= size else None


def fit(readings: Sequence[Reading], name: str) -> float:
    """Return the least-squares slope of a figure against the size."""
    pairs = [(r.size, dict(r.figures)[name]) for r in readings]
    mean_x = sum(x for x, _ in pairs) / len(pairs)
    mean_y = sum(y for _, y in pairs) / len(pairs)
    spread = sum((x - mean_x) ** 2 for x, _ in pairs)
    if not spread:
        return 0.0
    return sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread


def render(slope: Slope, readings: Sequence[Reading]) -> str:
    """Return the readings as a Markdown table with the slopes in the last row."""
    names = [name for name, _ in readings[0].figures]
    rows = [f"| {slope.unit} | " + " | ".join(names) + " |"]
    rows.append("| ---: |" + " ---: |" * len(names))
    for reading in readings:
        values = " | ".join(f"{value:.4g}" for _, value in reading.figures)
        rows.append(f"| {reading.size} | {values} |")
    if len(readings) > 1:
        slopes = " | ".join(f"{fit(readings, name):.3g}" for name in names)
        rows.append(f"| *each* | {slopes} |")
    return "\n".join(rows)
