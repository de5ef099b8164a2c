"""Sizes of the simulated deployments."""

from dataclasses import dataclass
from typing import Final

from ..ids import Account, Adapter, Model, Upstream, Zone


@dataclass(frozen=True)
class Deployment:
    """Size of one deployment.

    Attributes
    ----------
    loads_rate : float
        Loads a second that the weight store allows.
    loads_at_once : int
        Loads at once at full speed.
    adapters_in_flight : int
        Adapters in flight before loads slow.
    account_shares : tuple of float
        Share of the total load of each account.
    """

    name: str
    engines: int
    models: int
    adapters: int
    loads_rate: float
    loads_at_once: int
    adapters_in_flight: int
    account_shares: tuple[float, ...] = (0.4, 0.25, 0.2, 0.1, 0.05)
    zones: int = 4
    entries: int = 3
    models_per_engine: int = 5

    def upstream_names(self) -> tuple[Upstream, ...]:
        """Return the engines' names."""
        return tuple(Upstream(f"engine{n}") for n in range(self.engines))

    def model_names(self) -> tuple[Model, ...]:
        """Return the models' names, most popular first."""
        return tuple(Model(f"model{n:02d}") for n in range(self.models))

    def adapter_names(self) -> tuple[Adapter, ...]:
        """Return the adapters' names."""
        return tuple(Adapter(f"adapter{n:03d}") for n in range(self.adapters))

    def account_names(self) -> tuple[Account, ...]:
        """Return the accounts' names, largest first."""
        return tuple(Account(f"account{n}") for n in range(len(self.account_shares)))

    def zone_of(self, number: int) -> Zone:
        """Return the zone of an engine or entry by its number."""
        return Zone(f"zone{number % self.zones}")


CAVALCANTE: Final = Deployment("cavalcante", 6, 20, 65, 1.5, 10, 90)
KRINGNIEUWS: Final = Deployment("kringnieuws", 9, 25, 100, 2.5, 3, 25)
DEPLOYMENTS: Final = (CAVALCANTE, KRINGNIEUWS)
