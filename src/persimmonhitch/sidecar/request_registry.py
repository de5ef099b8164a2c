"""Registry of request ids: a request that must not be repeated runs at most once."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..ids import RequestId
from ..verdict import ErrorCode, Failure, Verdict

RETENTION_S: Final = 900.0
"""Time for which an id is kept: one and a half times the longest deadline (600 s).

An entry sends an attempt at most once, so a second one can only come from a
frame that a lost link delivered late, well within this time.
"""
SWEEP_INTERVAL_S: Final = 30.0


class Stage(Enum):
    """Progress of a request on this sidecar."""

    WAITING = "waiting"
    STARTED = "started"
    DONE = "done"
    TOMBSTONED = "buried"
    """Never starts on this sidecar."""


@dataclass
class RequestRecord:
    """Latest attempt of a request."""

    attempt: int
    stage: Stage
    at: float


VERDICTS: Final = {
    Stage.WAITING: Verdict.NOT_RUN,
    Stage.STARTED: Verdict.MAY_HAVE_RUN,
    Stage.DONE: Verdict.RAN,
    Stage.TOMBSTONED: Verdict.NOT_RUN,
}


class RequestRegistry:
    """Request ids known to this incarnation of the sidecar.

    A link can break after a frame has left the entry. The entry then cannot tell
    whether the sidecar will still read the frame, and a retry elsewhere could run the
    request twice. ``add_tombstone`` prevents this: an id with a tombstone never starts
    here, so that the verdict ``not_run`` stays true.
    """

    def __init__(self) -> None:
        self._records: dict[RequestId, RequestRecord] = {}
        self._swept_at = 0.0

    def __len__(self) -> int:
        return len(self._records)

    def admit(
        self, request: RequestId, attempt: int, repeatable: bool, now: float
    ) -> Result[None, Failure]:
        """Add an attempt unless its request has a tombstone or is known already."""
        self._sweep(now)
        record = self._records.get(request)
        if record is None or (repeatable and attempt > record.attempt):
            self._records[request] = RequestRecord(attempt, Stage.WAITING, now)
            return Success(None)
        if record.stage is Stage.TOMBSTONED:
            reason = "given up before it arrived"
            return Err(Failure(ErrorCode.DUPLICATE, reason, Verdict.NOT_RUN))
        verdict = VERDICTS[record.stage]
        return Err(Failure(ErrorCode.DUPLICATE, "this request id is known", verdict))

    def start(self, request: RequestId, attempt: int, now: float) -> bool:
        """Mark an attempt as started; return whether it may start."""
        record = self._records.get(request)
        if (
            record is None
            or record.attempt != attempt
            or record.stage is not Stage.WAITING
        ):
            return False
        self._records[request] = RequestRecord(attempt, Stage.STARTED, now)
        return True

    def finish(self, request: RequestId, attempt: int, now: float) -> None:
        """Mark a started attempt as done."""
        record = self._records.get(request)
        if record is not None and record.attempt == attempt:
            self._records[request] = RequestRecord(attempt, Stage.DONE, now)

    def add_tombstone(self, request: RequestId, now: float) -> Verdict:
        """Prevent a request from starting; return its verdict."""
        record = self._records.get(request)
        if record is None or record.stage is Stage.WAITING:
            attempt = 0 if record is None else record.attempt
            self._records[request] = RequestRecord(attempt, Stage.TOMBSTONED, now)
            return Verdict.NOT_RUN
        return VERDICTS[record.stage]

    def _sweep(self, now: float) -> None:
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        old = [r for r, s in self._records.items() if now - s.at > RETENTION_S]
        for request in old:
            del self._records[request]
