"""Prompt parts that crash upstreams, sent through gateways with distinct requests."""

import itertools
import random
import socket
import threading
import time
from contextlib import ExitStack

import pytest
from direct_help import (
    LAST_CHUNK,
    LLM,
    STREAM_HEAD,
    FakeUpstream,
    GatewayServer,
    event,
)

FIRST, BAD = "aa", "bad"
SUBJECTS = [f"5{n}" for n in range(6)]
UPSTREAMS, RESTART_S = 5, 1.0
CRASH_DELAY_S, RUN_S = 0.1, 0.2
BAD_GAP_S, GOOD_GAP_S = 0.3, 0.1
"""Seconds between two requests with the part, and between two without it."""
CRASHES, CONTACT_S = 5, 3.0
"""The operators' bound holds from ``CONTACT_S`` after the fifth crash."""
MAX_LATE_SENDS = 3
DURATION_S, CALM_FROM_S = 9.0, 6.0
MIN_SERVED_FRACTION = 0.95


class Engines:
    """Upstreams that crash on a prompt part; each is replaced under a new name."""

    def __init__(self):
        self.runs = []
        """When each request with the part began to run."""
        self._lock = threading.Lock()
        self._names = itertools.count()
        self.gateways = ()
        self.current = [self._start() for _ in range(UPSTREAMS)]

    def _start(self):
        sockets = []

        def script(req, sock):
            sockets.append(sock)
            parts = req.headers.get("x-persimmonhitch-prompt-prefix", "").split(",")
            sock.sendall(STREAM_HEAD)
            if any(part.startswith(f"{BAD}:") for part in parts[:-1]):
                self.runs.append(time.monotonic())
                threading.Event().wait(CRASH_DELAY_S)
                self._crash(upstream, sockets)
                return False
            sock.sendall(event(1))
            threading.Event().wait(RUN_S)
            sock.sendall(event(2) + LAST_CHUNK)
            return True

        upstream = FakeUpstream(f"u{next(self._names)}", script, LLM)
        return upstream

    def _crash(self, upstream, sockets):
        with self._lock:
            if upstream not in self.current:
                return
            self.current.remove(upstream)
        upstream.stop_listening()
        for sock in list(sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Timer(RESTART_S, self._replace).start()

    def _replace(self):
        with self._lock:
            self.current.append(self._start())
            for gateway in self.gateways:
                gateway.upstreams = tuple(self.current)
                gateway.update_upstreams()


def send_requests(gateways, rng):
    """Send requests with and without the part; return results of the latter."""
    served, threads = [], []

    def send_good(number, gateway, prefix):
        sent_at = time.monotonic()
        reply = gateway.call(
            "/chat/x",
            body=f"good {number}".encode(),
            X_Persimmonhitch_Request_Id=f"g{number}",
            X_Persimmonhitch_Prompt_Prefix=prefix,
        )
        served.append((sent_at, reply.status == 200 and reply.complete))

    def send_bad(number, gateway, prefix):
        gateway.call(
            rng.choice(["/chat/x", "/resume/x"]),
            body=f"bad {number}".encode(),
            X_Persimmonhitch_Request_Id=f"b{number}",
            X_Persimmonhitch_Prompt_Prefix=prefix,
        )

    start = time.monotonic()
    next_good, next_bad = start, start + 0.5
    for number in itertools.count():
        now = time.monotonic()
        if now >= start + DURATION_S:
            break
        gateway, subject = rng.choice(gateways), rng.choice(SUBJECTS)
        if now >= next_good:
            next_good += GOOD_GAP_S
            prefix = f"{FIRST}:50,{subject}:20,a{number}:30"
            target = send_good
        elif now >= next_bad:
            next_bad += BAD_GAP_S
            prefix = f"{FIRST}:50,{BAD}:10,{subject}:10,b{number}:30"
            target = send_bad
        else:
            threading.Event().wait(0.01)
            continue
        threads.append(threading.Thread(target=target, args=(number, gateway, prefix)))
        threads[-1].start()
    for thread in threads:
        thread.join(10)
    return [(at - start, ok) for at, ok in served]


@pytest.mark.parametrize("entries", [1, 4])
def test_a_part_that_crashed_five_upstreams_is_sent_to_no_other(entries):
    """Guards against distinct requests that crash upstreams by a part they share."""
    engines = Engines()
    with ExitStack() as stack:
        gateways = [
            stack.enter_context(GatewayServer(*engines.current, vm=f"e{n}", threads=32))
            for n in range(entries)
        ]
        for gateway in gateways:
            gateway.peers = [peer for peer in gateways if peer is not gateway]
        engines.gateways = gateways
        served = send_requests(gateways, random.Random(entries))
    runs = sorted(engines.runs)
    late = [at for at in runs[CRASHES:] if at > runs[CRASHES - 1] + CONTACT_S]
    assert len(late) <= MAX_LATE_SENDS, (len(runs), len(late))
    calm = [ok for at, ok in served if at >= CALM_FROM_S]
    assert sum(calm) >= MIN_SERVED_FRACTION * len(calm), (sum(calm), len(calm))
