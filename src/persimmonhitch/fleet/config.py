"""Configuration of the fleet by its operators."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from ..ids import Account, ConfigVersion, Model, Service, Tokens


class RouteKind(Enum):
    """Whether requests of a route may be repeated, and how they are answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    """Answered by a stream of events; not repeated unless the route is resumable."""


@dataclass(frozen=True)
class Target:
    """A service of a route and its weight in the traffic split."""

    service: Service
    weight: float


@dataclass(frozen=True)
class Route:
    """Rules for requests to one host below one path prefix.

    All times are in seconds. ``timeout`` is the time limit of a request,
    ``latency_target`` the latency up to which an answer has its full value, and
    ``token_gap_target`` the longest acceptable gap between events of a stream.
    ``rank`` 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout: float
    latency_target: float
    token_gap_target: float
    rank: int
    max_attempts: int
    public: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Return whether a request may be repeated after it may have run."""
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True)
class ModelSpec:
    """Memory and load times of one model.

    A cold load reads the weights from the weight store. A disk or memory load reads
    weights that are cached on the VM.
    """

    name: Model
    memory_mb: float
    cold_load_s: float
    disk_load_s: float
    memory_load_s: float
    adapter_count: int
    adapter_mb: float


@dataclass(frozen=True)
class EngineSpec:
    """Capacity and models of each engine of a service."""

    slots: int
    kv_tokens: int
    """Capacity of the KV cache."""
    memory_mb: float
    adapter_slots: int
    cold_loads_per_s: float
    """Cold loads that all engines together may start per second."""
    models: Mapping[Model, ModelSpec]


@dataclass(frozen=True)
class ServiceSpec:
    """One service; ``engine`` is None if it serves no models."""

    name: Service
    health_path: str
    max_connections: int
    engine: EngineSpec | None
    cold_start_s: float = 0.0
    """Seconds for which an upstream is slow after its start."""
    cold_requests_per_s: float = 0.0
    """Requests per second that a cold upstream tolerates; 0 for no limit."""


@dataclass(frozen=True)
class AccountSpec:
    """One client account.

    ``rate`` is in tokens per second, 0 for no limit, and ``burst`` in tokens.
    """

    name: Account
    rank: int | None
    """Rank that overrides that of the route; None for no override."""
    rate: float
    burst: float
    flat_cost: Tokens
    """Cost of a request without token counts."""


@dataclass(frozen=True)
class FleetConfig:
    """One version of the complete configuration."""

    version: ConfigVersion
    routes: tuple[Route, ...] = ()
    services: Mapping[Service, ServiceSpec] = field(default_factory=dict)
    accounts: Mapping[Account, AccountSpec] = field(default_factory=dict)
    keys: Mapping[str, Account] = field(default_factory=dict)


EMPTY_CONFIG = FleetConfig(ConfigVersion(0))
"""Configuration until the first version is read from the store."""
