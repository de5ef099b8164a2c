"""Entries are killed while they forward streams that end with their connection."""

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from rig import (  # noqa: E402
    TROUBLE,
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

EVENTS, EVENT_INTERVAL_S = 12, 0.15
CLIENTS = {"entry-1": 100, "entry-2": 100, "entry-3": 30, "entry-4": 30}
KILLED = 2
"""Entries of the four that are killed at the same moment: the share 0.5."""
UNFRAMED_EACH = 20
"""One of so many answers of half of the engines has neither a length nor chunks: the
shares 0.05 and 0.5."""
KILL_AFTER_S = 0.9
DEADLINE_MS = 15_000


def event(request_id, number):
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def whole_body(request_id):
    """Return the whole stream of a request."""
    return b"".join(event(request_id, n) for n in range(1, EVENTS + 1))


class StreamEngine(Engine):
    """Streams in chunks; some answers end with their connection instead."""

    def __init__(self, *args, unframes):
        self.unframes = unframes
        """Whether one of its answers of 20 ends with the connection."""
        self.count = 0
        self.lock = threading.Lock()
        self.sent = {}
        """Events sent of each request."""
        super().__init__(*args)

    def serve(self, req, sock):
        """Send a stream; stop if the peer closes the connection."""
        with self.lock:
            self.count += 1
            is_framed = not self.unframes or self.count % UNFRAMED_EACH != 0
        framing = "Transfer-Encoding: chunked\r\n" if is_framed else ""
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Persimmonhitch-Request-Id: {req.id}\r\n"
            f"X-Persimmonhitch-Response-Signature: s.{req.id}\r\n{framing}\r\n"
        )
        self.record.add(f"{self.name}: runs {req.id}, framed: {is_framed}")
        sock.sendall(head.encode())
        for number in range(1, EVENTS + 1):
            if not wait_or_left(sock, EVENT_INTERVAL_S):
                self.record.add(f"{self.name}: {req.id}: peer left after {number - 1}")
                return False
            data = event(req.id, number)
            chunk = f"{len(data):x}\r\n".encode() + data + b"\r\n"
            sock.sendall(chunk if is_framed else data)
            self.sent[req.id] = number
        if is_framed:
            sock.sendall(b"0\r\n\r\n")
        self.record.add(f"{self.name}: {req.id}: all {EVENTS} events sent")
        return is_framed


class Client(threading.Thread):
    """Sends one request to an entry and reads its stream."""

    def __init__(self, entry, request_id, record):
        super().__init__(daemon=True)
        self.entry, self.id, self.record = entry, request_id, record
        self.answer = None

    def run(self):
        """Send the request and read its answer."""
        with socket.create_connection(("127.0.0.1", self.entry.callers), 2) as sock:
            sock.sendall(request_bytes("/notes/x", self.id, DEADLINE_MS, b"{}"))
            self.record.add(f"client: {self.id} sent to {self.entry.name}")
            answer = self.answer = read_answer(sock, DEADLINE_MS / 1000)
        self.record.add(
            f"client: {self.id}: status {answer.status}, {answer.body.count(b'data')} "
            f"events, end: {answer.end}, framed: {answer.is_framed}, "
            f"looks complete: {answer.looks_complete}"
        )


def play(folder, record, closing):
    """Run four entries and four engines; kill two entries amid their streams."""
    store = Store()
    closing.append(store)
    routes = [route("notes", "streaming", "desk-assistant", DEADLINE_MS)]
    services = [{"name": "desk-assistant", "health_check_path": "/health"}]
    store.configure(config(1, routes, services))
    engines = [
        StreamEngine(
            f"i-{n}", "desk-assistant", f"z{n}", store, record, unframes=n % 2 == 0
        )
        for n in (1, 2, 3, 4)
    ]
    entries = [
        Entry(f"entry-{n}", f"z{n}", store.port, folder, record) for n in (1, 2, 3, 4)
    ]
    closing += [*engines, *entries]
    for entry in entries:
        entry.start()
    await_ready(entries)
    time.sleep(1.0)
    clients = [
        Client(entry, f"{entry.name}-r{n}", record)
        for entry in entries
        for n in range(CLIENTS[entry.name])
    ]
    for client in clients:
        client.start()
    time.sleep(KILL_AFTER_S)
    if TROUBLE:
        for entry in entries[:KILLED]:
            entry.kill()
        time.sleep(0.5)
        for entry in entries[:KILLED]:
            entry.start()
    for client in clients:
        client.join(DEADLINE_MS / 1000 + 2)
    sent = {}
    for engine in engines:
        sent.update(engine.sent)
    return list(find_broken(clients, sent))


def find_broken(clients, sent):
    """Yield the successes that look complete and are not the engine's whole body."""
    for client in clients:
        answer = client.answer
        if answer is None or answer.status is None or answer.status >= 300:
            continue
        # A stream that ends inside an event is known to be broken off.
        has_whole_events = answer.body.endswith(b"\n\n")
        is_whole = answer.body == whole_body(client.id)
        if answer.looks_complete and has_whole_events and not is_whole:
            yield (
                f"MIXED: {client.id} got {answer.status} with the signature "
                f"{answer.headers.get('x-persimmonhitch-response-signature')} and "
                f"{answer.body.count(b'data')} of {EVENTS} events, ended like a whole "
                f"answer (end: {answer.end}); its engine had sent "
                f"{sent.get(client.id, 0)} and had not broken off"
            )


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
