"""The kernel: a registry of plug-ins and the life of one process."""

from .lifecycle import Lifecycle
from .registry import Registry

__all__ = ["Lifecycle", "Registry"]
