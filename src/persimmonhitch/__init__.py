"""persimmonhitch: a serving system for many models on fewer accelerators."""

from typing import Final

__version__: Final = "0.1.0"
