"""Links of the planner that holds the lease to the sidecars of engines."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Success

from ..entry.directory import SidecarInfo
from ..ids import Upstream
from ..observe.logs import log
from ..wire.link import Link, open_link
from ..wire.messages import Hello

MAX_CONCURRENT_DIALS: Final = 8


@dataclass(frozen=True)
class LinkOpened:
    """A sidecar was reached."""

    upstream: Upstream
    link: Link


@dataclass(frozen=True)
class LinkLost:
    """A link ended."""

    upstream: Upstream
    link: Link


@dataclass(frozen=True)
class SidecarMessage:
    """A message of a sidecar."""

    upstream: Upstream
    msg: Any


class _LinkHandler:
    """Hands a link's messages on under the upstream's name."""

    def __init__(self, upstream: Upstream, deliver: Callable[[Any], None]) -> None:
        self._upstream = upstream
        self._deliver = deliver

    def on_message(self, link: Link, msg: Any) -> None:
        """Hand a message on."""
        self._deliver(SidecarMessage(self._upstream, msg))

    def on_close(self, link: Link) -> None:
        """Hand the end on."""
        self._deliver(LinkLost(self._upstream, link))


class Dialer:
    """Opens links on a few threads of its own.

    Parameters
    ----------
    secret : bytes
        The fleet's secret.
    hello : callable
        First message of a link.
    tell : callable
        Takes ``LinkOpened``, ``LinkLost`` and ``SidecarMessage``.
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
        """Try to reach a sidecar, unless a try is under way."""
        with self._lock:
            if info.upstream in self._dialing:
                return
            self._dialing.add(info.upstream)
        self._pool.submit(self._open, info)

    def stop(self) -> None:
        """Try no more."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _open(self, info: SidecarInfo) -> None:
        handler = _LinkHandler(info.upstream, self._deliver)
        result = open_link(info.host, info.port, self._secret, handler, self._hello())
        if isinstance(result, Success):
            self._deliver(LinkOpened(info.upstream, result.unwrap()))
        else:
            log("sidecar_unreached", upstream=info.upstream, error=result.failure())
        with self._lock:
            self._dialing.discard(info.upstream)
