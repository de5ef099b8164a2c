"""Messages between entries, sidecars and the planner.

Fields are encoded by position, so their order must not change.
"""

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
"""Version of the link protocol; both sides must agree on it."""


class Role(Enum):
    """The program that opened a link."""

    ENTRY = "entry"
    SIDECAR = "sidecar"
    PLANNER = "planner"


class Priority(Enum):
    """Scheduling priority of a request."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class UpstreamKind(Enum):
    """The type of upstream that a sidecar serves."""

    ENGINE = "engine"
    SERVICE = "service"


@message(1)
@dataclass(frozen=True)
class Hello:
    """First message of the side that opened the link: its identity and version."""

    protocol: int
    role: Role
    vm: Vm
    zone: Zone
    incarnation: Incarnation
    version: ConfigVersion


@message(2)
@dataclass(frozen=True)
class Welcome:
    """First message of a sidecar: its identity, its upstream and resident models."""

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

    ``timeout_s`` counts from the time of sending, because the clocks of VMs differ.
    ``incarnation`` is the run of the sidecar process that may execute the attempt. A
    restarted sidecar refuses the attempt, which the earlier run may have executed.
    ``lender`` is the VM whose rate share is charged, under ``share_generation`` of the
    account's share record. ``weight`` is the account's share of a busy upstream.
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
    """Stop an attempt whose caller disconnected or whose deadline passed."""

    request: RequestId
    attempt: int


@message(5)
@dataclass(frozen=True)
class Tombstone:
    """Reject a request if it arrives later, and ask whether it has already run."""

    request: RequestId
    incarnation: Incarnation


@message(6)
@dataclass(frozen=True)
class TombstoneReply:
    """Reply to ``Tombstone``: the final verdict on the request."""

    request: RequestId
    verdict: Verdict


CONNECTION: Final = "connection"
CLOSE: Final = "close"
"""Value of ``CONNECTION`` in a ``Head`` of an answer that the upstream ends with its
connection; nothing shows that such an answer is complete."""


@message(7)
@dataclass(frozen=True)
class Head:
    """Status and headers of a response."""

    request: RequestId
    attempt: int
    status: int
    headers: dict[str, str]


@message(8)
@dataclass(frozen=True)
class Chunk:
    """Part of the body of a response; ``seq`` counts from 0 without gaps."""

    request: RequestId
    attempt: int
    seq: int
    data: bytes


@message(9)
@dataclass(frozen=True)
class End:
    """The response is complete; ``chunk_count`` chunks were sent."""

    request: RequestId
    attempt: int
    chunk_count: int
    tokens: Tokens


@message(10)
@dataclass(frozen=True)
class Fail:
    """The attempt ended without a complete response."""

    request: RequestId
    attempt: int
    code: ErrorCode
    reason: str
    verdict: Verdict
    retry_after: float | None

    def failure(self) -> Failure:
        """Return the failure that is reported to the caller."""
        return Failure(self.code, self.reason, self.verdict, self.retry_after)

    @classmethod
    def from_failure(cls, request: RequestId, attempt: int, exc: Failure) -> "Fail":
        """Create the message for the failure of an attempt."""
        return cls(
            request, attempt, exc.code, exc.message, exc.verdict, exc.retry_after
        )


@message(11)
@dataclass(frozen=True)
class LoadReport:
    """Load of one upstream, measured by its sidecar.

    ``queued`` and ``queued_tokens`` count requests that wait at the sidecar.
    ``token_rate`` is the reserved tokens per second that the upstream serves when
    busy, 0 until it has been busy. ``first_token_s`` and ``token_gap_s`` are 95th
    percentiles of the last window.
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
    """Order of the planner to a sidecar, fenced by the epoch of the planner's lease.

    ``order`` is the id of the order, ``action`` a value of ``placement.Action``.
    ``memory_gib`` is the memory that a load needs, including the KV cache.
    """

    order_id: str
    epoch: Epoch
    action: str
    model: Model
    adapter: Adapter | None
    revision: str
    memory_gib: float


@message(13)
@dataclass(frozen=True)
class OrderDone:
    """Final state of an order; ``error`` is empty if the order was executed."""

    order_id: str
    epoch: Epoch
    error: str


@message(15)
@dataclass(frozen=True)
class FlowControl:
    """Pause or resume reading the response of an attempt from the upstream."""

    request: RequestId
    attempt: int
    resume: bool


@message(14)
@dataclass(frozen=True)
class Resume:
    """Resume an attempt over a new link after link loss, from chunk ``next_chunk``.

    A sidecar that never received the request tombstones it and answers with ``Fail``
    and the verdict not_run. A sidecar that has the response sends it again.
    """

    request: RequestId
    attempt: int
    incarnation: Incarnation
    head_received: bool
    next_chunk: int
