"""Run the entry as ``python -m persimmonhitch.entry``."""

import sys

from .main import main

sys.exit(main())
