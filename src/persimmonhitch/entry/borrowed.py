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

ASK_EVERY: Final = 0.5


@message(54)
@dataclass(frozen=True)
class SidecarsPull:
    """Ask for the sidecars that an entry knows."""


@message(55)
@dataclass(frozen=True)
class SidecarsPush:
    """Names of sidecars and their objects as JSON."""

    specs: dict[str, str]


class BorrowedSidecars:
    """Asks peers for the sidecars until the store has listed them once.

    Without it an entry that starts in an outage has its configuration from its
    peers, yet reaches no upstream, so the fleet shrinks with every VM replaced.
    While the store is down its list can't change, so a peer's is as good.
    """

    def __init__(
        self,
        mesh: Mesh,
        known: Callable[[], View],
        listed: threading.Event,
        listener: Callable[[View], None],
    ) -> None:
        self._mesh = mesh
        self._known = known
        self._listed = listed
        self._listener = listener
        self._stopping = threading.Event()
        self._borrowed = View({}, 0.0)
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

    def _done(self) -> bool:
        return self._listed.is_set() or self.ready.is_set()

    def _run(self) -> None:
        for turn in count():
            if self._stopping.wait(ASK_EVERY) or self._done():
                return
            peers = self._mesh.peers()
            if peers:
                self._mesh.send(peers[turn % len(peers)].vm, SidecarsPull())

    def _on_pull(self, vm: Vm, msg: SidecarsPull) -> None:
        view = self._known() if self._listed.is_set() else self._borrowed
        specs = {name: json.dumps(obj.spec) for name, obj in view.objects.items()}
        if specs:
            self._mesh.send(vm, SidecarsPush(specs))

    def _on_push(self, vm: Vm, msg: SidecarsPush) -> None:
        if self._done():
            return
        objects = {name: _object(name, text) for name, text in msg.specs.items()}
        self._borrowed = View(objects, 0.0)
        self._listener(self._borrowed)
        self.ready.set()
        log("sidecars_borrowed", peer_vm=vm, count=len(objects))


def _object(name: str, text: str) -> StoredObject:
    spec: dict[str, Any] = json.loads(text)
    return StoredObject(Kind.SIDECAR, name, Version(0), spec)
