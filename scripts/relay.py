"""TCP relay for fault injection: cut, stall, delay, mute or reset connections."""

import contextlib
import socket
import struct
import threading
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Linger time of zero, so that a close resets the connection."""
BLOCK_BYTES: Final = 65536


class Direction(Enum):
    """Direction of bytes through the relay."""

    IN = "in"
    """From the client to the target."""
    OUT = "out"
    """From the target to the client."""


@dataclass(eq=False)
class _Pair:
    client: socket.socket
    server: socket.socket
    muted: threading.Event = field(default_factory=threading.Event)
    closed_directions: int = 0
    """Number of directions that have reached their end of stream."""

    def reset(self) -> None:
        for sock in (self.client, self.server):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            with contextlib.suppress(OSError):
                # close() does not wake a thread blocked in recv().
                sock.shutdown(socket.SHUT_RD)
            sock.close()


class Relay:
    """Forwards connections to a port, subject to injected faults.

    ``delay`` is the seconds before each block of bytes. A stalled direction delays its
    bytes until ``resume``; a muted connection discards them.
    """

    def __init__(
        self, port: int, host: str = "127.0.0.1", listen_port: int = 0
    ) -> None:
        self.target = (host, port)
        self.cut = False
        self.delay = 0.0
        self._flowing = {direction: threading.Event() for direction in Direction}
        self.resume()
        self._pairs: set[_Pair] = set()
        self.refused: list[tuple[int, float]] = []
        """Port of each client whose connection the target refused, and the time."""
        self._listener = socket.create_server((host, listen_port))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def set_cut(self, cut: bool) -> None:
        """Close all connections and refuse new ones, or accept them again."""
        self.cut = cut
        for pair in list(self._pairs) if cut else ():
            for sock in (pair.client, pair.server):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def stall(self, *directions: Direction) -> None:
        """Stall the given directions, or both, of current and new connections."""
        for direction in directions or Direction:
            self._flowing[direction].clear()

    def resume(self) -> None:
        """Clear all stalls and the delay."""
        self.delay = 0.0
        for event in self._flowing.values():
            event.set()

    def mute(self) -> None:
        """Discard all further bytes of open connections; new ones are unaffected."""
        for pair in list(self._pairs):
            pair.muted.set()

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in list(self._pairs):
            pair.reset()

    def close(self) -> None:
        """Close all connections and the listener."""
        self.set_cut(True)
        with contextlib.suppress(OSError):
            # close() leaves the port open while a thread is blocked in accept().
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            if self.cut:
                client.close()
                continue
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(self.target)
        except OSError:
            # Reset the client as the closed port of the target would.
            with contextlib.suppress(OSError):
                self.refused.append((client.getpeername()[1], time.monotonic()))
            _Pair(client, client).reset()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = _Pair(client, server)
        self._pairs.add(pair)
        args = (pair, server, client, Direction.OUT)
        threading.Thread(target=self._forward, args=args, daemon=True).start()
        self._forward(pair, client, server, Direction.IN)

    def _forward(
        self, pair: _Pair, src: socket.socket, dst: socket.socket, direction: Direction
    ) -> None:
        try:
            while data := src.recv(BLOCK_BYTES):
                time.sleep(self.delay)
                self._flowing[direction].wait()
                if not pair.muted.is_set():
                    dst.sendall(data)
            self._flowing[direction].wait()
            if not pair.muted.is_set():
                dst.shutdown(socket.SHUT_WR)
        except ConnectionResetError:
            pair.reset()
        except OSError:
            with contextlib.suppress(OSError):
                dst.shutdown(socket.SHUT_RDWR)
        pair.closed_directions += 1
        if pair.closed_directions == len(Direction):
            self._pairs.discard(pair)
            pair.client.close()
            pair.server.close()
