"""Exchange of configuration changes between entries, pushed and pulled."""

import random
import threading
import time
from collections.abc import Callable
from typing import Any, Final, Protocol, TypeVar

from ..ids import Region, Vm
from ..observe.logs import log
from .changes import Change
from .election import elect_watchers, watcher_for
from .feed import CatalogFeed
from .messages import UNSOLICITED, ConfigPull, ConfigPush, ConfigSnapshot
from .snapshots import SnapshotPart, join_parts, make_parts

M = TypeVar("M")

PULL_TIMEOUT_S: Final = 10.0
"""Time after which a pull without an answer counts as lost."""
MAX_PUSH: Final = 64
"""Changes per message; a receiver that lacks more of them pulls again at once."""
NONCE_LIMIT: Final = 2**62


class Peer(Protocol):
    """Another entry to which a link is open."""

    @property
    def vm(self) -> Vm:
        """VM of the entry."""

    @property
    def region(self) -> Region:
        """Region of the entry."""


class Mesh(Protocol):
    """Links to the other entries."""

    def peers(self) -> tuple[Peer, ...]:
        """Return the entries to which links are open."""

    def send(self, vm: Vm, msg: Any) -> bool:
        """Send a message; return False if no link is open."""

    def on(self, kind: type[M], handler: Callable[[Vm, M], None]) -> None:
        """Call ``handler`` with sender and message for messages of type ``kind``."""


class PeerExchange:
    """Pushes changes to peers, pulls changes from peers and answers their pulls.

    Each entry pulls from two peers every second, one watcher of its region and
    one peer of the whole fleet, so the cost per entry does not grow with the
    fleet. An answer proves that the configuration is the newest one of the peer.
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
        self._pulls: dict[int, float] = {}
        self._no_store: set[Vm] = set()
        self._parts: dict[str, list[SnapshotPart]] = {}
        self._store_ok = True
        mesh.on(ConfigPull, self._on_pull)
        mesh.on(ConfigPush, self._on_push)
        mesh.on(ConfigSnapshot, self._on_snapshot)

    def set_store_available(self, available: bool) -> None:
        """Record whether the store answers this entry.

        An entry that need not watch the store counts as having access to it.
        """
        self._store_ok = available

    def watchers(self) -> tuple[Vm, ...]:
        """Return the entries of this region that watch the store.

        An entry that reports the store as unreachable is excluded, so that the
        next entry in rank starts to watch; the excluded entry keeps retrying.
        """
        vms = {peer.vm for peer in self._mesh.peers() if peer.region == self._region}
        with self._lock:
            vms -= self._no_store
        return elect_watchers(self._region, vms | {self._vm})

    def pull(self) -> None:
        """Pull changes from a watcher of this region and from another random entry."""
        others = {peer.vm for peer in self._mesh.peers()}
        regional_watchers = sorted(others.intersection(self.watchers()))
        targets = {self._rng.choice(regional_watchers)} if regional_watchers else set()
        remaining = sorted(others - targets)
        if remaining:
            targets.add(self._rng.choice(remaining))
        for vm in sorted(targets):
            self._pull_from(vm)

    def _pull_from(self, vm: Vm) -> None:
        now = self._clock()
        nonce = self._rng.randrange(UNSOLICITED + 1, NONCE_LIMIT)
        with self._lock:
            expired = [n for n, at in self._pulls.items() if now - at > PULL_TIMEOUT_S]
            for expired_nonce in expired:
                del self._pulls[expired_nonce]
            self._pulls[nonce] = now
        self._mesh.send(vm, ConfigPull(self._feed.version, nonce))

    def push(self, changes: tuple[Change, ...]) -> None:
        """Send new changes to the peers of this region assigned to this entry."""
        watchers = self.watchers()
        msg = self._make_push(UNSOLICITED, changes)
        for peer in self._mesh.peers():
            same_region = peer.region == self._region
            if same_region and watcher_for(peer.vm, watchers) == self._vm:
                self._mesh.send(peer.vm, msg)

    def _make_push(self, nonce: int, changes: tuple[Change, ...]) -> ConfigPush:
        confirmed = self._feed.gate.confirmed(self._clock())
        version = self._feed.version
        return ConfigPush(version, confirmed, self._store_ok, nonce, changes[:MAX_PUSH])

    def _on_pull(self, vm: Vm, msg: ConfigPull) -> None:
        changes = self._feed.changes_after(msg.after_version)
        if changes is not None:
            self._mesh.send(vm, self._make_push(msg.nonce, changes))
            return
        log("config_snapshot_sent", peer_vm=vm, after=msg.after_version)
        confirmed = self._feed.gate.confirmed(self._clock())
        for part in make_parts(self._feed.catalog):
            self._mesh.send(vm, ConfigSnapshot(confirmed, msg.nonce, part))

    def _on_push(self, vm: Vm, msg: ConfigPush) -> None:
        with self._lock:
            (self._no_store.discard if msg.store_ok else self._no_store.add)(vm)
        applied = self._feed.apply_changes(msg.changes)
        # Changes that another watcher pushed are pushed on too: this entry may be
        # a watcher as well, and its own watch would then find the change already
        # applied and not push it to the peers assigned to this entry.
        if applied:
            self.push(applied)
        if msg.version > self._feed.version:
            self._pull_from(vm)
            return
        self._confirm(msg.nonce, msg.confirmed)

    def _on_snapshot(self, vm: Vm, msg: ConfigSnapshot) -> None:
        part = msg.part
        with self._lock:
            parts = self._parts.setdefault(part.digest, [])
            parts.append(part)
            catalog = join_parts(parts)
            if catalog is None:
                return
            self._parts.clear()
        self._feed.apply_snapshot(catalog)
        self._confirm(msg.nonce, msg.confirmed)

    def _confirm(self, nonce: int, confirmed: bool) -> None:
        with self._lock:
            sent_at = self._pulls.pop(nonce, None)
        if sent_at is not None and confirmed:
            self._feed.confirm(sent_at)
