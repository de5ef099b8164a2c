"""Registry of plug-ins by name, filled by a decorator."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class DuplicatePlugin(ValueError):
    """Two plug-ins were registered under the same name."""


class Registry(Generic[T]):
    """Plug-ins of one kind by name.

    Parameters
    ----------
    kind : str
        Name of the plug-in kind, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._plugins: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers a plug-in under ``name``."""

        def add(plugin: T) -> T:
            if name in self._plugins:
                raise DuplicatePlugin(f"two {self.kind} plug-ins named {name!r}")
            self._plugins[name] = plugin
            return plugin

        return add

    def get(self, name: str) -> T | None:
        """Return the plug-in registered under ``name``, or None."""
        return self._plugins.get(name)

    def names(self) -> tuple[str, ...]:
        """Return the names of all plug-ins, sorted."""
        return tuple(sorted(self._plugins))

    def __iter__(self) -> Iterator[tuple[str, T]]:
        """Yield pairs of name and plug-in, sorted by name."""
        return iter(sorted(self._plugins.items()))
