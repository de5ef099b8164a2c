"""Calls with an ``Idempotency-Key``: at most one run, whichever entry hears them.

A record in the store is created under the caller's key before anything is sent.
Creation is conditional, so that of two entries, or of one before and after a
crash, exactly one goes on. While the store is away such a call is refused as not
run: the caller asked for the proof of a single run, and nobody can give it. Calls
without the header go on, and their verdicts say what is known of them.
"""

import base64
import hashlib
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..ids import Account, RequestId, Tokens
from ..observe.logs import log
from ..store.objects import Kind, ObjectStore, Spec, StoredObject, StoreError
from ..verdict import ErrorCode, Failure, Verdict
from .calls import Call
from .forward import Whole

MOST_KEPT: Final = 64 * 1024
"""Bytes of an answer kept for a repeat; the store holds at most 1 MB a value."""
RETRY_AFTER: Final = 1.0
STORE_RETRY_AFTER: Final = 5.0
TIDY_EVERY: Final = 0.5


class RunState(Enum):
    """What is known of a recorded call."""

    STARTED = "started"
    DONE = "done"
    NOT_RUN = "not_run"


@dataclass(frozen=True)
class Permit:
    """Leave to run a call; ``record`` is its object in the store."""

    record: StoredObject


def record_name(account: Account, key: str) -> str:
    """Return the name of the record for an account's idempotency key."""
    return hashlib.sha256(f"{account}\0{key}".encode()).hexdigest()


def fingerprint(call: Call) -> str:
    """Return a digest of what is asked, to see a key used for another call."""
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _refuse(
    code: ErrorCode, message: str, verdict: Verdict, after: float | None
) -> Err[Failure]:
    return Err(Failure(code, message, verdict, after))


class CallRecords:
    """The records of one entry's calls.

    Parameters
    ----------
    store : ObjectStore
        Where records are kept.
    wall : callable
        Wall clock in seconds, for the record's age.
    """

    def __init__(
        self, store: ObjectStore, wall: Callable[[], float] = time.time
    ) -> None:
        self._store = store
        self._wall = wall
        self._untidy: dict[str, tuple[RequestId, Spec]] = {}
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._tidy, name="tidy", daemon=True)

    def start(self) -> None:
        """Mend records that could not be written at first."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread; what is not written stays as it is."""
        self._stopping.set()

    def begin(
        self, account: Account, call: Call, request: RequestId
    ) -> Result[Permit | Whole, Failure]:
        """Return leave to run a call, or the answer that it got before."""
        name = record_name(account, call.idempotency_key)
        spec = {
            "request": request,
            "state": RunState.STARTED.value,
            "fingerprint": fingerprint(call),
            "at": self._wall(),
        }
        created = self._store.create(Kind.CALL, name, spec)
        if isinstance(created, Success):
            return Success(Permit(created.unwrap()))
        return self._found(name, spec, request)

    def _found(
        self, name: str, spec: Spec, request: RequestId
    ) -> Result[Permit | Whole, Failure]:
        found = self._store.get(Kind.CALL, name)
        if not isinstance(found, Success):
            return self._away(name, spec, request)
        old = found.unwrap()
        if old.spec["request"] == request:
            # The answer to the create was lost after it took effect.
            return Success(Permit(old))
        if old.spec["fingerprint"] != spec["fingerprint"]:
            reason = "this Idempotency-Key was used for another call"
            return _refuse(ErrorCode.CONFLICT, reason, Verdict.NOT_RUN, None)
        match RunState(old.spec["state"]):
            case RunState.DONE:
                return _replay(old)
            case RunState.NOT_RUN:
                return self._take_over(old, spec)
        reason = "a call with this Idempotency-Key was begun and has no known end"
        return _refuse(ErrorCode.DUPLICATE, reason, Verdict.MAY_HAVE_RUN, RETRY_AFTER)

    def _away(
        self, name: str, spec: Spec, request: RequestId
    ) -> Result[Permit | Whole, Failure]:
        # The create may have taken effect although its answer was lost. Left so,
        # the record would call a request that never ran doubtful for ever.
        self._leave(name, request, {**spec, "state": RunState.NOT_RUN.value})
        reason = "the record that keeps this call from running twice is out of reach"
        return _refuse(
            ErrorCode.STORE_UNAVAILABLE, reason, Verdict.NOT_RUN, STORE_RETRY_AFTER
        )

    def _take_over(
        self, old: StoredObject, spec: Spec
    ) -> Result[Permit | Whole, Failure]:
        updated = self._store.update(old, spec)
        if isinstance(updated, Success):
            return Success(Permit(updated.unwrap()))
        if updated.failure().error is StoreError.UNAVAILABLE:
            return self._away(old.name, spec, RequestId(str(spec["request"])))
        reason = "another call with this Idempotency-Key was begun just now"
        return _refuse(ErrorCode.DUPLICATE, reason, Verdict.NOT_RUN, RETRY_AFTER)

    def finish(self, permit: Permit, result: Result[Whole, Failure]) -> None:
        """Record how a call ended."""
        old = permit.record
        spec = _ended(old.spec, result)
        if not isinstance(self._store.update(old, spec), Success):
            self._leave(old.name, RequestId(str(old.spec["request"])), spec)

    def _leave(self, name: str, request: RequestId, spec: Spec) -> None:
        with self._lock:
            self._untidy[name] = (request, spec)

    def _tidy(self) -> None:
        while not self._stopping.wait(TIDY_EVERY):
            with self._lock:
                work = dict(self._untidy)
            for name, (request, spec) in work.items():
                if self._mended(name, request, spec):
                    with self._lock:
                        self._untidy.pop(name, None)

    def _mended(self, name: str, request: RequestId, spec: Spec) -> bool:
        found = self._store.get(Kind.CALL, name)
        if not isinstance(found, Success):
            return found.failure().error is StoreError.NOT_FOUND
        old = found.unwrap()
        if old.spec["request"] != request or old.spec["state"] == spec["state"]:
            return True
        log("call_record_mended", request=request, state=spec["state"])
        return isinstance(self._store.update(old, spec), Success)


def _ended(old: Spec, result: Result[Whole, Failure]) -> Spec:
    if not isinstance(result, Success):
        not_run = result.failure().verdict is Verdict.NOT_RUN
        state = RunState.NOT_RUN if not_run else RunState.STARTED
        return {**old, "state": state.value}
    whole = result.unwrap()
    spec: dict[str, Any] = {
        **old,
        "state": RunState.DONE.value,
        "status": whole.status,
        "headers": whole.headers,
    }
    if len(whole.body) <= MOST_KEPT:
        spec["body"] = base64.b64encode(whole.body).decode()
    return spec


def _replay(old: StoredObject) -> Result[Permit | Whole, Failure]:
    spec = old.spec
    if "body" not in spec:
        reason = "this call ran; its answer was too long to keep"
        return _refuse(ErrorCode.DUPLICATE, reason, Verdict.RAN, None)
    body = base64.b64decode(spec["body"])
    headers = {**spec["headers"], "idempotency-replayed": "true"}
    return Success(Whole(int(spec["status"]), headers, body, Tokens(0.0)))
