"""Startup of an entry's process."""

import math
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path
from types import SimpleNamespace

import pytest
from fleet import wait_for

from persimmonhitch.direct.main import Entry
from persimmonhitch.store.objects import Kind

INVALID_SETTINGS_EXIT_CODE = 2


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
