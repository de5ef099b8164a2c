"""Messages between entries, sidecars and the planner."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from ..ids import (
    Account,
    Adapter,
    ConfigVersion,
    Epoch,
    Incarnation,
    Model,
    RequestId,
    Tokens,
    Upstream,
    Vm,
    Zone,
)
from ..verdict import ErrorCode, Failure, Verdict
from .codec import message

PROTOCOL: Final = 1


class Role(Enum):
    """Which program speaks on a link."""

    ENTRY = "entry"
    SIDECAR = "sidecar"
    PLANNER = "planner"


class Priority(Enum):
    """How urgent a request is."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class UpstreamKind(Enum):
    """What stands behind a sidecar."""

    ENGINE = "engine"
    SERVICE = "service"


@message(1)
@dataclass(frozen=True)
class Hello:
    """First message of the side that opened the link."""

    protocol: int
    role: Role
    vm: Vm
    zone: Zone
    incarnation: Incarnation
    version: ConfigVersion


@message(2)
@dataclass(frozen=True)
class Welcome:
    """First message of a sidecar: who it is and what it holds."""

    protocol: int
    upstream: Upstream
    kind: UpstreamKind
    vm: Vm
    zone: Zone
    incarnation: Incarnation
    version: ConfigVersion
    models: tuple[Model, ...]
    draining: bool


@message(3)
@dataclass(frozen=True)
class Submit:
    """Run one attempt of a request.

    ``deadline`` is seconds from the sending, since clocks of VMs differ.
    ``incarnation`` names the life of the sidecar that may run it; another life
    refuses, because it cannot know what its predecessor ran. ``giver`` is the VM
    whose rate share pays, under that ``generation`` of the account's share record.
    """

    request: RequestId
    attempt: int
    incarnation: Incarnation
    account: Account
    model: Model
    adapter: Adapter | None
    version: ConfigVersion
    priority: Priority
    timeout_s: float
    repeatable: bool
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    cost: Tokens
    traceparent: str
    weight: float
    lender: Vm
    share_generation: int


@message(4)
@dataclass(frozen=True)
class Cancel:
    """Stop an attempt whose caller has gone or whose time is up."""

    request: RequestId
    attempt: int


@message(5)
@dataclass(frozen=True)
class Tombstone:
    """Never run this request if it arrives later; say whether it has run."""

    request: RequestId
    incarnation: Incarnation


@message(6)
@dataclass(frozen=True)
class TombstoneReply:
    """Answer to ``Bury``: the verdict that now stays true."""

    request: RequestId
    verdict: Verdict


@message(7)
@dataclass(frozen=True)
class Head:
    """Status and headers of an answer."""

    request: RequestId
    attempt: int
    status: int
    headers: dict[str, str]


@message(8)
@dataclass(frozen=True)
class Chunk:
    """Part of an answer's body; ``seq`` counts from 0 without gaps."""

    request: RequestId
    attempt: int
    seq: int
    data: bytes


@message(9)
@dataclass(frozen=True)
class End:
    """The answer is whole; ``chunks`` of them were sent."""

    request: RequestId
    attempt: int
    chunk_count: int
    tokens: Tokens


@message(10)
@dataclass(frozen=True)
class Fail:
    """The attempt ended without a whole answer."""

    request: RequestId
    attempt: int
    code: ErrorCode
    reason: str
    verdict: Verdict
    retry_after: float | None

    def failure(self) -> Failure:
        """Return it as the failure that the caller is told."""
        return Failure(self.code, self.reason, self.verdict, self.retry_after)

    @classmethod
    def from_failure(cls, request: RequestId, attempt: int, exc: Failure) -> "Fail":
        """Return the message for a failure of one attempt."""
        return cls(
            request, attempt, exc.code, exc.message, exc.verdict, exc.retry_after
        )


@message(11)
@dataclass(frozen=True)
class LoadReport:
    """Load of one upstream as its sidecar sees it.

    ``queued_tokens`` wait at the sidecar; ``token_rate`` is reserved tokens a
    second that it serves when busy, 0 until it was seen busy; times are seconds,
    ``first_token`` and ``token_gap`` at the 95th percentile of the last window.
    """

    upstream: Upstream
    incarnation: Incarnation
    models: tuple[Model, ...]
    draining: bool
    running: int
    concurrency_limit: int
    queued: int
    queued_tokens: float
    token_rate: float
    first_token_s: float
    token_gap_s: float
    version: ConfigVersion


@message(12)
@dataclass(frozen=True)
class Order:
    """Order of the planner to a sidecar, fenced by the lease's epoch.

    ``memory`` is the GiB of a load, with its KV cache.
    """

    order: str
    epoch: Epoch
    action: str
    model: Model
    adapter: Adapter | None
    revision: str
    memory_gib: float


@message(13)
@dataclass(frozen=True)
class OrderDone:
    """Final state of an order; ``error`` is empty when it was carried out."""

    order: str
    epoch: Epoch
    error: str


@message(15)
@dataclass(frozen=True)
class FlowControl:
    """Stop or go on reading an attempt's answer from the upstream."""

    request: RequestId
    attempt: int
    resume: bool


@message(14)
@dataclass(frozen=True)
class Resume:
    """Go on with an attempt whose link was lost, from chunk ``next_chunk``.

    A sidecar that never saw the request buries it and answers with ``Fail`` and
    the verdict not_run; one that holds the answer sends it again.
    """

    request: RequestId
    attempt: int
    incarnation: Incarnation
    head_received: bool
    next_chunk: int
