"""Requests, loans and questions that an account's state machine keeps in mind."""

from dataclasses import dataclass, field

from ..ids import LoanId, Vm
from .actions import Ticket
from .bucket import Loan


@dataclass
class Credit:
    """Borrowed tokens not yet spent."""

    giver: Vm
    loan: LoanId
    generation: int
    tokens: float
    ends: float


@dataclass(eq=False)
class Waiter:
    """A request of this VM, or of a peer where ``peer`` is set."""

    tokens: float
    deadline: float
    arrived: float
    ticket: Ticket = Ticket(-1)
    peer: Vm | None = None
    loan: LoanId = LoanId("")
    life: float = 0.0
    asked: bool = False
    """A ``Borrow`` for it is on its way."""
    target: Vm | None = None
    """The holder to ask next, as the last one said."""
    insist: bool = False
    """A holder did not answer."""


@dataclass
class Ask:
    """A ``Borrow`` or ``PoolAsk`` without its answer."""

    vm: Vm
    sent: float
    waiter: Waiter | None = None
    life: float = 0.0
    queued: bool = False


@dataclass(frozen=True)
class Lent:
    """A loan made."""

    loan: Loan
    tokens: float


@dataclass
class Charge:
    """What an admitted request took."""

    total: float
    since: float
    borrowed: list[tuple[Vm, LoanId, float]] = field(default_factory=list)
