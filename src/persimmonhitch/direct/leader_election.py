"""Election of the leader: acquires, renews and releases the orders lease."""

import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final, Protocol

from ..ids import Epoch, Incarnation, Upstream, Vm
from ..observe.logs import log
from ..planner.lease import LeaseKeeper, Predecessor
from ..store.objects import Version
from .order_history import NO_GUARD, OrderGuard, OrderHistory
from .peer_messages import (
    InventoryUpdate,
    LeaseReleased,
    LeaseRenewed,
    StoreProbe,
    StoreProbeReply,
)

LEADER_TTL_S: Final = 1.1
"""Seconds without a message from the leader after which an entry reads the lease in the
store; by then two broadcasts are overdue."""
PROBE_TTL_S: Final = 1.5
"""Seconds for which a peer's report that the store is unavailable is valid; the peer
probes the store three times in that period."""
CANDIDATES_PER_STEP: Final = 4
"""Entries that try to acquire a free lease in the same step."""
MAX_BACKOFF_STEPS: Final = 3
"""Maximum delay in steps; all remaining entries then try to acquire the lease."""
PROBE_THREADS: Final = 2
"""Threads that probe the store for the leader; failed probes last for their timeout."""


class Peers(Protocol):
    """The other entries, as far as the leader election needs them."""

    def send(self, vm: Vm, msg: Any) -> bool:
        """Send a message to an entry; return whether a link to it is open."""

    def send_to_all(self, msg: Any) -> None:
        """Send a message to all reachable entries."""

    def peer_vms(self) -> frozenset[Vm]:
        """Return the VMs of all other entries, reachable or not."""

    def restarted(self, vm: Vm, old: Incarnation) -> bool:
        """Return whether a process of a VM is known to have been replaced."""


class LeaderElection:
    """Acquires, renews and releases the lease.

    A leader that cannot reach the store releases the lease if a peer can reach it.

    Parameters
    ----------
    vm : Vm
        This VM.
    lease : LeaseKeeper
        The lease in the store.
    peers : Peers
        The other entries.
    last_order_times : callable
        Returns the time of this entry's last order to each engine.
    guard_s : float
        Minimum time between orders of two entries to the same engine.
    rank : callable
        Returns how many entries take precedence in acquiring a free lease.
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
        self._vm = vm
        self._lease = lease
        self._rank = rank
        self._peers = peers
        self._last_order_times = last_order_times
        self._clock = clock
        self._guard_s = guard_s
        self._history = OrderHistory(vm, guard_s, clock)
        self._probe_failed_at: dict[Vm, float] = {}
        self._leader_seen_at = self._clock() - LEADER_TTL_S
        self._step_due = threading.Event()
        self._stopping = threading.Event()
        self._probes = ThreadPoolExecutor(PROBE_THREADS, thread_name_prefix="store-ask")
        self._thread = threading.Thread(target=self._run, name="lease", daemon=True)

    @property
    def predecessor(self) -> Predecessor | None:
        """Return the previous holder of the lease, or None."""
        return self._lease.predecessor

    def start(self) -> None:
        """Start competing for the lease."""
        self._thread.start()

    def stop(self) -> None:
        """Stop competing for the lease and release it if held."""
        self._stopping.set()
        self._step_due.set()
        epoch = self._lease.epoch()
        if epoch is not None:
            self._broadcast_release(epoch)
        self._lease.release()

    def store_restored(self) -> None:
        """Drop the lease after the store was restored from an older copy."""
        self._lease.handle_store_restore()
        self._step_due.set()

    def epoch(self) -> Epoch | None:
        """Return the epoch of the lease, or None if this entry may not send orders.

        During a store outage the lease expires and no entry can acquire it, so no
        adapter would be loaded. If all other entries report the store as unavailable,
        the last leader continues under its epoch.
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
        return self._lease.caretaker_epoch() if store_unavailable and peers else None

    def orders_allowed_at(self, upstream: Upstream, leading_since: float) -> float:
        """Return the time from which this entry may send orders to an engine."""
        predecessor = self._lease.predecessor
        # A lost link does not prove that the process has ended, but a new process does.
        ended = predecessor is not None and self._peers.restarted(
            predecessor.vm, predecessor.incarnation
        )
        return self._history.orders_allowed_at(
            upstream, leading_since, predecessor, ended
        )

    def order_guard(self, upstream: Upstream) -> OrderGuard:
        """Return what tells whether an engine may just have got an order of another."""
        predecessor = self._lease.predecessor
        if predecessor is None or predecessor.vm == self._vm:
            return NO_GUARD
        return OrderGuard(self._history.reported_count(upstream), self._guard_s)

    def last_order_by_predecessor(
        self, upstream: Upstream, leading_since: float
    ) -> float:
        """Return when previous leaders may have sent their last order to an engine."""
        return self.orders_allowed_at(upstream, leading_since) - self._guard_s

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._run_step()
            self._step_due.wait(self._lease.step_interval_s)
            self._step_due.clear()

    def _run_step(self) -> None:
        try:
            self._step()
        except Exception as exc:
            # The thread must survive, or this entry would never hold a lease again.
            log("lease_step_failed", error=repr(exc))

    def _step(self) -> None:
        # The leader's broadcasts prove that the leader is alive. Without this check,
        # most calls to the store would be polls of the lease by other entries.
        leader_age = self._clock() - self._leader_seen_at
        if self._lease.epoch() is None and leader_age <= LEADER_TTL_S + self._backoff():
            return
        self._lease.step()
        renewal = self._lease.last_renewal()
        if renewal is not None:
            self._peers.send_to_all(LeaseRenewed(*renewal))
        epoch = self._lease.epoch()
        if self._lease.renewal_failing and epoch is not None:
            self._peers.send_to_all(StoreProbe(epoch))

    def _backoff(self) -> float:
        """Return the seconds for which a free lease is left to entries of lower rank.

        If dozens of entries competed at once, each step would cost as many calls to the
        store. Entries on VMs with spare processor time have the lowest ranks.
        """
        return (
            min(self._rank() // CANDIDATES_PER_STEP, MAX_BACKOFF_STEPS)
            * self._lease.step_interval_s
        )

    def receive_probe(self, vm: Vm, msg: StoreProbe) -> None:
        """Probe the store on request of the leader."""
        self._probes.submit(self._send_probe_reply, vm, msg.epoch)

    def _send_probe_reply(self, vm: Vm, epoch: Epoch) -> None:
        self._peers.send(vm, StoreProbeReply(epoch, self._lease.store_reachable()))

    def receive_probe_reply(self, vm: Vm, msg: StoreProbeReply) -> None:
        """Release the lease if the peer reaches the store and this entry does not."""
        if not msg.reachable:
            self._probe_failed_at[vm] = self._clock()
            return
        if not self._lease.renewal_failing or self._lease.epoch() != msg.epoch:
            return
        epoch = self._lease.abandon()
        if epoch is not None:
            self._broadcast_release(epoch)

    def _broadcast_release(self, epoch: Epoch) -> None:
        now = self._clock()
        ages = {name: now - at for name, at in self._last_order_times().items()}
        log("orders_resigned", epoch=epoch)
        self._peers.send_to_all(LeaseReleased(epoch, ages))

    def receive_release(self, vm: Vm, msg: LeaseReleased) -> None:
        """Compete for the lease that another entry has released."""
        self._lease.receive_release(vm, msg.epoch)
        self._history.record_release(vm, msg.order_ages_s)
        self._leader_seen_at = self._clock() - LEADER_TTL_S
        self._step_due.set()

    def receive_renewal(self, msg: LeaseRenewed, sent_at: float) -> None:
        """Record a renewal of the lease that the leader reported at ``sent_at``."""
        delay = max(0.0, self._clock() - sent_at)
        self._lease.receive_renewal(Version(msg.version), msg.age_s + delay)

    def receive_inventory_update(self, vm: Vm, msg: InventoryUpdate) -> None:
        """Record that the leader is alive, and its order count for an engine."""
        self._leader_seen_at = self._clock()
        self._lease.observe_epoch(msg.epoch)
        self._history.record_orders(vm, msg.upstream, msg.order_count)
