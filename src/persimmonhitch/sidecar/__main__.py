"""Run the sidecar as ``python -m persimmonhitch.sidecar``."""

import sys

from .main import main

sys.exit(main())
