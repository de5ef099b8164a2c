"""Wait for the ports of a starting process."""

import contextlib
import errno
import socket
import threading
import time
from collections.abc import Sequence
from typing import Final

from ..observe.logs import log

Address = tuple[str, int]

RETRIED_ERRORS: Final = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})
"""Errors that pass: a former process still has the port, or the VM no address yet."""
RETRY_INTERVAL_S: Final = 0.1


class StartCancelled(Exception):
    """A stop was requested before the process had started."""


def check_ports(addresses: Sequence[Address]) -> None:
    """Bind all ports at once and release them; raise OSError for one that is taken."""
    with contextlib.ExitStack() as stack:
        for host, port in addresses:
            sock = stack.enter_context(socket.socket())
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((host, port))
            except OSError as exc:
                raise OSError(exc.errno, exc.strerror, f"{host}:{port}") from exc


def wait_for_ports(
    addresses: Sequence[Address], limit_s: float, stopping: threading.Event
) -> None:
    """Wait until all ports are free.

    Raises
    ------
    OSError
        A port can't be bound, or is still taken after ``limit_s`` seconds.
    StartCancelled
        A stop was requested meanwhile.
    """
    began_at = time.monotonic()
    last_error = ""
    while True:
        try:
            check_ports(addresses)
        except OSError as exc:
            waited_s = time.monotonic() - began_at
            if exc.errno not in RETRIED_ERRORS or waited_s >= limit_s:
                raise
            if str(exc) != last_error:
                last_error = str(exc)
                log("port_taken", error=last_error, waited=waited_s, limit=limit_s)
        else:
            if last_error:
                log("ports_free", waited=time.monotonic() - began_at)
            return
        if stopping.wait(RETRY_INTERVAL_S):
            raise StartCancelled
