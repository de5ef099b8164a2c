"""The event loop that carries every link of this process, on one thread."""

import asyncio
import threading
from collections.abc import Coroutine
from functools import cache
from typing import Any, Final, TypeVar

T = TypeVar("T")

CALL_TIMEOUT_S: Final = 10.0
"""Seconds for one call into the loop; opening a link has a shorter limit."""


@cache
def link_loop() -> asyncio.AbstractEventLoop:
    """Return the loop, started at the first call."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, name="links", daemon=True)
    thread.start()
    return loop


def run_on_loop(coro: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on the loop and return its result.

    Never to be called on the loop's own thread, which would wait for itself.
    """
    return asyncio.run_coroutine_threadsafe(coro, link_loop()).result(CALL_TIMEOUT_S)
