"""A relay of TCP connections that a test can cut."""

import contextlib
import socket
import threading


class Relay:
    """Passes connections on to a port; while it is cut, nothing passes."""

    def __init__(self, port: int) -> None:
        self.target = ("127.0.0.1", port)
        self.cut = False
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def set_cut(self, cut: bool) -> None:
        """Cut the way, with what is open on it, or mend it."""
        self.cut = cut
        for sock in list(self._open) if cut else ():
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Cut all and listen no more."""
        self.set_cut(True)
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
            server = socket.create_connection(self.target)
            for pair in ((client, server), (server, client)):
                threading.Thread(target=self._pass, args=pair, daemon=True).start()

    def _pass(self, source: socket.socket, sink: socket.socket) -> None:
        self._open.add(source)
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                sink.sendall(data)
        self._open.discard(source)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_RDWR)
