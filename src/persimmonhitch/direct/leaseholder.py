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

HOLDER_SILENT: Final = 1.1
"""Seconds without news after which the holder of the lease may have gone; two of its
messages have been missed then."""
ANSWER_LIFE: Final = 1.5
"""Seconds for which a peer's word that the store is away holds; three of its looks."""
SEEKERS: Final = 4
"""Entries that seek a free lease at the same moment."""
TURNS_MOST: Final = 3
"""Turns after which all that are left seek it."""
ANSWERERS: Final = 2
"""Threads that look at the store for others; such a look waits for its timeout."""


class Peers(Protocol):
    """What the leader needs of the other entries."""

    def send(self, vm: Vm, msg: Any) -> bool:
        """Send a message to one; return whether a link to it is open."""

    def tell_all(self, msg: Any) -> None:
        """Send a message to all in reach."""

    def listed(self) -> frozenset[Vm]:
        """Return all other entries, in reach or not."""

    def restarted(self, vm: Vm, old: Incarnation) -> bool:
        """Return whether another process than ``old`` has greeted from a VM."""


class LeaseHolder:
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
        last_orders: Callable[[], Mapping[Upstream, float]],
        guard: float,
        clock: Callable[[], float] = time.monotonic,
        place: Callable[[], int] = lambda: 0,
    ) -> None:
        self._lease = lease
        self._place = place
        self._peers = peers
        self._last_orders = last_orders
        self._clock = clock
        self._history = OrderHistory(vm, guard, clock)
        self._away: dict[Vm, float] = {}
        self._heard_at = self._clock() - HOLDER_SILENT
        self._kick = threading.Event()
        self._stopping = threading.Event()
        self._answering = ThreadPoolExecutor(ANSWERERS, thread_name_prefix="store-ask")
        self._thread = threading.Thread(target=self._run, name="lease", daemon=True)

    @property
    def before(self) -> Predecessor | None:
        """Return who held the lease before; None for nobody."""
        return self._lease.before

    def start(self) -> None:
        """Seek the lease from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Let the next entry have the lease."""
        self._stopping.set()
        self._kick.set()
        epoch = self._lease.epoch()
        if epoch is not None:
            self._tell_resigned(epoch)
        self._lease.release()

    def store_restored(self) -> None:
        """Give no orders by the word of a store that came back from a copy."""
        self._lease.store_restored()
        self._kick.set()

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
        peers = self._peers.listed()
        away = all(now - self._away.get(vm, -ANSWER_LIFE) < ANSWER_LIFE for vm in peers)
        return self._lease.caretaker() if away and peers else None

    def free_from(self, upstream: Upstream, began_at: float) -> float:
        """Return the time from which an engine may be ordered from here."""
        before = self._lease.before
        # A link that has ended says nothing: it may be cut while the process goes on.
        ended = before is not None and self._peers.restarted(
            before.vm, before.incarnation
        )
        return self._history.free_from(upstream, began_at, before, ended)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._guarded_step()
            self._kick.wait(self._lease.step_every)
            self._kick.clear()

    def _guarded_step(self) -> None:
        try:
            self._step()
        except Exception as exc:
            # Without a next step the lease would end and never be taken again.
            log("lease_step_failed", error=repr(exc))

    def _step(self) -> None:
        # Another holder's news are proof enough of its life; without this the others'
        # looks at the lease would be most calls to the store.
        silent = self._clock() - self._heard_at
        if self._lease.epoch() is None and silent <= HOLDER_SILENT + self._patience():
            return
        self._lease.step()
        renewal = self._lease.renewal()
        if renewal is not None:
            self._peers.tell_all(Renewed(*renewal))
        epoch = self._lease.epoch()
        if self._lease.failing and epoch is not None:
            self._peers.tell_all(StoreAsk(epoch))

    def _patience(self) -> float:
        """Return the seconds for which a free lease is left to those before.

        Dozens of entries that all seek it at once cost the store as many calls at each
        look, and it is better held by a VM with processor time to spare.
        """
        return min(self._place() // SEEKERS, TURNS_MOST) * self._lease.step_every

    def hear_ask(self, vm: Vm, msg: StoreAsk) -> None:
        """Look whether the store can be reached from here, for the lease's holder."""
        self._answering.submit(self._answer, vm, msg.epoch)

    def _answer(self, vm: Vm, epoch: Epoch) -> None:
        self._peers.send(vm, StoreAnswer(epoch, self._lease.reachable()))

    def hear_answer(self, vm: Vm, msg: StoreAnswer) -> None:
        """Give the lease up if another entry can renew one and this one can't."""
        if not msg.reached:
            self._away[vm] = self._clock()
            return
        if not self._lease.failing or self._lease.epoch() != msg.epoch:
            return
        epoch = self._lease.resign()
        if epoch is not None:
            self._tell_resigned(epoch)

    def _tell_resigned(self, epoch: Epoch) -> None:
        now = self._clock()
        ages = {name: now - at for name, at in self._last_orders().items()}
        log("orders_resigned", epoch=epoch)
        self._peers.tell_all(Resigned(epoch, ages))

    def hear_resigned(self, vm: Vm, msg: Resigned) -> None:
        """Seek the lease that another entry has given up."""
        self._lease.hear_resigned(vm, msg.epoch)
        self._history.hear_resigned(vm, msg.ages)
        self._heard_at = self._clock() - HOLDER_SILENT
        self._kick.set()

    def hear_renewed(self, msg: Renewed, as_of: float) -> None:
        """Note when the lease's holder has renewed it, as it told at ``as_of``."""
        late = max(0.0, self._clock() - as_of)
        self._lease.hear_renewal(Version(msg.version), msg.age + late)

    def hear_holding(self, vm: Vm, msg: HoldingNews) -> None:
        """Note the life and the orders of the lease's holder."""
        self._heard_at = self._clock()
        self._lease.saw_epoch(msg.epoch)
        self._history.hear(vm, msg.upstream, msg.orders)
