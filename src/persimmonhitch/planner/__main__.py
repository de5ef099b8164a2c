"""Run the planner as ``python -m persimmonhitch.sidecar``."""

import sys

from .main import main

sys.exit(main())
