"""Connections to servers that were replaced stay open until no descriptor is left.

The servers of two services are replaced one after the other. Later, with all servers up
and nothing that disturbs, clients that open new connections get no answer in time.
"""

import collections
import itertools
import os
import resource
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
    Kind,
    Store,
    await_ready,
    config,
    read_answer,
    request_bytes,
    route,
    run_case,
    wait_or_left,
)

DESCRIPTORS = 4100
"""Descriptors of a ``frontend`` machine; the platform limits each process to them."""
SERVICES = ("booking-ledger", "parcel-desk")
SERVERS = 8
"""Servers of each service."""
REPLACE_EVERY_S = 0.85
"""``gap_s``: time between two replacements in a service, one server at a time."""
DRAIN_S = 2.0
REPLACE_S = 68.0
CLIENTS = 256
"""Clients that keep their connections; they send together to one service, then to the
other."""
BURST_EVERY_S = 1.7
BURST_TURN = 17
"""New clients from one burst to the next, at the end."""
WORK_S = 0.5
DEADLINE_MS, TIMEOUT_MS = 4000, 1500
LATE_S = 0.5
NEW_CLIENTS, NEW_EVERY_S = 150, 0.1
"""Clients at the end, each on a new connection, beside those that keep theirs."""
OWN_DESCRIPTORS = 3000
"""Descriptors that the stand-ins need."""


class PlainEngine(Engine):
    """Runs each request in ``WORK_S``."""

    def serve(self, req, sock):
        """Run one request."""
        self.record.add(f"{self.name}: runs {req.id}")
        if not wait_or_left(sock, WORK_S):
            return False
        headers = {
            "X_Persimmonhitch_Request_Id": req.id,
            "X_Persimmonhitch_Response_Signature": f"s.{req.id}",
        }
        if self.state == "draining":
            headers["Server_Leaving"] = "1"
        return self.reply(sock, 200, b"x" * 200, **headers)


class Replacements(threading.Thread):
    """Replaces the servers of a service, the oldest first, until it is stopped."""

    numbers = itertools.count(1)

    def __init__(self, service, store, record, closing):
        super().__init__(daemon=True)
        self.service, self.store, self.record = service, store, record
        self.closing = closing
        self.stopped = threading.Event()
        self.count = 0
        self.servers = collections.deque(self._start() for _ in range(SERVERS))

    def _start(self):
        number = next(self.numbers)
        zone = f"z{number % 2 + 1}"
        server = PlainEngine(
            f"i-{number}", self.service, zone, self.store, self.record, slots=64
        )
        self.closing.append(server)
        return server

    def run(self):
        """Start a server, then let the oldest one drain and end."""
        while not self.stopped.wait(REPLACE_EVERY_S):
            self.servers.append(self._start())
            old = self.servers.popleft()
            old.state = "draining"
            old.register()
            self.record.add(f"{old.name}: leaves, {self.servers[-1].name} is new")
            threading.Timer(DRAIN_S + 0.5, self._end, (old,)).start()

    def _end(self, server):
        server.close()
        self.store.delete(Kind.UPSTREAM, server.name)
        self.count += 1


class KeptClient(threading.Thread):
    """Sends requests over one connection for as long as the entry keeps it."""

    def __init__(self, number, entry, turn, record, statuses):
        super().__init__(daemon=True)
        self.number, self.entry, self.turn = number, entry, turn
        self.record, self.statuses = record, statuses
        self.sock = None

    def run(self):
        """Send one request at each turn."""
        for count in itertools.count():
            if self.turn.wait(count) is None:
                return
            path = ("/book/x", "/parcel/x")[count % 2]
            request_id = f"k{self.number}-{count}"
            try:
                status = self._send(path, request_id)
            except OSError as exc:
                status, self.sock = type(exc).__name__, None
            self.statuses[status] += 1
            self.record.add(f"client: {request_id}: {status}")

    def _send(self, path, request_id):
        if self.sock is None:
            self.sock = socket.create_connection(("127.0.0.1", self.entry.callers), 1)
        self.sock.sendall(request_bytes(path, request_id, DEADLINE_MS, b"one"))
        answer = read_answer(self.sock, DEADLINE_MS / 1000)
        closes = answer.headers.get("connection", "").lower() == "close"
        if answer.end != "complete" or closes:
            self.sock.close()
            self.sock = None
        return answer.status


class Turns:
    """Tells all kept clients to send, at an interval."""

    def __init__(self):
        self._count = 0
        self._is_over = False
        self._changed = threading.Condition()

    def next(self):
        """Begin the next turn."""
        with self._changed:
            self._count += 1
            self._changed.notify_all()

    def end(self):
        """End all turns."""
        with self._changed:
            self._is_over = True
            self._changed.notify_all()

    def wait(self, number):
        """Wait for a turn; return None if there are no more."""
        with self._changed:
            self._changed.wait_for(lambda: self._is_over or self._count > number)
            return None if self._is_over else number


class LimitedEntry(Entry):
    """An entry with the descriptors of its class of machines."""

    def start(self):
        """Start the process; it has the limit from its start on."""
        super().start()
        limit = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limit)

    def descriptors(self):
        """Return the number of its open descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


def new_client(number, entry, record, answered):
    """Send one request on a new connection; note the seconds until its answer."""
    request_id = f"n{number}"
    started_at = record.add(f"client: opens a connection for {request_id}")
    status = None
    try:
        with socket.create_connection(("127.0.0.1", entry.callers), 1) as sock:
            sock.sendall(request_bytes("/book/x", request_id, DEADLINE_MS, b"one"))
            status = read_answer(sock, DEADLINE_MS / 1000).status
    except OSError as exc:
        record.add(f"client: {request_id}: {exc!r}")
        if isinstance(exc, ConnectionRefusedError | ConnectionResetError):
            # It was not read, and the client tries another machine.
            status = "refused"
    seconds = time.monotonic() - started_at
    record.add(f"client: {request_id}: {status} after {seconds:.2f} s")
    answered[request_id] = (status, seconds)


def note(record, replacements, entry, statuses):
    """Record how far the replacements are, and the answers since the last note."""
    record.add(
        f"{sum(r.count for r in replacements)} servers replaced; {entry.name}: ready "
        f"{entry.is_ready()}, {entry.descriptors()} descriptors; {dict(statuses)}"
    )
    statuses.clear()


def play(folder, record, closing):
    """Replace servers in series; then send requests on new connections."""
    limit, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    if most < DESCRIPTORS:
        raise CannotRun(f"a process may have {most} descriptors here")
    if limit < OWN_DESCRIPTORS:
        resource.setrlimit(resource.RLIMIT_NOFILE, (OWN_DESCRIPTORS, most))
    store = Store()
    closing.append(store)
    services = [
        {"name": name, "health_check_path": "/health", "connection_limit": 460}
        for name in SERVICES
    ]
    routes = [
        route(name, "non_idempotent", service, TIMEOUT_MS)
        for name, service in zip(("book", "parcel"), SERVICES, strict=True)
    ]
    store.configure(config(1, routes, services))
    replacements = [Replacements(name, store, record, closing) for name in SERVICES]
    entries = [
        LimitedEntry(f"entry-{n}", f"z{n}", store.port, folder, record) for n in (1, 2)
    ]
    closing += entries
    for entry in entries:
        entry.start()
    await_ready(entries)
    entry, turns, statuses = entries[0], Turns(), collections.Counter()
    clients = [KeptClient(n, entry, turns, record, statuses) for n in range(CLIENTS)]
    for client in clients:
        client.start()
    if TROUBLE:
        for replacement in replacements:
            replacement.start()
    end = time.monotonic() + REPLACE_S
    while time.monotonic() < end:
        turns.next()
        time.sleep(BURST_EVERY_S)
        note(record, replacements, entry, statuses)
    for replacement in replacements:
        replacement.stopped.set()
    # No server comes or leaves any more.
    time.sleep(DRAIN_S + 1.0)
    answered, threads = {}, []
    for number in range(NEW_CLIENTS):
        if number % BURST_TURN == 0:
            turns.next()
            note(record, replacements, entry, statuses)
        args = (number, entry, record, answered)
        threads.append(threading.Thread(target=new_client, args=args, daemon=True))
        threads[-1].start()
        time.sleep(NEW_EVERY_S)
    for thread in threads:
        thread.join(DEADLINE_MS / 1000 + 3)
    turns.end()
    if not all(each.is_alive() for each in entries):
        raise CannotRun("an entry has ended")
    record.add(f"{entry.name} has {entry.descriptors()} descriptors")
    return list(find_broken(answered))


def find_broken(answered):
    """Yield how many requests got no answer in time."""
    times = [seconds for status, seconds in answered.values() if status != "refused"]
    timeout_s = TIMEOUT_MS / 1000
    unanswered = sum(seconds > timeout_s for seconds in times)
    late = sum(seconds > timeout_s + LATE_S for seconds in times)
    if late >= 8 and late > unanswered / 4:
        yield (
            f"CONFIG: {late} of {unanswered} requests that were unanswered at the "
            f"timeout of their route had no final answer {LATE_S:g} s after it "
            f"({len(times)} were sent on new connections)"
        )


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
