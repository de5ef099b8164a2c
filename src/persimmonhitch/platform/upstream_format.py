"""Decoders for records and reports of upstreams, and the encoder of orders."""

import math
from collections.abc import Iterable, Mapping
from typing import Any

from ..fleet.upstream import NOT_COUNTED, EngineInventory, UpstreamRecord
from ..ids import Adapter, Epoch, Model, Service, SoftwareVersion, Upstream, Vm, Zone

Body = Mapping[str, Any]


class InvalidUpstreamRecord(ValueError):
    """Error for a malformed registration record of an upstream."""


def decode_upstream(name: str, body: Body) -> UpstreamRecord:
    """Return the upstream of a registration record in the store.

    Raises
    ------
    InvalidUpstreamRecord
        If a field is missing, of a wrong type, or has an unknown value.
    """
    state = body.get("state")
    if state not in ("ready", "draining"):
        raise InvalidUpstreamRecord(f"unknown state {state!r}")
    try:
        host, _, port = body["address"].rpartition(":")
        slots = body["slots"]
        service, zone = body["service"], body["zone"]
        if not host or type(slots) is not int or not isinstance(zone, str):
            raise InvalidUpstreamRecord("address, slots or zone is malformed")
        if not isinstance(service, str):
            raise InvalidUpstreamRecord("service is not a string")
        return UpstreamRecord(
            name=Upstream(name),
            service=Service(service),
            host=host,
            port=int(port),
            zone=Zone(zone),
            slots=slots,
            draining=state == "draining",
            started_at_ms=int(body.get("born") or 0),
            # The sequence of a registration record counts heartbeats, not orders.
            inventory=decode_inventory(body, NOT_COUNTED) if "models" in body else None,
            version=_version(body.get("version")),
            cold_s=_cold_s(body.get("cold_remaining_ms", 0)),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise InvalidUpstreamRecord(repr(exc)) from exc


def _version(value: Any) -> SoftwareVersion:
    """Return the software version; records give it as a number or a text."""
    return SoftwareVersion("" if value is None else str(value))


def _cold_s(value: Any) -> float:
    """Return the remaining seconds of the cold state; raise for an invalid value."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidUpstreamRecord(f"malformed cold time {value!r}")
    if not math.isfinite(value) or value < 0:
        raise InvalidUpstreamRecord(f"cold time {value!r} out of range")
    return value / 1000


def decode_report(body: Body) -> EngineInventory:
    """Return the inventory in an engine's report, whose sequence counts orders."""
    return decode_inventory(body, int(body["sequence"]))


def decode_inventory(body: Body, order_count: int) -> EngineInventory:
    """Return the inventory of an engine from its record or its report."""
    available = body.get("available") or {}
    return EngineInventory(
        order_count=order_count,
        models={
            Model(item["name"]): frozenset(
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
