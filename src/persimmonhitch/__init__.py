"""persimmonhitch: a serving system for many models on fewer accelerators."""

import os
import sys
from typing import Final

__version__: Final = "0.1.0"


def _resolve_links() -> None:
    """Import the rest of this process from the folder that a link leads to now.

    A deployment may replace the link at any time; modules of two builds must not meet.
    """
    name = os.path.basename(__path__[0])
    linked = os.path.dirname(__path__[0])
    real = os.path.realpath(linked)
    sys.path[:] = [real if path == linked else path for path in sys.path]
    __path__[:] = [os.path.join(real, name)]


_resolve_links()
