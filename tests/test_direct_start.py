"""The first moments of an entry's process."""

import signal
import subprocess
import sys
from pathlib import Path

from fleet import wait_for

BAD_SETTINGS = 2


def blocks_hup(pid):
    """Return whether a process holds SIGHUP back."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    masks = [line.split()[1] for line in lines if line.startswith("SigBlk:")]
    return bool(masks) and bool(int(masks[0], 16) >> (signal.SIGHUP - 1) & 1)


def test_a_change_of_settings_does_not_end_a_process_that_starts():
    """Guards against SIGHUP while modules load, when nothing waits for it yet."""
    args = [sys.executable, "-m", "persimmonhitch.direct", "--settings=none.ini"]
    popen = subprocess.Popen(args, stderr=subprocess.DEVNULL)
    wait_for(
        lambda: blocks_hup(popen.pid) or popen.poll() is not None, "the first module"
    )
    assert popen.poll() is None
    popen.send_signal(signal.SIGHUP)
    assert popen.wait(20) == BAD_SETTINGS
