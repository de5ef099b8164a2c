"""Parsed headers of requests and replies, and fingerprints of requests."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from ..ids import (
    PART_PREFIX,
    Account,
    Adapter,
    Cause,
    Fingerprint,
    Model,
    PartId,
    RequestId,
    Upstream,
)

FINGERPRINT_BYTES: Final = 12
MAX_PART_NAME: Final = 32
"""Characters of a name of a part; longer names are hashed."""


def fingerprint(path: str, account: Account | None, body: bytes) -> Fingerprint:
    """Return a hash that is equal for all repeats of a request.

    Repeats have the same path, account and body but different request ids.
    """
    digest = hashlib.blake2b(body, digest_size=FINGERPRINT_BYTES)
    # Paths and accounts contain no NUL byte, so the separator is unambiguous.
    digest.update(b"\0".join((b"", path.encode(), (account or "").encode())))
    return Fingerprint(Cause(digest.hexdigest()))


@dataclass(frozen=True)
class PromptPart:
    """Part of a prompt that several requests may share, and its length in tokens."""

    name: str
    tokens: int


def shared_parts(parts: Sequence[PromptPart]) -> tuple[PartId, ...]:
    """Return the parts that a request may share with others, without duplicates.

    The last part belongs to the request or its session alone.
    """
    return tuple(dict.fromkeys(_part_id(part.name) for part in parts[:-1]))


def _part_id(name: str) -> PartId:
    lowered = name.lower()
    if len(lowered) > MAX_PART_NAME or not (lowered.isascii() and lowered.isalnum()):
        digest = hashlib.blake2b(lowered.encode(), digest_size=FINGERPRINT_BYTES)
        lowered = f"h{digest.hexdigest()}"
    return PartId(Cause(f"{PART_PREFIX}{lowered}"))


@dataclass(frozen=True)
class CallerHeaders:
    """Parsed headers of a caller's request.

    ``timeout_s`` is the time for which the caller waits for the answer.
    """

    request_id: RequestId
    timeout_s: float | None
    api_key: str | None
    model: Model | None
    adapter: Adapter | None
    prompt_tokens: int
    output_tokens: int
    has_token_counts: bool
    """Whether the caller sent token counts."""
    prompt_parts: tuple[PromptPart, ...]
    last_event_id: str | None
    resumes: RequestId
    """Attempt that brought the first event of the stream to resume, if stated."""
    has_valid_resumption: bool
    """Whether the headers that state what to resume are well-formed or absent."""


@dataclass(frozen=True)
class ServerLoad:
    """Numbers of running requests, waiting requests and slots of an upstream."""

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
    """How many times as long as usual work takes at the moment; None if not stated."""


@dataclass(frozen=True)
class RateLimit:
    """Requests per second that an upstream accepts from all entries together.

    ``per_second`` is None if the header has no valid number.
    """

    per_second: float | None


@dataclass(frozen=True)
class ReplyHeaders:
    """Parsed headers of an upstream's reply."""

    has_signature: bool
    """Whether the reply is signed by the upstream that ran the request."""
    not_run: bool
    """Whether the upstream reports that the request was not run."""
    request_id: RequestId | None
    instance: Upstream | None
    load: ServerLoad | None
    limit: RateLimit | None
    """None if the reply states no limit."""
    leaving: bool
    """Whether the upstream reports that it is leaving."""
    backoff_s: float | None
    """Seconds for which an upstream that rejects a request wants no others."""
    cold_s: float
    """Seconds for which the upstream stays slow after its start."""
    idle_timeout_s: float | None
    """Seconds after which the upstream closes an idle connection."""
