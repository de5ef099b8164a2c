"""One call as its caller describes it, and what an upstream's answer says."""

import hashlib
from dataclasses import dataclass
from typing import Final

from ..ids import Account, Adapter, Fingerprint, Model, RequestId, Upstream

FINGERPRINT_BYTES: Final = 12


def fingerprint(path: str, account: Account | None, body: bytes) -> Fingerprint:
    """Return what a call has in common with its repeats under other request ids."""
    digest = hashlib.blake2b(body, digest_size=FINGERPRINT_BYTES)
    # Neither a path nor an account holds the byte that ends them here.
    digest.update(b"\0".join((b"", path.encode(), (account or "").encode())))
    return Fingerprint(digest.hexdigest())


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other calls may share, and its tokens."""

    name: str
    tokens: int


@dataclass(frozen=True)
class CallerHeaders:
    """What the headers of a call say; ``patience`` is seconds the caller waits."""

    request_id: RequestId
    timeout_s: float | None
    api_key: str | None
    model: Model | None
    adapter: Adapter | None
    prompt_tokens: int
    output_tokens: int
    has_token_counts: bool
    """Whether the call came with its own count of tokens."""
    prompt_parts: tuple[PromptPart, ...]
    last_event_id: str | None


@dataclass(frozen=True)
class ServerLoad:
    """Requests that an upstream runs, that wait there, and its places."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class RateLimit:
    """Requests a second that an upstream takes from all entries together.

    ``per_second`` is None if what it says can't be read.
    """

    per_second: float | None


@dataclass(frozen=True)
class ReplyHeaders:
    """What the headers of an upstream's answer say besides its content."""

    has_signature: bool
    """Whether the answer is the upstream's own word on a request it ran."""
    not_run: bool
    request_id: RequestId | None
    instance: Upstream | None
    load: ServerLoad | None
    limit: RateLimit | None
    """None if it names no limit."""
    retry_after: float | None
    idle_timeout_s: float | None
    """Seconds after which the upstream closes an idle connection."""
