"""Runs ``python -m persimmonhitch.direct``."""

import os
import signal

# SIGHUP would end the process during imports; main() waits for it later.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

from .main import main  # noqa: E402

code = main()
# Threads blocked in a call to the store or an upstream, or output that nobody reads,
# would delay the exit beyond the stop limit, at which the platform kills the process
# without notice.
os._exit(code)
