"""Detection of references to missing entries of the configuration."""

from collections.abc import Iterator
from dataclasses import dataclass
from fnmatch import filter as matching

from .changes import EntryKind, Ref
from .model import Catalog, KeyState


@dataclass(frozen=True)
class DanglingRef:
    """Entry whose ``key`` refers to a missing or unsuitable entry."""

    entry: Ref
    key: str
    expected: str

    def __str__(self) -> str:
        return f"{self.entry}: {self.key}: {self.expected}"


def _check_accounts(catalog: Catalog) -> Iterator[DanglingRef]:
    for entry in catalog.accounts.values():
        if entry.plan not in catalog.plans:
            ref = Ref(EntryKind.ACCOUNT, entry.name)
            yield DanglingRef(ref, "plan", f"no plan named {entry.plan!r}")


def _check_plans(catalog: Catalog) -> Iterator[DanglingRef]:
    for entry in catalog.plans.values():
        ref = Ref(EntryKind.PLAN, entry.name)
        for model in entry.models:
            if model not in catalog.models and not matching(catalog.models, model):
                yield DanglingRef(ref, "models", f"no model matches {model!r}")
        for service in entry.services:
            exists = service in catalog.services
            if not exists and not matching(catalog.services, service):
                yield DanglingRef(ref, "services", f"no service matches {service!r}")


def _check_models(catalog: Catalog) -> Iterator[DanglingRef]:
    for entry in catalog.models.values():
        if entry.base is None:
            continue
        base = catalog.models.get(entry.base)
        ref = Ref(EntryKind.MODEL, entry.name)
        if base is None:
            yield DanglingRef(ref, "base", f"no model named {entry.base!r}")
        elif base.base is not None:
            yield DanglingRef(ref, "base", f"{entry.base!r} is an adapter itself")


def _check_keys(catalog: Catalog) -> Iterator[DanglingRef]:
    for entry in catalog.keys.values():
        active = entry.state is KeyState.ACTIVE
        if active and entry.account not in catalog.accounts:
            ref = Ref(EntryKind.KEY, entry.hash)
            yield DanglingRef(ref, "account", f"no account named {entry.account!r}")


def find_dangling(catalog: Catalog) -> tuple[DanglingRef, ...]:
    """Return all dangling references of a catalog."""
    return (
        *_check_accounts(catalog),
        *_check_plans(catalog),
        *_check_models(catalog),
        *_check_keys(catalog),
    )
