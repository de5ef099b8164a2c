"""Sidecar list from a peer, for an entry that starts during a store outage."""

import json
import threading
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Final

from ..catalog.exchange import Mesh
from ..ids import Vm
from ..json_input import parse_json
from ..observe.logs import log
from ..store.objects import Kind, StoredObject, Version, readable_spec
from ..store.watcher import View
from ..wire.codec import message

POLL_INTERVAL_S: Final = 0.5


@message(54)
@dataclass(frozen=True)
class SidecarsPull:
    """Request the list of sidecars from a peer."""


@message(55)
@dataclass(frozen=True)
class SidecarsPush:
    """Reply to ``SidecarsPull``: JSON specification of each sidecar by name."""

    specs: dict[str, str]


class PeerSidecars:
    """Requests the sidecar list from peers until the store has returned one.

    An entry that starts during a store outage gets its configuration from its
    peers. Without their sidecar list it would reach no upstream, and the fleet
    would shrink with every replaced VM. The store's list can't change while the
    store is unavailable, so a peer's copy is equivalent.
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
        self._thread = threading.Thread(target=self._run, name="sidecars", daemon=True)

    def start(self) -> None:
        """Start the thread that polls peers."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling peers."""
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
    spec = readable_spec(Kind.SIDECAR, parse_json(text))
    return StoredObject(Kind.SIDECAR, name, Version(0), spec)
