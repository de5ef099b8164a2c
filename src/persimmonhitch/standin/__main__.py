"""Run a stand-in as `python -m persimmonhitch.standin`."""

import sys

from .main import main

sys.exit(main())
