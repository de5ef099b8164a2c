"""Messages between the entries that call upstreams directly."""

from dataclasses import dataclass

from ..ids import Account, Adapter, Model, Upstream
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
    adapters: tuple[str, ...]
    """Adapters in use, each as upstream, model and adapter with slashes between."""


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
