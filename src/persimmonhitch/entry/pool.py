"""Pool of links to all sidecars, with reconnection."""

import threading
import time
from collections.abc import Callable
from typing import Any, Final

from ..ids import Model, Service, Upstream, Vm
from ..observe.logs import log
from ..store.watcher import View
from ..wire.messages import Hello, UpstreamKind
from .sidecar_conn import SidecarConn, VersionFeed
from .sidecar_info import SidecarInfo

RECONNECT_DELAY_S: Final = 0.2
"""Initial delay between connection attempts; it doubles up to the maximum."""
MAX_RECONNECT_DELAY_S: Final = 2.0
VM_LEAVING: Final = "leaving"
"""State, in the platform's list, of a VM that is about to be removed."""


class SidecarPool:
    """Connections to all sidecars that the store lists."""

    def __init__(
        self, secret: bytes, hello: Callable[[], Hello], versions: VersionFeed
    ) -> None:
        self._secret = secret
        self._versions = versions
        self._hello = hello
        self._conns: dict[Upstream, SidecarConn] = {}
        self._leaving_vms: frozenset[Vm] = frozenset()
        self._connecting: set[Upstream] = set()
        self._next_attempt: dict[Upstream, tuple[float, float]] = {}
        self._changed = threading.Condition()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="reconnect", daemon=True)

    def start(self) -> None:
        """Start the thread that opens links."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close every link."""
        self._stopping.set()
        for conn in self._all_conns():
            conn.close()

    def update(self, view: View) -> None:
        """Apply the store's list of sidecars."""
        infos = [SidecarInfo.from_object(obj) for obj in view.objects.values()]
        listed = {info.upstream: info for info in infos if info is not None}
        with self._changed:
            removed_names = [name for name in self._conns if name not in listed]
            removed = [self._conns.pop(name) for name in removed_names]
            for name, info in listed.items():
                self._update_conn(name, info)
        for conn in removed:
            conn.close()

    def update_vms(self, view: View) -> None:
        """Apply the platform's list of VMs; leaving VMs get no new work.

        A sidecar usually reports draining itself, and earlier. A sidecar that is
        frozen or disconnected when the platform starts to remove its VM reports
        nothing, and would get requests until the VM is removed.
        """
        items = view.objects.items()
        self._leaving_vms = frozenset(
            Vm(name) for name, obj in items if obj.spec.get("state") == VM_LEAVING
        )

    def _update_conn(self, name: Upstream, info: SidecarInfo) -> None:
        conn = self._conns.get(name)
        if conn is None or (conn.info.host, conn.info.port) != (info.host, info.port):
            if conn is not None:
                conn.close()
            self._conns[name] = SidecarConn(info, self._secret, self._versions)
            return
        conn.info = info

    def serving(self, model: Model, service: Service | None) -> list[SidecarConn]:
        """Return the sidecars that can accept a request now."""
        conns = [conn for conn in self._all_conns() if _is_usable(conn, model, service)]
        return [conn for conn in conns if conn.info.vm not in self._leaving_vms]

    def is_listed(self, model: Model, service: Service | None) -> bool:
        """Return whether a listed sidecar, reachable or not, offers a copy."""
        return any(_offers(conn, model, service) for conn in self._all_conns())

    def copies(self) -> dict[Model, tuple[Upstream, ...]]:
        """Return the usable upstreams of each model and service."""
        upstreams: dict[Model, tuple[Upstream, ...]] = {}
        for conn in self._all_conns():
            if not conn.usable:
                continue
            names = [Model(f"service:{conn.info.service}")]
            if conn.info.kind is UpstreamKind.ENGINE:
                names = list(conn.models)
            for name in names:
                upstreams[name] = (*upstreams.get(name, ()), conn.info.upstream)
        return upstreams

    def broadcast(self, msg: Any) -> None:
        """Send a message on every open link."""
        for conn in self._all_conns():
            link = conn.link
            if link is not None:
                link.send(msg)

    def wait_for_change(self, timeout_s: float) -> None:
        """Wait until a sidecar may have connected, at most ``timeout_s`` seconds."""
        with self._changed:
            self._changed.wait(timeout_s)

    def _all_conns(self) -> list[SidecarConn]:
        with self._changed:
            return list(self._conns.values())

    def _run(self) -> None:
        while not self._stopping.wait(RECONNECT_DELAY_S / 2):
            now = time.monotonic()
            for conn in self._all_conns():
                self._reconnect(conn, now)
            with self._changed:
                self._changed.notify_all()

    def _reconnect(self, conn: SidecarConn, now: float) -> None:
        name = conn.info.upstream
        due_at, delay = self._next_attempt.get(name, (0.0, RECONNECT_DELAY_S))
        if conn.link is not None or name in self._connecting or now < due_at:
            return
        self._connecting.add(name)
        self._next_attempt[name] = (now + delay, min(delay * 2, MAX_RECONNECT_DELAY_S))
        thread = threading.Thread(
            target=self._connect, args=(conn,), name=f"open-{name}", daemon=True
        )
        thread.start()

    def _connect(self, conn: SidecarConn) -> None:
        name = conn.info.upstream
        try:
            if conn.connect(self._hello()):
                self._next_attempt.pop(name, None)
                log("sidecar_linked", upstream=name)
        finally:
            self._connecting.discard(name)


def _is_usable(conn: SidecarConn, model: Model, service: Service | None) -> bool:
    return conn.usable and _offers(conn, model, service)


def _offers(conn: SidecarConn, model: Model, service: Service | None) -> bool:
    if conn.info.draining:
        return False
    if service is not None:
        return conn.info.service == service and conn.info.kind is UpstreamKind.SERVICE
    return conn.info.kind is UpstreamKind.ENGINE and model in conn.models
