"""Messages between the entries that call upstreams directly."""

from dataclasses import dataclass

from ..ids import Account, Adapter, Epoch, Model, Upstream
from ..wire.codec import message


@dataclass(frozen=True)
class Running:
    """Work that one entry has at one upstream at this moment."""

    upstream: Upstream
    requests: int
    tokens: int
    """Prompt and most output of its requests, as memory they may take."""
    unread: int
    """Prompt tokens of requests whose first token has not come yet."""


@dataclass(frozen=True)
class InUse:
    """A model, and its adapter if there is one, that calls at an upstream use."""

    upstream: Upstream
    model: Model
    adapter: Adapter | None


@message(60)
@dataclass(frozen=True)
class NodeNews:
    """What one entry spends, runs and is asked for; sent a few times a second.

    ``used`` and ``asked`` are sums since the start of the process, so that a lost
    message loses nothing.
    """

    used: dict[Account, float]
    asked: dict[Model, float]
    running: tuple[Running, ...]
    in_use: tuple[InUse, ...]


@message(61)
@dataclass(frozen=True)
class Want:
    """Asks the holder of the orders lease for a model, or an adapter somewhere."""

    model: Model
    adapter: Adapter | None
    upstream: Upstream | None


@message(62)
@dataclass(frozen=True)
class HoldingNews:
    """What an engine holds, from the one that gives it orders."""

    upstream: Upstream
    born: int
    orders: int
    models: dict[Model, tuple[Adapter, ...]]
    coming: dict[Model, float]
    """Models that are being loaded, with the seconds left."""


@message(63)
@dataclass(frozen=True)
class Renewed:
    """The holder of the lease tells the version that it wrote ``age`` seconds ago."""

    version: int
    age: float


@message(64)
@dataclass(frozen=True)
class StoreAsk:
    """The holder of the lease can't reach the store and asks whether others can."""

    epoch: Epoch


@message(65)
@dataclass(frozen=True)
class StoreAnswer:
    """Answers a ``StoreAsk`` of an epoch."""

    epoch: Epoch
    reached: bool


@message(66)
@dataclass(frozen=True)
class Resigned:
    """The sender gives orders under an epoch no more.

    ``ages`` are the seconds since its last order to each engine.
    """

    epoch: Epoch
    ages: dict[Upstream, float]
