"""Settings of an entry that calls upstreams directly."""

from dataclasses import dataclass

from ..platform.names import asks_for_load_control
from ..settings import RetrySettings, setting

Addresses = tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class DirectSettings(RetrySettings):
    """Settings that the platform provides for one entry."""

    vm: str = setting("vm", "name", "name of this VM")
    zone: str = setting("vm", "zone", "availability zone of this VM")
    region: str = setting("vm", "region", "region of this VM")
    callers: Addresses = setting("http", "callers", "address that callers reach")
    ready: Addresses = setting("http", "ready", "address that the balancer asks")
    metrics: Addresses = setting("http", "metrics", "address of the metrics")
    link: Addresses = setting("link", "address", "address that other entries reach")
    secret: str = setting("link", "secret", "shared secret of the fleet")
    store: str = setting("store", "url", "base address of the platform's store")
    advertised: Addresses = setting(
        "link", "advertised", "address told to other entries, if not the link's own", ()
    )
    cpu_share: float = setting(
        "vm", "cpu_share", "part of its processor that this VM has", 1.0, 0.001
    )
    cpu_cores: float = setting(
        "vm", "cpu_cores", "speed of its processor against others", 1.0, 0.001
    )
    memory_mb: int = setting(
        "vm", "memory_mb", "megabytes of memory of this VM; 0 if unknown", 0, 0
    )
    file_descriptors: int = setting(
        "vm", "file_descriptors", "most open files of a process; 0 if unknown", 0, 0
    )
    link_mbps: float = setting(
        "vm", "link_mbps", "megabits per second of its link; 0 if unknown", 0.0, 0
    )
    threads: int = setting(
        "http",
        "threads",
        "most requests at a time, a thread for each; a VM with little memory or few "
        "descriptors has fewer, one of unknown memory 192 at most",
        1024,
        8,
        1024,
    )
    store_timeout: float = setting(
        "store", "timeout", "seconds for one call", 1.0, 0.05, 30
    )
    order_guard_ms: int = setting(
        "orders", "guard_ms", "milliseconds between orders of two entries", 3000, 0
    )
    stale_most_ms: int = setting(
        "store",
        "stale_most_ms",
        "milliseconds in which a change there has to be in force here",
        2000,
        0,
    )
    evacuation_ms: int = setting(
        "zones",
        "evacuation_ms",
        "milliseconds in which an evacuated zone gets no more requests; 0 if operators "
        "evacuate no zones",
        0,
        0,
    )
    cold_overage: float = setting(
        "zones",
        "cold_overage",
        "most requests in a second to a cold upstream, against those it tolerates",
        1.0,
        0,
    )
    cold_slack: int = setting(
        "zones", "cold_slack", "requests in a second allowed beyond that", 0, 0
    )
    contracts: str = setting(
        "load",
        "contracts",
        "parts of the platform's rules in force, separated by commas; `pressure` turns "
        "on load control for all services, which otherwise those have whose upstreams "
        "state how slow they are",
        "",
    )
    claims: int = setting(
        "load",
        "claims",
        "1 if requests wait for room, and are refused, by their claims; 0 if they wait "
        "until 0.9 of their latency target",
        0,
        0,
        1,
    )
    known_streams: int = setting(
        "streams",
        "known",
        "most streams whose software version an entry remembers",
        20_000,
        0,
    )
    lease: float = setting(
        "orders", "lease", "seconds that the lease of orders lasts", 1.5, 0.3, 30
    )
    stop_notice: float = setting(
        "stop", "notice", "seconds not ready before the listener closes", 2.5, low=0
    )
    stop_limit: float = setting(
        "stop", "limit", "seconds from the signal to the end", 8.0, low=0
    )

    @property
    def controls_load(self) -> bool:
        """Return whether the rules in force ask for load control of all services."""
        return asks_for_load_control(self.contracts.split(","))
