"""Startup of an entry's process."""

import signal
import subprocess
import sys
from pathlib import Path

from fleet import wait_for

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
