"""Order API of the simulated engine, with lost and late answers."""

import threading
import time
from dataclasses import dataclass
from typing import Any, Final

from ..ids import Adapter, Epoch, Model
from ..sidecar.engine_api import (
    LOAD_ADAPTER,
    LOAD_MODEL,
    UNLOAD_ADAPTER,
    UNLOAD_MODEL,
)
from ..web import Answer, json_answer
from ..wire.placement import Copy
from .engine_memory import EngineMemory, EngineOrder, Outcome

ORDER_PATHS: Final = frozenset({LOAD_MODEL, UNLOAD_MODEL, LOAD_ADAPTER, UNLOAD_ADAPTER})


@dataclass
class OrderFaults:
    """Numbers of the next orders that are lost, unanswered or late by some seconds."""

    lost: int = 0
    answers_lost: int = 0
    late: int = 0
    late_by: float = 0.0


class EngineOrders:
    """Executes orders on an ``EngineMemory`` in real time."""

    def __init__(self, capacity: float, load_time: float, fenced: bool) -> None:
        self.faults = OrderFaults()
        self._memory = EngineMemory(capacity, fenced)
        self._load_time = load_time
        self._lock = threading.Lock()

    def preload(self, text: str) -> None:
        """Load ``NAME:GIB:REVISION`` before the engine starts."""
        name, memory, revision = text.split(":")
        copy = Copy(Model(name), None, revision)
        order = EngineOrder(True, copy, float(memory), Epoch(0))
        self._memory.take(order, time.monotonic(), 0.0)

    def serves(self, name: str) -> bool:
        """Return whether requests for a model or adapter are answered."""
        now = time.monotonic()
        with self._lock:
            return any(
                loaded and copy.name == name
                for copy, _, loaded in self._memory.listing(now)
            )

    def listing(self) -> list[dict[str, Any]]:
        """Return the copies as the engine's API shows them."""
        with self._lock:
            copies = list(self._memory.listing(time.monotonic()))
        return [_item(copy, memory, loaded) for copy, memory, loaded in copies]

    def memory_state(self) -> dict[str, Any]:
        """Return the memory figures that tests check."""
        with self._lock:
            memory = self._memory
            return {
                "capacity": memory.capacity,
                "peak": memory.peak,
                "violated": memory.violated,
            }

    def take(self, path: str, body: dict[str, Any]) -> Answer:
        """Execute an order, or inject its fault."""
        order = _order(path, body)
        now = time.monotonic()
        with self._lock:
            fault = self._next_fault()
            if fault == "late":
                at = now + self.faults.late_by
                self._memory.take_late(order, at, self._load_time)
            outcome = None
            if fault not in ("lost", "late"):
                outcome = self._memory.take(order, now, self._load_time)
        if fault is not None or outcome is None:
            return json_answer(504, {"error": "no answer"})
        if outcome is not Outcome.DONE:
            return json_answer(409, {"error": outcome.value})
        if order.load:
            time.sleep(self._load_time)
        return json_answer(200, {"status": "done"})

    def _next_fault(self) -> str | None:
        faults = self.faults
        for name in ("lost", "answers_lost", "late"):
            left = getattr(faults, name)
            if left > 0:
                setattr(faults, name, left - 1)
                return name
        return None


def _order(path: str, body: dict[str, Any]) -> EngineOrder:
    adapter = Adapter(body["lora_name"]) if "lora_name" in body else None
    model = Model(body["model"] if adapter is None else body["base"])
    copy = Copy(model, adapter, str(body["revision"]))
    load = path in (LOAD_MODEL, LOAD_ADAPTER)
    return EngineOrder(load, copy, float(body.get("memory", 0)), Epoch(body["epoch"]))


def _item(copy: Copy, memory: float, loaded: bool) -> dict[str, Any]:
    return {
        "id": copy.name,
        "object": "model",
        "base": None if copy.adapter is None else copy.model,
        "revision": copy.revision,
        "memory": memory,
        "state": "loaded" if loaded else "loading",
    }
