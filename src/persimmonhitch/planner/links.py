"""Links of the leading planner to the sidecars of engines."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Success

from ..entry.sidecar_info import SidecarInfo
from ..ids import Upstream
from ..observe.logs import log
from ..wire.link import Link, open_link
from ..wire.messages import Hello

MAX_CONCURRENT_DIALS: Final = 8


@dataclass(frozen=True)
class LinkOpened:
    """A link to a sidecar was opened."""

    upstream: Upstream
    link: Link


@dataclass(frozen=True)
class LinkLost:
    """A link to a sidecar was closed."""

    upstream: Upstream
    link: Link


@dataclass(frozen=True)
class SidecarMessage:
    """A message received from a sidecar."""

    upstream: Upstream
    msg: Any


class _LinkHandler:
    """Forwards the events of a link with the name of its upstream."""

    def __init__(self, upstream: Upstream, deliver: Callable[[Any], None]) -> None:
        self._upstream = upstream
        self._deliver = deliver

    def on_message(self, link: Link, msg: Any) -> None:
        """Forward a message."""
        self._deliver(SidecarMessage(self._upstream, msg))

    def on_close(self, link: Link) -> None:
        """Report that the link was closed."""
        self._deliver(LinkLost(self._upstream, link))


class Dialer:
    """Opens links to sidecars on a thread pool.

    Parameters
    ----------
    secret : bytes
        Shared secret of the fleet.
    hello : callable
        Returns the first message to send on a link.
    deliver : callable
        Receives ``LinkOpened``, ``LinkLost`` and ``SidecarMessage``.
    """

    def __init__(
        self, secret: bytes, hello: Callable[[], Hello], deliver: Callable[[Any], None]
    ) -> None:
        self._secret = secret
        self._hello = hello
        self._deliver = deliver
        self._dialing: set[Upstream] = set()
        self._lock = threading.Lock()
        self._pool = ThreadPoolExecutor(MAX_CONCURRENT_DIALS, thread_name_prefix="dial")

    def dial(self, info: SidecarInfo) -> None:
        """Open a link to a sidecar unless an attempt is in progress."""
        with self._lock:
            if info.upstream in self._dialing:
                return
            self._dialing.add(info.upstream)
        self._pool.submit(self._open, info)

    def stop(self) -> None:
        """Cancel the queued attempts and start no new ones."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _open(self, info: SidecarInfo) -> None:
        handler = _LinkHandler(info.upstream, self._deliver)
        result = open_link(info.host, info.port, self._secret, handler, self._hello())
        if isinstance(result, Success):
            self._deliver(LinkOpened(info.upstream, result.unwrap()))
        else:
            log("sidecar_unreachable", upstream=info.upstream, error=result.failure())
        with self._lock:
            self._dialing.discard(info.upstream)
