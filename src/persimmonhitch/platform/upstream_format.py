"""Decoders for records and reports of upstreams, and the encoder of orders."""

import math
import re
from collections.abc import Iterable, Mapping
from typing import Any, Final

from ..addresses import HOST, MAX_PORT
from ..fleet.upstream import NOT_COUNTED, EngineInventory, UpstreamRecord
from ..ids import Adapter, Epoch, Model, Service, SoftwareVersion, Upstream, Vm, Zone

Body = Mapping[str, Any]

NAME: Final = re.compile(r"[\x21-\x7e]{1,253}")
"""Form of a name that requests can carry in a header."""
PORT: Final = re.compile(r"[0-9]{1,5}")
MAX_SLOTS: Final = 1_000_000
MAX_WHOLE: Final = 2**53
"""Largest count or time in milliseconds; JSON keeps larger numbers inexactly."""


class InvalidUpstreamRecord(ValueError):
    """Error for a malformed registration record of an upstream."""


def decode_upstream(name: str, body: Body) -> UpstreamRecord:
    """Return the upstream of a registration record in the store.

    Raises
    ------
    InvalidUpstreamRecord
        If the name or a field is missing, of a wrong form, or has an unknown value.
    """
    if not NAME.fullmatch(name):
        raise InvalidUpstreamRecord("the name fits no header")
    state = body.get("state")
    if state not in ("ready", "draining"):
        raise InvalidUpstreamRecord(f"unknown state {state!r}")
    try:
        host, port = _address(body["address"])
        return UpstreamRecord(
            name=Upstream(name),
            service=Service(_text(body["service"])),
            host=host,
            port=port,
            zone=Zone(_text(body["zone"])),
            slots=_whole(body["slots"], MAX_SLOTS),
            draining=state == "draining",
            started_at_ms=_whole(body.get("born", 0), MAX_WHOLE),
            # The sequence of a registration record counts heartbeats, not orders.
            inventory=decode_inventory(body, NOT_COUNTED) if "models" in body else None,
            version=_version(body.get("version")),
            cold_s=_cold_s(body.get("cold_remaining_ms", 0)),
        )
    except (KeyError, TypeError, ValueError, AttributeError, ArithmeticError) as exc:
        raise InvalidUpstreamRecord(repr(exc)) from exc


def _address(value: Any) -> tuple[str, int]:
    host, _, port = _text(value).rpartition(":")
    if not HOST.fullmatch(host):
        raise InvalidUpstreamRecord("the host is malformed")
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise InvalidUpstreamRecord("port out of range")
    return host, int(port)


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise InvalidUpstreamRecord(f"{type(value).__name__} instead of a text")
    return value


def _whole(value: Any, maximum: int) -> int:
    is_whole = type(value) is int or (type(value) is float and value.is_integer())
    if not is_whole or not 0 <= value <= maximum:
        raise InvalidUpstreamRecord("number out of range, or not a whole one")
    return int(value)


def _version(value: Any) -> SoftwareVersion:
    """Return the software version; records give it as a number or a text."""
    if isinstance(value, bool) or not isinstance(value, str | int | float | None):
        raise InvalidUpstreamRecord("the version is neither a number nor a text")
    return SoftwareVersion("" if value is None else str(value))


def _cold_s(value: Any) -> float:
    """Return the remaining seconds of the cold state; raise for an invalid value."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidUpstreamRecord(f"malformed cold time {value!r}")
    if not math.isfinite(value) or value < 0:
        raise InvalidUpstreamRecord(f"cold time {value!r} out of range")
    return value / 1000


def decode_report(body: Body) -> EngineInventory:
    """Return the inventory in an engine's report, whose sequence counts orders.

    Raises
    ------
    InvalidUpstreamRecord
        If a field is missing or of a wrong type.
    """
    try:
        return decode_inventory(body, _whole(body["sequence"], MAX_WHOLE))
    except (KeyError, TypeError, ValueError, AttributeError, ArithmeticError) as exc:
        raise InvalidUpstreamRecord(repr(exc)) from exc


def decode_inventory(body: Body, order_count: int) -> EngineInventory:
    """Return the inventory of an engine from its record or its report."""
    available = body.get("available") or {}
    return EngineInventory(
        order_count=order_count,
        models={
            Model(_text(item["name"])): frozenset(
                _adapter_name(adapter) for adapter in item.get("adapters") or ()
            )
            for item in body.get("models") or ()
        },
        loading=_loading_adapters(body.get("incoming") or ()),
        in_memory=frozenset(_model_names(available.get("in_memory") or ())),
        on_disk=frozenset(_model_names(available.get("on_disk") or ())),
        busy=bool(body.get("busy")),
    )


def _adapter_name(item: Any) -> Adapter:
    name = item["name"] if isinstance(item, Mapping) else item
    return Adapter(str(name).partition("@")[0])


def _model_names(items: Iterable[Any]) -> Iterable[Model]:
    for item in items:
        name = item["name"] if isinstance(item, Mapping) else item
        yield Model(str(name).partition("@")[0])


def _loading_adapters(items: Iterable[str]) -> dict[Model, frozenset[Adapter]]:
    loading: dict[Model, frozenset[Adapter]] = {}
    for item in items:
        model, _, adapter = item.partition("/")
        adapters = loading.get(Model(model), frozenset())
        loading[Model(model)] = adapters | {_adapter_name(adapter)}
    return loading


def encode_order(
    is_load: bool,
    model: Model,
    adapter: Adapter | None,
    order_count: int,
    leader: Vm,
    epoch: Epoch,
) -> dict[str, Any]:
    """Return the body of an order to load or unload a model or an adapter.

    The engine accepts the order only if its order count equals ``order_count``.
    """
    body: dict[str, Any] = {
        "operation": "load" if is_load else "unload",
        "model": model,
        "precondition": order_count,
        "holder": leader,
        "fencing_token": epoch,
    }
    if adapter is not None:
        body["adapter"] = adapter
    return body
