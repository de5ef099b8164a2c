"""Decoder of the operators' configuration."""

from collections.abc import Mapping
from typing import Any, Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..fleet.config import (
    AccountSpec,
    EngineSpec,
    FleetConfig,
    ModelSpec,
    Route,
    RouteKind,
    ServiceSpec,
    Target,
)
from ..ids import Account, ConfigVersion, Model, Service, Tokens

Body = Mapping[str, Any]

ROUTE_KINDS: Final = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


def decode_config(body: Body) -> Result[FleetConfig, str]:
    """Return the decoded configuration, or the reason why decoding failed."""
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


def _route(raw: Body) -> Route:
    split = raw.get("traffic_split") or [{"service": raw["service"], "weight": 1}]
    return Route(
        name=str(raw["name"]),
        host=str(raw["hostname"]),
        prefix=str(raw["path_prefix"]),
        # Requests of an unknown kind are never retried, since a retry may be unsafe.
        kind=ROUTE_KINDS.get(raw.get("route_kind", ""), RouteKind.NON_IDEMPOTENT),
        targets=tuple(
            Target(Service(part["service"]), float(part["weight"])) for part in split
        ),
        timeout=float(raw["timeout_ms"]) / 1000,
        latency_target=float(raw.get("target_latency_ms") or raw["timeout_ms"]) / 1000,
        token_gap_target=float(raw.get("target_gap_ms") or 0) / 1000,
        rank=int(raw.get("priority") or 0),
        max_attempts=max(1, int(raw.get("max_attempts") or 1)),
        public=bool(raw.get("public_access")),
        resumable=bool(raw.get("resumable")),
    )


def _service(raw: Body) -> ServiceSpec:
    engine = raw.get("engine")
    return ServiceSpec(
        name=Service(raw["name"]),
        health_path=str(raw.get("health_check_path") or "/"),
        max_connections=int(raw.get("connection_limit") or 0),
        engine=_engine(engine) if engine else None,
        cold_start_s=float(raw.get("cold_start_s") or 0),
        cold_requests_per_s=float(raw.get("cold_per_s") or 0),
    )


def _engine(raw: Body) -> EngineSpec:
    models = [_model(model) for model in raw.get("models") or ()]
    return EngineSpec(
        slots=int(raw.get("slots") or 0),
        kv_tokens=int(raw.get("kv_capacity") or 0),
        memory_mb=float(raw.get("weights_mb") or 0),
        adapter_slots=int(raw.get("adapter_slots") or 0),
        cold_loads_per_s=float(raw.get("loads_per_s") or 0),
        models={model.name: model for model in models},
    )


def _model(raw: Body) -> ModelSpec:
    cold_load_s = float(raw.get("load_time_s") or 0)
    disk_load_s = float(raw.get("disk_load_s") or cold_load_s)
    return ModelSpec(
        name=Model(raw["name"]),
        memory_mb=float(raw["weights_mb"]),
        cold_load_s=cold_load_s,
        disk_load_s=disk_load_s,
        memory_load_s=float(raw.get("warm_s") or disk_load_s),
        adapter_count=int(raw.get("adapters") or 0),
        adapter_mb=float(raw.get("adapter_size_mb") or 0),
    )


def _account(raw: Body) -> AccountSpec:
    rank = raw.get("priority")
    in_tokens = raw.get("unit") == "tokens"
    return AccountSpec(
        name=Account(raw["name"]),
        rank=None if rank is None else int(rank),
        rate=float(raw.get("rate_per_s") or 0),
        burst=float(raw.get("burst_size") or 0),
        # Unless the unit is tokens, the rate counts requests, each with cost 1.
        flat_cost=Tokens(float(raw.get("uncached_tokens") or 1) if in_tokens else 1),
    )
