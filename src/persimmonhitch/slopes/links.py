"""Cost of idle links: memory, threads, processor time and heartbeats.

Both ends are in this process, so each figure is for a pair of ends. ``links`` measures
links as the programs open them, ``links-one-ping`` connections on which only the client
sends heartbeats. ``links-reports`` adds a load report per second on each link.
"""

import threading
import time
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Final

from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve

from ..wire.link import Link, LinkServer, open_link
from ..wire.loop import link_loop, run_on_loop
from .base import SLOPES, Reading, Slope, resident, tcp_traffic
from .codec import hello, report

SECRET: Final = b"for this measurement only"
SETTLE: Final = 3.0
WINDOW: Final = 10.0
"""Seconds of the measurement: five heartbeats of each link."""
ONE_PING_EVERY: Final = 5.0
REPORT_EVERY: Final = 1.0
REPORT_MODELS: Final = 3
KIB: Final = 1024

Close = Callable[[], object]


class Sink:
    """Discards messages."""

    def on_message(self, link: Link, msg: Any) -> None:
        """Discard a message."""

    def on_close(self, link: Link) -> None:
        """Ignore the end of a link."""


class Reporter(Sink):
    """Sends load reports on all links of a server."""

    def __init__(self) -> None:
        self.links: list[Link] = []
        self.stopping = threading.Event()

    def accept(self, link: Link) -> Sink:
        """Add an accepted link."""
        self.links.append(link)
        return self

    def run(self) -> None:
        """Send reports until stopped."""
        while not self.stopping.wait(REPORT_EVERY):
            for link in tuple(self.links):
                link.send(report(REPORT_MODELS))


def run(sizes: Sequence[int]) -> Iterator[Reading]:
    """Measure idle links."""
    yield from _measure_links(sizes, Reporter())


def run_reports(sizes: Sequence[int]) -> Iterator[Reading]:
    """Measure links with a load report per second."""
    reporter = Reporter()
    threading.Thread(target=reporter.run, daemon=True).start()
    try:
        yield from _measure_links(sizes, reporter)
    finally:
        reporter.stopping.set()


def _measure_links(sizes: Sequence[int], reporter: Reporter) -> Iterator[Reading]:
    server = LinkServer("127.0.0.1", 0, SECRET, reporter.accept)
    server.start()

    def open_one() -> Close:
        link = open_link("127.0.0.1", server.port, SECRET, Sink(), hello(0))
        return link.unwrap().close

    yield from _measure(sizes, open_one, server.stop)


async def _drain(conn: ServerConnection) -> None:
    async for _ in conn:
        pass


async def _serve() -> Server:
    return await serve(_drain, "127.0.0.1", 0, compression=None, ping_interval=None)


async def _open_one_ping(port: int) -> Close:
    conn = await connect(
        f"ws://127.0.0.1:{port}/",
        compression=None,
        proxy=None,
        ping_interval=ONE_PING_EVERY,
    )
    return lambda: link_loop().call_soon_threadsafe(conn.transport.abort)


def run_one_ping(sizes: Sequence[int]) -> Iterator[Reading]:
    """Measure idle connections on which only the client sends heartbeats."""
    server = run_on_loop(_serve())
    port = next(iter(server.sockets)).getsockname()[1]

    def stop() -> None:
        link_loop().call_soon_threadsafe(server.close)

    yield from _measure(sizes, lambda: run_on_loop(_open_one_ping(port)), stop)


def _measure(
    sizes: Sequence[int], open_one: Callable[[], Close], stop: Close
) -> Iterator[Reading]:
    links: list[Close] = []
    memory, threads = resident(), threading.active_count()
    try:
        for size in sizes:
            start, before = time.process_time(), tcp_traffic()
            added = size - len(links)
            links += [open_one() for _ in range(added)]
            spent = time.process_time() - start
            carried = tcp_traffic().since(before).wire
            opening = (
                ("open ms", 1000 * spent / max(added, 1)),
                ("open B", carried / max(added, 1)),
            )
            time.sleep(SETTLE)
            yield Reading(size, (*_idle(memory, threads), *opening))
    finally:
        for close in links:
            close()
        stop()


def _idle(memory: int, threads: int) -> tuple[tuple[str, float], ...]:
    """Return the figures of an idle period; the arguments are earlier readings."""
    before, start = tcp_traffic(), time.process_time()
    time.sleep(WINDOW)
    spent = time.process_time() - start
    carried = tcp_traffic().since(before)
    return (
        ("memory KiB", (resident() - memory) / KIB),
        ("threads", threading.active_count() - threads),
        ("core %", 100 * spent / WINDOW),
        ("payload B/s", carried.payload / WINDOW),
        ("wire B/s", carried.wire / WINDOW),
    )


SLOPES.register("links")(Slope("link pairs", (10, 100, 300, 1000), run))
SLOPES.register("links-one-ping")(Slope("link pairs", (10, 100, 300), run_one_ping))
SLOPES.register("links-reports")(Slope("link pairs", (10, 100, 300), run_reports))
