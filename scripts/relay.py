"""A relay of TCP connections that a test can cut, hold up, silence and reset."""

import contextlib
import socket
import struct
import threading
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Linger of no time: a close then resets the connection."""
BLOCK_BYTES: Final = 65536


class Direction(Enum):
    """Direction in which bytes pass."""

    IN = "in"
    """From whoever connects to the target."""
    OUT = "out"


@dataclass(eq=False)
class _Pair:
    client: socket.socket
    server: socket.socket
    muted: threading.Event = field(default_factory=threading.Event)
    closed_directions: int = 0
    """Ways on which no more bytes come."""

    def reset(self) -> None:
        for sock in (self.client, self.server):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            with contextlib.suppress(OSError):
                # A close alone would not wake the thread that waits in a read.
                sock.shutdown(socket.SHUT_RD)
            sock.close()


class Relay:
    """Passes connections on to a port, as far as its faults let them.

    ``delay`` is seconds before each block of bytes. Bytes of a stalled way are held
    back and pass when it is free again; those of a muted connection never pass.
    """

    def __init__(self, port: int, host: str = "127.0.0.1") -> None:
        self.target = (host, port)
        self.cut = False
        self.delay = 0.0
        self._flowing = {direction: threading.Event() for direction in Direction}
        self.resume()
        self._pairs: set[_Pair] = set()
        self._listener = socket.create_server((host, 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def set_cut(self, cut: bool) -> None:
        """Cut the way, with what is open on it, or mend it."""
        self.cut = cut
        for pair in list(self._pairs) if cut else ():
            for sock in (pair.client, pair.server):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def stall(self, *directions: Direction) -> None:
        """Hold back the bytes of some ways, of new connections too."""
        for direction in directions or Direction:
            self._flowing[direction].clear()

    def resume(self) -> None:
        """Let bytes pass again, without delay."""
        self.delay = 0.0
        for event in self._flowing.values():
            event.set()

    def mute(self) -> None:
        """Let open connections go silent for good; new ones work."""
        for pair in list(self._pairs):
            pair.muted.set()

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in list(self._pairs):
            pair.reset()

    def close(self) -> None:
        """Cut all and listen no more."""
        self.set_cut(True)
        with contextlib.suppress(OSError):
            # A close alone leaves the port open while a thread waits in accept.
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
            # As if the caller had met the closed port itself.
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
