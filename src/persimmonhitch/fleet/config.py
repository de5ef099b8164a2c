"""The operators' configuration of a fleet whose upstreams are called directly."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from ..ids import Account, ConfigVersion, Model, Service, Tokens


class CallKind(Enum):
    """What may be done again with the calls of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    """Answered by events; runs at most once unless the route may be resumed."""


@dataclass(frozen=True)
class Target:
    """One service of a route and its part of the route's calls."""

    service: Service
    weight: float


@dataclass(frozen=True)
class Route:
    """Calls of one host below one path.

    ``timeout``, ``aim`` and ``gap_aim`` are seconds: how long a caller is kept, up
    to when an answer has its full worth, and the longest pause within a stream.
    ``rank`` 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
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
        """Return whether a call may run again after it may have run."""
        return self.kind is CallKind.IDEMPOTENT


@dataclass(frozen=True)
class ModelSpec:
    """One model; memory in MB, times of a load in seconds by where its weights are."""

    name: Model
    memory_mb: float
    cold_load_s: float
    disk_load_s: float
    memory_load_s: float
    adapter_count: int
    adapter_mb: float


@dataclass(frozen=True)
class EngineSpec:
    """What every engine of a service offers; memory in MB."""

    slots: int
    kv_tokens: int
    memory_mb: float
    adapter_slots: int
    loads_per_second: float
    """Loads from the weight store that all engines together may begin."""
    models: Mapping[Model, ModelSpec]


@dataclass(frozen=True)
class ServiceSpec:
    """One service; ``engine`` is None for a plain one."""

    name: Service
    health_path: str
    max_connections: int
    engine: EngineSpec | None


@dataclass(frozen=True)
class AccountSpec:
    """One client account; a rate of 0 has no limit."""

    name: Account
    rank: int | None
    """Replaces the rank of the route where it is given."""
    rate: float
    burst: float
    flat_cost: Tokens
    """Tokens that a call without a count of its own costs."""


@dataclass(frozen=True)
class FleetConfig:
    """One version of the whole configuration."""

    version: ConfigVersion
    routes: tuple[Route, ...] = ()
    services: Mapping[Service, ServiceSpec] = field(default_factory=dict)
    accounts: Mapping[Account, AccountSpec] = field(default_factory=dict)
    keys: Mapping[str, Account] = field(default_factory=dict)


EMPTY_CONFIG = FleetConfig(ConfigVersion(0))
"""Stands for the configuration until one has been read."""
