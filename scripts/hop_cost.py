"""Measure the latency that entry and sidecar add to a stream.

Requests go to the engines directly, then through an entry, in one run with the same
stand-ins, so that the figures are comparable.

Usage: hop_cost.py [STREAMS,... [TOKENS]]
"""

import json
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from http.client import HTTPConnection
from urllib.parse import urlsplit

from fleet import Fleet
from path_cost import cpu_seconds, unlimited_lists

ENGINES = 6
STEP_S = 0.0165
"""Seconds a step; with ten streams an engine the stand-in takes 24 ms a token."""
TOKENS = 400
ROUNDS = 2
TOKEN_INTERVAL_S = 0.024
"""Seconds a token. Streams start spread over the duration of one stream, so that
requests arrive evenly; with 400 tokens, at the rate of one entry in a full-size
fleet."""
STREAM_COUNTS = (60,)
TIMEOUT_S = 120.0


@dataclass
class Timing:
    """Seconds to the first token and between tokens; number of broken streams."""

    first: list[float] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)
    broken: int = 0


def stream(
    url: str, headers: dict[str, str], prompt: str, tokens: int, timing: Timing
) -> None:
    """Run one stream and record the time of each token."""
    address = urlsplit(url)
    conn = HTTPConnection(address.hostname, address.port, timeout=TIMEOUT_S)
    messages = [{"role": "user", "content": prompt}]
    body = {"model": "tiny-chat", "messages": messages, "stream": True}
    last_at = began = time.monotonic()
    body["max_tokens"] = tokens
    conn.request("POST", "/v1/chat/completions", json.dumps(body), headers)
    answer = conn.getresponse()
    seen, complete = 0, False
    for line in answer:
        if b'"content"' in line:
            now = time.monotonic()
            (timing.gaps if seen else timing.first).append(
                now - (last_at if seen else began)
            )
            seen, last_at = seen + 1, now
        complete = complete or line.startswith(b"data: [DONE]")
    timing.broken += not complete or seen != tokens
    conn.close()


def run_streams(
    urls: Sequence[str], headers: dict[str, str], streams: int, tokens: int
) -> Timing:
    """Run ``streams`` concurrent streams, ``ROUNDS`` times each."""
    timing = Timing()

    def call_repeatedly(number: int) -> None:
        time.sleep(tokens * TOKEN_INTERVAL_S * number / streams)
        url = urls[number % len(urls)]
        for _ in range(ROUNDS):
            stream(url, headers, f"slot {number}", tokens, timing)

    with ThreadPoolExecutor(streams) as callers:
        list(callers.map(call_repeatedly, range(streams)))
    return timing


def pctl(values: Sequence[float], share: float) -> float:
    """Return a percentile in milliseconds."""
    return 1000 * sorted(values)[int(share * (len(values) - 1))]


def start(fleet: Fleet) -> None:
    """Start engines, sidecars and one entry."""
    fleet.standin("store", "store")
    names = [f"engine-{number}" for number in range(ENGINES)]
    for name in names:
        fleet.standin(name, "engine", "--models=tiny-chat:10:r1", f"--step={STEP_S}")
    fleet.record_urls("port", "store", *names)
    fleet.entry("entry-1")
    for number, name in enumerate(names):
        fleet.sidecar(f"e{number}", name, "engine")
    fleet.apply_lists(*unlimited_lists())
    fleet.issue_key("fretes")
    fleet.record_urls("http", "entry-1")
    fleet.wait_ready("entry-1", ENGINES)


def show(path: str, streams: int, timing: Timing, seconds: float, core: float) -> None:
    """Print one row of the table."""
    first, gaps = timing.first, timing.gaps
    rate = (len(first) + len(gaps)) / seconds
    cells = (pctl(first, 0.5), pctl(first, 0.95), pctl(gaps, 0.5), pctl(gaps, 0.95))
    text = " | ".join(f"{cell:.1f}" for cell in cells)
    row = f"| {path} | {streams} | {rate:.0f} | {text} | {core:.0f} | {timing.broken} |"
    print(row, flush=True)


def main(args: list[str]) -> int:
    """Measure each number of streams; return 0 if every stream was complete."""
    counts = tuple(int(part) for part in args[0].split(",")) if args else STREAM_COUNTS
    tokens = int(args[1]) if len(args) > 1 else TOKENS
    fleet, broken = Fleet(), 0
    try:
        start(fleet)
        engines = [fleet.urls[f"engine-{number}"] for number in range(ENGINES)]
        paths = {
            "direct": (engines, {}),
            "through": (
                [fleet.urls["entry-1"]],
                {"Authorization": f"Bearer {fleet.keys['fretes']}"},
            ),
        }
        print(
            "| way | streams | tokens/s | first p50 ms | p95 | gap p50 ms | p95 |",
            end="",
        )
        print(" entry core % | broken |\n|" + " --- |" * 9)
        for streams in counts:
            for path, (urls, headers) in paths.items():
                used, began = cpu_seconds(fleet, "entry-1"), time.monotonic()
                timing = run_streams(urls, headers, streams, tokens)
                seconds = time.monotonic() - began
                core = 100 * (cpu_seconds(fleet, "entry-1") - used) / seconds
                show(path, streams, timing, seconds, core)
                broken += timing.broken
    finally:
        fleet.stop_all()
    return 0 if not broken else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
