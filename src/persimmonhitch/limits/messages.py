"""Messages between entries about rate shares; numbers 20 to 39."""

from dataclasses import dataclass

from ..ids import Account, LoanId, Tokens, Vm
from ..wire.codec import message


@message(20)
@dataclass(frozen=True)
class Borrow:
    """Ask a holder for tokens, all or nothing, within ``wait`` seconds.

    ``life`` is how long the borrower needs the loan to live; ``insist`` says that it
    cannot reach the holder that has this one's share for now. No tokens at all are
    asked for to learn whether a holder answers again.
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
    """The tokens asked for are not here yet; an answer will follow."""

    account: Account
    loan: LoanId


@message(22)
@dataclass(frozen=True)
class Lend:
    """Answer to ``Borrow``; zero tokens is a refusal.

    Attributes
    ----------
    queued : float
        Seconds from the arrival of ``Borrow`` to this answer. The borrower counts
        the loan's life from its own sending plus this, which is never later than
        the giver's start, however long the two messages took.
    retry_after : float
        With a refusal, seconds until the tokens will be there; zero where this
        holder cannot say.
    pooled_at : Vm or None
        With a refusal, the holder that has this one's share for now.
    generation : int
        Generation of the share record under which they were lent.
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
    """Give back lent tokens that were not used; credited once for each loan."""

    account: Account
    loan: LoanId
    tokens: Tokens


@message(24)
@dataclass(frozen=True)
class PoolRequest:
    """Ask a holder for its whole share for a while, or for longer (``lease``)."""

    account: Account
    request_id: LoanId
    lease_id: LoanId | None


@message(25)
@dataclass(frozen=True)
class Pooled:
    """Answer to ``PoolAsk``: the share and, the first time, the tokens in it.

    Zero ``parts`` is a refusal; ``life`` then says when to ask again.
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
    """Give a pooled share back before its lease ends, with the tokens in it."""

    account: Account
    lease_id: LoanId
    tokens: Tokens


@message(27)
@dataclass(frozen=True)
class ShareRecordUpdate:
    """The newest share record known of an account; ``asked`` is the asker's time."""

    account: Account
    as_of: float
    generation: int
    parts: dict[Vm, int]


@message(28)
@dataclass(frozen=True)
class ShareRecordRequest:
    """Ask a peer for the newest share record it knows, at the asker's time."""

    account: Account
    as_of: float


@message(29)
@dataclass(frozen=True)
class ShareRevoked:
    """A VM's share was taken by a record of that generation."""

    account: Account
    vm: Vm
    generation: int


Message = Borrow | Queued | Lend | Refund | PoolRequest | Pooled | PoolReturn
