"""Links between entries, for token loans and configuration updates."""

import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, Final, TypeVar

from returns.result import Success

from ..addresses import HOST, MAX_PORT
from ..ids import Incarnation, Region, Vm, Zone
from ..observe.logs import log
from ..store.objects import StoredObject
from ..store.watcher import View
from ..wire.codec import encode
from ..wire.link import COMPRESSION, Link, LinkServer, open_link
from ..wire.messages import PROTOCOL, Hello, Role

M = TypeVar("M")
LINK_CHECK_INTERVAL_S: Final = 0.3
MAX_OPENS: Final = 4
"""Links opened concurrently; a link to a VM that is down takes seconds to fail."""
UNUSED_LINK_TTL_S: Final = 5.0
"""Time after which a link to an entry that is no longer wanted is closed."""

MAX_CORES: Final = 4096.0

MessageHandler = Callable[[Vm, Any], None]
Address = tuple[str, int]


@dataclass(frozen=True)
class PeerInfo:
    """Address and location of another entry."""

    vm: Vm
    zone: Zone
    region: Region
    host: str
    port: int
    cores: float = 1.0
    """Processor cores of the VM."""

    @classmethod
    def from_object(cls, obj: StoredObject) -> "PeerInfo | None":
        """Parse a stored object; return None if it is malformed."""
        spec = obj.spec
        try:
            return cls(
                Vm(obj.name),
                Zone(_text(spec["zone"])),
                Region(_text(spec["region"])),
                _host(spec["link_host"]),
                int(_number(spec["link_port"], MAX_PORT)),
                _number(spec.get("cores", 1.0), MAX_CORES),
            )
        except (KeyError, ValueError, TypeError) as exc:
            log("entry_object_broken", name=obj.name, error=repr(exc))
            return None

    @classmethod
    def from_hello(cls, msg: Hello) -> "PeerInfo":
        """Return the description of an entry that the store does not list."""
        return cls(msg.vm, msg.zone, Region(""), "", 0)


def listed_entries(view: View) -> list[PeerInfo]:
    """Return the entries that the store lists, without malformed objects."""
    infos = map(PeerInfo.from_object, view.objects.values())
    return [info for info in infos if info is not None]


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{type(value).__name__} instead of a text")
    return value


def _host(value: Any) -> str:
    if not HOST.fullmatch(_text(value)):
        raise ValueError("the host is malformed")
    return str(value)


def _number(value: Any, maximum: float) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{type(value).__name__} instead of a number")
    if not 0 < value <= maximum:
        raise ValueError(f"{value} is out of range")
    return value


class PeerMesh:
    """Exchanges messages with the other entries.

    Each entry sends on the links that it opened and receives on the links that it
    accepted, so that a link has one sender of requests and the two directions fail
    independently. An entry that the store does not list is answered on its own link:
    it started while the store was unavailable and found its peers by the seeds.

    If ``wanted`` is given, links are opened only to the entries that it returns.
    Messages to other entries use the links that those entries opened, if any.
    """

    def __init__(
        self,
        vm: Vm,
        host: str,
        port: int,
        secret: bytes,
        hello: Callable[[], Hello],
        seeds: tuple[Address, ...] = (),
        wanted: Callable[[], frozenset[Vm]] | None = None,
    ) -> None:
        self.vm = vm
        self._seeds = seeds
        self._wanted = wanted
        self._last_wanted_at: dict[Vm, float] = {}
        self._opening: set[Vm] = set()
        self._openers = ThreadPoolExecutor(MAX_OPENS, thread_name_prefix="peer-links")
        self._seed_links: dict[Address, Link] = {}
        self._own_addresses: set[Address] = set()
        self._secret = secret
        self._hello = hello
        self._handlers: dict[type, MessageHandler] = {}
        self._infos: dict[Vm, PeerInfo] = {}
        self._links: dict[Vm, Link] = {}
        self._hellos: dict[Link, Hello] = {}
        self._hello_links: dict[Vm, Link] = {}
        self._incarnations: dict[Vm, Incarnation] = {}
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._handler_pool = ThreadPoolExecutor(1, thread_name_prefix="peer-messages")
        self._server = LinkServer(host, port, secret, self._accept, COMPRESSION)
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)

    @property
    def port(self) -> int:
        """Return the TCP port for links."""
        return self._server.port

    def on(self, kind: type[M], handler: Callable[[Vm, M], None]) -> None:
        """Register the handler for messages of a type; it also receives the sender.

        Handlers run one at a time, in order of arrival, on a separate thread.
        """
        self._handlers[kind] = handler

    def start(self) -> None:
        """Start accepting and opening links."""
        self._server.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop the server and the threads, and close all links."""
        self._stopping.set()
        self._server.stop()
        with self._lock:
            links = [*self._links.values(), *self._hellos]
        for link in links:
            link.close()
        self._handler_pool.shutdown(wait=False, cancel_futures=True)
        self._openers.shutdown(wait=False, cancel_futures=True)

    def update_entries(self, infos: Iterable[PeerInfo]) -> None:
        """Apply the list of entries from the store."""
        infos_by_vm = {info.vm: info for info in infos if info.vm != self.vm}
        with self._lock:
            self._infos = infos_by_vm

    def peers(self) -> tuple[PeerInfo, ...]:
        """Return the entries that can be reached by an open link."""
        with self._lock:
            linked = tuple(i for vm, i in self._infos.items() if vm in self._links)
            hellos = {msg.vm: msg for msg in self._hellos.values()}
            unlisted = hellos.keys() - self._infos.keys() - {self.vm}
            return (*linked, *(PeerInfo.from_hello(hellos[vm]) for vm in unlisted))

    def incarnation(self, vm: Vm) -> Incarnation | None:
        """Return the latest incarnation that sent a ``Hello`` from a VM."""
        with self._lock:
            return self._incarnations.get(vm)

    def send(self, vm: Vm, msg: Any) -> bool:
        """Send a message to one entry; False when no link to it is open."""
        return self.send_frame(vm, encode(msg))

    def send_frame(self, vm: Vm, frame: bytes) -> bool:
        """Send an encoded message to one entry; False when no link to it is open."""
        with self._lock:
            link = self._links.get(vm) or self._hello_links.get(vm)
        return link is not None and link.send_frame(frame)

    def _run(self) -> None:
        while not self._stopping.wait(LINK_CHECK_INTERVAL_S):
            with self._lock:
                infos = dict(self._infos)
                links = dict(self._links)
            wanted = infos.keys() if self._wanted is None else self._wanted()
            now = time.monotonic()
            self._last_wanted_at.update(dict.fromkeys(wanted, now))
            for vm in wanted:
                if vm in infos and vm not in links and vm not in self._opening:
                    self._opening.add(vm)
                    self._openers.submit(self._open, infos[vm])
            for vm, link in links.items():
                unused = now - self._last_wanted_at.get(vm, now) > UNUSED_LINK_TTL_S
                if vm not in infos or unused:
                    link.close()
            self._update_seed_links(bool(infos))

    def _update_seed_links(self, has_listed: bool) -> None:
        """Keep links to the seeds only while the store lists no other entry."""
        with self._lock:
            links = dict(self._seed_links)
        if has_listed:
            for link in links.values():
                link.close()
            return
        for address in self._seeds:
            if address in links or address in self._own_addresses:
                continue
            handler = _OpenedLink(self)
            result = open_link(
                *address, self._secret, handler, self._hello(), COMPRESSION
            )
            if isinstance(result, Success):
                with self._lock:
                    if not result.unwrap().ended.is_set():
                        self._seed_links[address] = result.unwrap()

    def _open(self, info: PeerInfo) -> None:
        try:
            self._open_link(info)
        finally:
            self._opening.discard(info.vm)

    def _open_link(self, info: PeerInfo) -> None:
        result = open_link(
            info.host,
            info.port,
            self._secret,
            _OpenedLink(self),
            self._hello(),
            COMPRESSION,
        )
        if not isinstance(result, Success):
            return
        link = result.unwrap()
        with self._lock:
            # A link may close before it is added here. Its on_close has then already
            # run, and a closed link would remain in the table.
            if not link.ended.is_set():
                self._links[info.vm] = link
        log("peer_linked", peer_vm=info.vm)

    def _accept(self, link: Link) -> "PeerMesh":
        return self

    def on_message(self, link: Link, msg: Any) -> None:
        """Handle a message of a peer; the first on a link must be ``Hello``."""
        if isinstance(msg, Hello):
            if self.receive_hello(link, msg):
                link.send(self._hello())
            return
        hello = self._hellos.get(link)
        handler = self._handlers.get(type(msg))
        if hello is None or handler is None:
            log("message_unexpected", peer=link.peer, kind=type(msg).__name__)
            link.close()
            return
        self._handler_pool.submit(self._handle, handler, hello.vm, msg)

    def _handle(self, handler: MessageHandler, vm: Vm, msg: Any) -> None:
        try:
            handler(vm, msg)
        except Exception as exc:
            log("peer_message_failed", peer_vm=vm, error=repr(exc))

    def receive_hello(self, link: Link, msg: Hello) -> bool:
        """Record the sender of a ``Hello`` and return whether it is another entry."""
        if msg.protocol != PROTOCOL or msg.role is not Role.ENTRY:
            log("protocol_mismatch", peer=link.peer, theirs=msg.protocol, ours=PROTOCOL)
            link.close()
            return False
        if msg.vm == self.vm:
            with self._lock:
                own_addresses = [a for a, ln in self._seed_links.items() if ln is link]
                self._own_addresses.update(own_addresses)
            link.close()
            return False
        with self._lock:
            if not link.ended.is_set():
                self._hellos[link] = msg
                self._hello_links[msg.vm] = link
                self._incarnations[msg.vm] = msg.incarnation
        return True

    def on_close(self, link: Link) -> None:
        """Remove a closed link."""
        with self._lock:
            msg = self._hellos.pop(link, None)
            if msg is not None and self._hello_links.get(msg.vm) is link:
                self._remove_hello(msg.vm)
            self._links = {vm: ln for vm, ln in self._links.items() if ln is not link}
            seeds = self._seed_links.items()
            self._seed_links = {a: ln for a, ln in seeds if ln is not link}

    def _remove_hello(self, vm: Vm) -> None:
        del self._hello_links[vm]
        for link, msg in self._hellos.items():
            if msg.vm == vm:
                self._hello_links[vm] = link


class _OpenedLink:
    """Handler of a link that this entry opened; a received ``Hello`` gets no reply."""

    def __init__(self, mesh: PeerMesh) -> None:
        self._mesh = mesh

    def on_message(self, link: Link, msg: Any) -> None:
        if isinstance(msg, Hello):
            self._mesh.receive_hello(link, msg)
            return
        self._mesh.on_message(link, msg)

    def on_close(self, link: Link) -> None:
        self._mesh.on_close(link)
