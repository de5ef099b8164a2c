"""Registry of the simulations."""

from collections.abc import Callable

from ..kernel import Registry

PLAYS: Registry[Callable[[list[str]], int]] = Registry("play")
"""Each simulation receives its command line and returns an exit code."""
