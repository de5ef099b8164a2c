"""Results of the calls of a run."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from ..decide.concurrency import percentile
from ..ids import Account
from ..wire.messages import Priority
from .calls import Call, Scene
from .engine import Stream
from .policy import SharedRates

FIRST_TOKEN_AIM: Final = 0.75
GAP_AIM: Final = 0.054
SLOW_GAPS: Final = 0.05
"""Share of the gaps of a stream that may exceed the target."""


class Outcome(Enum):
    """Result of a call."""

    ATTAINED = "attained"
    LATE = "late"
    REFUSED = "refused"
    EXPIRED = "expired"


@dataclass(frozen=True)
class Figures:
    """Figures of one run, over calls within their account's rate."""

    attainment: float
    attained_per_accelerator: float
    worst_account: float
    mean_account: float
    wrongful: int
    within: int
    first_token_p95: float
    gap_p95: float
    moves: int


def judge(stream: Stream, now: float) -> Outcome:
    """Return the result of a call whose last token arrived now."""
    call = stream.call
    if call.priority is Priority.BATCH:
        return Outcome.ATTAINED if now <= call.deadline_at else Outcome.LATE
    assert stream.first_at is not None
    in_time = stream.first_at - call.at <= FIRST_TOKEN_AIM
    steady = stream.slow_gaps <= SLOW_GAPS * stream.gaps
    return Outcome.ATTAINED if in_time and steady else Outcome.LATE


@dataclass
class Score:
    """Collects the results of a run."""

    scene: Scene
    outcomes: dict[str, Outcome] = field(default_factory=dict)
    firsts: list[float] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)

    def figures(self, moves: int) -> Figures:
        """Return the figures of the run."""
        within = within_rate(self.scene)
        accounts = _by_account(within)
        shares = {
            account: self._attained(calls) / len(calls)
            for account, calls in accounts.items()
        }
        attained = self._attained(within)
        wrongful = sum(
            self.outcomes.get(call.request) in (Outcome.REFUSED, Outcome.EXPIRED)
            for call in within
        )
        engine_seconds = self.scene.seconds * self.scene.deployment.engines
        return Figures(
            attainment=attained / max(len(within), 1),
            attained_per_accelerator=attained / engine_seconds,
            worst_account=min(shares.values(), default=0.0),
            mean_account=sum(shares.values()) / max(len(shares), 1),
            wrongful=wrongful,
            within=len(within),
            first_token_p95=percentile(self.firsts),
            gap_p95=percentile(self.gaps),
            moves=moves,
        )

    def _attained(self, calls: list[Call]) -> int:
        return sum(self.outcomes.get(c.request) is Outcome.ATTAINED for c in calls)


def _by_account(calls: list[Call]) -> dict[Account, list[Call]]:
    accounts: dict[Account, list[Call]] = {}
    for call in calls:
        accounts.setdefault(call.account, []).append(call)
    return accounts


def within_rate(scene: Scene) -> list[Call]:
    """Return the calls that an exact bucket per account would admit."""
    rates = SharedRates(scene.allowances, 1)
    return [
        call
        for call in scene.calls
        if rates.take(call.at, 0, call.account, call.reserved)
    ]
