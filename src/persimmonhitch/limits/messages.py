"""Messages between entries about rate shares, with message numbers 20 to 39."""

from dataclasses import dataclass

from ..ids import Account, LoanId, Tokens, Vm
from ..wire.codec import message


@message(20)
@dataclass(frozen=True)
class Borrow:
    """Request a loan of exactly ``tokens`` from a holder within ``timeout_s``.

    ``ttl_s`` is the requested lifetime of the loan. ``force`` is set by a borrower that
    cannot reach the holder to which this share is pooled. A request for zero tokens
    probes whether the holder is responsive again.
    """

    account: Account
    loan: LoanId
    tokens: Tokens
    timeout_s: float
    ttl_s: float
    force: bool


@message(21)
@dataclass(frozen=True)
class Queued:
    """Interim reply to ``Borrow``: the request waits for tokens; ``Lend`` follows."""

    account: Account
    loan: LoanId


@message(22)
@dataclass(frozen=True)
class Lend:
    """Reply to ``Borrow``; zero tokens mean a refusal.

    Attributes
    ----------
    queued_s : float
        Time from the arrival of ``Borrow`` to this reply. For the borrower the loan
        starts when it sent ``Borrow`` plus this time, which is never later than the
        start at the lender, whatever the delay of the two messages.
    retry_after : float
        For a refusal, seconds until the tokens are available; zero if unknown.
    pooled_at : Vm or None
        For a refusal, the holder to which the share is currently pooled.
    generation : int
        Generation of the share record that backs the tokens.
    """

    account: Account
    loan: LoanId
    tokens: Tokens
    queued_s: float
    retry_after: float
    pooled_at: Vm | None
    generation: int


@message(23)
@dataclass(frozen=True)
class Refund:
    """Refund unused tokens of a loan; credited at most once per loan."""

    account: Account
    loan: LoanId
    tokens: Tokens


@message(24)
@dataclass(frozen=True)
class PoolRequest:
    """Request a lease on the whole share of a holder, or renew ``lease_id``."""

    account: Account
    request_id: LoanId
    lease_id: LoanId | None


@message(25)
@dataclass(frozen=True)
class PoolReply:
    """Reply to ``PoolRequest``: the leased share and, for a new lease, its tokens.

    Zero ``parts`` mean a refusal; ``ttl_s`` is then the time until the next request.
    """

    account: Account
    request_id: LoanId
    lease_id: LoanId
    parts: int
    tokens: Tokens
    ttl_s: float
    generation: int


@message(26)
@dataclass(frozen=True)
class PoolReturn:
    """Give back a pooled share and its tokens before the lease expires."""

    account: Account
    lease_id: LoanId
    tokens: Tokens


@message(27)
@dataclass(frozen=True)
class ShareRecordUpdate:
    """Newest share record of an account that the sender has received.

    ``as_of`` is copied from the request, in the time of the requester.
    """

    account: Account
    as_of: float
    generation: int
    parts: dict[Vm, int]


@message(28)
@dataclass(frozen=True)
class ShareRecordRequest:
    """Request the newest share record that a peer has received.

    ``as_of`` is the time of the request by the clock of the requester.
    """

    account: Account
    as_of: float


@message(29)
@dataclass(frozen=True)
class ShareRevoked:
    """Report that the record of ``generation`` has reclaimed the share of a VM."""

    account: Account
    vm: Vm
    generation: int


Message = Borrow | Queued | Lend | Refund | PoolRequest | PoolReply | PoolReturn
