"""A tenant with a rate and a burst, and the tokens that engines run for it."""

import http.client
import random
import threading
import time

import rig
from soak.upstreams import UpstreamSpec

RATE, BURST, TOKENS = 40_000, 120_000, 500
"""Tokens a second, burst in tokens, and tokens of each request."""
USUAL = RATE / 1.8
"""Usual tokens a second of the tenant; ``quota_x`` of the site files is 1.8."""
HOT_X = 6.0
WINDOW_S, OVERAGE, SLACK = 8.0, 0.1, 17_000
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
TIMEOUT_S = 2.0


def config():
    """Return the configuration."""
    tenant = {
        "name": "t1",
        "api_keys": ["k1"],
        "rate_per_s": RATE,
        "burst_size": BURST,
        "unit": "tokens",
        "uncached_tokens": TOKENS,
    }
    service = {"name": "app", "health_check_path": "/health", "connection_limit": 360}
    return {
        "version": 1,
        "limits": {},
        "tenants": [tenant],
        "services": [service],
        "routes": [rig.route("read", "idempotent", "app", 2000)],
    }


def start_platform():
    """Return a started platform with four servers of the service."""
    platform = rig.Platform(config())
    for number in range(1, 5):
        spec = UpstreamSpec(f"s{number}", "app", "z1", 24, event_interval_s=0.004)
        platform.add(spec, random.Random(number))
    platform.start()
    return platform


class Client(threading.Thread):
    """Sends a new request in each period; one that is refused is not repeated."""

    def __init__(self, entry, tokens_per_s, recorder, sent_at):
        super().__init__(daemon=True)
        self.entry = entry
        """Entry of the client's zone; it opens a new connection if that changes."""
        self.tokens_per_s = tokens_per_s
        self._recorder = recorder
        self._sent_at = sent_at
        self.served = 0
        self.stopped = threading.Event()

    def run(self):
        """Send until told to stop."""
        conn = entry = None
        last_at = time.monotonic() - random.random() * TOKENS / self.tokens_per_s
        while not self.stopped.is_set():
            now = time.monotonic()
            due_at = last_at + TOKENS / self.tokens_per_s
            if now < due_at:
                time.sleep(min(0.02, due_at - now))
                continue
            last_at = max(due_at, now - 0.1)
            if conn is not None and entry is not self.entry:
                conn.close()
                conn = None
            if conn is None:
                entry = self.entry
                conn = http.client.HTTPConnection(
                    "127.0.0.1", entry.port, timeout=TIMEOUT_S + 1
                )
            if not self._send(conn, entry):
                conn.close()
                conn = None
        if conn is not None:
            conn.close()

    def set_rate(self, tokens_per_s):
        """Send at another rate from the next request on."""
        self.tokens_per_s = tokens_per_s

    def _send(self, conn, entry):
        request_id = rig.next_id("r")
        headers = {
            "Host": rig.HOST,
            "X-Persimmonhitch-Request-Id": request_id,
            "X-Persimmonhitch-Request-Deadline": str(int(TIMEOUT_S * 1000)),
            "X-Persimmonhitch-Token-Counts": f"{TOKENS - 100},100",
            "Authorization": "Bearer k1",
        }
        self._recorder.write(f"sent {request_id} to {entry.name}")
        self._sent_at[request_id] = time.monotonic()
        try:
            conn.request("POST", "/read/x", body=request_id.encode(), headers=headers)
            answer = conn.getresponse()
            answer.read()
        except (http.client.HTTPException, OSError) as exc:
            self._recorder.write(f"no answer to {request_id}: {exc!r}")
            return False
        self._recorder.write(f"answered {request_id}: {answer.status}")
        self.served += answer.status == 200
        return answer.getheader("Connection", "").lower() != "close"


def most_in_window(runs, sent_at):
    """Return the most tokens of requests that were sent and run in one window."""
    spans = {}
    for run in runs:
        first = spans.get(run.request_id, run.start)
        spans[run.request_id] = min(first, run.start)
    pairs = [(sent_at[request_id], start) for request_id, start in spans.items()]
    return TOKENS * max(
        sum(begin <= sent and start <= begin + WINDOW_S for sent, start in pairs)
        for begin, _ in pairs
    )


def judge(platform, sent_at, recorder):
    """Record the runs, print the result and return the exit code."""
    runs = platform.records.runs
    for run in runs:
        recorder.write(f"run {run.request_id} at {run.upstream} at {run.start:.3f}")
    if len(runs) < 100:
        print("too few requests ran")
        return 2
    most = most_in_window(runs, sent_at)
    print(f"{len(runs)} runs, at most {most} tokens in 8 s, {ALLOWED:.0f} allowed")
    return 1 if most > ALLOWED else 0
