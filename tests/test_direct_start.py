"""Startup of an entry's process."""

import contextlib
import math
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path
from types import SimpleNamespace

import pytest
from fleet import ROOT, wait_for
from soak.ports import PortBlock

from persimmonhitch.direct.main import Entry
from persimmonhitch.direct.settings import DirectSettings
from persimmonhitch.kernel import service
from persimmonhitch.store.objects import Kind

INVALID_SETTINGS_EXIT_CODE = 2
SETTINGS = """
[vm]
name = entry-1
zone = z1
region = r1
[http]
callers = 127.0.0.1:{callers}
ready = 127.0.0.1:{ready}
metrics = 127.0.0.1:{metrics}
[link]
address = 127.0.0.1:{link}
secret = fleet
[store]
url = http://127.0.0.1:1
[stop]
notice = 0
limit = {limit}
"""
PORTS = ("callers", "ready", "metrics", "link")


def blocks_sighup(pid):
    """Return whether a process blocks SIGHUP."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    masks = [line.split()[1] for line in lines if line.startswith("SigBlk:")]
    return bool(masks) and bool(int(masks[0], 16) >> (signal.SIGHUP - 1) & 1)


def test_sighup_during_startup_does_not_end_the_process():
    """Guards against SIGHUP during imports, before its handler is installed."""
    args = [sys.executable, "-m", "persimmonhitch.direct", "--settings=none.ini"]
    process = subprocess.Popen(args, stderr=subprocess.DEVNULL)
    wait_for(
        lambda: blocks_sighup(process.pid) or process.poll() is not None,
        "blocked SIGHUP",
    )
    assert process.poll() is None
    process.send_signal(signal.SIGHUP)
    assert process.wait(20) == INVALID_SETTINGS_EXIT_CODE


@pytest.mark.parametrize(
    ("failing_s", "is_ready"), [(None, True), (1, True), (3, False)]
)
def test_entry_that_cannot_apply_a_list_is_not_ready(failing_s, is_ready):
    """Guards against new connections to an entry that follows its upstreams no more."""
    since = math.inf if failing_s is None else time.monotonic() - failing_s
    entry = SimpleNamespace(
        watchers={
            Kind.UPSTREAM: SimpleNamespace(failing_since=since),
            Kind.FLEET: SimpleNamespace(failing_since=math.inf),
        },
        draining=threading.Event(),
        _is_synced=lambda: True,
    )
    assert Entry._is_ready(entry) is is_ready


class Starter:
    """Starts an entry on ports of its own."""

    def __init__(self, folder):
        self.settings = folder / "entry.ini"
        self.log = folder / "entry.log"
        self.block = PortBlock()
        self.ports = {}
        self.process = None

    def write_settings(self, limit_s=8):
        self.ports = {name: self.block.take() for name in PORTS}
        self.settings.write_text(SETTINGS.format(**self.ports, limit=limit_s))

    def start(self, stdout=None, stderr=None):
        args = [sys.executable, "-m", "persimmonhitch.direct"]
        with self.log.open("w") as log:
            self.process = subprocess.Popen(
                [*args, f"--settings={self.settings}"],
                stdout=log if stdout is None else stdout,
                stderr=log if stderr is None else stderr,
                env={"PATH": os.environ["PATH"], "PYTHONPATH": str(ROOT / "src")},
            )

    def start_with(self, text, *, later, stderr=None):
        """Start an entry that finds other settings when it reads them again."""
        whole = self.settings.with_suffix(".later")
        whole.write_text(later)
        self.settings.unlink()
        os.mkfifo(self.settings)
        self.start(stderr=stderr)
        pipe = wait_for(self.open_read_settings, "a read of the settings")
        assert not any(map(self.is_open, PORTS))
        whole.rename(self.settings)
        os.write(pipe, text.encode())
        os.close(pipe)

    def open_read_settings(self):
        """Open the settings, a pipe, for writing as soon as the entry reads them."""
        with contextlib.suppress(OSError):
            return os.open(self.settings, os.O_WRONLY | os.O_NONBLOCK)

    def wait_for_line(self, text):
        wait_for(
            lambda: text in self.log.read_text() or self.process.poll() is not None,
            f"{text} in the log",
        )
        assert text in self.log.read_text()

    def is_open(self, name):
        with socket.socket() as sock:
            return sock.connect_ex(("127.0.0.1", self.ports[name])) == 0

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(20)


@pytest.fixture
def starter(tmp_path):
    starter = Starter(tmp_path)
    yield starter
    if starter.process is not None:
        starter.process.kill()
        starter.process.wait()


@pytest.mark.parametrize("name", PORTS)
def test_entry_waits_for_a_port_of_the_process_before_it(starter, name):
    """Guards against starts that fail since a former process has not ended yet."""
    starter.write_settings()
    with socket.create_server(("127.0.0.1", starter.ports[name])):
        starter.start()
        starter.wait_for_line("event=port_taken")
        assert not any(starter.is_open(other) for other in PORTS if other != name)
    starter.wait_for_line("event=started")
    assert all(starter.is_open(other) for other in PORTS)
    assert starter.stop() == 0


def test_port_that_stays_taken_ends_the_start(starter):
    """Guards against starts that wait for good, or fail without a clear line."""
    starter.write_settings(limit_s=0)
    with socket.create_server(("127.0.0.1", starter.ports["ready"])):
        starter.start()
        assert starter.process.wait(20) == 1
    last_line = starter.log.read_text().splitlines()[-1]
    assert "event=start_failed" in last_line
    assert f"127.0.0.1:{starter.ports['ready']}" in last_line


def test_sigterm_ends_the_wait_for_a_port(starter):
    """Guards against a start that ignores SIGTERM while it waits."""
    starter.write_settings()
    with socket.create_server(("127.0.0.1", starter.ports["link"])):
        starter.start()
        starter.wait_for_line("event=port_taken")
        assert starter.stop() == 0
    assert "event=start_cancelled" in starter.log.read_text()


def fill(pipe):
    """Write to a pipe until it takes no more."""
    os.set_blocking(pipe, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(pipe, bytes(4096))
    os.set_blocking(pipe, True)


def test_sighup_during_the_wait_for_a_port_reloads_the_settings(starter):
    """Guards against settings that change during a start and are never read."""
    starter.write_settings()
    text = starter.settings.read_text()
    with socket.create_server(("127.0.0.1", starter.ports["link"])):
        starter.start()
        starter.wait_for_line("event=port_taken")
        starter.settings.write_text(text.replace("limit = 8", "limit = 9"))
        starter.process.send_signal(signal.SIGHUP)
        starter.wait_for_line("event=reloaded changed=False")
    starter.wait_for_line("event=settings_read changed=stop_limit")
    starter.wait_for_line("event=started")
    assert starter.stop() == 0


@pytest.mark.parametrize("share", [None, 0, 0.5])
def test_settings_that_are_being_written_are_awaited(starter, share, monkeypatch):
    """Guards against starts that fail since their settings come a moment later."""
    starter.write_settings()
    text = starter.settings.read_text()
    starter.settings.unlink()
    if share is not None:
        starter.settings.write_text(text[: int(share * len(text))])
    waits = []

    def complete(seconds):
        waits.append(seconds)
        starter.settings.write_text(text)

    clock = SimpleNamespace(monotonic=time.monotonic, sleep=complete)
    monkeypatch.setattr(service, "time", clock)
    _, waited_s = service.wait_for_settings(DirectSettings, starter.settings)
    assert waited_s > 0
    assert len(waits) == 1


def test_settings_that_change_after_they_were_read_do_not_end_the_start(starter):
    """Guards against starts that read their settings twice."""
    starter.write_settings()
    starter.start_with(starter.settings.read_text(), later="")
    starter.wait_for_line("event=started")
    assert starter.stop() == 0


@pytest.mark.parametrize("errors", ["read", "full", "closed"])
@pytest.mark.parametrize("share", [0, 0.5])
def test_entry_waits_for_settings_that_are_being_written(starter, share, errors):
    """Guards against starts that end, or hang, since their settings are incomplete."""
    starter.write_settings()
    text = starter.settings.read_text()
    reader, writer = os.pipe()
    fill(writer)
    if errors == "closed":
        os.close(reader)
    starter.start_with(
        text[: int(share * len(text))],
        later=text,
        stderr=None if errors == "read" else writer,
    )
    os.close(writer)
    starter.wait_for_line("event=settings_late")
    starter.wait_for_line("event=started")
    assert starter.stop() == 0
    if errors != "closed":
        os.close(reader)


@pytest.mark.parametrize("is_closed", [False, True])
def test_output_that_nobody_reads_does_not_change_the_exit(starter, is_closed):
    """Guards against a stop that hangs, or fails, when the last lines are written."""
    starter.write_settings()
    reader, writer = os.pipe()
    fill(writer)
    starter.start(stdout=writer)
    os.close(writer)
    wait_for(lambda: all(map(starter.is_open, PORTS)), "the ports of the entry")
    if is_closed:
        os.close(reader)
    assert starter.stop() == 0
    if not is_closed:
        os.close(reader)
