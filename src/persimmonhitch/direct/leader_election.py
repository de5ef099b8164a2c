"""Holds the lease of orders, and hands it over when another entry is better placed."""

import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final, Protocol

from ..ids import Epoch, Incarnation, Upstream, Vm
from ..observe.logs import log
from ..planner.lease import LeaseKeeper, Predecessor
from ..store.objects import Version
from .handover import OrderHistory
from .news import HoldingNews, Renewed, Resigned, StoreAnswer, StoreAsk

LEADER_TTL_S: Final = 1.1
"""Seconds without news after which the holder of the lease may have gone; two of its
messages have been missed then."""
PROBE_TTL_S: Final = 1.5
"""Seconds for which a peer's word that the store is away holds; three of its looks."""
CANDIDATES_PER_STEP: Final = 4
"""Entries that seek a free lease at the same moment."""
MAX_BACKOFF_STEPS: Final = 3
"""Turns after which all that are left seek it."""
PROBE_THREADS: Final = 2
"""Threads that look at the store for others; such a look waits for its timeout."""


class Peers(Protocol):
    """What the leader needs of the other entries."""

    def send(self, vm: Vm, msg: Any) -> bool:
        """Send a message to one; return whether a link to it is open."""

    def send_to_all(self, msg: Any) -> None:
        """Send a message to all in reach."""

    def peer_vms(self) -> frozenset[Vm]:
        """Return all other entries, in reach or not."""

    def restarted(self, vm: Vm, old: Incarnation) -> bool:
        """Return whether another process than ``old`` has greeted from a VM."""


class LeaderElection:
    """Seeks the lease, renews it, and resigns when it can't while others can.

    Parameters
    ----------
    vm : Vm
        This VM.
    lease : LeaseKeeper
        The lease in the store.
    peers : Peers
        The other entries.
    last_orders : callable
        Returns when each engine was last ordered from here.
    guard : float
        Seconds that have to pass between orders of two entries.
    place : callable
        Returns how many entries are to seek the lease before this one.
    """

    def __init__(
        self,
        vm: Vm,
        lease: LeaseKeeper,
        peers: Peers,
        last_order_times: Callable[[], Mapping[Upstream, float]],
        guard_s: float,
        clock: Callable[[], float] = time.monotonic,
        rank: Callable[[], int] = lambda: 0,
    ) -> None:
        self._lease = lease
        self._rank = rank
        self._peers = peers
        self._last_order_times = last_order_times
        self._clock = clock
        self._history = OrderHistory(vm, guard_s, clock)
        self._probe_failed_at: dict[Vm, float] = {}
        self._leader_seen_at = self._clock() - LEADER_TTL_S
        self._step_due = threading.Event()
        self._stopping = threading.Event()
        self._probes = ThreadPoolExecutor(PROBE_THREADS, thread_name_prefix="store-ask")
        self._thread = threading.Thread(target=self._run, name="lease", daemon=True)

    @property
    def predecessor(self) -> Predecessor | None:
        """Return who held the lease before; None for nobody."""
        return self._lease.before

    def start(self) -> None:
        """Seek the lease from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Let the next entry have the lease."""
        self._stopping.set()
        self._step_due.set()
        epoch = self._lease.epoch()
        if epoch is not None:
            self._broadcast_release(epoch)
        self._lease.release()

    def store_restored(self) -> None:
        """Give no orders by the word of a store that came back from a copy."""
        self._lease.store_restored()
        self._step_due.set()

    def epoch(self) -> Epoch | None:
        """Return the epoch of the lease, also past its time while nobody can take it.

        In an outage of the store the lease ends and none can be taken; no adapter
        would be loaded until it is over. If all other entries say that the store is
        away, the last holder goes on.
        """
        epoch = self._lease.epoch()
        if epoch is not None:
            return epoch
        now = self._clock()
        peers = self._peers.peer_vms()
        store_unavailable = all(
            now - self._probe_failed_at.get(vm, -PROBE_TTL_S) < PROBE_TTL_S
            for vm in peers
        )
        return self._lease.caretaker() if store_unavailable and peers else None

    def orders_allowed_at(self, upstream: Upstream, leading_since: float) -> float:
        """Return the time from which an engine may be ordered from here."""
        predecessor = self._lease.before
        # A link that has ended says nothing: it may be cut while the process goes on.
        ended = predecessor is not None and self._peers.restarted(
            predecessor.vm, predecessor.incarnation
        )
        return self._history.orders_allowed_at(
            upstream, leading_since, predecessor, ended
        )

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._run_step()
            self._step_due.wait(self._lease.step_every)
            self._step_due.clear()

    def _run_step(self) -> None:
        try:
            self._step()
        except Exception as exc:
            # Without a next step the lease would end and never be taken again.
            log("lease_step_failed", error=repr(exc))

    def _step(self) -> None:
        # Another holder's news are proof enough of its life; without this the others'
        # looks at the lease would be most calls to the store.
        leader_age = self._clock() - self._leader_seen_at
        if self._lease.epoch() is None and leader_age <= LEADER_TTL_S + self._backoff():
            return
        self._lease.step()
        renewal = self._lease.renewal()
        if renewal is not None:
            self._peers.send_to_all(Renewed(*renewal))
        epoch = self._lease.epoch()
        if self._lease.failing and epoch is not None:
            self._peers.send_to_all(StoreAsk(epoch))

    def _backoff(self) -> float:
        """Return the seconds for which a free lease is left to those before.

        Dozens of entries that all seek it at once cost the store as many calls at each
        look, and it is better held by a VM with processor time to spare.
        """
        return (
            min(self._rank() // CANDIDATES_PER_STEP, MAX_BACKOFF_STEPS)
            * self._lease.step_every
        )

    def receive_probe(self, vm: Vm, msg: StoreAsk) -> None:
        """Look whether the store can be reached from here, for the lease's holder."""
        self._probes.submit(self._send_probe_reply, vm, msg.epoch)

    def _send_probe_reply(self, vm: Vm, epoch: Epoch) -> None:
        self._peers.send(vm, StoreAnswer(epoch, self._lease.reachable()))

    def receive_probe_reply(self, vm: Vm, msg: StoreAnswer) -> None:
        """Give the lease up if another entry can renew one and this one can't."""
        if not msg.reached:
            self._probe_failed_at[vm] = self._clock()
            return
        if not self._lease.failing or self._lease.epoch() != msg.epoch:
            return
        epoch = self._lease.resign()
        if epoch is not None:
            self._broadcast_release(epoch)

    def _broadcast_release(self, epoch: Epoch) -> None:
        now = self._clock()
        ages = {name: now - at for name, at in self._last_order_times().items()}
        log("orders_resigned", epoch=epoch)
        self._peers.send_to_all(Resigned(epoch, ages))

    def receive_release(self, vm: Vm, msg: Resigned) -> None:
        """Seek the lease that another entry has given up."""
        self._lease.hear_resigned(vm, msg.epoch)
        self._history.record_release(vm, msg.ages)
        self._leader_seen_at = self._clock() - LEADER_TTL_S
        self._step_due.set()

    def receive_renewal(self, msg: Renewed, sent_at: float) -> None:
        """Note when the lease's holder has renewed it, as it told at ``as_of``."""
        delay = max(0.0, self._clock() - sent_at)
        self._lease.hear_renewal(Version(msg.version), msg.age + delay)

    def receive_inventory_update(self, vm: Vm, msg: HoldingNews) -> None:
        """Note the life and the orders of the lease's holder."""
        self._leader_seen_at = self._clock()
        self._lease.saw_epoch(msg.epoch)
        self._history.record_orders(vm, msg.upstream, msg.orders)
