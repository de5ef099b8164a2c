"""Another writer leaves an unreadable entry among the servers; engines leave."""

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

ENGINES, LEAVING = 10, 3
"""Engines, and how many leave in turn: 1 of 10, of 9 and of 8, a share below 0.13."""
ZONES = 4
WORK_S = 0.1
DRAIN_S = 2.0
"""``drain_ms`` of the site."""
EXTRA_S = 0.18
"""Seconds for which an engine serves beyond that before it exits."""
QUIET_S = 2.1
"""Seconds without requests once an engine has reported that it drains."""
DEADLINE_MS = 1500
UNREADABLE = "booking-ledger\udcff"
"""A service whose name holds a byte that is no text; JSON states it as an escape."""


class Ledger(Engine):
    """Works for ``WORK_S`` on each request; says in its answers that it leaves."""

    def __init__(self, name, zone, store, record):
        self.arrivals = []
        self.cut = []
        """Requests that it was working on when it exited."""
        self.running = set()
        self.drained_at = None
        """When the store acknowledged that it drains."""
        super().__init__(name, "booking-ledger", zone, store, record, slots=6)

    def serve(self, req, sock):
        """Run a request."""
        self.arrivals.append((time.monotonic(), req.id))
        self.running.add(req.id)
        if not wait_or_left(sock, WORK_S):
            return False
        self.running.discard(req.id)
        headers = {
            "X_Persimmonhitch_Request_Id": req.id,
            "X_Persimmonhitch_Response_Signature": f"s.{req.id}",
        }
        if self.state == "draining":
            headers["Server_Leaving"] = "1"
        return self.reply(sock, 200, f"done {req.id}".encode(), **headers)

    def drain(self):
        """Report that it drains."""
        self.state = "draining"
        while not self.register():
            # Its heartbeat has written the entry at the same moment.
            time.sleep(0.005)
        self.drained_at = self.record.add(f"{self.name}: draining, acknowledged")

    def leave(self):
        """Exit; the entry in the store goes too."""
        self.cut = sorted(self.running)
        self.close()
        self.store.delete(Kind.UPSTREAM, self.name)
        self.record.add(f"{self.name}: exits, cuts {len(self.cut)} requests")

    def late_arrivals(self):
        """Return the requests that came later than ``drain_ms`` after its report."""
        if self.drained_at is None:
            return []
        bound = self.drained_at + DRAIN_S
        return [(at - self.drained_at, id_) for at, id_ in self.arrivals if at > bound]


class Callers:
    """Sends requests to the entries in turn and notes each answer."""

    def __init__(self, entries, record):
        self._entries = itertools.cycle(entries)
        self._record = record
        self._numbers = itertools.count()
        self.statuses = {}
        """Status of the answer to each request, None for none."""

    def send(self, count, gap_s):
        """Send some requests, one each ``gap_s``; return their ids when answered."""
        threads = {}
        for _ in range(count):
            request_id = f"r{next(self._numbers)}"
            args = (request_id, next(self._entries))
            threads[request_id] = threading.Thread(target=self._call, args=args)
            threads[request_id].start()
            time.sleep(gap_s)
        for thread in threads.values():
            thread.join()
        return list(threads)

    def _call(self, request_id, entry):
        status = None
        try:
            with socket.create_connection(("127.0.0.1", entry.callers), 2) as sock:
                sock.sendall(
                    request_bytes("/confirm/x", request_id, DEADLINE_MS, b"{}")
                )
                answer = read_answer(sock, DEADLINE_MS / 1000 + 1)
                status = answer.status if answer.end == "complete" else None
        except OSError as exc:
            self._record.add(f"client: {request_id}: {exc!r}")
        self.statuses[request_id] = status
        self._record.add(f"client: {request_id} at {entry.name}: {status}")

    def served(self, ids):
        """Return how many requests were answered with a success."""
        return sum(self.statuses[request_id] == 200 for request_id in ids)


def foreign_entry(service):
    """Return an entry of another writer, which names no engine to use."""
    return {
        "service": service,
        "address": "127.0.0.1:9",
        "zone": "z1",
        "version": "1",
        "slots": 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }


def play(folder, record, closing):
    """Take engines away, one after the other."""
    store = Store()
    closing.append(store)
    routes = [route("confirm", "non_idempotent", "booking-ledger", 800)]
    services = [{"name": "booking-ledger", "health_check_path": "/health"}]
    store.configure(config(1, routes, services))
    engines = [
        Ledger(f"i-{n}", f"z{1 + (n - 1) % ZONES}", store, record)
        for n in range(1, ENGINES + 1)
    ]
    entries = [
        Entry(f"entry-{n}", f"z{n}", store.port, folder, record) for n in (1, 2, 3)
    ]
    closing += [*engines, *entries]
    for entry in entries:
        entry.start()
    await_ready(entries)
    time.sleep(1.0)
    callers = Callers(entries, record)
    if callers.served(callers.send(40, 0.05)) < 40:
        raise CannotRun("requests were not served in calm")
    if TROUBLE:
        store.put(Kind.UPSTREAM, "i-other", foreign_entry(UNREADABLE))
        record.add("another writer has entered i-other")
    callers.send(60, 0.05)
    for engine in engines[:LEAVING]:
        time.sleep(1.0)
        take_away(engine, callers)
    last = callers.send(40, 0.05)
    record.add(f"{callers.served(last)} of {len(last)} served afterwards")
    return list(find_broken(engines[:LEAVING], callers))


def take_away(engine, callers):
    """Drain an engine, and send requests just before it exits."""
    engine.drain()
    exit_at = engine.drained_at + DRAIN_S + EXTRA_S
    timer = threading.Timer(exit_at - time.monotonic(), engine.leave)
    timer.start()
    time.sleep(max(0.0, engine.drained_at + QUIET_S - time.monotonic()))
    callers.send(48, 0.0015)
    timer.join()


def find_broken(leaving, callers):
    """Yield how the rule DRAIN was broken, and what that cost."""
    for engine in leaving:
        late = engine.late_arrivals()
        if not late:
            continue
        lost = [i for _, i in late if i in engine.cut and callers.statuses[i] != 200]
        yield (
            f"DRAIN: {len(late)} requests reached {engine.name} up to "
            f"{max(late)[0]:.2f} s after the store had acknowledged that it drains; "
            f"{len(lost)} of them were cut when it exited, answered with "
            f"{sorted({str(callers.statuses[i]) for i in lost})}"
        )


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
