"""The event loop of all links of this process, on a separate thread."""

import asyncio
import threading
from collections.abc import Coroutine
from functools import cache
from typing import Any, Final, TypeVar

T = TypeVar("T")

CALL_TIMEOUT_S: Final = 10.0
"""Timeout of one call into the loop; opening a link has a shorter timeout."""


@cache
def link_loop() -> asyncio.AbstractEventLoop:
    """Return the event loop; the first call starts it."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, name="links", daemon=True)
    thread.start()
    return loop


def run_on_loop(coro: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on the event loop and return its result.

    Calling this on the thread of the event loop would deadlock.
    """
    return asyncio.run_coroutine_threadsafe(coro, link_loop()).result(CALL_TIMEOUT_S)
