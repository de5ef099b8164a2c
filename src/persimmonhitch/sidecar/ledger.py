"""Ledger of accelerator memory: the memory in use and the memory that may be needed.

Memory is overcommitted if the engine uses memory that is reserved for another copy: by
a load that arrives late, a load whose answer was lost, or an unload that was sent but
not executed. The engine then runs out of memory and crashes with all its requests. The
ledger prevents this by three rules:

- Memory is reserved before a load order is sent, including the KV cache.
- Memory is freed only after the engine has confirmed that the copy is gone, at a time
  when no load order for it can arrive: ``order_limit`` seconds after the last one.
- A new ledger grants no memory for ``order_limit`` seconds, in which orders of a
  previous process may arrive, and until the engine has listed its copies.

The rules also hold for engines that ignore fencing tokens.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..ids import Epoch
from ..wire.placement import NO_EPOCH, Copy, CopyState, OrderError

NEVER: Final = -math.inf
ROUNDING: Final = 1e-6
"""GiB; upper bound of the rounding error of sums."""
IN_LEDGER: Final = (CopyState.LOADING, CopyState.LOADED, CopyState.UNLOADING)


class Answer(Enum):
    """Result of an order to the engine."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No answer; the engine may still execute the order."""


class Begin(Enum):
    """Next step for an order that the ledger allows."""

    SEND = "send"
    ALREADY = "already"
    """The copy is already in the ordered state."""


@dataclass(frozen=True)
class Listed:
    """One copy in the engine's inventory."""

    copy: Copy
    memory: float
    loaded: bool


@dataclass
class Reservation:
    """Memory of one copy."""

    memory: float
    state: CopyState
    load_until: float = NEVER
    """Time until which a load order for it may arrive."""
    unload_sent: float = NEVER
    unload_until: float = NEVER
    pending: bool = False
    """Whether an order was sent and its answer is still missing."""
    changed: float = NEVER


class Ledger:
    """Reservations of one accelerator.

    Parameters
    ----------
    capacity : float
        GiB of accelerator memory.
    order_limit : float
        Seconds after which an order that was sent can no longer reach the engine.
    now : float
        Time of the start.
    """

    def __init__(self, capacity: float, order_limit: float, now: float) -> None:
        self.capacity = capacity
        self.epoch = NO_EPOCH
        self._limit = order_limit
        self._ready_at = now + order_limit
        self._listed = False
        self._copies: dict[Copy, Reservation] = {}

    def ready(self) -> bool:
        """Return whether loads are allowed."""
        return self._listed

    def used(self) -> float:
        """Return the GiB reserved."""
        return sum(entry.memory for entry in self._copies.values())

    def free(self) -> float:
        """Return the GiB available for a load order."""
        return max(0.0, self.capacity - self.used()) if self._listed else 0.0

    def serving(self) -> tuple[Copy, ...]:
        """Return the copies that serve requests."""
        return tuple(c for c, entry in self._copies.items() if _serves(entry))

    def entries(self) -> tuple[tuple[Copy, CopyState, float], ...]:
        """Return each copy with its state and memory."""
        return tuple((c, e.state, e.memory) for c, e in self._copies.items())

    def observe_epoch(self, epoch: Epoch) -> bool:
        """Record an epoch; return False if a newer one is known."""
        # A planner that was paused past its lease must not undo the orders of its
        # successor.
        if epoch < self.epoch:
            return False
        self.epoch = epoch
        return True

    def begin_load(
        self, copy: Copy, memory: float, epoch: Epoch, now: float
    ) -> Result[Begin, OrderError]:
        """Reserve memory before a load order is sent."""
        if not self.observe_epoch(epoch):
            return Err(OrderError.STALE_EPOCH)
        if not self._listed:
            return Err(OrderError.STARTING)
        entry = self._copies.get(copy)
        if entry is not None and entry.pending:
            return Err(OrderError.BUSY)
        if entry is not None and entry.state is CopyState.LOADED:
            return Success(Begin.ALREADY)
        if not self._base_loaded(copy):
            return Err(OrderError.NO_BASE)
        held = 0.0 if entry is None else entry.memory
        if self.used() - held + max(memory, held) > self.capacity + ROUNDING:
            return Err(OrderError.NO_MEMORY)
        entry = self._copies.setdefault(copy, Reservation(memory, CopyState.LOADING))
        entry.memory = max(memory, held)
        entry.state = CopyState.LOADING
        entry.load_until = now + self._limit
        self._mark(entry, now, pending=True)
        return Success(Begin.SEND)

    def end_load(self, copy: Copy, answer: Answer, now: float) -> None:
        """Apply the result of a load order."""
        entry = self._copies[copy]
        self._mark(entry, now, pending=False)
        # Counted again from here: a process that was suspended between the reservation
        # and the send would otherwise see the limit pass before its order was sent.
        entry.load_until = now + self._limit
        if answer is Answer.DONE:
            entry.state = CopyState.LOADED
        if answer is Answer.REFUSED:
            entry.state = CopyState.LINGERING

    def begin_unload(
        self, copy: Copy, epoch: Epoch, now: float
    ) -> Result[Begin, OrderError]:
        """Take a copy out of service before its unload order is sent."""
        if not self.observe_epoch(epoch):
            return Err(OrderError.STALE_EPOCH)
        if not self._listed:
            return Err(OrderError.STARTING)
        entry = self._copies.get(copy)
        if entry is None or entry.state is CopyState.LINGERING:
            return Success(Begin.ALREADY)
        if entry.pending:
            return Err(OrderError.BUSY)
        if copy.adapter is None and self._carries_adapters(copy):
            return Err(OrderError.BASE_IN_USE)
        entry.state = CopyState.UNLOADING
        entry.unload_sent = now
        entry.unload_until = now + self._limit
        self._mark(entry, now, pending=True)
        return Success(Begin.SEND)

    def end_unload(self, copy: Copy, answer: Answer, now: float) -> None:
        """Apply the result of an unload order."""
        entry = self._copies[copy]
        self._mark(entry, now, pending=False)
        entry.unload_until = now + self._limit
        if answer is Answer.DONE:
            entry.state = CopyState.LINGERING
            if entry.unload_sent >= entry.load_until:
                del self._copies[copy]
        if answer is Answer.REFUSED:
            entry.state = CopyState.LOADED

    def apply_listing(
        self, listed: Iterable[Listed], asked_at: float, now: float
    ) -> None:
        """Take the engine's own list, which was asked for at ``asked_at``.

        It is the truth on what the engine holds, save for what changed after it
        was asked for and for orders that may yet arrive.
        """
        found = {item.copy: item for item in listed}
        for item in found.values():
            self._take_listed(item, asked_at, now)
        for copy, entry in list(self._copies.items()):
            if copy not in found and not entry.pending and entry.changed < asked_at:
                self._take_absent(copy, entry, asked_at)
        if asked_at >= self._ready_at:
            self._listed = True

    def _take_listed(self, item: Listed, asked_at: float, now: float) -> None:
        state = CopyState.LOADED if item.loaded else CopyState.LOADING
        entry = self._copies.get(item.copy)
        if entry is None:
            self._copies[item.copy] = Reservation(item.memory, state, changed=now)
            return
        entry.memory = max(entry.memory, item.memory)
        if entry.pending or entry.changed >= asked_at:
            return
        # An order to unload without an answer may arrive yet: the copy gets no
        # requests until it can't, or they would meet an engine without the model.
        if entry.state is CopyState.UNLOADING and asked_at < entry.unload_until:
            return
        entry.state = state

    def _take_absent(self, copy: Copy, entry: Reservation, asked_at: float) -> None:
        # Only a list asked for when no load can arrive any more frees memory: an
        # earlier one, or the passing of time alone, misses a load that came between.
        if asked_at >= entry.load_until:
            del self._copies[copy]
            return
        if entry.state is not CopyState.LOADING:
            entry.state = CopyState.LINGERING

    def _mark(self, entry: Reservation, now: float, pending: bool) -> None:
        entry.pending = pending
        entry.changed = now

    def _base_loaded(self, copy: Copy) -> bool:
        if copy.adapter is None:
            return True
        return any(c.model == copy.model for c in self.serving() if c.adapter is None)

    def _carries_adapters(self, base: Copy) -> bool:
        others = [
            c
            for c, entry in self._copies.items()
            if c.model == base.model and entry.state in IN_LEDGER
        ]
        adapters = sum(c.adapter is not None for c in others)
        # Another revision of the base can carry the adapters on.
        return adapters > 0 and len(others) - adapters < 2


def _serves(entry: Reservation) -> bool:
    return entry.state is CopyState.LOADED
