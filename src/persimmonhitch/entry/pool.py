"""Links to the sidecars in reach, kept open and opened again."""

import threading
import time
from collections.abc import Callable
from typing import Any, Final

from ..ids import Model, Service, Upstream, Vm
from ..observe.logs import log
from ..store.watcher import View
from ..wire.messages import Hello, UpstreamKind
from .directory import SidecarInfo
from .sidecar_conn import SidecarConn, Versions

RELINK_EVERY: Final = 0.2
"""Seconds between two tries to open a link that is lost."""
RELINK_MOST: Final = 2.0
LEAVING: Final = "leaving"
"""State in the platform's list of a VM that is about to go."""


class SidecarPool:
    """All sidecars that this entry sends to."""

    def __init__(
        self, secret: bytes, hello: Callable[[], Hello], versions: Versions
    ) -> None:
        self._secret = secret
        self._versions = versions
        self._hello = hello
        self._conns: dict[Upstream, SidecarConn] = {}
        self._leaving: frozenset[Vm] = frozenset()
        self._opening: set[Upstream] = set()
        self._next_try: dict[Upstream, tuple[float, float]] = {}
        self._changed = threading.Condition()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="relink", daemon=True)

    def start(self) -> None:
        """Open links from now on."""
        self._thread.start()

    def stop(self) -> None:
        """End every link."""
        self._stopping.set()
        for conn in self._all():
            conn.close()

    def update(self, view: View) -> None:
        """Take the store's list of sidecars."""
        infos = [SidecarInfo.from_object(obj) for obj in view.objects.values()]
        wanted = {info.upstream: info for info in infos if info is not None}
        with self._changed:
            gone = [name for name in self._conns if name not in wanted]
            removed = [self._conns.pop(name) for name in gone]
            for name, info in wanted.items():
                self._put(name, info)
        for conn in removed:
            conn.close()

    def update_vms(self, view: View) -> None:
        """Take the platform's list of VMs; those that leave get no new work.

        The sidecar's own word comes first. One that is frozen or cut off when its
        VM is told to leave says nothing, and would get work until it is gone.
        """
        names = view.objects.items()
        self._leaving = frozenset(
            Vm(name) for name, obj in names if obj.spec.get("state") == LEAVING
        )

    def _put(self, name: Upstream, info: SidecarInfo) -> None:
        conn = self._conns.get(name)
        if conn is None or (conn.info.host, conn.info.port) != (info.host, info.port):
            if conn is not None:
                conn.close()
            self._conns[name] = SidecarConn(info, self._secret, self._versions)
            return
        conn.info = info

    def serving(self, model: Model, service: Service | None) -> list[SidecarConn]:
        """Return the sidecars that can take a request now."""
        found = [conn for conn in self._all() if _serves(conn, model, service)]
        return [conn for conn in found if conn.info.vm not in self._leaving]

    def listed(self, model: Model, service: Service | None) -> bool:
        """Return whether a sidecar that may be out of reach has a copy."""
        return any(_has(conn, model, service) for conn in self._all())

    def copies(self) -> dict[Model, tuple[Upstream, ...]]:
        """Return the usable upstreams of each model and service."""
        found: dict[Model, tuple[Upstream, ...]] = {}
        for conn in self._all():
            if not conn.usable:
                continue
            names = [Model(f"service:{conn.info.service}")]
            if conn.info.kind is UpstreamKind.ENGINE:
                names = list(conn.models)
            for name in names:
                found[name] = (*found.get(name, ()), conn.info.upstream)
        return found

    def tell_all(self, msg: Any) -> None:
        """Send a message on every open link."""
        for conn in self._all():
            link = conn.link
            if link is not None:
                link.send(msg)

    def wait_change(self, timeout: float) -> None:
        """Return when a sidecar may have come, or after ``timeout`` seconds."""
        with self._changed:
            self._changed.wait(timeout)

    def _all(self) -> list[SidecarConn]:
        with self._changed:
            return list(self._conns.values())

    def _run(self) -> None:
        while not self._stopping.wait(RELINK_EVERY / 2):
            now = time.monotonic()
            for conn in self._all():
                self._relink(conn, now)
            with self._changed:
                self._changed.notify_all()

    def _relink(self, conn: SidecarConn, now: float) -> None:
        name = conn.info.upstream
        due, pause = self._next_try.get(name, (0.0, RELINK_EVERY))
        if conn.link is not None or name in self._opening or now < due:
            return
        self._opening.add(name)
        self._next_try[name] = (now + pause, min(pause * 2, RELINK_MOST))
        opener = threading.Thread(
            target=self._open, args=(conn,), name=f"open-{name}", daemon=True
        )
        opener.start()

    def _open(self, conn: SidecarConn) -> None:
        name = conn.info.upstream
        try:
            if conn.connect(self._hello()):
                self._next_try.pop(name, None)
                log("sidecar_linked", upstream=name)
        finally:
            self._opening.discard(name)


def _serves(conn: SidecarConn, model: Model, service: Service | None) -> bool:
    return conn.usable and _has(conn, model, service)


def _has(conn: SidecarConn, model: Model, service: Service | None) -> bool:
    if conn.info.draining:
        return False
    if service is not None:
        return conn.info.service == service and conn.info.kind is UpstreamKind.SERVICE
    return conn.info.kind is UpstreamKind.ENGINE and model in conn.models
