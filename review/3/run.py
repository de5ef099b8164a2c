"""Tokens of requests that run come back when their clients leave: the rate has no end.

A tenant sends several times its usual. Some of its clients leave while an engine works
on their requests, before it has answered.
"""

import collections
import random
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

RATE = BURST = 36_707
"""Tokens a second and burst of the tenant, as in the example of the bench."""
USUAL_PER_S = RATE / 1.8
"""What the tenant usually sends (``quota_x`` of the site)."""
HOT_X, HOT_S = 6.0, 11.0
"""Largest dose of ``hot_tenant`` by its length."""
GIVE_UP_SHARE, GIVE_UP_S = 0.3, 5.0
"""Share of the clients that leave, and for how long: twice, one after the other."""
PROMPT, OUTPUT = 1460, 80
COST = PROMPT + OUTPUT
WINDOW_S, OVERAGE, SLACK = 8.0, 0.1, 17_000
"""``quota_window_s``, ``quota_overage`` and ``quota_slack`` of the site."""
WORK_S = 0.4
TARGET_MS, DEADLINE_MS = 1000, 4000
LEAVE_S = (0.1, 0.3)
"""When a client leaves: within half of the objective, while an engine works."""
SEED = 7


class PlainEngine(Engine):
    """Runs each request in ``WORK_S``, unless its connection closes before."""

    def __init__(self, *args, **options):
        self.runs = []
        """Request id and time of arrival of each run."""
        super().__init__(*args, **options)

    def serve(self, req, sock):
        """Run one request."""
        at = self.record.add(f"{self.name}: runs {req.id}")
        self.runs.append((req.id, at))
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


def send(entry, record, request_id, leave_s, statuses):
    """Send one request; leave after some seconds unless ``leave_s`` is None."""
    body = request_id.encode()
    counts = f"{PROMPT},{OUTPUT}"
    request = request_bytes(
        "/sort/x", request_id, DEADLINE_MS, body, X_Persimmonhitch_Token_Counts=counts
    )
    with socket.create_connection(("127.0.0.1", entry.callers), 1) as sock:
        record.add(f"client: sends {request_id} to {entry.name}")
        sock.sendall(request)
        if leave_s is not None and wait_or_left(sock, leave_s):
            statuses[request_id] = "left"
            record.add(f"client: leaves {request_id}")
            return
        answer = read_answer(sock, DEADLINE_MS / 1000)
    statuses[request_id] = answer.status
    record.add(f"client: {request_id}: {answer.status}")


def play(folder, record, closing):
    """Run four entries and four engines; one tenant sends all requests."""
    store = Store()
    closing.append(store)
    services = [
        {"name": "sorter", "health_check_path": "/health", "connection_limit": 360}
    ]
    routes = [
        route("sort", "idempotent", "sorter", DEADLINE_MS, target_latency_ms=TARGET_MS)
    ]
    store.configure(config(1, routes, services, RATE, BURST))
    engines = [
        PlainEngine(f"i-{n}", "sorter", f"z{n}", store, record, slots=64)
        for n in (1, 2, 3, 4)
    ]
    entries = [
        Entry(f"entry-{n}", f"z{n}", store.port, folder, record) for n in (1, 2, 3, 4)
    ]
    closing += [*engines, *entries]
    for entry in entries:
        entry.start()
    await_ready(entries)
    # The entries find each other.
    time.sleep(3.0)
    draw = random.Random(SEED)
    statuses, threads = {}, []
    started_at = record.add("the tenant sends several times its usual")
    interval_s = COST / (USUAL_PER_S * HOT_X)
    for number in range(int(HOT_S / interval_s)):
        due_s = number * interval_s
        time.sleep(max(0.0, started_at + due_s - time.monotonic()))
        leaves = draw.random() < GIVE_UP_SHARE and due_s < 2 * GIVE_UP_S
        leave_s = draw.uniform(*LEAVE_S) if leaves and TROUBLE else None
        args = (draw.choice(entries), record, f"r{number}", leave_s, statuses)
        threads.append(threading.Thread(target=send, args=args, daemon=True))
        threads[-1].start()
    for thread in threads:
        thread.join(DEADLINE_MS / 1000 + 2)
    counts = collections.Counter(statuses.values())
    record.add(f"statuses: {dict(counts)}")
    if not counts[200]:
        raise CannotRun("nothing was served")
    return list(find_broken(engines, record))


def find_broken(engines, record):
    """Yield the window with most tokens of requests that ran, if they are too many."""
    times = sorted(at for engine in engines for _, at in engine.runs)
    most, since = max(
        (sum(begin <= at < begin + WINDOW_S for at in times), begin) for begin in times
    )
    bound = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
    text = (
        f"{most * COST} tokens in {WINDOW_S:g} s from second "
        f"{since - record.started_at:.1f} on, {bound:.0f} allowed"
    )
    record.add(text)
    if most * COST > bound:
        yield f"QUOTA: {text}"


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
