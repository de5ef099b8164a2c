"""A mesh of entries in one process with immediate delivery and network partitions."""

import random
from dataclasses import dataclass

from persimmonhitch.catalog.sync import CatalogSync
from persimmonhitch.standin.store_state import StoreState
from persimmonhitch.wire.codec import decode, encode


def region(vm):
    """Return the region of a VM: its name without the trailing digits."""
    return vm.rstrip("0123456789")


@dataclass(frozen=True)
class FakePeer:
    vm: str
    region: str


class FakeMesh:
    def __init__(self, fleet, vm):
        self.fleet = fleet
        self.vm = vm
        self.handlers = {}

    def peers(self):
        partitioned = self.fleet.partitioned
        vms = [vm for vm in self.fleet.entries if vm != self.vm]
        own_region = region(self.vm)
        return tuple(
            FakePeer(vm, region(vm))
            for vm in vms
            if not partitioned & {vm, self.vm}
            and (region(vm) == own_region or not self.fleet.regions_partitioned)
        )

    def send(self, vm, msg):
        if vm not in [peer.vm for peer in self.peers()]:
            return False
        self.fleet.sent += 1
        frame = encode(msg)
        if vm in self.fleet.frozen:
            self.fleet.frozen[vm].append((self.vm, frame))
        else:
            self.fleet.deliver(vm, self.vm, frame)
        return True

    def on(self, kind, handler):
        self.handlers[kind] = handler


class Entry:
    """One entry, driven by ``Fleet.step``; its connection to the store can fail."""

    def __init__(self, fleet, vm):
        self.store = StoreProxy(fleet.store)
        self.mesh = FakeMesh(fleet, vm)
        rng = random.Random(vm)
        self.sync = CatalogSync(
            self.store, self.mesh, vm, region(vm), rng, lambda: fleet.now
        )
        self.feed = self.sync.feed
        self.after = None


class StoreProxy:
    """The shared store over a connection that can be disabled by ``offline``."""

    def __init__(self, store):
        self.store = store
        self.offline = False

    def __getattr__(self, name):
        return getattr(UNAVAILABLE_STORE if self.offline else self.store, name)


UNAVAILABLE_STORE = StoreState()
UNAVAILABLE_STORE.faults.down = True


class Fleet:
    def __init__(self, vms=()):
        self.store = StoreState()
        self.now = 1000.0
        self.partitioned = set()
        self.regions_partitioned = False
        self.frozen = {}
        self.sent = 0
        self.entries = {}
        for vm in vms:
            self.add(vm)

    def add(self, vm):
        self.entries[vm] = Entry(self, vm)
        return self.entries[vm]

    def deliver(self, vm, sender, frame):
        msg = decode(frame).unwrap()
        self.entries[vm].mesh.handlers[type(msg)](sender, msg)

    def thaw(self, vm):
        """Resume a frozen entry; it first receives the messages queued meanwhile."""
        for sender, frame in self.frozen.pop(vm):
            self.deliver(vm, sender, frame)

    def step(self, seconds=1.0):
        """Advance time; run the periodic work of each entry that is not frozen."""
        self.now += seconds
        for vm, entry in self.entries.items():
            if vm in self.frozen:
                continue
            source = entry.sync.source
            if entry.sync.needed():
                load = entry.after is None
                entry.after = source.load() if load else source.watch_once(entry.after)
            else:
                entry.after = None
                entry.sync.exchange.set_store_available(True)
            entry.sync.exchange.pull()

    def versions(self):
        return [entry.feed.version for entry in self.entries.values()]
