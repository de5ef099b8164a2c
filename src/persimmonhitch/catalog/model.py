"""Entries of the configuration: plans, accounts, models, services and keys."""

from dataclasses import dataclass, field
from enum import Enum
from fnmatch import fnmatchcase
from typing import Final

from ..ids import Account, Adapter, ConfigVersion, KeyHash, Model, Plan, Service
from ..wire.messages import Priority


class KeyState(Enum):
    """State of a key; only active keys authenticate."""

    ACTIVE = "active"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True)
class PlanEntry:
    """Models and services that the accounts of a plan may use, and their limits.

    ``rate`` in tokens a second and ``burst`` in tokens apply to each account over
    the whole fleet. ``weight`` is the relative share of an account of a busy
    upstream.
    """

    name: Plan
    rate: float
    burst: float
    weight: float
    priority: Priority
    models: tuple[Model, ...]
    """Names or patterns, for example ``desk-*``."""
    services: tuple[Service, ...]
    """Names or patterns."""

    def may_use_model(self, model: Model) -> bool:
        """Return whether accounts of the plan may use a model or adapter."""
        return any(fnmatchcase(model, pattern) for pattern in self.models)

    def may_use_service(self, service: Service) -> bool:
        """Return whether accounts of the plan may use a service."""
        return any(fnmatchcase(service, pattern) for pattern in self.services)


@dataclass(frozen=True)
class AccountEntry:
    """A client account and its plan."""

    name: Account
    plan: Plan


@dataclass(frozen=True)
class ModelEntry:
    """A model, or an adapter if ``base`` is set. Memory is in GiB."""

    name: Model
    memory: float
    revision: str
    base: Model | None
    kv_memory: float
    """GiB of KV cache that a copy needs in addition to its weights."""


@dataclass(frozen=True)
class RouteEntry:
    """Rule for the requests of a service; the first matching route applies.

    ``repeatable`` states whether a request may be sent again.
    """

    method: str
    path: str
    repeatable: bool

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request matches this route."""
        return self.method in ("*", method) and fnmatchcase(path, self.path)


@dataclass(frozen=True)
class ServiceEntry:
    """A service without models, its cost and its routes."""

    name: Service
    cost: float
    """Tokens charged to the account for a request."""
    routes: tuple[RouteEntry, ...]

    def repeatable(self, method: str, path: str) -> bool:
        """Return whether a request may be sent again; False if no route matches."""
        for route in self.routes:
            if route.matches(method, path):
                return route.repeatable
        return False


@dataclass(frozen=True)
class KeyEntry:
    """A key, identified by its hash."""

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
        """Return the plan of an account, or None if account or plan is unknown."""
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
