"""Accelerator memory of the simulated engine, with lost and late orders."""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Final

from ..ids import Epoch
from ..wire.placement import Copy

ROUNDING: Final = 1e-6


class Outcome(Enum):
    """The engine's answer to an order."""

    DONE = "done"
    STALE = "stale"
    """Refused because of an older epoch."""
    NO_BASE = "no_base"


@dataclass(frozen=True)
class EngineOrder:
    """An order received by the engine; ``memory`` is in GiB."""

    load: bool
    copy: Copy
    memory: float
    epoch: Epoch


@dataclass(frozen=True)
class Held:
    """A copy that uses memory."""

    memory: float
    loaded_at: float


@dataclass
class EngineMemory:
    """Memory of the engine; ``violated`` is set when its capacity was ever exceeded.

    A real engine would crash; this one continues, so that tests can check the flag.
    """

    capacity: float
    fenced: bool = True
    """Whether orders with an older epoch are refused."""
    epoch: Epoch = Epoch(0)
    peak: float = 0.0
    violated: bool = False
    _held: dict[Copy, Held] = field(default_factory=dict)
    _late: list[tuple[float, EngineOrder, float]] = field(default_factory=list)

    def used(self) -> float:
        """Return the GiB in use."""
        return sum(held.memory for held in self._held.values())

    def take(self, order: EngineOrder, now: float, load_time: float) -> Outcome:
        """Execute an order that arrives now."""
        self._arrive_due(now)
        if self.fenced and order.epoch < self.epoch:
            return Outcome.STALE
        self.epoch = max(self.epoch, order.epoch)
        if not order.load:
            self._unload(order.copy)
            return Outcome.DONE
        return self._load(order, now + load_time)

    def take_late(self, order: EngineOrder, at: float, load_time: float) -> None:
        """Schedule an order that arrives later and whose answer is lost."""
        self._late.append((at, order, load_time))

    def listing(self, now: float) -> Iterator[tuple[Copy, float, bool]]:
        """Yield each copy with its memory and whether it is loaded."""
        self._arrive_due(now)
        for copy, held in self._held.items():
            yield copy, held.memory, held.loaded_at <= now

    def serves(self, copy: Copy, now: float) -> bool:
        """Return whether a copy can answer requests."""
        self._arrive_due(now)
        held = self._held.get(copy)
        return held is not None and held.loaded_at <= now

    def loaded_at(self, copy: Copy) -> float | None:
        """Return the end of the load of a copy, None if the engine lacks the copy."""
        held = self._held.get(copy)
        return None if held is None else held.loaded_at

    def restart(self) -> None:
        """Drop all copies, as a restart does; scheduled orders still arrive."""
        self._held.clear()
        self.epoch = Epoch(0)

    def _arrive_due(self, now: float) -> None:
        due = sorted((e for e in self._late if e[0] <= now), key=lambda e: e[0])
        self._late = [e for e in self._late if e[0] > now]
        for at, order, load_time in due:
            self.take(replace(order), at, load_time)

    def _load(self, order: EngineOrder, loaded_at: float) -> Outcome:
        if order.copy in self._held:
            return Outcome.DONE
        if order.copy.adapter is not None and not self._base_held(order.copy):
            return Outcome.NO_BASE
        self._held[order.copy] = Held(order.memory, loaded_at)
        self.peak = max(self.peak, self.used())
        self.violated = self.violated or self.peak > self.capacity + ROUNDING
        return Outcome.DONE

    def _base_held(self, copy: Copy) -> bool:
        return any(c.model == copy.model and c.adapter is None for c in self._held)

    def _unload(self, copy: Copy) -> None:
        self._held.pop(copy, None)
        if copy.adapter is not None or self._base_held(copy):
            return
        for adapter in [c for c in self._held if c.model == copy.model]:
            del self._held[adapter]
