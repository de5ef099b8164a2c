"""Runs ``python -m persimmonhitch.direct``."""

import os
import sys

from .main import main

code = main()
sys.stdout.flush()
# Threads that wait in a call to the store or an upstream would hold up the exit, and
# the platform ends a process that does not leave in its time without notice.
os._exit(code)
