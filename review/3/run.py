"""Entries are killed while the last engine of a software version leaves."""

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

OLD, NEW = "1", "2"
ENGINES = 8
"""One of the old software version, the others of the new one."""
AGE_S = 600.0
"""Time since the engines started; none starts while the script runs."""
STREAMS = 48
EVENTS, EVENT_INTERVAL_S = 11, 0.7
"""Events of a stream (SYSTEM.md: 11) and the time between two of them."""
DEADLINE_MS = 15_000
DRAIN_S, EXTRA_S = 2.0, 0.3
"""``drain_ms`` of the site, and how long the engine serves beyond it."""
DRAINS_AT_S, KILLED_AT_S, DOWN_S = 1.5, 3.2, 1.0
"""When the engine reports that it drains, when the entries are killed, and for how
long; seconds from the first request."""
ALLOWED = 2
"""Streams that may hold events of two versions: "more than two" break the rule."""
TRIES, TRY_INTERVAL_S = 1, 3.0
"""How often a client takes its stream up again (SYSTEM.md: 1), and after which time."""


class StreamEngine(Engine):
    """Streams events that name its software version; resumes after an event."""

    def __init__(self, name, version, zone, store, record):
        self.version = version
        super().__init__(name, "desk-assistant", zone, store, record)

    def entry(self):
        """Return its entry in the store."""
        born = self.born - int(AGE_S * 1000)
        return {**super().entry(), "version": self.version, "born": born}

    def serve(self, req, sock):
        """Send the events after ``Last-Event-Id``, or all of them."""
        after = int(req.headers.get("last-event-id", 0))
        self.record.add(f"{self.name} (version {self.version}): {req.id} after {after}")
        leaving = "Server-Leaving: 1\r\n" if self.state == "draining" else ""
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Persimmonhitch-Request-Id: {req.id}\r\n"
            f"X-Persimmonhitch-Response-Signature: s.{req.id}\r\n"
            f"{leaving}Transfer-Encoding: chunked\r\n\r\n"
        )
        sock.sendall(head.encode())
        for number in range(after + 1, EVENTS + 1):
            data = f"id: {number}\ndata: version {self.version}\n\n".encode()
            sock.sendall(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            if not wait_or_left(sock, EVENT_INTERVAL_S):
                self.record.add(f"{self.name}: {req.id}: peer left after {number}")
                return False
        sock.sendall(b"0\r\n\r\n")
        return True

    def drain(self):
        """Report that it drains."""
        self.state = "draining"
        while not self.register():
            time.sleep(0.005)
        self.record.add(f"{self.name}: draining, acknowledged")

    def leave(self):
        """Exit; its entry in the store goes too."""
        self.close()
        self.store.delete(Kind.UPSTREAM, self.name)
        self.record.add(f"{self.name}: has left")


class Client(threading.Thread):
    """Reads one stream; takes it up again once if its connection breaks."""

    def __init__(self, name, entries, record):
        super().__init__(daemon=True)
        self.name, self.record = name, record
        self._entries = entries
        self._began = None
        """Id of the attempt that brought the first event."""
        self.events = []
        """Number and version of each event received."""
        self.statuses = []

    def run(self):
        """Send the request, and take the stream up at other entries if it breaks."""
        deadline = time.monotonic() + DEADLINE_MS / 1000
        for number, entry in enumerate(self._entries):
            left_ms = int((deadline - time.monotonic()) * 1000)
            if left_ms <= 0 or self._try(f"{self.name}-{number}", entry, left_ms):
                return
            time.sleep(TRY_INTERVAL_S)

    def _try(self, request_id, entry, deadline_ms):
        """Send an attempt; return whether the stream is complete."""
        headers = {}
        if self.events:
            headers = {"Last_Event_Id": str(self.events[-1][0]), "Resumes": self._began}
        try:
            with socket.create_connection(("127.0.0.1", entry.callers), 1) as sock:
                request = request_bytes(
                    "/summary/x", request_id, deadline_ms, b"{}", **headers
                )
                sock.sendall(request)
                answer = read_answer(sock, deadline_ms / 1000)
        except OSError as exc:
            self.record.add(f"client: {request_id} at {entry.name}: {exc!r}")
            return False
        self.statuses.append(answer.status)
        if answer.status == 200:
            self.events += parse_events(answer.body)
            self._began = self._began or request_id
        self.record.add(
            f"client: {request_id} at {entry.name}: status {answer.status}, end: "
            f"{answer.end}, versions of the events so far: {self.versions()}"
        )
        return answer.status == 200 and answer.end == "complete"

    def versions(self):
        """Return the version of each event received, as text."""
        return "".join(version for _, version in self.events) or "-"


def parse_events(body):
    """Return the number and the version of each complete event."""
    events = []
    for block in body.decode().split("\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in block.splitlines())
        events.append((int(fields["id"]), fields["data"].split()[1]))
    return events


def play(folder, record, closing):
    """Begin streams, take the old engine away, and kill the entries meanwhile."""
    store = Store()
    closing.append(store)
    routes = [
        route(
            "summary",
            "streaming",
            "desk-assistant",
            DEADLINE_MS,
            resumable=True,
            max_attempts=2,
            target_latency_ms=6000,
            target_gap_ms=1000,
        )
    ]
    services = [{"name": "desk-assistant", "health_check_path": "/health"}]
    store.configure(config(1, routes, services))
    engines = [
        StreamEngine(f"i-{n}", OLD if n == 1 else NEW, f"z{1 + n % 4}", store, record)
        for n in range(1, ENGINES + 1)
    ]
    entries = [
        Entry(f"entry-{n}", f"z{n}", store.port, folder, record) for n in (1, 2, 3, 4)
    ]
    closing += [*engines, *entries]
    for entry in entries:
        entry.start()
    await_ready(entries)
    time.sleep(2.0)
    clients = [
        Client(f"r{n}", [entries[(n + k) % 4] for k in range(1 + TRIES)], record)
        for n in range(STREAMS)
    ]
    begun = time.monotonic()
    for client in clients:
        client.start()
    wait_until(begun + DRAINS_AT_S)
    engines[0].drain()
    leave_at = time.monotonic() + DRAIN_S + EXTRA_S
    leaving = threading.Timer(leave_at - time.monotonic(), engines[0].leave)
    leaving.start()
    wait_until(begun + KILLED_AT_S)
    if TROUBLE:
        for entry in entries:
            entry.kill()
        time.sleep(DOWN_S)
        for entry in entries:
            entry.start()
    leaving.join()
    for client in clients:
        client.join(DEADLINE_MS / 1000 + TRIES * TRY_INTERVAL_S)
    if sum(OLD in client.versions() for client in clients) <= ALLOWED:
        raise CannotRun("too few streams began at the old version")
    resumed = [client for client in clients if client.statuses.count(200) > 1]
    record.add(f"{len(resumed)} streams were taken up again with success")
    return list(find_broken(clients, record))


def wait_until(at):
    """Sleep until a monotonic time."""
    time.sleep(max(0.0, at - time.monotonic()))


def find_broken(clients, record):
    """Yield how the rule ORDER was broken."""
    mixed = [client for client in clients if len(set(client.versions()) - {"-"}) > 1]
    record.add(f"{len(mixed)} streams hold events of two software versions")
    if len(mixed) <= ALLOWED:
        return
    for client in mixed:
        yield (
            f"ORDER: {client.name} holds events of two software versions of "
            f"desk-assistant: {client.versions()} (version of each event), statuses "
            f"{client.statuses}"
        )


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
