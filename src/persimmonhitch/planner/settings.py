"""Settings of the planner."""

from dataclasses import dataclass

from ..settings import setting


@dataclass(frozen=True)
class PlannerSettings:
    """Settings of one planner."""

    vm: str = setting("vm", "name", "name of this VM in the platform's list")
    zone: str = setting("vm", "zone", "availability zone of this VM")
    secret: str = setting("link", "secret", "shared secret of the fleet")
    store: str = setting("store", "url", "base address of the object API")
    store_timeout: float = setting(
        "store", "timeout", "seconds for one call", default=2.0, low=0.05, high=30
    )
    lease: str = setting(
        "lease", "name", "name of the lease; one holder at a time", default="planner"
    )
    lease_duration: float = setting(
        "lease", "duration", "seconds that a renewal lasts", 15.0, low=0.5, high=300
    )
    regions: tuple[str, ...] = setting(
        "placement", "regions", "regions it plans for; all when empty", default=()
    )
    period: float = setting(
        "placement", "period", "seconds between two rounds", 2.0, low=0.1, high=60
    )
    settle: float = setting(
        "placement",
        "settle",
        "seconds a new holder waits for sidecars that do not answer",
        default=15.0,
        low=0,
    )
    upstream_tokens: float = setting(
        "placement", "upstream_tokens", "tokens a second of one upstream", 400.0, low=1
    )
    load_rate: float = setting(
        "weights", "rate", "loads a second of the weight store", 1.5, low=0.01
    )
    load_at_once: int = setting(
        "weights", "at_once", "models loading at full speed", default=10, low=1
    )
    adapters_at_once: int = setting(
        "weights", "adapters_at_once", "adapters loading at full speed", 90, low=1
    )
