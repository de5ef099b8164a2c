"""Lookup of the route for a request."""

from collections import defaultdict
from collections.abc import Iterable

from .config import Route


def host_name(host: str) -> str:
    """Return the host of a Host header: without port, in lower case."""
    return host.rsplit(":", 1)[0].lower() if ":" in host else host.lower()


class RouteTable:
    """Finds routes by host and longest path prefix.

    Parameters
    ----------
    routes : iterable of Route
        Routes of one configuration; every prefix ends with a slash.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._hosts: defaultdict[str, dict[str, Route]] = defaultdict(dict)
        for route in routes:
            self._hosts[host_name(route.host)][route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, or None.

        The cost is one dictionary lookup per slash of the path, independent of the
        number of routes.
        """
        prefixes = self._hosts.get(host_name(host))
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
