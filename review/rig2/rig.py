"""Parts of the scripted cases: entries, engines, the store and clients.

The entries are processes of the deploy file. The store, the engines and the paths
between them are the project's own stand-ins, driven by the platform of this file.
"""

import contextlib
import http.client
import itertools
import os
import signal
import socket
import subprocess
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from relay import Relay
from returns.result import Success
from soak.ports import PORTS
from soak.records import Records
from soak.upstreams import Upstream

from persimmonhitch.standin.store_server import StoreApp
from persimmonhitch.standin.store_state import StoreState
from persimmonhitch.store.objects import Kind
from persimmonhitch.web import WebServer

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "review.example"
HEARTBEAT_S = 1.2
STORE_THREADS = 64
START_TIMEOUT_S = 30.0
CONTRACTS = (
    "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform"
)
SETTINGS = """
[vm]
name = {name}
zone = {zone}
region = r1
cpu_share = 0.817
cpu_cores = 1
memory_mb = 300
file_descriptors = 4100
link_mbps = 1000.0
[http]
callers = 127.0.0.1:{callers}
ready = 127.0.0.1:{ready}
metrics = 127.0.0.1:{metrics}
[link]
address = 127.0.0.1:{link}
secret = r1
[store]
url = http://127.0.0.1:{store}
stale_most_ms = 2000
[orders]
guard_ms = 3000
[load]
contracts = {contracts}
[stop]
limit = 8
[retries]
ratio = 0.2
slack = 52
window = 10
"""


class Recorder:
    """Writes ``record.txt``: what was sent, answered and run, with the time."""

    def __init__(self, path):
        self._out = path.open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, text):
        """Write one line."""
        with self._lock:
            self._out.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
            self._out.flush()


class EntryProcess:
    """One entry, started with the command of the deploy file."""

    def __init__(self, name, zone, store_port, folder):
        ports = ("callers", "ready", "metrics", "link")
        self.ports = {key: PORTS.take() for key in ports}
        self.name = name
        self.process = None
        self._log = folder / f"{name}.log"
        self.settings = folder / f"{name}.ini"
        text = SETTINGS.format(
            name=name, zone=zone, store=store_port, contracts=CONTRACTS, **self.ports
        )
        self.settings.write_text(text)

    @property
    def port(self):
        """Return the port for clients."""
        return self.ports["callers"]

    def start(self):
        """Start the process."""
        args = ["python3", "-S", "-m", "persimmonhitch.direct"]
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        self.process = subprocess.Popen(
            [*args, f"--settings={self.settings}"],
            stdout=self._log.open("a"),
            stderr=subprocess.STDOUT,
            cwd=ROOT,
            env={**env, "PYTHONPATH": str(ROOT / "target" / "deps")},
        )

    def kill(self):
        """End the process with SIGKILL."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def is_ready(self):
        """Ask for readiness as the platform does."""
        try:
            with socket.create_connection(("127.0.0.1", self.ports["ready"]), 0.5) as s:
                s.settimeout(0.5)
                s.sendall(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return s.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


def await_ready(entries):
    """Wait until all entries are ready; return whether they are."""
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        if all([entry.is_ready() for entry in entries]):
            return True
        time.sleep(0.05)
    return False


class Platform:
    """The store with the records of the engines, and the operator's configuration."""

    def __init__(self, config):
        self.state = StoreState()
        self.server = WebServer(StoreApp(self.state), "127.0.0.1", 0, STORE_THREADS)
        self.server.start()
        self.records = Records()
        self.engines = {}
        self._stopped = threading.Event()
        self.state.create(Kind.FLEET, "main", config)

    @property
    def port(self):
        """Return the port of the store."""
        return self.server.port

    def add(self, spec, rng, version="1"):
        """Start an engine."""
        engine = Upstream(spec, self.records, rng)
        engine.version = version
        self.engines[spec.name] = engine
        return engine

    def start(self):
        """Register the engines and go on with their heartbeats."""
        for name in self.engines:
            self.register(name)
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        """Stop the store and the engines."""
        self._stopped.set()
        for engine in self.engines.values():
            engine.close()
        self.server.close()

    def register(self, name):
        """Write the record of an engine."""
        spec = self.engines[name].record()
        result = self.state.get(Kind.UPSTREAM, name)
        if isinstance(result, Success):
            self.state.update(result.unwrap(), spec)
        else:
            self.state.create(Kind.UPSTREAM, name, spec)

    def _run(self):
        while not self._stopped.wait(HEARTBEAT_S):
            for name in self.engines:
                self.register(name)


def route(name, kind, service, timeout_ms, **fields):
    """Return a route of the configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "service": service,
        "timeout_ms": timeout_ms,
        "target_latency_ms": timeout_ms // 5,
        "max_attempts": 2,
        "priority": 1,
        "public_access": False,
        **fields,
    }


@dataclass
class Stream:
    """What a client has received of one stream, over all its attempts."""

    attempts: list = field(default_factory=list)
    events: list = field(default_factory=list)
    """Number and text of each event."""
    statuses: list = field(default_factory=list)
    is_whole: bool = False
    first_id: str = ""
    """Attempt that brought the first event."""
    began_at: float = 0.0
    """Time of the first attempt, from which its deadline counts."""
    retry_after_s: float = 0.0
    """What the last refusal asked for."""


_ids = itertools.count()


def next_id(prefix="q"):
    """Return the id of a new attempt."""
    return f"{prefix}{next(_ids)}"


def read_events(answer):
    """Yield the number and the text of each whole event."""
    while line := answer.readline():
        data, end = answer.readline(), answer.readline()
        if end != b"\n":
            raise ValueError("the answer ends within an event")
        number = int(line.removeprefix(b"id: "))
        yield number, data.decode().removeprefix("data: ").strip()


def attempt_stream(port, path, headers, body, stream, count, recorder, timeout_s):
    """Send one attempt of a stream, a new one or one that is taken up."""
    request_id = next_id("s")
    stream.attempts.append(request_id)
    stream.began_at = stream.began_at or time.monotonic()
    timeout_s = max(0.1, stream.began_at + timeout_s - time.monotonic())
    deadline = {"X-Persimmonhitch-Request-Deadline": str(int(timeout_s * 1000))}
    names = {"Host": HOST, "X-Persimmonhitch-Request-Id": request_id, **deadline}
    resumption = {}
    if stream.events:
        resumption = {
            "Resumes": stream.first_id,
            "Last-Event-Id": str(stream.events[-1][0]),
        }
    recorder.write(f"sent {request_id} to {port} {headers} {resumption}")
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s + 2)
    outcome = "no answer"
    try:
        conn.request("POST", path, body=body, headers=names | headers | resumption)
        answer = conn.getresponse()
        stream.statuses.append(answer.status)
        outcome = f"status {answer.status}"
        if answer.status != 200:
            answer.read()
            stream.retry_after_s = float(answer.getheader("Retry-After") or 0)
            return
        for event in read_events(answer):
            if not stream.events:
                stream.first_id = request_id
            stream.events.append(event)
        stream.is_whole = bool(stream.events) and stream.events[-1][0] == count
    except (http.client.HTTPException, OSError, ValueError) as exc:
        outcome += f", then {exc!r}"
    finally:
        conn.close()
        recorder.write(f"answered {request_id}: {outcome}, events {stream.events}")


def close_all(entries, *others):
    """End the processes and the stand-ins."""
    for entry in entries:
        entry.kill()
    for other in others:
        with contextlib.suppress(OSError):
            other()


__all__ = [
    "HOST",
    "EntryProcess",
    "Platform",
    "Recorder",
    "Relay",
    "Stream",
    "attempt_stream",
    "await_ready",
    "close_all",
    "next_id",
    "route",
]
