"""Calls of sockets that do not give up the interpreter."""

import contextlib
import ctypes
import socket
from collections.abc import Callable


def _find_shutdown() -> Callable[[int, int], int] | None:
    """Return the C library's ``shutdown``; None if there is none."""
    try:
        # Unlike CDLL, PyDLL keeps the interpreter during a call.
        function: Callable[[int, int], int] = ctypes.PyDLL(None).shutdown
    except (OSError, AttributeError):
        return None
    return function


_shutdown = _find_shutdown()


def shut_down(sock: socket.socket) -> None:
    """End both directions of a connection; wakes a thread that reads it.

    ``socket.shutdown`` gives up the interpreter and waits for its next turn behind all
    busy threads. A thread that ends many connections would wait so after each.
    """
    if _shutdown is not None:
        # The descriptor of a closed socket is -1, which is an error without effect.
        _shutdown(sock.fileno(), socket.SHUT_RDWR)
        return
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
