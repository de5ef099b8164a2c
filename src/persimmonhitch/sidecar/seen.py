"""Record of request ids, by which a request that may not be repeated runs once."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..ids import RequestId
from ..verdict import ErrorCode, Failure, Verdict

RETENTION: Final = 900.0
"""Seconds an id is held: the longest deadline (600) and half of it again.

An entry sends an attempt at most once, so a second one can only come from a
frame that a lost link delivered late, well within this time.
"""
SWEEP_EVERY: Final = 30.0


class Stage(Enum):
    """How far a request has come on this sidecar."""

    WAITING = "waiting"
    STARTED = "started"
    DONE = "done"
    BURIED = "buried"


@dataclass
class Seen:
    """One request's latest attempt."""

    attempt: int
    stage: Stage
    at: float


VERDICTS: Final = {
    Stage.WAITING: Verdict.NOT_RUN,
    Stage.STARTED: Verdict.MAY_HAVE_RUN,
    Stage.DONE: Verdict.RAN,
    Stage.BURIED: Verdict.NOT_RUN,
}


class SeenRequests:
    """What this incarnation of the sidecar knows of each request id.

    A link can break after a frame has left the entry. The entry then cannot tell
    whether the sidecar will still read it, and a second try elsewhere could book
    twice. ``bury`` settles it: a buried id never starts here any more, so that
    the verdict not_run stays true.
    """

    def __init__(self) -> None:
        self._seen: dict[RequestId, Seen] = {}
        self._swept_at = 0.0

    def __len__(self) -> int:
        return len(self._seen)

    def admit(
        self, request: RequestId, attempt: int, repeatable: bool, now: float
    ) -> Result[None, Failure]:
        """Enter an attempt, unless its request is buried or known already."""
        self._sweep(now)
        seen = self._seen.get(request)
        if seen is None or (repeatable and attempt > seen.attempt):
            self._seen[request] = Seen(attempt, Stage.WAITING, now)
            return Success(None)
        if seen.stage is Stage.BURIED:
            reason = "given up before it arrived"
            return Err(Failure(ErrorCode.DUPLICATE, reason, Verdict.NOT_RUN))
        verdict = VERDICTS[seen.stage]
        return Err(Failure(ErrorCode.DUPLICATE, "this request id is known", verdict))

    def start(self, request: RequestId, attempt: int, now: float) -> bool:
        """Mark an attempt as started; False when it may not start any more."""
        seen = self._seen.get(request)
        if seen is None or seen.attempt != attempt or seen.stage is not Stage.WAITING:
            return False
        self._seen[request] = Seen(attempt, Stage.STARTED, now)
        return True

    def finish(self, request: RequestId, attempt: int, now: float) -> None:
        """Mark a started attempt as done."""
        seen = self._seen.get(request)
        if seen is not None and seen.attempt == attempt:
            self._seen[request] = Seen(attempt, Stage.DONE, now)

    def bury(self, request: RequestId, now: float) -> Verdict:
        """Never start this request from now on; return what is true of it."""
        seen = self._seen.get(request)
        if seen is None or seen.stage is Stage.WAITING:
            attempt = 0 if seen is None else seen.attempt
            self._seen[request] = Seen(attempt, Stage.BURIED, now)
            return Verdict.NOT_RUN
        return VERDICTS[seen.stage]

    def _sweep(self, now: float) -> None:
        if now - self._swept_at < SWEEP_EVERY:
            return
        self._swept_at = now
        old = [r for r, s in self._seen.items() if now - s.at > RETENTION]
        for request in old:
            del self._seen[request]
