"""Reads the operators' configuration."""

from collections.abc import Mapping
from typing import Any, Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..fleet.config import (
    AccountSpec,
    CallKind,
    EngineSpec,
    FleetConfig,
    ModelSpec,
    Route,
    ServiceSpec,
    Target,
)
from ..ids import Account, ConfigVersion, Model, Service, Tokens

Body = Mapping[str, Any]

KINDS: Final = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.NON_IDEMPOTENT,
    "streaming": CallKind.STREAM,
}


def decode_config(body: Body) -> Result[FleetConfig, str]:
    """Return the configuration of a document, or why it can't be read."""
    try:
        accounts = [_account(item) for item in body.get("tenants") or ()]
        return Success(
            FleetConfig(
                version=ConfigVersion(int(body["version"])),
                routes=tuple(_route(item) for item in body.get("routes") or ()),
                services={
                    Service(item["name"]): _service(item)
                    for item in body.get("services") or ()
                },
                accounts={account.name: account for account in accounts},
                keys={
                    key: Account(item["name"])
                    for item in body.get("tenants") or ()
                    for key in item.get("api_keys") or ()
                },
            )
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return Err(repr(exc))


def _route(item: Body) -> Route:
    split = item.get("traffic_split") or [{"service": item["service"], "weight": 1}]
    return Route(
        name=str(item["name"]),
        host=str(item["hostname"]),
        prefix=str(item["path_prefix"]),
        # A kind that is not known here must not be repeated.
        kind=KINDS.get(item.get("route_kind", ""), CallKind.NON_IDEMPOTENT),
        targets=tuple(
            Target(Service(part["service"]), float(part["weight"])) for part in split
        ),
        timeout=float(item["timeout_ms"]) / 1000,
        aim=float(item.get("target_latency_ms") or item["timeout_ms"]) / 1000,
        gap_aim=float(item.get("target_gap_ms") or 0) / 1000,
        rank=int(item.get("priority") or 0),
        max_attempts=max(1, int(item.get("max_attempts") or 1)),
        public=bool(item.get("public_access")),
        resumable=bool(item.get("resumable")),
    )


def _service(item: Body) -> ServiceSpec:
    engine = item.get("engine")
    return ServiceSpec(
        name=Service(item["name"]),
        health_path=str(item.get("health_check_path") or "/"),
        most_connections=int(item.get("connection_limit") or 0),
        engine=_engine(engine) if engine else None,
    )


def _engine(item: Body) -> EngineSpec:
    models = [_model(model) for model in item.get("models") or ()]
    return EngineSpec(
        slots=int(item.get("slots") or 0),
        kv_tokens=int(item.get("kv_capacity") or 0),
        memory=float(item.get("weights_mb") or 0),
        adapter_slots=int(item.get("adapter_slots") or 0),
        loads_per_second=float(item.get("loads_per_s") or 0),
        models={model.name: model for model in models},
    )


def _model(item: Body) -> ModelSpec:
    cold = float(item.get("load_time_s") or 0)
    disk = float(item.get("disk_load_s") or cold)
    return ModelSpec(
        name=Model(item["name"]),
        memory=float(item["weights_mb"]),
        load_cold=cold,
        load_disk=disk,
        load_memory=float(item.get("warm_s") or disk),
        adapters=int(item.get("adapters") or 0),
        adapter_memory=float(item.get("adapter_size_mb") or 0),
    )


def _account(item: Body) -> AccountSpec:
    rank = item.get("priority")
    in_tokens = item.get("unit") == "tokens"
    return AccountSpec(
        name=Account(item["name"]),
        rank=None if rank is None else int(rank),
        rate=float(item.get("rate_per_s") or 0),
        burst=float(item.get("burst_size") or 0),
        # Without a unit of tokens each call counts as one.
        plain_cost=Tokens(float(item.get("uncached_tokens") or 1) if in_tokens else 1),
    )
