"""Large requests that come at once exceed the memory of an entry, which is killed.

Clients keep their connections and send requests of nearly ``max_body_bytes``. No bound
holds for the requests that a process has read; with 2.5 times the usual requests the
platform kills it, and all requests that it had passed on are lost.
"""

import collections
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from rig import (  # noqa: E402
    TROUBLE,
    CannotRun,
    Engine,
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

MEMORY_MB = 300
"""Memory of a ``frontend`` machine; the platform kills a process that exceeds it."""
RESTART_S = 0.5
"""After what time the platform starts a process again."""
MAX_BODY_BYTES = 4_194_304
BODY_BYTES = 4_000_000
USUAL, BURST_X = 20, 2.5
"""Clients that send at once, and how many times as many do so in a burst."""
TURNS, TURN_S = 3, 6.0
"""How often, and how many seconds apart, they send."""
WORK_S = 1.0
DEADLINE_MS = 8000
BODY = bytes(BODY_BYTES)


class PlainEngine(Engine):
    """Runs each request in ``WORK_S``, unless its connection closes before."""

    def __init__(self, *args, **options):
        self.runs = collections.Counter()
        super().__init__(*args, **options)

    def serve(self, req, sock):
        """Run one request."""
        self.runs[req.id] += 1
        self.record.add(f"{self.name}: runs {req.id}, {len(req.body)} bytes")
        if not wait_or_left(sock, WORK_S):
            self.record.add(f"{self.name}: {req.id}: its connection has closed")
            return False
        return self.reply(
            sock,
            200,
            b"x" * 800,
            X_Persimmonhitch_Request_Id=req.id,
            X_Persimmonhitch_Response_Signature=f"s.{req.id}",
        )


class Platform(threading.Thread):
    """Kills the process of an entry that exceeds its memory, and starts it again."""

    def __init__(self, entry, record):
        super().__init__(daemon=True)
        self.entry, self.record = entry, record
        self.most_mb, self.kills = 0.0, 0
        self.stopped = threading.Event()

    def run(self):
        """Look at the memory until it is stopped."""
        while not self.stopped.wait(0.02):
            used_mb = self._used_mb()
            self.most_mb = max(self.most_mb, used_mb)
            if used_mb > MEMORY_MB:
                self.kills += 1
                self.record.add(
                    f"platform: {self.entry.name} has {used_mb:.0f} MB of {MEMORY_MB}"
                )
                self.entry.kill()
                time.sleep(RESTART_S)
                if not self.stopped.is_set():
                    self.entry.start()

    def _used_mb(self):
        path = Path(f"/proc/{self.entry.process.pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Client(threading.Thread):
    """Sends a small request, then a large one on the same connection at each turn."""

    def __init__(self, number, entry, turns, record, answers):
        super().__init__(daemon=True)
        self.number, self.entry, self.turns = number, entry, turns
        self.record, self.answers = record, answers
        self.sock = None

    def run(self):
        """Send until all turns are over."""
        self._send(f"small-{self.number}", b"hello")
        for turn in self.turns:
            turn.wait()
            if self.sock is None:
                self._send(f"small-{self.number}-again", b"hello")
            self._send(f"large-{self.number}-{self.turns.index(turn)}", BODY)

    def _send(self, request_id, body):
        answer = None
        try:
            if self.sock is None:
                address = ("127.0.0.1", self.entry.callers)
                self.sock = socket.create_connection(address, 1)
            self.sock.settimeout(DEADLINE_MS / 1000)
            self.record.add(f"client: sends {request_id}")
            self.sock.sendall(request_bytes("/book/x", request_id, DEADLINE_MS, body))
            answer = read_answer(self.sock, DEADLINE_MS / 1000)
        except OSError as exc:
            self.record.add(f"client: {request_id}: {exc!r}")
        status = answer.status if answer is not None else None
        end = answer.end if answer is not None else "no answer"
        if end != "complete" or answer.headers.get("connection") == "close":
            if self.sock is not None:
                self.sock.close()
            self.sock = None
        self.answers[request_id] = status, end
        self.record.add(f"client: {request_id}: {status}, {end}")


def play(folder, record, closing):
    """Run two entries and four servers; most clients come to one entry."""
    store = Store()
    closing.append(store)
    service = {
        "name": "booking-ledger",
        "health_check_path": "/health",
        "connection_limit": 96,
    }
    routes = [
        route(
            "book",
            "non_idempotent",
            "booking-ledger",
            DEADLINE_MS,
            target_latency_ms=3000,
        )
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    store.configure({**config(1, routes, [service]), "limits": limits})
    engines = [
        PlainEngine(
            f"i-{n}", "booking-ledger", f"z{n % 2 + 1}", store, record, slots=24
        )
        for n in range(1, 5)
    ]
    entries = [Entry(f"entry-{n}", f"z{n}", store.port, folder, record) for n in (1, 2)]
    closing += [*engines, *entries]
    for entry in entries:
        entry.start()
    await_ready(entries)
    platform = Platform(entries[0], record)
    platform.start()
    count = int(USUAL * BURST_X) if TROUBLE else USUAL
    turns, answers = [threading.Event() for _ in range(TURNS)], {}
    clients = [Client(n, entries[0], turns, record, answers) for n in range(count)]
    for client in clients:
        client.start()
        time.sleep(0.03)
    time.sleep(2.0)
    for turn in turns:
        record.add(f"{count} clients send {BODY_BYTES} bytes each")
        turn.set()
        time.sleep(TURN_S)
    for client in clients:
        client.join(DEADLINE_MS / 1000 + 2)
    platform.stopped.set()
    platform.join()
    record.add(f"answers: {dict(collections.Counter(answers.values()))}")
    record.add(f"most memory {platform.most_mb:.0f} MB, {platform.kills} kills")
    if not any(status == 200 for status, _ in answers.values()):
        raise CannotRun("nothing was served")
    runs = sum((engine.runs for engine in engines), collections.Counter())
    lost = [
        request_id
        for request_id, (status, _) in answers.items()
        if status is None and runs[request_id]
    ]
    if len(lost) <= 3:
        return []
    return [
        f"LOST: {len(lost)} requests from kept connections were passed on to sound "
        f"servers, and their connections closed without an answer: {lost[:5]}",
        f"{entries[0].name} was killed {platform.kills} times for its memory",
    ]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
