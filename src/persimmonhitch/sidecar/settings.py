"""Settings of the sidecar."""

from dataclasses import dataclass

from ..settings import setting


@dataclass(frozen=True)
class SidecarSettings:
    """Settings of one sidecar."""

    vm: str = setting("vm", "name", "name of this VM in the platform's list")
    zone: str = setting("vm", "zone", "availability zone of this VM")
    region: str = setting("vm", "region", "region of this VM")
    host: str = setting("link", "host", "address that entries reach")
    secret: str = setting("link", "secret", "shared secret of the fleet")
    upstream: str = setting("upstream", "name", "name of the upstream")
    kind: str = setting("upstream", "kind", "engine or service")
    url: str = setting("upstream", "url", "where the upstream listens")
    store: str = setting("store", "url", "base address of the object API")
    port: int = setting("link", "port", "TCP port", default=0, low=0, high=65535)
    service: str = setting(
        "upstream", "service", "name of the service behind a service upstream", ""
    )
    memory: float = setting(
        "upstream", "memory", "GiB of accelerator memory", default=80.0, low=0
    )
    order_limit: float = setting(
        "orders",
        "limit",
        "seconds after which an order that was sent can no longer reach the engine",
        default=30.0,
        low=0.1,
    )
    order_timeout: float = setting(
        "orders", "timeout", "seconds for one load or unload", 300.0, low=0.1
    )
    list_period: float = setting(
        "orders", "list_period", "seconds between two looks at the engine", 1.0, 0.05
    )
    store_timeout: float = setting(
        "store", "timeout", "seconds for one call", default=2.0, low=0.05, high=30
    )
    concurrency: int = setting(
        "limits", "concurrency", "most requests at the upstream", 64, low=1, high=1024
    )
    queue_tokens: float = setting(
        "limits", "queue_tokens", "most tokens that wait", default=200000.0, low=1
    )
    stop_limit: float = setting(
        "stop", "limit", "seconds for running requests at a stop", 60.0, low=0
    )
