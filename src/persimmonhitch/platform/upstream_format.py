"""Reads what upstreams say of themselves, and writes orders to engines."""

from collections.abc import Iterable, Mapping
from typing import Any

from ..fleet.upstream import ORDERS_UNKNOWN, Holding, UpstreamRecord
from ..ids import Adapter, Epoch, Model, Service, Upstream, Vm, Zone

Body = Mapping[str, Any]


class UnreadableEntry(ValueError):
    """An entry that does not hold what an upstream's entry must."""


def decode_upstream(name: str, body: Body) -> UpstreamRecord:
    """Return the upstream of an entry in the store.

    Raises
    ------
    UnreadableEntry
        If a field is missing, of another type, or says what is not known.
    """
    state = body.get("state")
    if state not in ("ready", "draining"):
        raise UnreadableEntry(f"state {state!r}")
    try:
        host, _, port = body["address"].rpartition(":")
        slots = body["slots"]
        service, zone = body["service"], body["zone"]
        if not host or type(slots) is not int or not isinstance(zone, str):
            raise UnreadableEntry("address, slots or zone")
        if not isinstance(service, str):
            raise UnreadableEntry("service")
        return UpstreamRecord(
            name=Upstream(name),
            service=Service(service),
            host=host,
            port=int(port),
            zone=Zone(zone),
            slots=slots,
            draining=state == "draining",
            born=int(body.get("born") or 0),
            # The count in an entry is that of its heartbeats, not of orders.
            holding=decode_holding(body, ORDERS_UNKNOWN) if "models" in body else None,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise UnreadableEntry(repr(exc)) from exc


def decode_report(body: Body) -> Holding:
    """Return what an engine holds by its own report, whose count is of orders."""
    return decode_holding(body, int(body["sequence"]))


def decode_holding(body: Body, orders: int) -> Holding:
    """Return what an engine holds, from its entry or its own report."""
    available = body.get("available") or {}
    return Holding(
        orders=orders,
        models={
            Model(item["name"]): frozenset(
                _adapter_name(adapter) for adapter in item.get("adapters") or ()
            )
            for item in body.get("models") or ()
        },
        incoming=_incoming(body.get("incoming") or ()),
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


def _incoming(items: Iterable[str]) -> dict[Model, frozenset[Adapter]]:
    found: dict[Model, frozenset[Adapter]] = {}
    for item in items:
        model, _, adapter = item.partition("/")
        taken = found.get(Model(model), frozenset())
        found[Model(model)] = taken | {_adapter_name(adapter)}
    return found


def encode_order(
    load: bool,
    model: Model,
    adapter: Adapter | None,
    orders: int,
    holder: Vm,
    epoch: Epoch,
) -> dict[str, Any]:
    """Return the body of an order that counts only after ``orders`` others."""
    body: dict[str, Any] = {
        "operation": "load" if load else "unload",
        "model": model,
        "precondition": orders,
        "holder": holder,
        "fencing_token": epoch,
    }
    if adapter is not None:
        body["adapter"] = adapter
    return body
