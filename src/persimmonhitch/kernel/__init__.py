"""Plug-in registry, process lifecycle and the main loop of a program."""

from .lifecycle import Lifecycle
from .registry import Registry

__all__ = ["Lifecycle", "Registry"]
