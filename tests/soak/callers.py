"""Callers with persistent connections that never retry and record every answer."""

import http.client
import itertools
import json
import math
import threading
import time

from soak.platform import ADAPTERS, HOST, MODELS
from soak.records import Call
from soak.upstreams import EVENT_COUNT, answer_body, event_bytes

KIND_WEIGHTS = {"read": 0.25, "book": 0.3, "chat": 0.35, "version": 0.1}
ACCOUNT_WEIGHTS = {"large": 0.45, "small": 0.4, "plain": 0.15}
RECONNECT_RATE = 0.15
"""Share of requests for which a caller opens a new connection."""
ABANDON_RATE = 0.04
"""Share of requests that are abandoned before the answer; bookings never are."""
REVOKED_KEY_RATE = 0.04
UNKNOWN_KEY_RATE = 0.01
MEAN_PAUSE_S = 0.12
"""Mean seconds between two requests of a caller."""
EXTRA_WAIT_S = 3.0
"""Seconds after its timeout for which a caller still reads, to record late answers."""
PROBE_INTERVAL_S, MISS_LIMIT = 0.3, 2
"""Seconds between readiness probes, and consecutive failures of an unready entry."""
REVOKED = "revoked"
UNKNOWN = "unknown"
SUBJECTS = 5
"""Number of second parts of prompts."""


class Balancer:
    """Polls the readiness of entries and selects those that accept new connections."""

    def __init__(self, entries):
        self._entries = entries
        self._misses = dict.fromkeys(entries, 0)
        self._stopped = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        self._stopped.set()

    def ready_entries(self):
        """Return the ready entries, or all entries if none is ready."""
        ready = [e for e, missed in self._misses.items() if missed < MISS_LIMIT]
        return ready or list(self._entries)

    def _run(self):
        while not self._stopped.wait(PROBE_INTERVAL_S):
            for entry in self._entries:
                ready = entry.is_ready()
                self._misses[entry] = 0 if ready else self._misses[entry] + 1


class Caller(threading.Thread):
    """Sends requests one at a time."""

    _numbers = itertools.count()

    def __init__(self, balancer, operator, records, rng, stopped):
        super().__init__(daemon=True)
        self._balancer = balancer
        self._operator = operator
        self._records = records
        self._rng = rng
        self._stopped = stopped
        self._conn = None
        self._entry = None
        self._opened_at = math.inf
        self.body = b"hello"

    def run(self):
        while not self._stopped.wait(self._rng.expovariate(1 / MEAN_PAUSE_S)):
            self._send_request()
        self._disconnect()

    def _disconnect(self):
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _choose(self, weights):
        return self._rng.choices(list(weights), list(weights.values()))[0]

    def _connect(self, timeout_s):
        """Reuse the open connection, or select a ready entry for a new one."""
        if self._conn is not None and self._rng.random() >= RECONNECT_RATE:
            return
        self._disconnect()
        self._entry = self._rng.choice(self._balancer.ready_entries())
        read_timeout = timeout_s + EXTRA_WAIT_S
        self._conn = http.client.HTTPConnection(
            "127.0.0.1", self._entry.port, timeout=read_timeout
        )

    def _choose_key(self, account):
        """Return a key, and its account or ``REVOKED`` or ``UNKNOWN``."""
        draw = self._rng.random()
        revoked = sorted(self._operator.revoked_in)
        if draw < REVOKED_KEY_RATE and revoked:
            return self._rng.choice(revoked), REVOKED
        if draw > 1 - UNKNOWN_KEY_RATE:
            return "nobody's-key", UNKNOWN
        # The last key of the list is the next one to be revoked.
        return self._rng.choice(self._operator.keys[account][:2]), account

    def _prompt_parts(self, number):
        """Return the parts of the prompt of a chat; the last is its own."""
        return ["f1", f"5{number % SUBJECTS}", f"a{number}"]

    def _choose_request(self):
        """Return the kind and account of the next request."""
        return self._choose(KIND_WEIGHTS), self._choose(ACCOUNT_WEIGHTS)

    def _send_request(self):
        kind, account = self._choose_request()
        timeout_s = 4.0 if kind == "chat" else 1.5
        self._connect(timeout_s)
        key, account = self._choose_key(account)
        version = max(1, self._operator.version - self._rng.choice((0, 0, 1)))
        path = f"/v{version}/x" if kind == "version" else f"/{kind}/x"
        request_id = f"q{next(self._numbers)}"
        headers = {
            "Host": HOST,
            "X-Persimmonhitch-Request-Id": request_id,
            "X-Persimmonhitch-Request-Deadline": str(int(timeout_s * 1000)),
            "Authorization": f"Bearer {key}",
        }
        if kind == "chat":
            model = self._rng.choice(MODELS)
            adapter = self._rng.choice((None, *ADAPTERS))
            model_name = f"{model}/{adapter}" if adapter else model
            headers["X-Persimmonhitch-Model"] = model_name
            headers["X-Persimmonhitch-Token-Counts"] = "400,100"
            parts = self._prompt_parts(int(request_id[1:]))
            prefix = ",".join(f"{part}:100" for part in parts)
            headers["X-Persimmonhitch-Prompt-Prefix"] = prefix
        call = Call(
            request_id,
            kind,
            path,
            self._entry.name,
            account,
            timeout_s,
            time.monotonic(),
            self._entry.incarnation,
            body=self.body,
            revoked_in=self._operator.revoked_in.get(key),
        )
        abandons = kind != "book" and self._rng.random() < ABANDON_RATE
        self._records.calls.append(call)
        try:
            self._exchange(call, headers, abandons)
        except (http.client.HTTPException, OSError) as exc:
            call.error = repr(exc)
            self._disconnect()
        call.ended_at = time.monotonic()

    def _exchange(self, call, headers, abandons):
        """Send a request and record its answer, or close the connection early."""
        if self._conn.sock is None:
            self._conn.connect()
            self._opened_at = time.monotonic()
        call.opened_at = self._opened_at
        call.port = self._conn.sock.getsockname()[1]
        self._conn.request("POST", call.path, body=self.body, headers=headers)
        if abandons:
            time.sleep(self._rng.uniform(0.0, 0.2))
            call.gave_up_at = time.monotonic()
            self._disconnect()
            return
        answer = self._conn.getresponse()
        call.status = answer.status
        call.is_framed = bool(answer.chunked) or answer.length is not None
        retry_after = answer.getheader("Retry-After")
        call.leaving = answer.getheader("Server-Leaving") == "1"
        call.retry_after = float(retry_after) if retry_after else None
        body = answer.read()
        call.complete = True
        if answer.status != 200:
            call.code = error_code(body)
        signature = answer.getheader("X-Persimmonhitch-Response-Signature")
        call.correct = signature == f"s.{call.request_id}" and body == _expected(call)
        call.is_prefix = _expected(call).startswith(body) and body.endswith(b"\n\n")
        if answer.getheader("Connection", "").lower() == "close":
            self._disconnect()


def error_code(body):
    try:
        return json.loads(body)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return ""


def _expected(call):
    """Return the body that the upstream sends for a call."""
    if call.kind == "chat":
        numbers = range(1, EVENT_COUNT + 1)
        return b"".join(event_bytes(call.request_id, number) for number in numbers)
    return answer_body(call.request_id)
