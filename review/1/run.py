"""An engine answers twice: the copy of a 421 comes where the next answer is due."""

import collections
import itertools
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from models import (  # noqa: E402
    EVENT_INTERVAL_S,
    EVENTS,
    ModelEngine,
    engine_service,
)
from rig import (  # noqa: E402
    TROUBLE,
    CannotRun,
    Entry,
    Store,
    await_ready,
    config,
    read_answer,
    request_bytes,
    route,
    run_case,
    wait_or_left,
)

HELD = {"i-1": ("m0", "m1"), "i-2": ("m2", "m3")}
"""Models of each engine; each model is on one engine, and no engine has more room."""
LOAD_S = dict.fromkeys(("m0", "m1", "m2", "m3"), 8.6)
ADAPTERS, ADAPTER_SLOTS = 9, 8
"""Adapters in use of a model, and places for adapters of an engine."""
PLAIN_EACH = 8
"""One request of so many names a model without an adapter."""
CALM_S, GARBLE_S, AFTER_S = 12.0, 5.0, 2.0
"""Time before the engine answers twice, for how long it does so, and after it."""
ROUNDS = 9
"""Times that this is played; the case ends with the first request that ran twice."""
EXTRA_SHARE = 0.03
"""Share of its answers of which the engine sends a copy."""
DEADLINE_MS = 5000
CLIENTS_PER_ENTRY = 3
PAUSE_S = 0.1


class TwiceAnsweringEngine(ModelEngine):
    """Notes each run; sends a copy of some answers when the next one is due."""

    def __init__(self, *args, **options):
        self.runs = collections.Counter()
        self.answers = self.extras = self.refusals = 0
        self.garbles_until = 0.0
        self._late = {}
        """Copy to send before the next answer, by connection."""
        self._count_lock = threading.Lock()
        super().__init__(*args, **options)

    def garble(self, seconds):
        """Answer twice for some time."""
        with self._count_lock:
            self.garbles_until = time.monotonic() + seconds

    def _may_answer_twice(self):
        with self._count_lock:
            is_due = self.extras + 1 <= EXTRA_SHARE * self.answers
            if time.monotonic() >= self.garbles_until or not is_due:
                return False
            self.extras += 1
            return True

    def _stream(self, req, sock):
        copy = self._late.pop(sock, None)
        if copy is not None and time.monotonic() < self.garbles_until:
            self.record.add(f"{self.name}: a copy of the 421 to {copy[0]} is sent")
            sock.sendall(copy[1])
        with self._count_lock:
            # Only answers of the time in which it answers twice count for the share.
            self.answers += time.monotonic() < self.garbles_until
        name = req.headers.get("x-persimmonhitch-model", "")
        if self._has(name):
            return self._run_stream(req, name, sock)
        self.refusals += 1
        self.record.add(f"{self.name}: answers {req.id} ({name}) with 421")
        answer = (
            "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
            f"X-Persimmonhitch-Instance-Id: {self.name}\r\n"
            f"X-Persimmonhitch-Request-Id: {req.id}\r\n"
            "X-Persimmonhitch-Not-Executed: 1\r\n\r\n"
        ).encode()
        sock.sendall(answer)
        if self._may_answer_twice():
            self._late[sock] = req.id, answer
        return True

    def _run_stream(self, req, name, sock):
        """Send a stream; a run begins with its first event."""
        self._running[req.id] = name
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Persimmonhitch-Request-Id: {req.id}\r\n"
            f"X-Persimmonhitch-Response-Signature: {self.name}.{req.id}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
        try:
            for number in range(1, EVENTS + 1):
                if not wait_or_left(sock, EVENT_INTERVAL_S):
                    self.record.add(f"{self.name}: {req.id}: peer left")
                    return False
                if number == 1:
                    self.runs[req.id] += 1
                    self.record.add(f"{self.name}: runs {req.id} ({name})")
                data = f"id: {number}\ndata: {req.id}-{number}\n\n".encode()
                chunk = f"{len(data):x}\r\n".encode() + data + b"\r\n"
                sock.sendall(head + chunk if number == 1 else chunk)
            sock.sendall(b"0\r\n\r\n")
            self.record.add(f"{self.name}: has run {req.id} to its end")
        finally:
            self._running.pop(req.id, None)
        return True


def model_of(number):
    """Return the model and adapter of a request; callers go through them in turn."""
    models = list(HELD.values())[number % 2]
    turn = number // 2
    if turn % PLAIN_EACH == 0:
        return models[1]
    return f"{models[0]}/a{1 + turn % ADAPTERS}"


class Client(threading.Thread):
    """Sends streams to one entry, each with another adapter."""

    numbers = itertools.count()

    def __init__(self, entry, record, stopped, statuses):
        super().__init__(daemon=True)
        self.entry, self.record, self.stopped = entry, record, stopped
        self.statuses = statuses

    def run(self):
        """Send requests until the case ends; none is sent again."""
        while not self.stopped.wait(PAUSE_S):
            self._send(next(self.numbers))

    def _send(self, number):
        request_id = f"r{number}"
        request = request_bytes(
            "/quote/x",
            request_id,
            DEADLINE_MS,
            f"body {number}".encode(),
            X_Persimmonhitch_Model=model_of(number),
            X_Persimmonhitch_Token_Counts="400,100",
            X_Persimmonhitch_Prompt_Prefix=f"f1:100,a{number:x}:300",
        )
        with socket.create_connection(("127.0.0.1", self.entry.callers), 1) as sock:
            sock.sendall(request)
            answer = read_answer(sock, DEADLINE_MS / 1000)
        self.statuses[request_id] = answer.status
        self.record.add(
            f"client: {request_id} at {self.entry.name}: {answer.status}, {answer.end}"
        )


def play(folder, record, closing):
    """Run four entries and two engines, of which one answers twice for a while."""
    store = Store()
    closing.append(store)
    routes = [route("quote", "streaming", "desk-assistant", DEADLINE_MS)]
    services = [engine_service(tuple(LOAD_S), LOAD_S, ADAPTERS, ADAPTER_SLOTS)]
    store.configure(config(1, routes, services))
    engines = [
        TwiceAnsweringEngine(
            name, f"z{name[-1]}", store, record, models, LOAD_S, slots=ADAPTER_SLOTS
        )
        for name, models in HELD.items()
    ]
    entries = [
        Entry(f"entry-{n}", f"z{n}", store.port, folder, record) for n in (1, 2, 3, 4)
    ]
    closing += [*engines, *entries]
    for entry in entries:
        entry.start()
    await_ready(entries)
    stopped, statuses = threading.Event(), {}
    clients = [
        Client(e, record, stopped, statuses)
        for e in entries
        for _ in range(CLIENTS_PER_ENTRY)
    ]
    for client in clients:
        client.start()
    broken = []
    time.sleep(CALM_S)
    for _ in range(ROUNDS):
        if TROUBLE:
            engines[0].garble(GARBLE_S)
        time.sleep(GARBLE_S + AFTER_S)
        record.add(
            f"{engines[0].extras} copies of {engines[0].answers} answers of i-1; "
            f"{[engine.refusals for engine in engines]} answers 421 so far"
        )
        broken = list(find_broken(engines, statuses))
        if any(line.startswith("TWICE") for line in broken):
            break
    stopped.set()
    for client in clients:
        client.join(DEADLINE_MS / 1000 + 2)
    if not any(status == 200 for status in statuses.values()):
        raise CannotRun("nothing was served")
    record.add(f"statuses: {dict(collections.Counter(statuses.values()))}")
    if not any(line.startswith("TWICE") for line in broken):
        record.add(f"not counted, since no request ran twice: {broken}")
        return []
    return broken


def find_broken(engines, statuses):
    """Yield how the rule TWICE was broken, and REFUSED beside it."""
    runs = sum((engine.runs for engine in engines), collections.Counter())
    for request_id, count in runs.items():
        if count > 1:
            yield (
                f"TWICE: {request_id}, a stream that may not be repeated, ran {count} "
                f"times; its client got {statuses.get(request_id)}"
            )
        if statuses.get(request_id) in (429, 503):
            yield (
                f"REFUSED: {request_id} ran and its client got {statuses[request_id]}"
            )


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
