"""A request that passed authentication, plan checks and the rate limit."""

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
    """An admitted request, as routing and forwarding see it.

    ``deadline_at`` is in seconds of the monotonic clock. Three callables return
    the present state: ``disconnected`` whether the caller closed its connection,
    ``key_withdrawn`` whether the caller's key was withdrawn after admission, and
    ``config_version`` the current version of the configuration, which may grow
    while the request waits.
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
