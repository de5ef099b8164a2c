"""Static types for method calls through pykka actor proxies."""

from collections.abc import Callable
from typing import Any, Concatenate, Generic, ParamSpec, Protocol, TypeVar, cast

import pykka

P = ParamSpec("P")
R = TypeVar("R")


class ProxyMethod(Protocol, Generic[P, R]):
    """Type of an actor method on the actor's proxy."""

    def __call__(self, *args: P.args, **kwargs: P.kwargs) -> "pykka.Future[R]":
        """Call the method; return a future of its result or exception."""

    def defer(self, *args: P.args, **kwargs: P.kwargs) -> None:
        """Call the method without a reply; errors go to the actor's ``on_failure``."""


def proxied(method: Callable[Concatenate[Any, P], R]) -> ProxyMethod[P, R]:
    """Cast an actor method to its type on the actor's proxy."""
    return cast(ProxyMethod[P, R], method)
