"""Typed messages as CBOR arrays: the message number, then the fields in order."""

import types
from collections.abc import Callable, Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import cache
from typing import Any, Final, TypeVar, Union, get_args, get_origin, get_type_hints

import cbor2
from returns.result import Failure as Err
from returns.result import Result, Success

Converter = Callable[[Any], Any]
M = TypeVar("M", bound=type)

MAX_FRAME_BYTES: Final = 8 * 1024 * 1024
"""Maximum frame size: a body of 4 MiB with room for headers and batching."""

_types_by_number: dict[int, type] = {}
_numbers_by_type: dict[type, int] = {}


class FrameError(ValueError):
    """A frame does not match the declared fields of its message type."""


def message(number: int) -> Callable[[M], M]:
    """Return a decorator that registers a dataclass as the message ``number``."""

    def register(cls: M) -> M:
        if number in _types_by_number:
            raise ValueError(f"message number {number} is already registered")
        _types_by_number[number] = cls
        _numbers_by_type[cls] = number
        return cls

    return register


def _pack(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if is_dataclass(value):
        return [_pack(getattr(value, spec.name)) for spec in fields(value)]
    if isinstance(value, tuple):
        return [_pack(item) for item in value]
    if isinstance(value, Mapping):
        return {key: _pack(item) for key, item in value.items()}
    return value


def encode(msg: Any) -> bytes:
    """Encode a message as a frame."""
    return cbor2.dumps([_numbers_by_type[type(msg)], *_pack(msg)])


def _scalar(kind: type) -> Converter:
    def convert(value: Any) -> Any:
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            raise FrameError(f"expected {kind.__name__}, found {type(value).__name__}")
        return value

    return convert


def _enum(kind: type[Enum]) -> Converter:
    def convert(value: Any) -> Any:
        try:
            return kind(value)
        except ValueError as exc:
            raise FrameError(str(exc)) from exc

    return convert


def _optional(inner: Converter) -> Converter:
    return lambda value: None if value is None else inner(value)


def _sequence(inner: Converter) -> Converter:
    def convert(value: Any) -> Any:
        if type(value) is not list:
            raise FrameError(f"expected a list, found {type(value).__name__}")
        return tuple(inner(item) for item in value)

    return convert


def _mapping(convert_key: Converter, convert_value: Converter) -> Converter:
    def convert(value: Any) -> Any:
        if type(value) is not dict:
            raise FrameError(f"expected a map, found {type(value).__name__}")
        return {convert_key(key): convert_value(item) for key, item in value.items()}

    return convert


def _record(cls: type) -> Converter:
    hints = get_type_hints(cls)
    converters = [_converter_for(hints[spec.name]) for spec in fields(cls)]

    def convert(value: Any) -> Any:
        if type(value) is not list or len(value) != len(converters):
            raise FrameError(f"wrong number of fields for {cls.__name__}")
        values = (inner(item) for inner, item in zip(converters, value, strict=True))
        return cls(*values)

    return convert


@cache
def _converter_for(hint: Any) -> Converter:
    while hasattr(hint, "__supertype__"):
        hint = hint.__supertype__
    origin, args = get_origin(hint), get_args(hint)
    if origin in (Union, types.UnionType):
        (inner,) = (arg for arg in args if arg is not type(None))
        return _optional(_converter_for(inner))
    if origin is tuple:
        return _sequence(_converter_for(args[0]))
    if origin is dict:
        return _mapping(_converter_for(args[0]), _converter_for(args[1]))
    if not isinstance(hint, type):
        raise TypeError(f"no CBOR encoding for {hint!r}")
    if is_dataclass(hint):
        return _record(hint)
    if issubclass(hint, Enum):
        return _enum(hint)
    return _scalar(hint)


def decode(frame: bytes) -> Result[Any, str]:
    """Decode a frame; return its message or a description of the error.

    Every field is checked against its declared type. A frame of a faulty peer, or
    of a peer with another version, is thus rejected before it reaches a state machine.
    """
    if len(frame) > MAX_FRAME_BYTES:
        return Err(f"frame too large: {len(frame)} bytes")
    try:
        parts = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, RecursionError, MemoryError) as exc:
        return Err(f"not CBOR: {type(exc).__name__}")
    if type(parts) is not list or not parts or type(parts[0]) is not int:
        return Err("not a list that starts with a message number")
    cls = _types_by_number.get(parts[0])
    if cls is None:
        return Err(f"unknown message number {parts[0]}")
    try:
        return Success(_converter_for(cls)(parts[1:]))
    except (FrameError, TypeError, ValueError, OverflowError) as exc:
        return Err(f"{cls.__name__}: {exc}")
