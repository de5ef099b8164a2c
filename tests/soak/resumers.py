"""Callers that resume lost streams at other entries, and versions of engines."""

import http.client
import itertools
import random
import threading
import time
from dataclasses import dataclass, field

from soak.callers import error_code
from soak.platform import HOST, MODELS
from soak.records import Call
from soak.upstreams import EVENT_COUNT, RESUMABLE_PATH

MEAN_PAUSE_S = 0.3
LEAVE_SHARE = 0.5
"""Share of the attempts whose connection the caller closes between two events."""
MAX_ATTEMPTS = 4
TIMEOUT_S = 4.0
BODY = b"tell"
MIX_SHARE = 0.7
"""Share of the seeds with engines of several software versions."""


class VersionChooser:
    """Draws the software version of each engine that starts.

    Uses its own random generator, so that the faults of a seed do not change.
    """

    def __init__(self, seed):
        self._rng = random.Random(f"versions {seed}")
        is_mixed = self._rng.random() < MIX_SHARE
        self._versions = ("1", "2", "3")[: self._rng.choice((2, 2, 3))]
        if not is_mixed:
            self._versions = ("1",)

    def __call__(self):
        return self._rng.choice(self._versions)


@dataclass
class ResumedStream:
    """Events that a caller received of one stream, over all its attempts."""

    first_id: str = ""
    """Attempt that brought the first event."""
    events: list[tuple[int, str]] = field(default_factory=list)
    """Number of each event and the software version that wrote it."""
    attempts: list[tuple[str, int | None, str]] = field(default_factory=list)
    """Entry, status and error code of each attempt."""

    @property
    def accepted(self):
        """Return how many of the resumptions an entry accepted."""
        return sum(status == 200 for _, status, _ in self.attempts[1:])

    @property
    def refusals(self):
        """Return the outcome of each resumption that was not accepted."""
        return [
            f"{status} {code}".strip() if status else "no answer"
            for _, status, code in self.attempts[1:]
            if status != 200
        ]


class ResumingCaller(threading.Thread):
    """Requests streams, and resumes each one that breaks at a random entry."""

    _numbers = itertools.count()

    def __init__(self, balancer, operator, records, seed, number, stopped):
        super().__init__(daemon=True)
        self._balancer = balancer
        self._operator = operator
        self._records = records
        self._rng = random.Random(f"resuming {seed} {number}")
        self._stopped = stopped

    def run(self):
        while not self._stopped.wait(self._rng.expovariate(1 / MEAN_PAUSE_S)):
            stream = ResumedStream()
            self._records.resumed_streams.append(stream)
            model = self._rng.choice(MODELS)
            while len(stream.events) < EVENT_COUNT and not self._stopped.is_set():
                if len(stream.attempts) == MAX_ATTEMPTS:
                    break
                self._attempt(stream, model)
                if not stream.events:
                    break

    def _attempt(self, stream, model):
        entry = self._rng.choice(self._balancer.ready_entries())
        request_id = f"t{next(self._numbers)}"
        headers = {
            "Host": HOST,
            "X-Persimmonhitch-Request-Id": request_id,
            "X-Persimmonhitch-Request-Deadline": str(int(TIMEOUT_S * 1000)),
            "X-Persimmonhitch-Model": model,
            "X-Persimmonhitch-Token-Counts": "200,50",
            "Authorization": f"Bearer {self._operator.keys['plain'][0]}",
        }
        if stream.events:
            headers["Resumes"] = stream.first_id
            headers["Last-Event-Id"] = str(stream.events[-1][0])
        call = Call(
            request_id,
            "tale",
            RESUMABLE_PATH,
            entry.name,
            "plain",
            TIMEOUT_S,
            time.monotonic(),
            entry.incarnation,
            body=BODY,
        )
        self._records.calls.append(call)
        conn = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=6.0)
        try:
            self._exchange(conn, call, headers, stream)
        except (http.client.HTTPException, OSError, ValueError) as exc:
            call.error = repr(exc)
        call.ended_at = time.monotonic()
        stream.attempts.append((entry.name, call.status, call.code))
        conn.close()

    def _exchange(self, conn, call, headers, stream):
        conn.connect()
        call.opened_at = time.monotonic()
        call.port = conn.sock.getsockname()[1]
        conn.request("POST", call.path, body=BODY, headers=headers)
        answer = conn.getresponse()
        call.status = answer.status
        call.leaving = answer.getheader("Server-Leaving") == "1"
        retry_after = answer.getheader("Retry-After")
        call.retry_after = float(retry_after) if retry_after else None
        if answer.status != 200:
            call.code = error_code(answer.read())
            call.complete = True
        elif self._read(stream, call.request_id, answer):
            call.complete = call.correct = True
        else:
            call.gave_up_at = time.monotonic()

    def _read(self, stream, request_id, answer):
        """Read events; return whether the stream has ended, not the caller."""
        leaves_after = self._rng.randrange(1, EVENT_COUNT)
        leaves = self._rng.random() < LEAVE_SHARE
        received = 0
        while number_line := answer.readline():
            data_line, end = answer.readline(), answer.readline()
            if end != b"\n":
                raise ValueError("the answer ends within an event")
            stream.first_id = stream.first_id or request_id
            number = int(number_line.removeprefix(b"id: "))
            version = data_line.decode().removeprefix("data: v").partition("-")[0]
            stream.events.append((number, version))
            received += 1
            if leaves and received == leaves_after:
                return False
        return True
