"""One entry of another writer, among those of the servers, ends the watch of servers.

Later a server reports that it leaves, while no client sends anything. Clients then send
again; their requests reach it long after ``drain_ms``, and are lost as it ends.
"""

import collections
import itertools
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

DRAIN_S = 2.0
"""``drain_ms`` of the site."""
CONTACT_S = 3.0
"""``contact_ms`` of the site: so long nothing is disturbed before a server leaves."""
BUSY_S, QUIET_S, LINGER_S, AGAIN_S = 3.0, 3.3, 3.5, 3.0
"""Times: with requests; without any, after a server has reported that it leaves; from
that report until the server ends; with requests after the quiet."""
WORK_S = 0.4
DEADLINE_MS = 1500
CLIENTS_PER_ENTRY = 6
PAUSE_S = 0.05
FOREIGN = {
    "service": "batch-worker",
    "address": "127.0.0.1:9",
    "zone": "z1",
    # A label that was cut within a character, so that its bytes can't be read as text.
    "version": "nightly \ud83d",
    "slots": 1,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}
"""What another writer says of something that is no server of any service here."""


class PlainEngine(Engine):
    """Runs each request in ``WORK_S`` and notes when it came.

    While it leaves, it says so in all its answers.
    """

    def __init__(self, *args, **options):
        self.runs = []
        """Request id and time of arrival of each run."""
        super().__init__(*args, **options)

    def serve(self, req, sock):
        """Run one request."""
        at = self.record.add(f"{self.name}: runs {req.id}")
        self.runs.append((req.id, at))
        if not wait_or_left(sock, WORK_S):
            return False
        headers = {
            "X_Persimmonhitch_Request_Id": req.id,
            "X_Persimmonhitch_Response_Signature": f"s.{req.id}",
        }
        if self.state == "draining":
            headers["Server_Leaving"] = "1"
        return self.reply(sock, 200, b"x" * 800, **headers)


class Client(threading.Thread):
    """Sends requests to one entry while ``active`` is set; none is sent again."""

    numbers = itertools.count()

    def __init__(self, entry, record, active, stopped, statuses):
        super().__init__(daemon=True)
        self.entry, self.record, self.statuses = entry, record, statuses
        self.active, self.stopped = active, stopped

    def run(self):
        """Send requests until the case ends."""
        while not self.stopped.wait(PAUSE_S):
            if self.active.is_set():
                self._send(f"r{next(self.numbers)}")

    def _send(self, request_id):
        request = request_bytes("/book/x", request_id, DEADLINE_MS, b"one slot")
        with socket.create_connection(("127.0.0.1", self.entry.callers), 1) as sock:
            self.record.add(f"client: sends {request_id} to {self.entry.name}")
            sock.sendall(request)
            answer = read_answer(sock, DEADLINE_MS / 1000)
        self.statuses[request_id] = answer.status
        self.record.add(f"client: {request_id}: {answer.status}, {answer.end}")


def play(folder, record, closing):
    """Run two entries and four servers, of which one leaves."""
    store = Store()
    closing.append(store)
    services = [
        {
            "name": "booking-ledger",
            "health_check_path": "/health",
            "connection_limit": 96,
        }
    ]
    routes = [route("book", "non_idempotent", "booking-ledger", DEADLINE_MS)]
    store.configure(config(1, routes, services))
    engines = [
        PlainEngine(f"i-{n}", "booking-ledger", f"z{n % 2 + 1}", store, record, slots=6)
        for n in range(1, 5)
    ]
    entries = [Entry(f"entry-{n}", f"z{n}", store.port, folder, record) for n in (1, 2)]
    closing += [*engines, *entries]
    for entry in entries:
        entry.start()
    await_ready(entries)
    active, stopped, statuses = threading.Event(), threading.Event(), {}
    clients = [
        Client(entry, record, active, stopped, statuses)
        for entry in entries
        for _ in range(CLIENTS_PER_ENTRY)
    ]
    for client in clients:
        client.start()
    active.set()
    time.sleep(BUSY_S)
    if TROUBLE:
        if not store.put(Kind.UPSTREAM, "another-writer-7", FOREIGN):
            raise CannotRun("the store took no entry of another writer")
        record.add("store: an entry of another writer is there")
    time.sleep(CONTACT_S + 1.0)
    active.clear()
    time.sleep(0.3)
    leaving = engines[0]
    leaving.state = "draining"
    if not leaving.register():
        raise CannotRun("the store took no report of a server that leaves")
    left_at = record.add(f"store: acknowledges that {leaving.name} is draining")
    time.sleep(QUIET_S)
    active.set()
    time.sleep(LINGER_S - QUIET_S)
    store.delete(Kind.UPSTREAM, leaving.name)
    leaving.close()
    record.add(f"{leaving.name}: has ended")
    time.sleep(AGAIN_S)
    stopped.set()
    for client in clients:
        client.join(DEADLINE_MS / 1000 + 2)
    record.add(f"statuses: {dict(collections.Counter(statuses.values()))}")
    for engine in engines:
        record.add(f"{engine.name}: {len(engine.runs)} runs")
    if not all(entry.is_alive() for entry in entries):
        raise CannotRun("an entry has ended")
    if not any(status == 200 for status in statuses.values()):
        raise CannotRun("nothing was served")
    return [
        f"DRAIN: {request_id} reached {leaving.name} {at - left_at:.2f} s after the "
        f"store acknowledged that it is draining; its client got "
        f"{statuses.get(request_id)}"
        for request_id, at in leaving.runs
        if at - left_at > DRAIN_S
    ]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
