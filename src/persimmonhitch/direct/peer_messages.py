"""Messages between the entries of a fleet."""

from dataclasses import dataclass

from ..decide.overlay import RelayDirection
from ..ids import (
    Account,
    Adapter,
    Cause,
    Epoch,
    Fingerprint,
    Incarnation,
    Model,
    PartId,
    RequestId,
    Service,
    SoftwareVersion,
    Upstream,
    Vm,
)
from ..wire.codec import message


@dataclass(frozen=True)
class ModelUse:
    """A model that running requests use, with its adapter if any."""

    model: Model
    adapter: Adapter | None


@dataclass(frozen=True)
class UpstreamWork:
    """Requests of one entry that run at one upstream."""

    upstream: Upstream
    requests: int
    kv_tokens: int
    """Prompt tokens plus the output limits: the memory that the requests may use."""
    prefill_tokens: int
    """Prompt tokens of requests that have not returned their first token yet, in tokens
    of the reference model where models differ in the time that they take."""
    model_uses: tuple[ModelUse, ...] = ()


@message(67)
@dataclass(frozen=True)
class EntryUpdate:
    """Token usage, demand and running work of one entry, in full or as a delta.

    ``usage`` and ``demand`` are totals since the process started, and ``work`` is the
    current state, so lost or duplicated messages cause no wrong count.
    """

    usage: dict[Account, float]
    demand: dict[Model, float]
    work: tuple[UpstreamWork, ...]
    is_full: bool = True
    """Whether the update is complete, so that upstreams absent from it have no work."""


@message(68)
@dataclass(frozen=True)
class LoadRequest:
    """Asks the leader to load a model, or an adapter at a given upstream."""

    model: Model
    adapter: Adapter | None
    upstream: Upstream | None
    demand: float = 0.0
    """Demand for the model at the sender, as in ``EntryUpdate``."""


@message(71)
@dataclass(frozen=True)
class InventoryUpdate:
    """Models and adapters resident on an engine, as published by the leader."""

    upstream: Upstream
    started_at_ms: int
    order_count: int
    """Number of orders that the engine has accepted since its start."""
    models: dict[Model, tuple[Adapter, ...]]
    loading: dict[Model, float]
    """Models that are loading, with the seconds remaining."""
    epoch: Epoch = Epoch(0)
    sequence: int = 0
    """Increases within an epoch: messages arrive over several paths, out of order."""

    @property
    def inventory_version(self) -> tuple[Epoch, int]:
        """Return the sort key of inventories of an engine, which rises with time."""
        return self.epoch, self.sequence


@message(81)
@dataclass(frozen=True)
class DrainUpdate:
    """Announces that the load in an ``InventoryUpdate`` is not ordered yet.

    It waits for requests of evicted models; until then the engine accepts orders for
    adapters. ``epoch`` and ``sequence`` are those of the ``InventoryUpdate``.
    """

    upstream: Upstream
    started_at_ms: int
    epoch: Epoch
    sequence: int

    @property
    def inventory_version(self) -> tuple[Epoch, int]:
        """Return the version of the inventory that the message belongs to."""
        return self.epoch, self.sequence


@message(63)
@dataclass(frozen=True)
class LeaseRenewed:
    """Version of the orders lease that the leader wrote ``age_s`` seconds ago."""

    version: int
    age_s: float


@message(64)
@dataclass(frozen=True)
class StoreProbe:
    """Sent by a leader that can't reach the store, to ask whether peers can."""

    epoch: Epoch


@message(65)
@dataclass(frozen=True)
class StoreProbeReply:
    """Reply to the ``StoreProbe`` of an epoch."""

    epoch: Epoch
    reachable: bool


@message(66)
@dataclass(frozen=True)
class LeaseReleased:
    """Announces that the sender sends no more orders under an epoch.

    ``order_ages_s`` are the seconds since its last order to each engine.
    """

    epoch: Epoch
    order_ages_s: dict[Upstream, float]


@dataclass(frozen=True)
class BroadcastItem:
    """One message to all entries, independent of the path that delivers it."""

    origin: Vm
    incarnation: Incarnation
    sequence: int
    """Increases with each message of the origin's process."""
    age_ms: int
    """Total time spent in the queues of the entries that relayed the message."""
    body: bytes


@message(69)
@dataclass(frozen=True)
class BroadcastBatch:
    """Broadcast items sent to one neighbour; an empty batch is a heartbeat."""

    direction: RelayDirection
    items: tuple[BroadcastItem, ...]


@dataclass(frozen=True)
class CrashReport:
    """An upstream that may have crashed, and the requests that were lost with it."""

    upstream: Upstream
    started_at_ms: int
    age_ms: int
    """Time since the newest loss of a connection."""
    confirmed: bool
    """Whether the end of the upstream process is confirmed."""
    lost: dict[Fingerprint, bool]
    """For each request, whether its answer started recently or was yet to start."""


@dataclass(frozen=True)
class LivenessReport:
    """An upstream that was alive ``age_ms`` milliseconds ago."""

    upstream: Upstream
    started_at_ms: int
    age_ms: int


@dataclass(frozen=True)
class Trial:
    """Isolated run of a suspect; ``upstream`` is None until it starts."""

    cause: Cause
    upstream: Upstream | None


@message(72)
@dataclass(frozen=True)
class CrashUpdate:
    """Crashes that one entry observed, and the state of the suspect requests.

    ``crashes``, ``alive`` and ``completed`` are resent for a while; receivers count
    each item once.
    """

    crashes: tuple[CrashReport, ...]
    alive: tuple[LivenessReport, ...]
    completed: dict[Cause, int]
    """Milliseconds since each of these suspects completed."""
    trials: tuple[Trial, ...]
    """All trials that the sender runs or has announced."""
    blocked: dict[Cause, int]
    """Seconds for which each cause remains blocked."""


@dataclass(frozen=True)
class LostParts:
    """Prompt parts of requests lost with an upstream, as far as none has completed."""

    upstream: Upstream
    started_at_ms: int
    lost: dict[Fingerprint, tuple[PartId, ...]]


@message(80)
@dataclass(frozen=True)
class LostPartsUpdate:
    """Lost prompt parts of crashes that the sender reports in a ``CrashUpdate``."""

    crashes: tuple[LostParts, ...]


@dataclass(frozen=True)
class ReportedLimit:
    """Request limit in the newest answer of an upstream."""

    upstream: Upstream
    started_at_ms: int
    is_limited: bool
    """Whether the answer has a limit; if not, the limit has been lifted."""
    rate_per_s: float | None
    """None if the limit can't be parsed."""
    age_ms: int
    """Time since the answer."""


@message(76)
@dataclass(frozen=True)
class EraUpdate:
    """Announces a restore of the store from an older copy, which increases ``era``."""

    era: int


@message(73)
@dataclass(frozen=True)
class LimitUpdate:
    """Request limits that upstreams reported to the sender or have lifted."""

    limits: tuple[ReportedLimit, ...]


@message(74)
@dataclass(frozen=True)
class LimitRequest:
    """Asks the leader for a grant at an upstream limited to ``rate`` requests/s."""

    upstream: Upstream
    started_at_ms: int
    rate: float


@message(75)
@dataclass(frozen=True)
class LimitGrant:
    """Reply to a ``LimitRequest``: permission for one request, or a wait."""

    upstream: Upstream
    started_at_ms: int
    recipient: Vm
    wait_ms: int
    """0 if a request may be sent now."""


@message(77)
@dataclass(frozen=True)
class LeavingUpdate:
    """Announces that an answer of an upstream reports that it leaves."""

    upstream: Upstream
    started_at_ms: int


@dataclass(frozen=True)
class BegunStream:
    """A stream and the software version of the upstream that began it.

    ``version`` is None if two instances with different versions may have begun it.
    """

    request: RequestId
    account: Account | None
    service: Service
    version: SoftwareVersion | None
    age_ms: int


@message(78)
@dataclass(frozen=True)
class StreamsBegan:
    """Streams that the sender has begun while several versions may be serving."""

    streams: tuple[BegunStream, ...]


@dataclass(frozen=True)
class SeenVersion:
    """A software version of a service, last listed ``age_ms`` milliseconds ago."""

    service: Service
    version: SoftwareVersion
    age_ms: int


@message(79)
@dataclass(frozen=True)
class VersionsSeen:
    """Software versions listed in the last ``since_ms`` milliseconds."""

    since_ms: int
    versions: tuple[SeenVersion, ...]


@message(84)
@dataclass(frozen=True)
class StreamQuery:
    """Asks which software version began a stream; its entry sends ``StreamsBegan``."""

    request: RequestId


@message(82)
@dataclass(frozen=True)
class HistoryRequest:
    """Asks neighbours for the versions listed before the sender's list was complete."""

    number: int
    """Number of times that the sender's list has missed changes."""
    since_ms: int
    """Time for which the sender's history is complete."""


@message(83)
@dataclass(frozen=True)
class HistoryReply:
    """The history of a neighbour, complete up to the request."""

    number: int
    """Number of the ``HistoryRequest``."""
    seen: VersionsSeen
