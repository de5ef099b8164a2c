"""Connections of ``urllib3`` whose answers are bounded."""

import socket
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from .response import BoundedResponse


class BoundedConnection(HTTPConnection):
    """Connection that bounds the heads and the framing of its answers."""

    _answer: BoundedResponse | None = None
    local_port = 0
    """Local port, which names the connection in logs; set by its user."""
    request_count = 0
    """Requests sent on the connection; counted by its user."""

    def response_class(  # type: ignore[override]
        self, sock: socket.socket, **options: Any
    ) -> BoundedResponse:
        """Return the response to read from a socket."""
        self._answer = BoundedResponse(sock, **options)
        return self._answer

    def take_answer(self) -> BoundedResponse:
        """Return the response below the last one of ``urllib3``; forget it."""
        answer, self._answer = self._answer, None
        assert answer is not None
        return answer


class _BoundedConnectionPool(HTTPConnectionPool):
    ConnectionCls = BoundedConnection


def bounded_pool(**options: Any) -> urllib3.PoolManager:
    """Return a pool of bounded connections; it repeats no request."""
    pool = urllib3.PoolManager(retries=False, **options)
    pool.pool_classes_by_scheme = {"http": _BoundedConnectionPool}
    return pool
