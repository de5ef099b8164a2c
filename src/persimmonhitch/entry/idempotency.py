"""At-most-once execution of requests with an ``Idempotency-Key``, across entries.

Before sending the request to an upstream, the entry creates a record in the store
under the caller's key. Creation is conditional: of two entries, or of two
incarnations of one entry around a crash, exactly one creates the record and runs
the request. While the store is unavailable, such requests are refused with
``not_run``, because a single run can't be guaranteed. Requests without the header
still run; after a failure, their verdict tells whether they may have run.
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
from .forward import FullReply

MAX_STORED_BODY_BYTES: Final = 64 * 1024
"""Size limit of a stored answer; the store accepts values of at most 1 MB."""
RETRY_AFTER_S: Final = 1.0
STORE_RETRY_AFTER_S: Final = 5.0
REPAIR_INTERVAL_S: Final = 0.5


class RunState(Enum):
    """State of a run, as stored in its record."""

    STARTED = "started"
    DONE = "done"
    NOT_RUN = "not_run"


@dataclass(frozen=True)
class Permit:
    """Permission to run a request; ``record`` is its object in the store."""

    record: StoredObject


def record_name(account: Account, key: str) -> str:
    """Return the store name of the record of an account's idempotency key."""
    return hashlib.sha256(f"{account}\0{key}".encode()).hexdigest()


def fingerprint(call: Call) -> str:
    """Return a digest of the request, to detect reuse of a key for another request."""
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _refuse(
    code: ErrorCode, message: str, verdict: Verdict, retry_after: float | None
) -> Err[Failure]:
    return Err(Failure(code, message, verdict, retry_after))


class IdempotencyRecords:
    """Creates and completes the run records of one entry.

    Parameters
    ----------
    store : ObjectStore
        Store of the records.
    wall_clock : callable
        Return the wall-clock time in seconds, for the record's age.
    """

    def __init__(
        self, store: ObjectStore, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self._store = store
        self._wall_clock = wall_clock
        self._pending_repairs: dict[str, tuple[RequestId, Spec]] = {}
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="repair", daemon=True)

    def start(self) -> None:
        """Start the thread that repairs records whose write failed."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; pending repairs are abandoned."""
        self._stopping.set()

    def begin(
        self, account: Account, call: Call, request: RequestId
    ) -> Result[Permit | FullReply, Failure]:
        """Return a permit to run the request, or the stored answer of its first run."""
        name = record_name(account, call.idempotency_key)
        spec = {
            "request": request,
            "state": RunState.STARTED.value,
            "fingerprint": fingerprint(call),
            "at": self._wall_clock(),
        }
        created = self._store.create(Kind.CALL, name, spec)
        if isinstance(created, Success):
            return Success(Permit(created.unwrap()))
        return self._check_existing(name, spec, request)

    def _check_existing(
        self, name: str, spec: Spec, request: RequestId
    ) -> Result[Permit | FullReply, Failure]:
        found = self._store.get(Kind.CALL, name)
        if not isinstance(found, Success):
            return self._unavailable(name, spec, request)
        old = found.unwrap()
        if old.spec["request"] == request:
            # The create succeeded, but the store's answer was lost.
            return Success(Permit(old))
        if old.spec["fingerprint"] != spec["fingerprint"]:
            reason = "this Idempotency-Key was used for another call"
            return _refuse(ErrorCode.CONFLICT, reason, Verdict.NOT_RUN, None)
        match RunState(old.spec["state"]):
            case RunState.DONE:
                return _replay(old)
            case RunState.NOT_RUN:
                return self._reclaim(old, spec)
        reason = "a call with this Idempotency-Key was begun and has no known end"
        return _refuse(ErrorCode.DUPLICATE, reason, Verdict.MAY_HAVE_RUN, RETRY_AFTER_S)

    def _unavailable(
        self, name: str, spec: Spec, request: RequestId
    ) -> Result[Permit | FullReply, Failure]:
        # The create may have succeeded although the store's answer was lost. Without
        # a repair the record would show a request that never ran as possibly run,
        # for good.
        self._schedule_repair(name, request, {**spec, "state": RunState.NOT_RUN.value})
        reason = "the record that keeps this call from running twice is out of reach"
        return _refuse(
            ErrorCode.STORE_UNAVAILABLE, reason, Verdict.NOT_RUN, STORE_RETRY_AFTER_S
        )

    def _reclaim(
        self, old: StoredObject, spec: Spec
    ) -> Result[Permit | FullReply, Failure]:
        updated = self._store.update(old, spec)
        if isinstance(updated, Success):
            return Success(Permit(updated.unwrap()))
        if updated.failure().error is StoreError.UNAVAILABLE:
            return self._unavailable(old.name, spec, RequestId(str(spec["request"])))
        reason = "another call with this Idempotency-Key was begun just now"
        return _refuse(ErrorCode.DUPLICATE, reason, Verdict.NOT_RUN, RETRY_AFTER_S)

    def finish(self, permit: Permit, result: Result[FullReply, Failure]) -> None:
        """Write the result of a run to its record."""
        old = permit.record
        spec = _final_spec(old.spec, result)
        if not isinstance(self._store.update(old, spec), Success):
            self._schedule_repair(old.name, RequestId(str(old.spec["request"])), spec)

    def _schedule_repair(self, name: str, request: RequestId, spec: Spec) -> None:
        with self._lock:
            self._pending_repairs[name] = (request, spec)

    def _run(self) -> None:
        while not self._stopping.wait(REPAIR_INTERVAL_S):
            with self._lock:
                repairs = dict(self._pending_repairs)
            for name, (request, spec) in repairs.items():
                if self._repair(name, request, spec):
                    with self._lock:
                        self._pending_repairs.pop(name, None)

    def _repair(self, name: str, request: RequestId, spec: Spec) -> bool:
        found = self._store.get(Kind.CALL, name)
        if not isinstance(found, Success):
            return found.failure().error is StoreError.NOT_FOUND
        old = found.unwrap()
        if old.spec["request"] != request or old.spec["state"] == spec["state"]:
            return True
        log("call_record_mended", request=request, state=spec["state"])
        return isinstance(self._store.update(old, spec), Success)


def _final_spec(old: Spec, result: Result[FullReply, Failure]) -> Spec:
    if not isinstance(result, Success):
        not_run = result.failure().verdict is Verdict.NOT_RUN
        state = RunState.NOT_RUN if not_run else RunState.STARTED
        return {**old, "state": state.value}
    reply = result.unwrap()
    spec: dict[str, Any] = {
        **old,
        "state": RunState.DONE.value,
        "status": reply.status,
        "headers": reply.headers,
    }
    if len(reply.body) <= MAX_STORED_BODY_BYTES:
        spec["body"] = base64.b64encode(reply.body).decode()
    return spec


def _replay(old: StoredObject) -> Result[Permit | FullReply, Failure]:
    spec = old.spec
    if "body" not in spec:
        reason = "this call ran; its answer was too long to keep"
        return _refuse(ErrorCode.DUPLICATE, reason, Verdict.RAN, None)
    body = base64.b64decode(spec["body"])
    headers = {**spec["headers"], "idempotency-replayed": "true"}
    return Success(FullReply(int(spec["status"]), headers, body, Tokens(0.0)))
