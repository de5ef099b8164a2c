"""Ports of a soak run, which no other run on this machine uses."""

import itertools
import socket

FIRST_PORT, BLOCK_SIZE, BLOCKS = 15_000, 250, 60
"""Below the ephemeral port range: an ephemeral port may be assigned to any connection
while the process that listens on it restarts."""


class PortBlock:
    """A range of ports, reserved until this process ends."""

    def __init__(self):
        self._guard, first = _reserve_block()
        self._ports = itertools.cycle(range(first, first + BLOCK_SIZE - 1))

    def take(self):
        """Return an unused port; ports are used again as late as possible."""
        for port in itertools.islice(self._ports, BLOCK_SIZE):
            if _is_free(port):
                return port
        raise RuntimeError("every port of the block is in use")


def _is_free(port):
    """Return whether nothing listens on a port.

    The probe does not listen: a process that is forked meanwhile holds a copy of its
    socket until it executes its program, and would keep the port in use.
    """
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _reserve_block():
    """Listen on the first port of a free block; return the socket and the next port.

    A lock file would hold only among runs with the same folder for temporary files.
    """
    for number in range(BLOCKS):
        first = FIRST_PORT + number * BLOCK_SIZE
        try:
            return socket.create_server(("127.0.0.1", first)), first + 1
        except OSError:
            # Another run has this block.
            continue
    raise RuntimeError("too many soak runs at a time")


PORTS = PortBlock()
