"""Registry in which plug-ins enter themselves under a name."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class DuplicatePlugin(ValueError):
    """Two plug-ins claim one name."""


class Registry(Generic[T]):
    """Plug-ins of one sort by name.

    Parameters
    ----------
    sort : str
        What the plug-ins are, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._plugins: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that enters a plug-in under ``name``."""

        def add(plugin: T) -> T:
            if name in self._plugins:
                raise DuplicatePlugin(f"two {self.kind} plug-ins named {name!r}")
            self._plugins[name] = plugin
            return plugin

        return add

    def get(self, name: str) -> T | None:
        """Return the plug-in of that name, or None."""
        return self._plugins.get(name)

    def names(self) -> tuple[str, ...]:
        """Return all names, sorted."""
        return tuple(sorted(self._plugins))

    def __iter__(self) -> Iterator[tuple[str, T]]:
        """Yield names and plug-ins in order of name."""
        return iter(sorted(self._plugins.items()))
