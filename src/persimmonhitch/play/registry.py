"""Registry of what the load player can play."""

from collections.abc import Callable

from ..kernel import Registry

PLAYS: Registry[Callable[[list[str]], int]] = Registry("play")
"""Each play takes its command line and returns an exit code."""
