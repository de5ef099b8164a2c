"""Run the planner as ``python -m persimmonhitch.planner``."""

import sys

from .main import main

sys.exit(main())
