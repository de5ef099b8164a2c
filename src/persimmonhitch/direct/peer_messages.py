"""Messages between the entries that call upstreams directly."""

from dataclasses import dataclass

from ..decide.overlay import Way
from ..ids import (
    Account,
    Adapter,
    Epoch,
    Fingerprint,
    Incarnation,
    Model,
    Upstream,
    Vm,
)
from ..wire.codec import message


@dataclass(frozen=True)
class ModelUse:
    """A model, and its adapter if there is one, that calls use."""

    model: Model
    adapter: Adapter | None


@dataclass(frozen=True)
class UpstreamWork:
    """Work that one entry has at one upstream at this moment."""

    upstream: Upstream
    requests: int
    tokens: int
    """Prompt and most output of its requests, as memory they may take."""
    prefill_tokens: int
    """Prompt tokens of requests whose first token has not come yet."""
    model_uses: tuple[ModelUse, ...] = ()


@message(67)
@dataclass(frozen=True)
class EntryUpdate:
    """What one entry spends, runs and is asked for, as far as it has changed.

    ``used`` and ``asked`` are sums since the start of the process, and ``running`` is
    what runs now, so that a lost or doubled message counts nothing twice.
    """

    usage: dict[Account, float]
    demand: dict[Model, float]
    work: tuple[UpstreamWork, ...]
    is_full: bool = True
    """Whether this is all; what is not in it is then nothing."""


@message(68)
@dataclass(frozen=True)
class LoadRequest:
    """Asks the holder of the orders lease for a model, or an adapter somewhere."""

    model: Model
    adapter: Adapter | None
    upstream: Upstream | None
    demand: float = 0.0
    """What callers have asked of the model at the sender, as in ``NodeNews``."""


@message(71)
@dataclass(frozen=True)
class InventoryUpdate:
    """What an engine holds, from the one that gives it orders."""

    upstream: Upstream
    started_at_ms: int
    order_count: int
    models: dict[Model, tuple[Adapter, ...]]
    loading: dict[Model, float]
    """Models that are being loaded, with the seconds left."""
    epoch: Epoch = Epoch(0)
    sequence: int = 0
    """Rises with each message under an epoch; they reach an entry by several ways."""


@message(63)
@dataclass(frozen=True)
class LeaseRenewed:
    """The holder of the lease tells the version that it wrote ``age`` seconds ago."""

    version: int
    age_s: float


@message(64)
@dataclass(frozen=True)
class StoreProbe:
    """The holder of the lease can't reach the store and asks whether others can."""

    epoch: Epoch


@message(65)
@dataclass(frozen=True)
class StoreProbeReply:
    """Answers a ``StoreAsk`` of an epoch."""

    epoch: Epoch
    reachable: bool


@message(66)
@dataclass(frozen=True)
class LeaseReleased:
    """The sender gives orders under an epoch no more.

    ``ages`` are the seconds since its last order to each engine.
    """

    epoch: Epoch
    order_ages_s: dict[Upstream, float]


@dataclass(frozen=True)
class BroadcastItem:
    """One message that goes to all entries, by whatever way it reaches them."""

    origin: Vm
    incarnation: Incarnation
    sequence: int
    """Rises with each message of its origin's process."""
    age_ms: int
    """How long it has waited in entries that passed it on."""
    body: bytes


@message(69)
@dataclass(frozen=True)
class BroadcastBatch:
    """Messages for all, from one neighbour to another; an empty one tells it lives."""

    direction: Way
    items: tuple[BroadcastItem, ...]


@dataclass(frozen=True)
class CrashReport:
    """An upstream that may have crashed, and the calls that were lost there."""

    upstream: Upstream
    started_at_ms: int
    age_ms: int
    confirmed: bool
    """Whether the upstream takes no connections any more."""
    lost: dict[Fingerprint, bool]
    """Whether each had just begun to run, or not answered yet."""


@dataclass(frozen=True)
class LivenessReport:
    """An upstream that lived some milliseconds ago."""

    upstream: Upstream
    started_at_ms: int
    age_ms: int


@dataclass(frozen=True)
class Trial:
    """A suspected call that runs at an upstream, or is about to run at one."""

    fingerprint: Fingerprint
    upstream: Upstream | None


@message(72)
@dataclass(frozen=True)
class CrashUpdate:
    """What one entry saw of crashes and of the calls that may be to blame.

    ``crashes``, ``alive`` and ``completed`` are told again for a while, and count once.
    """

    crashes: tuple[CrashReport, ...]
    alive: tuple[LivenessReport, ...]
    completed: dict[Fingerprint, int]
    """Milliseconds since suspected calls came to their end."""
    trials: tuple[Trial, ...]
    """All that run at the sender now, or are about to."""
    blocked: dict[Fingerprint, int]
    """Seconds for which calls stay blocked."""


@dataclass(frozen=True)
class ReportedLimit:
    """What an upstream's newest answer says of its limit."""

    upstream: Upstream
    started_at_ms: int
    is_limited: bool
    """Whether it names one; it has ended if not."""
    rate_per_s: float | None
    """None if it can't be read."""
    age_ms: int


@message(76)
@dataclass(frozen=True)
class EraUpdate:
    """The store has come back from a copy; ``era`` rises each time."""

    era: int


@message(73)
@dataclass(frozen=True)
class LimitUpdate:
    """Limits that upstreams told the sender, or that have ended."""

    limits: tuple[ReportedLimit, ...]


@message(74)
@dataclass(frozen=True)
class LimitRequest:
    """Asks the coordinator for a place at an upstream that takes ``rate`` a second."""

    upstream: Upstream
    started_at_ms: int
    rate: float


@message(75)
@dataclass(frozen=True)
class LimitGrant:
    """Answers a ``LimitAsk``: a place now, or milliseconds until it may ask again."""

    upstream: Upstream
    started_at_ms: int
    recipient: Vm
    wait_ms: int
