"""Runs ``python -m persimmonhitch.direct``."""

import os
import signal
import sys

# It would end the process while the modules load; whoever waits for signals takes it.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

from .main import main  # noqa: E402

code = main()
sys.stdout.flush()
# Threads that wait in a call to the store or an upstream would hold up the exit, and
# the platform ends a process that does not leave in its time without notice.
os._exit(code)
