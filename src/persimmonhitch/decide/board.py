"""Working copy of the fleet's placement while moves are chosen."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from ..ids import Model, Upstream, Zone


class PlacedState(Enum):
    """Where a copy stands, as the planner sees it."""

    LOADING = "loading"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Placed:
    """One copy at an upstream; memory in GiB with its KV cache."""

    state: PlacedState
    memory: float
    revision: str


@dataclass(frozen=True)
class Site:
    """One upstream: its memory in GiB and what it holds.

    ``free`` is the sidecar's own figure; less than capacity minus copies while an
    old order may still arrive. ``open`` says whether it takes loads.
    """

    upstream: Upstream
    zone: Zone
    capacity: float
    free: float
    open: bool
    draining: bool
    copies: Mapping[Model, Placed]
    old: Mapping[Model, Placed] = field(default_factory=dict)
    """Copies of revisions that are no longer the wanted one."""


@dataclass(frozen=True)
class Need:
    """One model or adapter, as the catalog has it, with its demand."""

    model: Model
    memory: float
    revision: str
    base: Model | None
    demand: float
    wanted: int
    least: int = 1
    """Copies that the demand takes up without a spare or any hysteresis."""


class Board:
    """Sites and copies with the moves chosen so far applied."""

    def __init__(self, needs: Mapping[Model, Need], sites: Iterable[Site]) -> None:
        self.needs = needs
        self.sites = {site.upstream: site for site in sites}
        self.free = {u: site.free if site.open else 0.0 for u, site in self._items()}
        self.coming: defaultdict[Upstream, float] = defaultdict(float)
        self.claimed: set[Upstream] = set()
        self.serving: defaultdict[Model, set[Upstream]] = defaultdict(set)
        self.loading: defaultdict[Model, set[Upstream]] = defaultdict(set)
        self.old: defaultdict[Model, set[Upstream]] = defaultdict(set)
        self.leaving: defaultdict[Model, set[Upstream]] = defaultdict(set)
        for upstream, site in self._items():
            self._enter(upstream, site)
        self.heat = {upstream: self._heat(site) for upstream, site in self._items()}

    def _items(self) -> Iterable[tuple[Upstream, Site]]:
        return self.sites.items()

    def _enter(self, upstream: Upstream, site: Site) -> None:
        held = [*site.copies.values(), *site.old.values()]
        lingering = site.capacity - site.free - sum(p.memory for p in held)
        self.coming[upstream] += max(0.0, lingering)
        for model, placed in site.copies.items():
            if placed.state is PlacedState.LEAVING:
                self.leaving[model].add(upstream)
                self.coming[upstream] += placed.memory
            elif site.draining:
                continue
            elif placed.state is PlacedState.LOADING:
                self.loading[model].add(upstream)
            else:
                self.serving[model].add(upstream)
        for model, placed in site.old.items():
            if placed.state is PlacedState.LEAVING:
                self.coming[upstream] += placed.memory
            elif not site.draining:
                self.old[model].add(upstream)

    def _heat(self, site: Site) -> float:
        return sum(self.demand_here(model) for model in site.copies)

    def demand_here(self, model: Model) -> float:
        """Return the tokens a second that each copy of a model has to carry."""
        need = self.needs.get(model)
        copies = len(self.serving[model]) + len(self.loading[model])
        return 0.0 if need is None else need.demand / max(1, copies)

    def copies(self, model: Model) -> int:
        """Return the copies that serve or will, apart from leaving upstreams."""
        return len(self.serving[model]) + len(self.loading[model])

    def reachable(self, model: Model) -> bool:
        """Return whether a copy of any revision serves or is on its way."""
        return bool(self.serving[model] or self.loading[model] or self.old[model])

    def zones(self, model: Model) -> set[Zone]:
        """Return the availability zones that have a copy or will."""
        held = self.serving[model] | self.loading[model]
        return {self.sites[upstream].zone for upstream in held}

    def adapters_at(self, base: Model, site: Site) -> list[Model]:
        """Return the adapters of a base that are at a site and stay."""
        names = []
        for model in site.copies:
            need = self.needs.get(model)
            if need is not None and need.base == base:
                names.append(model)
        return names

    def load(self, model: Model, upstream: Upstream) -> None:
        """Apply a load."""
        need = self.needs[model]
        self.free[upstream] -= need.memory
        self.loading[model].add(upstream)
        self.heat[upstream] += self.demand_here(model)

    def unload(self, model: Model, upstream: Upstream) -> None:
        """Apply an unload; its memory comes free in a later round."""
        placed = self.sites[upstream].copies[model]
        self.heat[upstream] -= self.demand_here(model)
        self.serving[model].discard(upstream)
        self.leaving[model].add(upstream)
        self.coming[upstream] += placed.memory

    def unload_old(self, model: Model, upstream: Upstream) -> None:
        """Apply the unload of an old revision."""
        self.old[model].discard(upstream)
        self.coming[upstream] += self.sites[upstream].old[model].memory
