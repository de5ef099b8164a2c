"""The configuration in force: plans, accounts, models, services and keys."""

from dataclasses import dataclass, field
from enum import Enum
from fnmatch import fnmatchcase
from typing import Final

from ..ids import Account, Adapter, ConfigVersion, KeyHash, Model, Plan, Service
from ..wire.messages import Priority


class KeyState(Enum):
    """Whether a key may be used."""

    ACTIVE = "active"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True)
class PlanEntry:
    """What one plan may use, and how much.

    ``rate`` is tokens a second, ``burst`` tokens, both for each account over the
    whole fleet; ``weight`` is its share of a busy upstream against others.
    """

    name: Plan
    rate: float
    burst: float
    weight: float
    priority: Priority
    models: tuple[Model, ...]
    """Names or patterns such as ``desk-*``."""
    services: tuple[Service, ...]
    """Names or patterns."""

    def may_use_model(self, model: Model) -> bool:
        """Return whether the plan's accounts may call a model or adapter."""
        return any(fnmatchcase(model, pattern) for pattern in self.models)

    def may_use_service(self, service: Service) -> bool:
        """Return whether the plan's accounts may call a service."""
        return any(fnmatchcase(service, pattern) for pattern in self.services)


@dataclass(frozen=True)
class AccountEntry:
    """A client account and its plan."""

    name: Account
    plan: Plan


@dataclass(frozen=True)
class ModelEntry:
    """A model; an adapter names its ``base``. Memory is in GiB."""

    name: Model
    memory: float
    revision: str
    base: Model | None
    kv_memory: float
    """GiB of KV cache that a copy needs beside its weights."""


@dataclass(frozen=True)
class RouteEntry:
    """Calls of a service that match; the first match decides.

    ``repeatable`` says whether a call may be sent again.
    """

    method: str
    path: str
    repeatable: bool

    def matches(self, method: str, path: str) -> bool:
        """Return whether a call falls under this route."""
        return self.method in ("*", method) and fnmatchcase(path, self.path)


@dataclass(frozen=True)
class ServiceEntry:
    """A plain service, its upstreams by name prefix and its routes."""

    name: Service
    cost: float
    """Tokens that one call costs its account."""
    routes: tuple[RouteEntry, ...]

    def repeatable(self, method: str, path: str) -> bool:
        """Return whether a call may be repeated; without a route it may not."""
        for route in self.routes:
            if route.matches(method, path):
                return route.repeatable
        return False


@dataclass(frozen=True)
class KeyEntry:
    """A key by its hash."""

    hash: KeyHash
    account: Account
    state: KeyState


Entry = PlanEntry | AccountEntry | ModelEntry | ServiceEntry | KeyEntry


@dataclass(frozen=True)
class Catalog:
    """All entries in force at one version."""

    version: ConfigVersion = ConfigVersion(0)
    plans: dict[Plan, PlanEntry] = field(default_factory=dict)
    accounts: dict[Account, AccountEntry] = field(default_factory=dict)
    models: dict[Model, ModelEntry] = field(default_factory=dict)
    services: dict[Service, ServiceEntry] = field(default_factory=dict)
    keys: dict[KeyHash, KeyEntry] = field(default_factory=dict)

    def plan_of(self, account: Account) -> PlanEntry | None:
        """Return the plan of an account, or None for an unknown one."""
        entry = self.accounts.get(account)
        return None if entry is None else self.plans.get(entry.plan)


EMPTY: Final = Catalog()

__all__ = [
    "EMPTY",
    "AccountEntry",
    "Adapter",
    "Catalog",
    "Entry",
    "KeyEntry",
    "KeyState",
    "ModelEntry",
    "PlanEntry",
    "RouteEntry",
    "ServiceEntry",
]
