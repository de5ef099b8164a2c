"""Types for calls through actor proxies."""

from collections.abc import Callable
from typing import Any, Concatenate, Generic, ParamSpec, Protocol, TypeVar, cast

import pykka

P = ParamSpec("P")
R = TypeVar("R")


class ProxyMethod(Protocol, Generic[P, R]):
    """A method of an actor, as its proxy offers it."""

    def __call__(self, *args: P.args, **kwargs: P.kwargs) -> "pykka.Future[R]":
        """Call it; the future holds its result or its error."""

    def defer(self, *args: P.args, **kwargs: P.kwargs) -> None:
        """Call it without an answer; an error goes to the actor's ``on_failure``."""


def proxied(method: Callable[Concatenate[Any, P], R]) -> ProxyMethod[P, R]:
    """Type a method on an actor's proxy."""
    return cast(ProxyMethod[P, R], method)
