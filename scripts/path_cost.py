"""Measure CPU time and memory of entry and sidecar by request and token.

Starts stand-ins, one entry and one sidecar, sends a fixed number of requests of each
size and reads the CPU time and memory that the two processes used.

Usage: path_cost.py [TOKENS,...]
"""

import os
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from fleet import Fleet

from persimmonhitch.slopes.base import Reading, Slope, render

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TOKEN_COUNTS = (1, 10, 50, 200)
REQUESTS = 200
CALLERS = 8
IDLE_S = 10.0
PROCESSES = ("entry-1", "sidecar-e1")
SIZE_UNIT = "tokens a request"


def cpu_seconds(fleet: Fleet, name: str) -> float:
    """Return the CPU time of a process."""
    stat = Path(f"/proc/{fleet.processes[name].popen.pid}/stat").read_text()
    fields = stat.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mib(fleet: Fleet, name: str) -> float:
    """Return the resident memory of a process in MiB."""
    path = Path(f"/proc/{fleet.processes[name].popen.pid}/statm")
    return int(path.read_text().split()[1]) * PAGE_BYTES / 2**20


def start(fleet: Fleet) -> None:
    """Start the processes and wait until the entry is ready."""
    fleet.standin("store", "store")
    options = ("--models=tiny-chat:10:r1", "--step=0.001")
    fleet.standin("engine-1", "engine", *options)
    fleet.record_urls("port", "store", "engine-1")
    fleet.entry("entry-1")
    fleet.sidecar("e1", "engine-1", "engine")
    lists = unlimited_lists()
    fleet.apply_lists(*lists)
    fleet.issue_key("fretes")
    fleet.record_urls("http", "entry-1")
    fleet.wait_ready("entry-1", 1)


def unlimited_lists() -> tuple[str, str]:
    """Return lists with one account whose rate is practically unlimited."""
    accounts = "[account fretes]\nplan = desk\n"
    plans = (
        "[plan desk]\nrate = 10000000\nburst = 10000000\nweight = 1\n"
        "priority = interactive\nmodels = tiny-chat\nservices =\n"
        "[model tiny-chat]\nmemory = 8\nkv_memory = 2\nrevision = r1\n"
    )
    return accounts, plans


def measure(fleet: Fleet, tokens: int) -> Reading:
    """Send the requests of one size and read the cost."""

    def call(number: int) -> bool:
        prompt = f"slot {number}"
        reply = fleet.chat("entry-1", "fretes", prompt, tokens, stream=True)
        return reply.status == 200 and reply.body.endswith(b"data: [DONE]\n\n")

    before = {name: cpu_seconds(fleet, name) for name in PROCESSES}
    began = time.monotonic()
    with ThreadPoolExecutor(CALLERS) as callers:
        succeeded = sum(callers.map(call, range(REQUESTS)))
    seconds = time.monotonic() - began
    cost = [cpu_seconds(fleet, name) - before[name] for name in PROCESSES]
    return Reading(
        tokens,
        (
            ("good", succeeded),
            ("requests/s", REQUESTS / seconds),
            ("entry ms", 1000 * cost[0] / REQUESTS),
            ("sidecar ms", 1000 * cost[1] / REQUESTS),
            ("entry MiB", memory_mib(fleet, "entry-1")),
            ("sidecar MiB", memory_mib(fleet, "sidecar-e1")),
        ),
    )


def print_idle(fleet: Fleet) -> None:
    """Print CPU use and memory of the idle processes."""
    before = {name: cpu_seconds(fleet, name) for name in PROCESSES}
    time.sleep(IDLE_S)
    for name in PROCESSES:
        core = 100 * (cpu_seconds(fleet, name) - before[name]) / IDLE_S
        print(f"idle {name}: {core:.2f}% of a core, {memory_mib(fleet, name):.1f} MiB")


def main(args: list[str]) -> int:
    """Measure each size; return 0 if every answer was complete."""
    counts = tuple(int(part) for part in args[0].split(",")) if args else TOKEN_COUNTS
    fleet = Fleet()
    try:
        start(fleet)
        print_idle(fleet)
        measure(fleet, 1)
        readings = [measure(fleet, tokens) for tokens in counts]
    finally:
        fleet.stop_all()
    print(render(Slope(SIZE_UNIT, counts, lambda _sizes: iter(())), readings))
    return 0 if all(dict(r.figures)["good"] == REQUESTS for r in readings) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
