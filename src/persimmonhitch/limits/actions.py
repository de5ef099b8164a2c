"""Actions that the state machine of an account returns to the limiter."""

from dataclasses import dataclass
from typing import NewType

from ..ids import Vm
from .messages import Message

Ticket = NewType("Ticket", int)
"""Number of a request at the limiter of this VM."""


@dataclass(frozen=True)
class Send:
    """Send a message to another entry."""

    vm: Vm
    msg: Message


@dataclass(frozen=True)
class Admit:
    """Admit a request with tokens of ``lender``.

    ``generation`` is the generation of the share record that backs the tokens.
    """

    ticket: Ticket
    lender: Vm
    generation: int


@dataclass(frozen=True)
class Refuse:
    """Refuse a request whose tokens cannot arrive before its deadline.

    ``retry_after`` is in seconds; None for a request that can never be admitted.
    """

    ticket: Ticket
    retry_after: float | None


Action = Send | Admit | Refuse
