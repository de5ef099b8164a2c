"""Queued requests, loans and unanswered messages of an account's state machine."""

from dataclasses import dataclass, field

from ..ids import LoanId, Vm
from .actions import Ticket
from .bucket import Loan


@dataclass
class Credit:
    """Unspent part of a loan received from another holder."""

    lender: Vm
    loan: LoanId
    generation: int
    tokens: float
    expires_at: float


@dataclass(eq=False)
class Waiter:
    """Queued request of this VM, or loan request of ``peer`` if set."""

    tokens: float
    deadline: float
    arrived_at: float
    ticket: Ticket = Ticket(-1)
    peer: Vm | None = None
    loan: LoanId = LoanId("")
    ttl_s: float = 0.0
    borrowing: bool = False
    """Whether a ``Borrow`` for this request is unanswered."""
    holder: Vm | None = None
    """Holder to borrow from next, as named in the latest refusal."""
    force: bool = False
    """Whether an earlier ``Borrow`` timed out, so the next has ``force`` set."""


@dataclass
class PendingRequest:
    """Unanswered ``Borrow`` or ``PoolRequest``."""

    vm: Vm
    sent_at: float
    waiter: Waiter | None = None
    ttl_s: float = 0.0
    queued: bool = False


@dataclass(frozen=True)
class GrantedLoan:
    """Loan granted to a peer, kept for its refund."""

    loan: Loan
    tokens: float


@dataclass
class Charge:
    """Tokens charged to an admitted request."""

    total: float
    charged_at: float
    borrowed: list[tuple[Vm, LoanId, float]] = field(default_factory=list)
