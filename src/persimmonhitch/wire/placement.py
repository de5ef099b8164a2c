"""Messages between sidecars and the planner about the copies of models."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from ..ids import Adapter, Epoch, Incarnation, Model, Upstream, Vm, Zone
from .codec import message


@dataclass(frozen=True)
class Copy:
    """A model, or an adapter with its base model, at one revision.

    ``model`` is the base model if ``adapter`` is set.
    """

    model: Model
    adapter: Adapter | None
    revision: str

    @property
    def name(self) -> Model:
        """Return the model name that callers use in requests."""
        return self.model if self.adapter is None else Model(self.adapter)


class CopyState(Enum):
    """State of a copy at its upstream.

    A ``LINGERING`` copy is unloaded, but an earlier order to load it may still arrive.
    """

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"
    LINGERING = "lingering"


class Action(Enum):
    """Action of an order, the value of ``Order.action``.

    ``FENCE`` loads and unloads nothing; afterwards the sidecar refuses older epochs.
    """

    LOAD = "load"
    UNLOAD = "unload"
    FENCE = "fence"


class OrderError(Enum):
    """Reason why an order was not executed, the value of ``OrderDone.error``."""

    STALE_EPOCH = "stale_epoch"
    STARTING = "starting"
    """The copies or the earlier orders of the engine are not known yet."""
    NO_MEMORY = "no_memory"
    BUSY = "busy"
    """Another order for the same copy is in progress."""
    NO_BASE = "no_base"
    BASE_IN_USE = "base_in_use"
    NOT_LOADED = "not_held"
    BAD_MEMORY = "bad_memory"
    BAD_ACTION = "bad_action"
    REFUSED = "refused"
    """The engine refused the order."""
    NO_ANSWER = "no_answer"
    """The engine did not answer; it may still execute the order."""


@dataclass(frozen=True)
class CopyStatus:
    """One copy at an upstream; ``demand`` is its requested tokens per second."""

    copy: Copy
    state: CopyState
    memory_gib: float
    demand: float


@message(40)
@dataclass(frozen=True)
class Inventory:
    """The accelerator memory of one upstream and the copies in it."""

    upstream: Upstream
    vm: Vm
    zone: Zone
    incarnation: Incarnation
    epoch: Epoch
    capacity_gib: float
    free_gib: float
    accepts_loads: bool
    """False after a start of the sidecar, while it refuses load orders."""
    draining: bool
    copies: tuple[CopyStatus, ...]


NO_EPOCH: Final = Epoch(0)
