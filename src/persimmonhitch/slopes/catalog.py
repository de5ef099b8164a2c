"""Memory and time of the configuration against its size."""

import hashlib
from collections.abc import Iterator, Sequence
from dataclasses import replace
from typing import Final

from ..catalog.changes import Delta, apply_delta
from ..catalog.model import (
    EMPTY,
    AccountEntry,
    Catalog,
    KeyEntry,
    KeyState,
    ModelEntry,
    PlanEntry,
)
from ..ids import Account, ConfigVersion, KeyHash, Model, Plan
from ..wire.messages import Priority
from .base import MICRO, SLOPES, Reading, Slope, resident, seconds_each

KIB: Final = 1024


def _hash(number: int) -> KeyHash:
    return KeyHash(hashlib.sha256(str(number).encode()).hexdigest())


def key(number: int) -> KeyEntry:
    """Return a key; ten keys share an account."""
    return KeyEntry(_hash(number), Account(f"account-{number // 10}"), KeyState.ACTIVE)


def account(number: int) -> AccountEntry:
    """Return one account."""
    return AccountEntry(Account(f"account-{number}"), Plan(f"plan-{number // 10}"))


def model(number: int) -> ModelEntry:
    """Return one model."""
    return ModelEntry(Model(f"model-{number}"), 14.0, f"r{number}", None, 8.0)


def plan(number: int) -> PlanEntry:
    """Return one plan that may use thirty models."""
    names = tuple(Model(f"model-{number + i}") for i in range(30))
    interactive = Priority.INTERACTIVE
    return PlanEntry(Plan(f"plan-{number}"), 1e3, 5e3, 1.0, interactive, names, ())


def catalog(size: int) -> Catalog:
    """Return a catalog with ``size`` keys and models and a tenth as many accounts."""
    keys = [key(number) for number in range(size)]
    accounts = [account(number) for number in range(size // 10 + 1)]
    models = [model(number) for number in range(size)]
    plans = [plan(number) for number in range(size // 100 + 1)]
    return Catalog(
        ConfigVersion(size),
        {each.name: each for each in plans},
        {each.name: each for each in accounts},
        {each.name: each for each in models},
        {},
        {each.hash: each for each in keys},
    )


def run_keys(sizes: Sequence[int]) -> Iterator[Reading]:
    """Measure keys only: memory and the look-up of one."""
    before = resident()
    keys: dict[KeyHash, KeyEntry] = {}
    for size in sizes:
        fresh = (key(number) for number in range(len(keys), size))
        keys.update({each.hash: each for each in fresh})
        wanted, held = _hash(size // 2), (resident() - before) / KIB
        found = seconds_each(lambda w=wanted: keys.get(w))  # type: ignore[misc]
        yield Reading(size, (("memory KiB", held), ("look-up us", found * MICRO)))


def run_catalog(sizes: Sequence[int]) -> Iterator[Reading]:
    """Measure a whole catalog, and the next one with one key changed."""
    before = resident()
    held: list[Catalog] = [EMPTY]
    for size in sizes:
        held[0] = EMPTY
        held[0] = catalog(size)
        changed = seconds_each(lambda: _with_key(held[0]))
        memory = (resident() - before) / KIB
        yield Reading(size, (("memory KiB", memory), ("change us", changed * MICRO)))


def _with_key(old: Catalog) -> Catalog:
    entry = replace(key(0), state=KeyState.WITHDRAWN)
    return apply_delta(old, Delta(keys=(entry,)), ConfigVersion(old.version + 1))


SLOPES.register("keys")(Slope("keys", (10, 100, 1000, 5500, 55_000), run_keys))
SLOPES.register("catalog")(Slope("keys and models", (10, 100, 1000, 5500), run_catalog))
