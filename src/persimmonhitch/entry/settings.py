"""Settings of the entry."""

from dataclasses import dataclass

from ..settings import RetrySettings, setting


@dataclass(frozen=True)
class EntrySettings(RetrySettings):
    """Settings of one entry, from the operator's settings file."""

    vm: str = setting("vm", "name", "name of this VM in the platform's list")
    zone: str = setting("vm", "zone", "availability zone of this VM")
    region: str = setting("vm", "region", "region of this VM")
    host: str = setting("http", "host", "address that the balancer reaches")
    link_host: str = setting("link", "host", "address that other entries reach")
    secret: str = setting("link", "secret", "shared secret of the fleet")
    store: str = setting("store", "url", "base address of the object API")
    port: int = setting("http", "port", "TCP port", default=0, low=0, high=65535)
    threads: int = setting(
        "http", "threads", "most connections, a thread for each", 128, low=8, high=1024
    )
    link_port: int = setting("link", "port", "TCP port", default=0, low=0, high=65535)
    store_timeout: float = setting(
        "store", "timeout", "seconds for one call", default=2.0, low=0.05, high=30
    )
    default_timeout: float = setting(
        "requests", "default_timeout", "seconds without a header", 60.0, low=0.1
    )
    most_timeout: float = setting(
        "requests", "most_timeout", "seconds a caller may ask for", 600.0, 1, 600
    )
    seeds: tuple[tuple[str, int], ...] = setting(
        "link", "seeds", "entries to ask while the store is down", ()
    )
    trace_ratio: float = setting(
        "traces", "ratio", "part of all traces that is kept", 1.0, low=0, high=1
    )
    stop_notice: float = setting(
        "stop", "notice", "seconds not ready before the listener closes", 2.0, low=0
    )
    stop_limit: float = setting(
        "stop", "limit", "seconds for running requests at a stop", 60.0, low=0
    )
