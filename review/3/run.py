"""The entry that gives orders is killed, starts again, orders and is killed again."""

import itertools
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from models import ModelEngine, broken_turns, engine_service  # noqa: E402
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
)

MODELS = ("m0", "m1")
ADAPTERS = 24
LOAD_S = dict.fromkeys(MODELS, 8.6)
CALM_S = 6.0
"""Seconds of traffic before the first kill; the lease is then held for over 3 s."""
RESTART_S = 0.1
DOWN_S = 3.0
ROUNDS = 3
"""Times that the two kills are played; the case ends with the first broken order."""
SETTLE_S = 6.0
DEADLINE_MS = 5000
CLIENTS_PER_ENTRY = 8
PAUSE_S = 0.1


class Client(threading.Thread):
    """Sends streams to one entry, each with another adapter."""

    numbers = itertools.count()

    def __init__(self, entry, record, stopped):
        super().__init__(daemon=True)
        self.entry, self.record, self.stopped = entry, record, stopped

    def run(self):
        """Send requests until the case ends."""
        while not self.stopped.wait(PAUSE_S):
            try:
                self._send(next(self.numbers))
            except OSError:
                # The entry is down.
                continue

    def _send(self, number):
        name = f"{MODELS[number % 2]}/a{1 + number % ADAPTERS}"
        request = request_bytes(
            "/quote/x",
            f"r{number}",
            DEADLINE_MS,
            b"{}",
            X_Persimmonhitch_Model=name,
            X_Persimmonhitch_Token_Counts="400,100",
            X_Persimmonhitch_Prompt_Prefix=f"f1:100,a{number:x}:300",
        )
        with socket.create_connection(("127.0.0.1", self.entry.callers), 1) as sock:
            sock.sendall(request)
            sent_at = time.monotonic()
            answer = read_answer(sock, DEADLINE_MS / 1000)
        self.record.add(
            f"client: r{number} ({name}) sent to {self.entry.name}, answered "
            f"{answer.status} after {time.monotonic() - sent_at:.2f} s"
        )


class SecondKill:
    """Kills an entry as soon as an engine has got the first order since its restart."""

    def __init__(self):
        self.entry = None
        self.done = threading.Event()
        self._lock = threading.Lock()

    def expect(self, entry):
        """Kill an entry at the next order that it gives."""
        self.done.clear()
        self.entry = entry

    def see(self, order):
        """Note an order."""
        with self._lock:
            entry = self.entry
            if entry is None or order.holder != entry.name:
                return
            self.entry = None
        entry.kill()
        self.done.set()


def play(folder, record, closing):
    """Run three entries and two engines with callers of adapters."""
    store = Store()
    closing.append(store)
    routes = [route("quote", "streaming", "desk-assistant", DEADLINE_MS)]
    services = [engine_service(MODELS, LOAD_S, ADAPTERS)]
    store.configure(config(1, routes, services))
    kill = SecondKill()
    engines = [
        ModelEngine(f"i-{n}", f"z{n}", store, record, MODELS, LOAD_S) for n in (1, 2)
    ]
    for engine in engines:
        engine.on_order = kill.see
    entries = [
        Entry(f"entry-{n}", f"z{n}", store.port, folder, record) for n in (1, 2, 3)
    ]
    closing += [*engines, *entries]
    for entry in entries:
        entry.start()
    await_ready(entries)
    stopped = threading.Event()
    clients = [
        Client(e, record, stopped) for e in entries for _ in range(CLIENTS_PER_ENTRY)
    ]
    for client in clients:
        client.start()
    for _ in range(ROUNDS):
        time.sleep(CALM_S)
        holder = last_holder(engines)
        record.add(f"orders come from {holder}")
        if TROUBLE:
            leader = next(entry for entry in entries if entry.name == holder)
            kill_twice(leader, kill, record)
        time.sleep(SETTLE_S)
        broken = list(broken_turns(engines))
        if broken:
            break
    stopped.set()
    for client in clients:
        client.join(DEADLINE_MS / 1000 + 2)
    return broken


def kill_twice(leader, kill, record):
    """Kill an entry, start it, and kill it again once it has given an order."""
    leader.kill()
    time.sleep(RESTART_S)
    kill.expect(leader)
    leader.start()
    if not kill.done.wait(10.0):
        record.add(f"{leader.name} gave no order after its restart")
    time.sleep(DOWN_S)
    if not leader.is_alive():
        leader.start()


def last_holder(engines):
    """Return the holder of the newest order."""
    orders = [engine.orders[-1] for engine in engines if engine.orders]
    if not orders:
        raise CannotRun("no orders were given")
    return max(orders, key=lambda order: order.at).holder


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
