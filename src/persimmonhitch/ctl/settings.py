"""Settings of the command line."""

from dataclasses import dataclass

from ..settings import setting


@dataclass(frozen=True)
class CtlSettings:
    """Settings of the command line."""

    store: str = setting("store", "url", "base address of the object API")
    operator: str = setting("operator", "name", "who makes the changes, for the log")
    store_timeout: float = setting(
        "store", "timeout", "seconds for one call", default=2.0, low=0.05, high=30
    )
