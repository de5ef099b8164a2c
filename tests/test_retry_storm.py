"""Real entries whose plain upstreams all fail, against the bound of retries."""

import http.client
import random
import signal
import threading
import time
from contextlib import closing

import pytest
from fleet import wait_for
from retry_rule import excess_retries, retry_times
from soak.answers import AnswerStyle
from soak.entries import RETRY_BOUND, Entry
from soak.platform import HOST, ZONES, Platform
from soak.records import Records
from soak.upstreams import Faults

ENTRIES, UPSTREAMS, RATE = 4, 4, 20
CALM_S, FAILING_S, KILL_INTERVAL_S = 8.0, 8.0, 1.5
REJECTING = AnswerStyle(rejected=0.6)


class Storm:
    """A fleet under a constant rate of reads."""

    def __init__(self, folder):
        self.records = Records()
        self.sent = []
        self.closed = threading.Event()
        self.platform = Platform(
            self.records, random.Random(1), 0, UPSTREAMS, lambda: "1"
        )
        port = self.platform.server.port
        self.entries = [
            Entry(f"entry-{n}", ZONES[n % 2], port, folder, self.records)
            for n in range(ENTRIES)
        ]
        self.key = self.platform.operator.keys["plain"][0]

    def start(self):
        for entry in self.entries:
            entry.start()
        wait_for(lambda: all(e.is_ready() for e in self.entries), "entries")

    def close(self):
        self.closed.set()
        for entry in self.entries:
            entry.close()
        self.platform.stop()

    def run(self, seconds, on_second=lambda _second: None):
        begin, count = time.monotonic(), 0
        while time.monotonic() - begin < seconds:
            entry = self.entries[count % ENTRIES]
            threading.Thread(target=self._send, args=(entry, count)).start()
            count += 1
            delay = begin + count / RATE - time.monotonic()
            if self.closed.wait(max(0.0, delay)):
                return
            if count % int(RATE * KILL_INTERVAL_S) == 0:
                on_second(count // int(RATE * KILL_INTERVAL_S))

    def _send(self, entry, count):
        self.sent.append(time.monotonic())
        conn = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=5)
        headers = {
            "Host": HOST,
            "X-Persimmonhitch-Request-Id": f"r{len(self.sent)}-{count}",
            "X-Persimmonhitch-Request-Deadline": "1500",
            "Authorization": f"Bearer {self.key}",
        }
        try:
            conn.request("POST", "/read/x", body=b"x", headers=headers)
            conn.getresponse().read()
        except (OSError, http.client.HTTPException):
            # A killed entry answers nothing.
            pass
        finally:
            conn.close()

    def restart(self, number):
        entry = self.entries[number % ENTRIES]
        entry.signal(signal.SIGKILL)
        entry.process.wait()
        entry.start()


@pytest.mark.parametrize(
    ("style", "faults", "kill"),
    [
        (REJECTING, Faults(), False),
        (AnswerStyle(), Faults(fail=0.6), False),
        (REJECTING, Faults(), True),
    ],
    ids=["reject", "fail", "reject, entries are killed"],
)
def test_failing_service_gets_no_more_retries_than_operators_allow(
    style, faults, kill, tmp_path
):
    """Guards against entries that each spend a retry budget of their own."""
    with closing(Storm(tmp_path)) as storm:
        storm.start()
        storm.run(CALM_S)
        for upstream in storm.platform.upstreams.values():
            upstream.style, upstream.faults = style, faults
        storm.run(FAILING_S, storm.restart if kill else lambda _n: None)
        arrivals = [(a.request_id, a.at) for a in storm.records.arrivals]
    retries = retry_times(arrivals)
    assert retries
    assert excess_retries(RETRY_BOUND, storm.sent, retries) <= 0
