"""The list of sidecars from a peer, for an entry that starts in an outage."""

import json
import threading
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Any, Final

from ..catalog.exchange import Mesh
from ..ids import Vm
from ..observe.logs import log
from ..store.objects import Kind, StoredObject, Version
from ..store.watcher import View
from ..wire.codec import message

POLL_INTERVAL_S: Final = 0.5


@message(54)
@dataclass(frozen=True)
class SidecarsPull:
    """Ask for the sidecars that an entry knows."""


@message(55)
@dataclass(frozen=True)
class SidecarsPush:
    """Names of sidecars and their objects as JSON."""

    specs: dict[str, str]


class PeerSidecars:
    """Asks peers for the sidecars until the store has listed them once.

    Without it an entry that starts in an outage has its configuration from its
    peers, yet reaches no upstream, so the fleet shrinks with every VM replaced.
    While the store is down its list can't change, so a peer's is as good.
    """

    def __init__(
        self,
        mesh: Mesh,
        current_view: Callable[[], View],
        store_listed: threading.Event,
        on_view: Callable[[View], None],
    ) -> None:
        self._mesh = mesh
        self._current_view = current_view
        self._store_listed = store_listed
        self._on_view = on_view
        self._stopping = threading.Event()
        self._peer_view = View({}, 0.0)
        self.ready = threading.Event()
        mesh.on(SidecarsPull, self._on_pull)
        mesh.on(SidecarsPush, self._on_push)
        self._thread = threading.Thread(target=self._run, name="borrow", daemon=True)

    def start(self) -> None:
        """Ask from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Ask no more."""
        self._stopping.set()

    def _has_sidecars(self) -> bool:
        return self._store_listed.is_set() or self.ready.is_set()

    def _run(self) -> None:
        for attempt in count():
            if self._stopping.wait(POLL_INTERVAL_S) or self._has_sidecars():
                return
            peers = self._mesh.peers()
            if peers:
                self._mesh.send(peers[attempt % len(peers)].vm, SidecarsPull())

    def _on_pull(self, vm: Vm, msg: SidecarsPull) -> None:
        view = self._current_view() if self._store_listed.is_set() else self._peer_view
        specs = {name: json.dumps(obj.spec) for name, obj in view.objects.items()}
        if specs:
            self._mesh.send(vm, SidecarsPush(specs))

    def _on_push(self, vm: Vm, msg: SidecarsPush) -> None:
        if self._has_sidecars():
            return
        objects = {name: _stored_object(name, text) for name, text in msg.specs.items()}
        self._peer_view = View(objects, 0.0)
        self._on_view(self._peer_view)
        self.ready.set()
        log("sidecars_borrowed", peer_vm=vm, count=len(objects))


def _stored_object(name: str, text: str) -> StoredObject:
    spec: dict[str, Any] = json.loads(text)
    return StoredObject(Kind.SIDECAR, name, Version(0), spec)
