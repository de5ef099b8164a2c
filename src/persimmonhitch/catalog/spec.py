"""Conversion of dataclasses to and from JSON objects of the store, with checks."""

import types
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import cache
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

from returns.result import Failure as Err
from returns.result import Result, Success

T = TypeVar("T")


class SpecError(ValueError):
    """An object of the store does not match its dataclass."""


def to_spec(value: Any) -> Any:
    """Return the JSON form of a dataclass, including nested values."""
    if isinstance(value, Enum):
        return value.value
    if is_dataclass(value):
        return {f.name: to_spec(getattr(value, f.name)) for f in fields(value)}
    if isinstance(value, tuple):
        return [to_spec(item) for item in value]
    return value


@cache
def _hints(cls: type) -> dict[str, Any]:
    return get_type_hints(cls)


def _parse_dataclass(cls: type, value: Any) -> Any:
    hints = _hints(cls)
    if not isinstance(value, Mapping) or value.keys() != hints.keys():
        raise SpecError(f"{cls.__name__} needs the fields {sorted(hints)}")
    return cls(**{name: _parse(hint, value[name]) for name, hint in hints.items()})


def _parse_enum(cls: type[Enum], value: Any) -> Enum:
    try:
        return cls(value)
    except ValueError as exc:
        raise SpecError(str(exc)) from exc


def _parse_optional(args: tuple[Any, ...], value: Any) -> Any:
    if value is None:
        return None
    (inner,) = (arg for arg in args if arg is not type(None))
    return _parse(inner, value)


def _parse(hint: Any, value: Any) -> Any:
    hint = getattr(hint, "__supertype__", hint)
    if get_origin(hint) in (Union, types.UnionType):
        return _parse_optional(get_args(hint), value)
    if get_origin(hint) is tuple:
        if not isinstance(value, list):
            raise SpecError(f"expected a list, found {type(value).__name__}")
        return tuple(_parse(get_args(hint)[0], item) for item in value)
    if is_dataclass(hint):
        return _parse_dataclass(hint, value)  # type: ignore[arg-type]
    if issubclass(hint, Enum):
        return _parse_enum(hint, value)
    if hint is float and type(value) is int:
        return float(value)
    if type(value) is not hint:
        raise SpecError(f"expected {hint.__name__}, found {type(value).__name__}")
    return value


def from_spec(cls: type[T], value: Any) -> Result[T, str]:
    """Return the dataclass of a JSON object, or a description of the error."""
    try:
        return Success(_parse_dataclass(cls, value))
    except SpecError as exc:
        return Err(str(exc))
