"""What an account's state machine tells its runtime to do."""

from dataclasses import dataclass
from typing import NewType

from ..ids import Vm
from .messages import Message

Ticket = NewType("Ticket", int)
"""One request at this VM's limiter."""


@dataclass(frozen=True)
class Send:
    """Send a message to another entry."""

    vm: Vm
    msg: Message


@dataclass(frozen=True)
class Admit:
    """The request has its tokens, from ``giver`` under a record's generation."""

    ticket: Ticket
    lender: Vm
    generation: int


@dataclass(frozen=True)
class Refuse:
    """The request cannot get its tokens in time; None says that it never can."""

    ticket: Ticket
    retry_after: float | None


Action = Send | Admit | Refuse
