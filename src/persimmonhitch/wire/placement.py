"""Messages about the copies of models, between sidecars and the planner."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from ..ids import Adapter, Epoch, Incarnation, Model, Upstream, Vm, Zone
from .codec import message


@dataclass(frozen=True)
class Copy:
    """A model, or an adapter on its base model, at one revision.

    ``model`` is the base where ``adapter`` is given.
    """

    model: Model
    adapter: Adapter | None
    revision: str

    @property
    def name(self) -> Model:
        """Return the name that callers ask for."""
        return self.model if self.adapter is None else Model(self.adapter)


class CopyState(Enum):
    """Where a copy stands at its upstream.

    ``LINGERING`` copies are gone, but an order to load them may still arrive.
    """

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"
    LINGERING = "lingering"


class Action(Enum):
    """What an order asks for, as it stands in ``Order.action``.

    ``FENCE`` changes nothing; it makes the sidecar refuse older epochs.
    """

    LOAD = "load"
    UNLOAD = "unload"
    FENCE = "fence"


class OrderError(Enum):
    """Why an order was not carried out, as it stands in ``OrderDone.error``."""

    STALE_EPOCH = "stale_epoch"
    STARTING = "starting"
    """What the engine holds, or what it was ordered, is not known yet."""
    NO_MEMORY = "no_memory"
    BUSY = "busy"
    """Another order for the same copy is under way."""
    NO_BASE = "no_base"
    BASE_IN_USE = "base_in_use"
    NOT_LOADED = "not_held"
    BAD_MEMORY = "bad_memory"
    BAD_ACTION = "bad_action"
    REFUSED = "refused"
    """The engine refused it."""
    NO_ANSWER = "no_answer"
    """The engine did not answer; it may carry the order out yet."""


@dataclass(frozen=True)
class CopyStatus:
    """One copy at an upstream; ``demand`` is tokens a second asked of it."""

    copy: Copy
    state: CopyState
    memory_gib: float
    demand: float


@message(40)
@dataclass(frozen=True)
class Inventory:
    """What one upstream holds in its accelerator memory, in GiB."""

    upstream: Upstream
    vm: Vm
    zone: Zone
    incarnation: Incarnation
    epoch: Epoch
    capacity_gib: float
    free_gib: float
    accepts_loads: bool
    """False while orders to load are refused after a start."""
    draining: bool
    copies: tuple[CopyStatus, ...]


NO_EPOCH: Final = Epoch(0)
