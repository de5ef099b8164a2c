"""Requests, loans and questions that an account's state machine keeps in mind."""

from dataclasses import dataclass, field

from ..ids import LoanId, Vm
from .actions import Ticket
from .bucket import Loan


@dataclass
class Credit:
    """Borrowed tokens not yet spent."""

    lender: Vm
    loan: LoanId
    generation: int
    tokens: float
    expires_at: float


@dataclass(eq=False)
class Waiter:
    """A request of this VM, or of a peer where ``peer`` is set."""

    tokens: float
    deadline: float
    arrived_at: float
    ticket: Ticket = Ticket(-1)
    peer: Vm | None = None
    loan: LoanId = LoanId("")
    ttl_s: float = 0.0
    borrowing: bool = False
    """A ``Borrow`` for it is on its way."""
    holder: Vm | None = None
    """The holder to ask next, as the last one said."""
    force: bool = False
    """A holder did not answer."""


@dataclass
class PendingRequest:
    """A ``Borrow`` or ``PoolAsk`` without its answer."""

    vm: Vm
    sent_at: float
    waiter: Waiter | None = None
    ttl_s: float = 0.0
    queued: bool = False


@dataclass(frozen=True)
class GrantedLoan:
    """A loan made."""

    loan: Loan
    tokens: float


@dataclass
class Charge:
    """What an admitted request took."""

    total: float
    charged_at: float
    borrowed: list[tuple[Vm, LoanId, float]] = field(default_factory=list)
