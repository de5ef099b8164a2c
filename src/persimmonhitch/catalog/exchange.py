"""Entries tell each other of changes and ask each other for them."""

import random
import threading
import time
from collections.abc import Callable
from typing import Any, Final, Protocol, TypeVar

from ..ids import Region, Vm
from ..observe.logs import log
from .changes import Change
from .election import teller, watchers
from .feed import CatalogFeed
from .messages import UNASKED, ConfigPull, ConfigPush, ConfigWhole
from .snapshots import SnapshotPart, join_parts, make_parts

M = TypeVar("M")

FORGET_AFTER: Final = 10.0
"""Seconds after which a question counts as lost."""
MAX_PUSH: Final = 64
"""Changes in one message; one who lacks more asks again at once."""
NONCES: Final = 2**62


class Peer(Protocol):
    """Another entry to which a link is open."""

    @property
    def vm(self) -> Vm:
        """Its VM."""

    @property
    def region(self) -> Region:
        """Its region."""


class Mesh(Protocol):
    """Links to the other entries."""

    def peers(self) -> tuple[Peer, ...]:
        """Return the entries to which a link is open."""

    def send(self, vm: Vm, msg: Any) -> bool:
        """Send a message; False when no link is open."""

    def on(self, kind: type[M], handler: Callable[[Vm, M], None]) -> None:
        """Hand every message of a kind to ``handler``, with its sender."""


class PeerExchange:
    """Pushes changes to peers, asks peers for changes, answers them.

    Each entry asks two others every second, one watcher of its region and one
    of all, so the cost to an entry doesn't grow with the fleet. An answer
    proves that the configuration is the newest that the other one knows.
    """

    def __init__(
        self,
        feed: CatalogFeed,
        mesh: Mesh,
        vm: Vm,
        region: Region,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._feed = feed
        self._mesh = mesh
        self._vm = vm
        self._region = region
        self._rng = rng
        self._clock = clock
        self._lock = threading.Lock()
        self._asked: dict[int, float] = {}
        self._cut_off: set[Vm] = set()
        self._parts: dict[str, list[SnapshotPart]] = {}
        self._watching = True
        mesh.on(ConfigPull, self._on_pull)
        mesh.on(ConfigPush, self._on_push)
        mesh.on(ConfigWhole, self._on_whole)

    def reached(self, answered: bool) -> None:
        """Note whether the store answered, if this entry is to watch it."""
        self._watching = answered

    def watchers(self) -> tuple[Vm, ...]:
        """Return the entries of this region that watch the store.

        One that says that it can't read the store is passed over, so that the
        next in rank begins; it goes on trying by itself.
        """
        near = {peer.vm for peer in self._mesh.peers() if peer.region == self._region}
        with self._lock:
            near -= self._cut_off
        return watchers(self._region, near | {self._vm})

    def ask(self) -> None:
        """Ask a watcher of this region and any other entry for changes."""
        others = {peer.vm for peer in self._mesh.peers()}
        near = sorted(others.intersection(self.watchers()))
        chosen = {self._rng.choice(near)} if near else set()
        far = sorted(others - chosen)
        if far:
            chosen.add(self._rng.choice(far))
        for vm in sorted(chosen):
            self._ask(vm)

    def _ask(self, vm: Vm) -> None:
        now = self._clock()
        nonce = self._rng.randrange(UNASKED + 1, NONCES)
        with self._lock:
            lost = [n for n, at in self._asked.items() if now - at > FORGET_AFTER]
            for old in lost:
                del self._asked[old]
            self._asked[nonce] = now
        self._mesh.send(vm, ConfigPull(self._feed.version, nonce))

    def push(self, changes: tuple[Change, ...]) -> None:
        """Send new changes to the peers of this region that rely on this entry."""
        watching = self.watchers()
        msg = self._push_of(UNASKED, changes)
        for peer in self._mesh.peers():
            near = peer.region == self._region
            if near and teller(peer.vm, watching) == self._vm:
                self._mesh.send(peer.vm, msg)

    def _push_of(self, nonce: int, changes: tuple[Change, ...]) -> ConfigPush:
        steady = self._feed.gate.confirmed(self._clock())
        version = self._feed.version
        return ConfigPush(version, steady, self._watching, nonce, changes[:MAX_PUSH])

    def _on_pull(self, vm: Vm, msg: ConfigPull) -> None:
        changes = self._feed.after(msg.after)
        if changes is not None:
            self._mesh.send(vm, self._push_of(msg.nonce, changes))
            return
        log("config_whole_sent", peer_vm=vm, after=msg.after)
        steady = self._feed.gate.confirmed(self._clock())
        for part in make_parts(self._feed.catalog):
            self._mesh.send(vm, ConfigWhole(steady, msg.nonce, part))

    def _on_push(self, vm: Vm, msg: ConfigPush) -> None:
        with self._lock:
            (self._cut_off.discard if msg.watching else self._cut_off.add)(vm)
        taken = self._feed.take(msg.changes)
        # Also what another watcher pushed: this one may be a watcher as well,
        # and its own watch will find the change taken and not push it any more.
        if taken:
            self.push(taken)
        if msg.version > self._feed.version:
            self._ask(vm)
            return
        self._answered(msg.nonce, msg.steady)

    def _on_whole(self, vm: Vm, msg: ConfigWhole) -> None:
        part = msg.part
        with self._lock:
            parts = self._parts.setdefault(part.digest, [])
            parts.append(part)
            catalog = join_parts(parts)
            if catalog is None:
                return
            self._parts.clear()
        self._feed.take_whole(catalog)
        self._answered(msg.nonce, msg.steady)

    def _answered(self, nonce: int, steady: bool) -> None:
        with self._lock:
            asked_at = self._asked.pop(nonce, None)
        if asked_at is not None and steady:
            self._feed.heard(asked_at)
