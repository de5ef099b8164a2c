"""Run the command line with ``python -m persimmonhitch.ctl``."""

import sys

from .main import main

sys.exit(main())
