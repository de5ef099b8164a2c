"""Numbered changes, the only way to modify the configuration."""

import secrets
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from typing import Final, NewType, TypeVar

from returns.result import Failure as Err
from returns.result import Result, Success

from ..ids import Account, ConfigVersion, KeyHash, Model, Plan, Service
from .model import (
    AccountEntry,
    Catalog,
    Entry,
    KeyEntry,
    KeyState,
    ModelEntry,
    PlanEntry,
    ServiceEntry,
)

ChangeId = NewType("ChangeId", str)
"""Random id of a change, by which a writer recognises its own write."""

ID_BYTES: Final = 12

K = TypeVar("K")
V = TypeVar("V")


class EntryKind(Enum):
    """Kind of an entry of the configuration."""

    PLAN = "plan"
    ACCOUNT = "account"
    MODEL = "model"
    SERVICE = "service"
    KEY = "key"


@dataclass(frozen=True)
class Ref:
    """Kind and name of an entry, whether or not the entry exists."""

    kind: EntryKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value} {self.name}"


@dataclass(frozen=True)
class Delta:
    """Entries to add or replace, and references of entries to delete."""

    plans: tuple[PlanEntry, ...] = ()
    accounts: tuple[AccountEntry, ...] = ()
    models: tuple[ModelEntry, ...] = ()
    services: tuple[ServiceEntry, ...] = ()
    keys: tuple[KeyEntry, ...] = ()
    deleted: tuple[Ref, ...] = ()

    def upserts(self) -> Iterator[tuple[Ref, Entry]]:
        """Yield every entry to add or replace, with its reference."""
        for plan in self.plans:
            yield Ref(EntryKind.PLAN, plan.name), plan
        for account in self.accounts:
            yield Ref(EntryKind.ACCOUNT, account.name), account
        for model in self.models:
            yield Ref(EntryKind.MODEL, model.name), model
        for service in self.services:
            yield Ref(EntryKind.SERVICE, service.name), service
        for key in self.keys:
            yield Ref(EntryKind.KEY, key.hash), key

    def changed_refs(self) -> frozenset[Ref]:
        """Return the references of all entries that the delta writes or deletes."""
        return frozenset(ref for ref, _ in self.upserts()) | frozenset(self.deleted)

    def __bool__(self) -> bool:
        return bool(self.changed_refs())


@dataclass(frozen=True)
class Change:
    """One step from version ``number - 1`` to ``number``.

    ``time`` is the wall clock of the operator, for information only. The number
    alone determines the order.
    """

    number: ConfigVersion
    id: ChangeId
    operator: str
    time: float
    delta: Delta


def new_change_id() -> ChangeId:
    """Return a new random change id."""
    return ChangeId(secrets.token_hex(ID_BYTES))


def _merge(old: dict[K, V], upserts: dict[K, V], deleted: set[str]) -> dict[K, V]:
    remaining = {key: entry for key, entry in old.items() if key not in deleted}
    return {**remaining, **upserts}


def apply_delta(catalog: Catalog, delta: Delta, version: ConfigVersion) -> Catalog:
    """Return ``catalog`` with ``delta`` applied, at ``version``."""
    deleted: dict[EntryKind, set[str]] = {kind: set() for kind in EntryKind}
    for ref in delta.deleted:
        deleted[ref.kind].add(ref.name)
    plans = {entry.name: entry for entry in delta.plans}
    accounts = {entry.name: entry for entry in delta.accounts}
    models = {entry.name: entry for entry in delta.models}
    services = {entry.name: entry for entry in delta.services}
    keys = {entry.hash: entry for entry in delta.keys}
    return Catalog(
        version=version,
        plans=_merge(catalog.plans, plans, deleted[EntryKind.PLAN]),
        accounts=_merge(catalog.accounts, accounts, deleted[EntryKind.ACCOUNT]),
        models=_merge(catalog.models, models, deleted[EntryKind.MODEL]),
        services=_merge(catalog.services, services, deleted[EntryKind.SERVICE]),
        keys=_merge(catalog.keys, keys, deleted[EntryKind.KEY]),
    )


def apply(catalog: Catalog, change: Change) -> Result[Catalog, str]:
    """Return the catalog after ``change``, which must have the next number.

    A change that is skipped or applied twice would leave two processes with
    different content at one version, which no later change would repair.
    """
    if change.number != catalog.version + 1:
        return Err(f"change {change.number} does not follow version {catalog.version}")
    return Success(apply_delta(catalog, change.delta, change.number))


def find_entry(catalog: Catalog, ref: Ref) -> Entry | None:
    """Return the entry of a reference, or None if the catalog lacks it."""
    match ref.kind:
        case EntryKind.PLAN:
            return catalog.plans.get(Plan(ref.name))
        case EntryKind.ACCOUNT:
            return catalog.accounts.get(Account(ref.name))
        case EntryKind.MODEL:
            return catalog.models.get(Model(ref.name))
        case EntryKind.SERVICE:
            return catalog.services.get(Service(ref.name))
        case EntryKind.KEY:
            return catalog.keys.get(KeyHash(ref.name))


def _changed_entries(old: dict[K, V], new: dict[K, V]) -> tuple[V, ...]:
    return tuple(entry for key, entry in new.items() if old.get(key) != entry)


def _deleted_refs(kind: EntryKind, old: dict[K, V], new: dict[K, V]) -> tuple[Ref, ...]:
    return tuple(Ref(kind, str(key)) for key in old if key not in new)


def diff(old: Catalog, new: Catalog) -> Delta:
    """Return the delta from ``old`` to ``new``."""
    return Delta(
        plans=_changed_entries(old.plans, new.plans),
        accounts=_changed_entries(old.accounts, new.accounts),
        models=_changed_entries(old.models, new.models),
        services=_changed_entries(old.services, new.services),
        keys=_changed_entries(old.keys, new.keys),
        deleted=_deleted_refs(EntryKind.PLAN, old.plans, new.plans)
        + _deleted_refs(EntryKind.ACCOUNT, old.accounts, new.accounts)
        + _deleted_refs(EntryKind.MODEL, old.models, new.models)
        + _deleted_refs(EntryKind.SERVICE, old.services, new.services)
        + _deleted_refs(EntryKind.KEY, old.keys, new.keys),
    )


def diff_lists(old: Catalog, lists: Catalog) -> Delta:
    """Return the delta from a catalog to the operators' lists, which have no keys.

    The keys of a removed account are withdrawn. Otherwise they would authenticate
    an account of the same name that is added later for another customer.
    """
    keys = {
        key.hash: key
        if key.account in lists.accounts
        else replace(key, state=KeyState.WITHDRAWN)
        for key in old.keys.values()
    }
    return diff(old, replace(lists, keys=keys))
