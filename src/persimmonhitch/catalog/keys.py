"""Issue, withdrawal and authentication of the keys of client accounts."""

import hashlib
import hmac
import secrets
from dataclasses import replace
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..ids import Account, KeyHash
from ..verdict import ErrorCode, Failure
from .changes import Delta
from .model import Catalog, KeyEntry, KeyState

PREFIX: Final = "phk_"
"""Prefix by which scanners of repositories and logs recognise a leaked key."""
KEY_BYTES: Final = 32
MIN_PREFIX_LENGTH: Final = 8
"""Minimum characters of a hash to select a key: one of 4 thousand million values."""
SCHEME: Final = "bearer"


def hash_key(key: str) -> KeyHash:
    """Return the hash under which a key is stored.

    A plain digest is sufficient: a key has 256 random bits and cannot be guessed,
    so a slow password hash would add no protection. The hash is computed for
    every request.
    """
    return KeyHash(hashlib.sha256(key.encode(errors="replace")).hexdigest())


def issue(catalog: Catalog, account: Account) -> Result[tuple[str, Delta], str]:
    """Return a new key, to be shown only once, and the delta that adds the key."""
    if account not in catalog.accounts:
        return Err(f"no account named {account!r}")
    key = PREFIX + secrets.token_urlsafe(KEY_BYTES)
    entry = KeyEntry(hash_key(key), account, KeyState.ACTIVE)
    return Success((key, Delta(keys=(entry,))))


def find(catalog: Catalog, prefix: str) -> Result[KeyEntry, str]:
    """Return the only key whose hash starts with ``prefix``."""
    if len(prefix) < MIN_PREFIX_LENGTH:
        return Err(f"give at least {MIN_PREFIX_LENGTH} characters of the hash")
    matches = [key for key in catalog.keys.values() if key.hash.startswith(prefix)]
    if len(matches) != 1:
        return Err(f"{len(matches)} keys have a hash that starts with {prefix!r}")
    return Success(matches[0])


def withdraw(catalog: Catalog, prefix: str) -> Result[Delta, str]:
    """Return the delta that withdraws a key, empty if the key is already withdrawn."""
    return find(catalog, prefix).map(_withdrawal)


def _withdrawal(key: KeyEntry) -> Delta:
    if key.state is KeyState.WITHDRAWN:
        return Delta()
    return Delta(keys=(replace(key, state=KeyState.WITHDRAWN),))


def bearer_key(header: str | None) -> str | None:
    """Return the bearer key of an ``Authorization`` header, or None."""
    scheme, _, key = (header or "").strip().partition(" ")
    if scheme.lower() != SCHEME or not key.strip():
        return None
    return key.strip()


def _refusal(message: str) -> Err[Failure]:
    return Err(Failure(ErrorCode.UNAUTHENTICATED, message))


def authenticate(catalog: Catalog, presented: str | None) -> Result[Account, Failure]:
    """Return the account of the presented key.

    The lookup uses the digest of the key, so its duration reveals nothing that
    helps to choose the next guess. The comparison takes constant time.
    """
    if not presented:
        return _refusal("a key is needed: Authorization: Bearer KEY")
    digest = hash_key(presented)
    entry = catalog.keys.get(digest)
    if entry is None or not hmac.compare_digest(entry.hash, digest):
        return _refusal("the key is not known")
    if entry.state is not KeyState.ACTIVE:
        return _refusal("the key was withdrawn")
    if catalog.plan_of(entry.account) is None:
        return _refusal("the account of this key was removed")
    return Success(entry.account)
