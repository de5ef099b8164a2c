"""A request that passed keys, plan and rate."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..ids import Account, ConfigVersion, RequestId, Tokens
from ..limits.limiter import NO_RESERVATION, Reservation
from ..verdict import ErrorCode, Failure
from ..wire.messages import Priority
from .calls import Call

KEY_WITHDRAWN: Final = Failure(ErrorCode.UNAUTHENTICATED, "the key was withdrawn")


@dataclass(frozen=True)
class AdmittedCall:
    """What the rest of a request's way needs to know of it.

    ``deadline_at`` is monotonic seconds. ``disconnected`` says whether the caller
    has left, ``withdrawn`` whether its key has been withdrawn since, ``version``
    the configuration's version now, which moves on while a request waits.
    """

    request: RequestId
    account: Account
    call: Call
    config_version: Callable[[], ConfigVersion]
    weight: float
    priority: Priority
    cost: Tokens
    repeatable: bool
    deadline_at: float
    traceparent: str
    disconnected: Callable[[], bool]
    key_withdrawn: Callable[[], bool]
    reservation: Reservation = NO_RESERVATION
