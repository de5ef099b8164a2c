"""Callers that keep their connections, repeat nothing blindly and note every answer."""

import http.client
import itertools
import json
import math
import threading
import time

from soak.platform import ADAPTERS, HOST, MODELS
from soak.records import Call
from soak.upstreams import EVENTS, answer_of, event_of

KINDS = {"read": 0.25, "book": 0.3, "chat": 0.35, "version": 0.1}
ACCOUNTS = {"large": 0.45, "small": 0.4, "plain": 0.15}
NEW_CONNECTION = 0.15
LEAVES = 0.04
WITHDRAWN_KEY = 0.04
UNKNOWN_KEY = 0.01
PAUSE = 0.12
"""Mean seconds between two requests of a caller."""
OVERDUE = 3.0
"""Seconds beyond its patience for which a caller still listens, to see what comes."""
ASK_EVERY, MISSES = 0.3, 2
WITHDRAWN = "withdrawn"
UNKNOWN = "unknown"


class Balancer:
    """Knows which entries take new connections, from asking them."""

    def __init__(self, entries):
        self._entries = entries
        self._misses = dict.fromkeys(entries, 0)
        self._stopped = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        self._stopped.set()

    def ready(self):
        """Return the entries in rotation; all of them if there are none."""
        found = [e for e, missed in self._misses.items() if missed < MISSES]
        return found or list(self._entries)

    def _run(self):
        while not self._stopped.wait(ASK_EVERY):
            for entry in self._entries:
                good = entry.is_ready()
                self._misses[entry] = 0 if good else self._misses[entry] + 1


class Caller(threading.Thread):
    """Sends one request after the other."""

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
        while not self._stopped.wait(self._rng.expovariate(1 / PAUSE)):
            self._call()
        self._drop()

    def _drop(self):
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _pick(self, weights):
        return self._rng.choices(list(weights), list(weights.values()))[0]

    def _connect(self, patience):
        """Keep the open connection, or open one to an entry that takes new ones."""
        if self._conn is not None and self._rng.random() >= NEW_CONNECTION:
            return
        self._drop()
        self._entry = self._rng.choice(self._balancer.ready())
        limit = patience + OVERDUE
        self._conn = http.client.HTTPConnection(
            "127.0.0.1", self._entry.port, timeout=limit
        )

    def _key(self, account):
        draw = self._rng.random()
        withdrawn = sorted(self._operator.revoked)
        if draw < WITHDRAWN_KEY and withdrawn:
            return self._rng.choice(withdrawn), WITHDRAWN
        if draw > 1 - UNKNOWN_KEY:
            return "nobody's-key", UNKNOWN
        # The last key of the list is the next to be withdrawn.
        return self._rng.choice(self._operator.keys[account][:2]), account

    def _draw(self):
        """Return the kind and account of the next call."""
        return self._pick(KINDS), self._pick(ACCOUNTS)

    def _call(self):
        kind, account = self._draw()
        patience = 4.0 if kind == "chat" else 1.5
        self._connect(patience)
        key, account = self._key(account)
        version = max(1, self._operator.version - self._rng.choice((0, 0, 1)))
        path = f"/v{version}/x" if kind == "version" else f"/{kind}/x"
        request = f"q{next(self._numbers)}"
        headers = {
            "Host": HOST,
            "X-Persimmonhitch-Request-Id": request,
            "X-Persimmonhitch-Request-Deadline": str(int(patience * 1000)),
            "Authorization": f"Bearer {key}",
        }
        if kind == "chat":
            model = self._rng.choice(MODELS)
            adapter = self._rng.choice((None, *ADAPTERS))
            named = f"{model}/{adapter}" if adapter else model
            headers["X-Persimmonhitch-Model"] = named
            headers["X-Persimmonhitch-Token-Counts"] = "400,100"
        call = Call(
            request,
            kind,
            path,
            self._entry.name,
            account,
            patience,
            time.monotonic(),
            self._entry.incarnation,
            body=self.body,
            withdrawn_in=self._operator.revoked.get(key),
        )
        leaves = kind != "book" and self._rng.random() < LEAVES
        self._records.calls.append(call)
        try:
            self._exchange(call, headers, leaves)
        except (http.client.HTTPException, OSError) as exc:
            call.error = repr(exc)
            self._drop()
        call.ended_at = time.monotonic()

    def _exchange(self, call, headers, leaves):
        if self._conn.sock is None:
            self._conn.connect()
            self._opened_at = time.monotonic()
        call.opened_at = self._opened_at
        self._conn.request("POST", call.path, body=self.body, headers=headers)
        if leaves:
            time.sleep(self._rng.uniform(0.0, 0.2))
            call.left_at = time.monotonic()
            self._drop()
            return
        answer = self._conn.getresponse()
        call.status = answer.status
        after = answer.getheader("Retry-After")
        call.retry_after = float(after) if after else None
        body = answer.read()
        call.whole = True
        if answer.status != 200:
            call.code = _code(body)
        signature = answer.getheader("X-Persimmonhitch-Response-Signature")
        call.right = signature == f"s.{call.request}" and body == _expected(call)
        if answer.getheader("Connection", "").lower() == "close":
            self._drop()


def _code(body):
    try:
        return json.loads(body)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return ""


def _expected(call):
    if call.kind == "chat":
        numbers = range(1, EVENTS + 1)
        return b"".join(event_of(call.request, number) for number in numbers)
    return answer_of(call.request)
