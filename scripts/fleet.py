"""Small fleet of real processes on loopback, for the demo and the tests."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

from persimmonhitch.catalog import keys
from persimmonhitch.catalog.changes import Delta, diff_lists
from persimmonhitch.catalog.lists import parse_lists
from persimmonhitch.catalog.log import ChangeWriter, read_head
from persimmonhitch.catalog.model import Catalog
from persimmonhitch.ids import Account
from persimmonhitch.platform.store_client import StoreClient
from persimmonhitch.store.objects import Kind

ROOT = Path(__file__).resolve().parent.parent
SECRET = "demo-secret"
MAX_START_S = 20.0
"""Default limit of ``wait_for``."""
MAX_STOP_S = 15.0

ACCOUNTS = """
[account fretes]
plan = desk
[account chapters]
plan = news
"""
PLANS = """
[plan desk]
rate = 5000
burst = 20000
weight = 1
priority = interactive
models = tiny-chat
services = ledger
[plan news]
rate = 2000
burst = 8000
weight = 1
priority = interactive
models = tiny-chat
services =
[model tiny-chat]
memory = 8
kv_memory = 2
revision = r1
[service ledger]
cost = 10
[route ledger GET /manifests/*]
repeatable = yes
[route ledger * /*]
repeatable = no
"""


def wait_for(condition: Callable[[], object], name: str, timeout: float = MAX_START_S):
    """Return the first true value of ``condition``; raise after ``timeout`` seconds."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise TimeoutError(f"timed out after {timeout:g} s waiting for {name}")


@dataclass
class Process:
    """One process of the fleet."""

    name: str
    popen: subprocess.Popen
    log: Path
    log_offset: int
    """Offset of its output in the log, after that of earlier processes."""

    def ports(self) -> dict[str, int]:
        """Return the ports that the process printed."""
        line = wait_for(
            lambda: self._announced("listening "), f"the port of {self.name}"
        )
        words = line.split()[1:]
        return {key: int(port) for key, port in (word.split("=") for word in words)}

    def wait_started(self) -> None:
        """Wait until a process that listens on no port has started."""
        wait_for(lambda: self._announced("started"), f"the start of {self.name}")

    def _announced(self, prefix: str) -> str:
        """Return the first line that begins so, empty if there is none yet."""
        if self.popen.poll() is not None:
            raise RuntimeError(f"{self.name} exited:\n{self.log.read_text()}")
        lines = self.log.read_text()[self.log_offset :].split("\n")[:-1]
        return next((line for line in lines if line.startswith(prefix)), "")

    def signal(self, signum: int) -> None:
        """Send a signal."""
        self.popen.send_signal(signum)

    def kill(self) -> None:
        """Kill the process and reap it."""
        self.popen.kill()
        self.popen.wait()

    def stop(self, timeout: float = MAX_STOP_S) -> int:
        """Stop the process with SIGTERM; return its exit code."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(timeout)


@dataclass
class Reply:
    """An answer to a caller."""

    status: int
    headers: urllib3.HTTPHeaderDict
    body: bytes

    def json(self):
        """Return the body as JSON."""
        return json.loads(self.body)


@dataclass
class Fleet:
    """Processes of one fleet; their settings and logs share a directory."""

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    processes: dict[str, Process] = field(default_factory=dict)
    urls: dict[str, str] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False, maxsize=32)
    )

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_exc: object) -> None:
        self.stop_all()

    def spawn(self, name: str, module: str, *args: str) -> Process:
        """Start a module of the package as a process."""
        log = self.folder / f"{name}.log"
        log_offset = log.stat().st_size if log.exists() else 0
        env = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
        popen = subprocess.Popen(
            [sys.executable, "-m", f"persimmonhitch.{module}", *args],
            stdout=log.open("a"),
            stderr=subprocess.STDOUT,
            env=env,
        )
        process = Process(name, popen, log, log_offset)
        self.processes[name] = process
        return process

    def standin(self, name: str, kind: str, *args: str) -> Process:
        """Start a stand-in; ``record_urls`` reads the port that it prints."""
        return self.spawn(name, "standin", kind, *args)

    def record_urls(self, port: str, *names: str) -> None:
        """Record the URLs of processes from the ports that they print."""
        for name in names:
            number = self.processes[name].ports()[port]
            self.urls[name] = f"http://127.0.0.1:{number}"

    def settings(self, name: str, text: str) -> str:
        """Write a settings file; return its path."""
        path = self.folder / f"{name}.ini"
        path.write_text(text)
        return str(path)

    def sidecar(self, name: str, upstream: str, kind: str, service: str = "", **extra):
        """Start the sidecar of an upstream; ``extra`` adds [upstream] settings."""
        lines = "\n".join(f"{key} = {value}" for key, value in extra.items())
        path = self.settings(
            f"sidecar-{name}",
            f"[vm]\nname = vm-{name}\nzone = z1\nregion = r1\n"
            f"[link]\nhost = 127.0.0.1\nsecret = {SECRET}\n"
            f"[upstream]\nname = {name}\nkind = {kind}\nservice = {service}\n"
            f"url = {self.urls[upstream]}\n{lines}\n"
            f"[store]\nurl = {self.urls['store']}\n",
        )
        return self.spawn(f"sidecar-{name}", "sidecar", f"--settings={path}")

    def entry(
        self, name: str, stop_notice: float = 0.2, store: str = "store", seeds: str = ""
    ) -> Process:
        """Start an entry; ``store`` is the key in ``urls`` of its store address."""
        path = self.settings(
            name,
            f"[vm]\nname = {name}\nzone = z1\nregion = r1\n"
            f"[http]\nhost = 127.0.0.1\n"
            f"[link]\nhost = 127.0.0.1\nsecret = {SECRET}\nseeds = {seeds}\n"
            f"[stop]\nnotice = {stop_notice}\n"
            f"[store]\nurl = {self.urls[store]}\n",
        )
        return self.spawn(name, "entry", f"--settings={path}")

    def planner(self, name: str, lease: float = 1.0) -> Process:
        """Start a planner."""
        path = self.settings(
            name,
            f"[vm]\nname = {name}\nzone = z1\n"
            f"[link]\nsecret = {SECRET}\n"
            f"[lease]\nduration = {lease}\n"
            f"[placement]\nperiod = 0.2\nsettle = 1.5\n"
            f"[weights]\nrate = 20\n"
            f"[store]\nurl = {self.urls['store']}\n",
        )
        return self.spawn(name, "planner", f"--settings={path}")

    def store(self) -> StoreClient:
        """Return a client of the object store."""
        return StoreClient(self.urls["store"], 2.0)

    def set_faults(self, **values: object) -> None:
        """Set the faults of the store stand-in; clear all others."""
        self.http.request("POST", self.urls["store"] + "/faults", json=values)

    def runs(self, service: str) -> list[int]:
        """Return how often the service ran each request id."""
        answer = self.http.request("GET", self.urls[service] + "/_runs")
        return list(answer.json()["runs"].values())

    def ctl(self, operator: str, *args: str) -> subprocess.Popen:
        """Start a command of persimmonhitch-ctl."""
        text = f"[store]\nurl = {self.urls['store']}\n[operator]\nname = {operator}\n"
        path = self.settings(f"ctl-{operator}", text)
        env = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
        return subprocess.Popen(
            [sys.executable, "-m", "persimmonhitch.ctl", f"--settings={path}", *args],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env=env,
        )

    def commit(self, edit: Callable[[Catalog], Delta]) -> Catalog:
        """Apply ``edit`` to the current configuration and commit the result."""
        store = self.store()
        catalog = read_head(store).unwrap().catalog
        return ChangeWriter(store, "fleet").commit(catalog, edit(catalog)).unwrap()

    def apply_lists(self, accounts: str = ACCOUNTS, plans: str = PLANS) -> None:
        """Commit the two lists as the configuration."""
        lists = parse_lists(accounts, plans).unwrap()
        self.commit(lambda catalog: diff_lists(catalog, lists))

    def issue_key(self, account: str) -> str:
        """Issue a key for an account."""

        def edit(catalog: Catalog) -> Delta:
            self.keys[account], delta = keys.issue(catalog, Account(account)).unwrap()
            return delta

        self.commit(edit)
        return self.keys[account]

    def withdraw_key(self, account: str) -> None:
        """Withdraw the account's key."""
        prefix = keys.hash_key(self.keys[account])
        self.commit(lambda catalog: keys.withdraw(catalog, prefix).unwrap())

    def request(self, entry: str, method: str, path: str, account: str, **options):
        """Send a request as an account; return its answer."""
        headers = {"Authorization": f"Bearer {self.keys.get(account, account)}"}
        headers.update(options.pop("headers", {}))
        answer = self.http.request(
            method, self.urls[entry] + path, headers=headers, timeout=30.0, **options
        )
        return Reply(answer.status, answer.headers, answer.data)

    def chat(self, entry: str, account: str, text: str, max_tokens: int = 4, **body):
        """Send a chat request; return its answer."""
        headers = body.pop("headers", {})
        content = {
            "model": "tiny-chat",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
            **body,
        }
        return self.request(
            entry,
            "POST",
            "/v1/chat/completions",
            account,
            json=content,
            headers=headers,
        )

    def wait_ready(self, entry: str, upstreams: int) -> None:
        """Wait until an entry is ready and linked to ``upstreams`` sidecars."""
        log = self.processes[entry].log

        def linked() -> bool:
            return log.read_text().count("event=sidecar_linked") >= upstreams

        wait_for(linked, f"the links of {entry}")
        url = self.urls[entry] + "/readyz"
        wait_for(lambda: self.http.request("GET", url).status == 200, f"{entry} ready")

    def wait_shared(self, account: str, entries: int) -> None:
        """Wait until ``entries`` entries have a share of an account."""

        def spread() -> bool:
            share = self.store().get(Kind.SHARE, account)
            return len(share.unwrap().spec["parts"]) >= entries

        wait_for(spread, f"{entries} shares of {account}")

    def stop_all(self) -> list[str]:
        """Stop every process; return the names of those killed after ``MAX_STOP_S``."""
        killed = []
        running = [p for p in self.processes.values() if p.popen.poll() is None]
        for process in running:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in running:
            try:
                process.popen.wait(MAX_STOP_S)
            except subprocess.TimeoutExpired:
                process.kill()
                killed.append(process.name)
        return killed


def start_fleet(fleet: Fleet, service_delay: float = 0.0) -> None:
    """Start stand-ins, three sidecars and two entries; wait until both are ready."""
    fleet.standin("store", "store")
    fleet.standin("engine-1", "engine", "--models=tiny-chat:10:r1")
    fleet.standin("engine-2", "engine", "--models=tiny-chat:10:r1")
    fleet.standin("service-1", "service", f"--delay={service_delay}")
    fleet.record_urls("port", "store", "engine-1", "engine-2", "service-1")
    for name in ("entry-1", "entry-2"):
        fleet.entry(name)
    fleet.sidecar("e1", "engine-1", "engine")
    fleet.sidecar("e2", "engine-2", "engine")
    fleet.sidecar("s1", "service-1", "service", "ledger")
    fleet.apply_lists()
    fleet.issue_key("fretes")
    fleet.issue_key("chapters")
    fleet.record_urls("http", "entry-1", "entry-2")
    for name in ("entry-1", "entry-2"):
        fleet.wait_ready(name, 3)
