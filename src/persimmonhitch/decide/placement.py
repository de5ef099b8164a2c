"""Where the copies of models go: few moves, every model reachable.

Load pattern: hundreds of models share few accelerators, the demand for each moves
tenfold within an hour, and upstreams die, leave and come back empty.

Without this: a placement computed afresh at each change moves models that were fine
where they were. Each move costs a load from the rationed weight store and a cold
cache. A placement that never changes leaves a popular model on one copy and a
dead upstream's models unreachable.

How it keeps moves few: copies above the wanted number stay until their memory is
needed, so a dip followed by a rise costs nothing; a load takes free memory first,
then that of surplus copies, and moves a sole copy only for a model that nobody can
reach. A copy is added for heat only above ``HOT`` (0.85 of an upstream's speed, where
waiting rises steeply) and only onto an upstream below ``COOL`` (0.5), so that the move
cannot make a new hot one. ``MAX_LOADS`` (64) and ``MAX_SEARCHES`` (24) bound the work
of one round to under its period at 590 models on 5,500 upstreams; no weight store
here starts as many loads in a period of 5 s.

What always holds: an unload is only proposed while another copy serves, at most one
copy of a model leaves at a time, and the new copy serves before the old one goes.
docs/notes/placement.md has the runs.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final

from ..ids import Model, Upstream
from .board import Board, Need, PlacedState, Site

HOT: Final = 0.85
COOL: Final = 0.5
HEAT_STEP: Final = 0.1
"""Heat, as part of the speed, that counts as equal when a site is chosen."""
MAX_LOADS: Final = 64
MAX_SEARCHES: Final = 24
MAX_HEAT_LOADS: Final = 2
MAX_RELOCATIONS: Final = 4
ROUNDING: Final = 1e-6


class Reason(Enum):
    """Why a move is made; loads are made in this order."""

    UNREACHABLE = "unreachable"
    DEMAND = "demand"
    REVISION = "revision"
    SPARE = "spare"
    HEAT = "heat"
    MAKE_ROOM = "make_room"
    RETIRED = "retired"


@dataclass(frozen=True)
class Move:
    """One load or unload; ``revision`` is that of the copy moved."""

    load: bool
    model: Model
    upstream: Upstream
    revision: str
    reason: Reason


def plan(
    needs: Mapping[Model, Need], sites: Iterable[Site], speed: float
) -> tuple[Move, ...]:
    """Return the moves to make now, the most urgent first.

    Parameters
    ----------
    needs : mapping
        All models of the catalog with their demand and copies wanted.
    sites : iterable
        All upstreams that are known to live.
    speed : float
        Tokens a second that one upstream gives.
    """
    planner = _Round(Board(needs, sites), speed)
    planner.retire()
    planner.load_missing()
    planner.cool_down()
    return tuple(planner.moves)


class _Round:
    """The moves of one round."""

    def __init__(self, board: Board, speed: float) -> None:
        self.board = board
        self.speed = speed
        self.moves: list[Move] = []
        self.loads = 0
        self.relocations = 0
        self.searches = 0

    def retire(self) -> None:
        """Unload copies of models and revisions that nobody may ask for any more."""
        for upstream, site in self.board.sites.items():
            for model, placed in site.copies.items():
                gone = model not in self.board.needs
                if gone and placed.state is PlacedState.SERVING:
                    self._unload(model, upstream, Reason.RETIRED)
            for model, placed in site.old.items():
                if placed.state is PlacedState.SERVING and self._replaced(model):
                    self.board.unload_old(model, upstream)
                    move = Move(
                        False, model, upstream, placed.revision, Reason.REVISION
                    )
                    self.moves.append(move)

    def _replaced(self, model: Model) -> bool:
        need = self.board.needs.get(model)
        if need is None:
            return True
        serving = len(self.board.serving[model])
        # With one old copy per new one the model keeps its strength meanwhile.
        return serving >= min(need.wanted, len(self.board.old[model]) or 1)

    def load_missing(self) -> None:
        """Load what is missing, in the order of ``Reason``."""
        for need, reason in self._missing():
            if self.loads >= MAX_LOADS:
                return
            site = self._choose(need, reason)
            if site is not None:
                self._load(need, site.upstream, reason)
            elif reason is not Reason.SPARE and self.searches < MAX_SEARCHES:
                self._make_room(need, reason)

    def _missing(self) -> list[tuple[Need, Reason]]:
        wants: list[tuple[int, float, Need, Reason]] = []
        for need in self.board.needs.values():
            copies = self.board.copies(need.model)
            for index in range(copies, need.wanted):
                reason = self._reason(need, index)
                share = need.demand / (index + 1)
                wants.append((_URGENCY[reason], -share, need, reason))
        # Bases before adapters, which need one to be there.
        wants.sort(key=lambda want: (want[0], want[2].base is not None, want[1]))
        return [(need, reason) for _, _, need, reason in wants]

    def _reason(self, need: Need, index: int) -> Reason:
        if index == 0 and not self.board.reachable(need.model):
            return Reason.UNREACHABLE
        if self.board.old[need.model] and index < len(self.board.old[need.model]):
            return Reason.REVISION
        last = index == need.wanted - 1
        return Reason.SPARE if last and need.wanted > 1 else Reason.DEMAND

    def _choose(self, need: Need, reason: Reason) -> Site | None:
        zones = self.board.zones(need.model)
        cold = reason is Reason.UNREACHABLE and need.demand < self.speed * HEAT_STEP
        best, best_score = None, None
        for site in self._open_sites(need):
            free = self.board.free[site.upstream]
            if free + ROUNDING < need.memory or site.upstream in self.board.claimed:
                continue
            heat = 0.0 if cold else self._heat_step(site)
            score = (site.zone in zones, heat, -free)
            if best_score is None or score < best_score:
                best, best_score = site, score
        return best

    def _heat_step(self, site: Site) -> float:
        return self.board.heat[site.upstream] // (self.speed * HEAT_STEP)

    def _open_sites(self, need: Need) -> Iterator[Site]:
        for site in self.board.sites.values():
            if not site.open or site.draining or need.model in site.copies:
                continue
            if site.upstream in self.board.loading[need.model]:
                continue
            if need.base is not None and not self._base_serves(need.base, site):
                continue
            yield site

    def _base_serves(self, base: Model, site: Site) -> bool:
        placed = site.copies.get(base) or site.old.get(base)
        if placed is None or placed.state is not PlacedState.SERVING:
            return False
        return site.upstream not in self.board.leaving[base]

    def _make_room(self, need: Need, reason: Reason) -> None:
        """Take surplus copies from one site, the one with the least to take."""
        self.searches += 1
        best: tuple[int, float, Site, list[Model]] | None = None
        for site in self._open_sites(need):
            if site.upstream in self.board.claimed:
                continue
            if reason is Reason.HEAT and self._warm(site):
                continue
            victims = self._victims(need, site, reason)
            if victims is None:
                continue
            cost = sum(self.board.demand_here(model) for model in victims)
            if best is None or (len(victims), cost) < best[:2]:
                best = (len(victims), cost, site, victims)
        if best is not None:
            self.board.claimed.add(best[2].upstream)
            for model in best[3]:
                self._unload(model, best[2].upstream, Reason.MAKE_ROOM)
        elif reason in FIRST:
            self._relocate(need)

    def _warm(self, site: Site) -> bool:
        return self.board.heat[site.upstream] >= self.speed * COOL

    def _victims(self, need: Need, site: Site, reason: Reason) -> list[Model] | None:
        room = self.board.free[site.upstream] + self.board.coming[site.upstream]
        if room + ROUNDING >= need.memory:
            return []
        found: list[Model] = []
        for model in self._by_demand(site):
            group = [*self.board.adapters_at(model, site), model]
            group = [m for m in group if m not in found]
            if model in found or model == need.base:
                continue
            if not all(self._surplus(m, site, reason) for m in group):
                continue
            found += group
            room += sum(site.copies[m].memory for m in group)
            if room + ROUNDING >= need.memory:
                return found
        return None

    def _by_demand(self, site: Site) -> list[Model]:
        return sorted(site.copies, key=lambda model: self.board.demand_here(model))

    def _surplus(self, model: Model, site: Site, reason: Reason) -> bool:
        board = self.board
        need = board.needs.get(model)
        serving = board.serving[model]
        if site.upstream not in serving or board.leaving[model] or need is None:
            return False
        return len(serving) > _FLOORS.get(reason, _wanted)(need)

    def _relocate(self, need: Need) -> None:
        """Load sole copies elsewhere, so that their old places can be taken."""
        if self.relocations >= MAX_RELOCATIONS:
            return
        sites = sorted(
            self._open_sites(need),
            key=lambda site: -self.board.free[site.upstream],
        )
        for site in sites[:MAX_LOADS]:
            if site.upstream not in self.board.claimed and self._clear(need, site):
                return
        base = None if need.base is None else self.board.needs.get(need.base)
        if base is None or self.board.loading[base.model]:
            return
        # No upstream with the base has room for one more adapter.
        target = self._choose(base, Reason.UNREACHABLE)
        if target is not None:
            self._load(base, target.upstream, Reason.MAKE_ROOM)
        else:
            self._make_room(base, Reason.UNREACHABLE)

    def _clear(self, need: Need, site: Site) -> bool:
        missing = need.memory - self.board.free[site.upstream]
        targets: list[tuple[Need, Upstream]] = []
        taken: set[Upstream] = {site.upstream}
        for model in self._by_demand(site):
            other = self.board.needs.get(model)
            if other is None or self.board.adapters_at(model, site):
                continue
            if other.base is not None or self.board.copies(model) != 1:
                continue
            target = self._other_place(other, taken)
            if target is None:
                continue
            taken.add(target.upstream)
            targets.append((other, target.upstream))
            missing -= site.copies[model].memory
            if missing <= ROUNDING:
                break
        if missing > ROUNDING:
            return False
        self.board.claimed.add(site.upstream)
        for other, upstream in targets:
            self.relocations += 1
            self._load(other, upstream, Reason.MAKE_ROOM)
        return True

    def _other_place(self, need: Need, taken: set[Upstream]) -> Site | None:
        fits = (
            site
            for site in self._open_sites(need)
            if site.upstream not in taken | self.board.claimed
            and self.board.free[site.upstream] + ROUNDING >= need.memory
        )
        return min(fits, key=lambda site: self.board.free[site.upstream], default=None)

    def cool_down(self) -> None:
        """Add a copy of the busiest model of the hottest upstreams elsewhere."""
        limit = self.speed * HOT
        hot = [u for u, heat in self.board.heat.items() if heat > limit]
        hot.sort(key=lambda upstream: -self.board.heat[upstream])
        for upstream in hot[:MAX_HEAT_LOADS]:
            self._cool(self.board.sites[upstream])

    def _cool(self, site: Site) -> None:
        for model in reversed(self._by_demand(site)):
            need = self.board.needs.get(model)
            if need is None or self.board.loading[model]:
                continue
            target = self._choose(need, Reason.HEAT)
            if target is None:
                self._make_room(need, Reason.HEAT)
                return
            if not self._warm(target):
                self._load(need, target.upstream, Reason.HEAT)
                return

    def _load(self, need: Need, upstream: Upstream, reason: Reason) -> None:
        self.board.load(need.model, upstream)
        self.loads += 1
        self.moves.append(Move(True, need.model, upstream, need.revision, reason))

    def _unload(self, model: Model, upstream: Upstream, reason: Reason) -> None:
        revision = self.board.sites[upstream].copies[model].revision
        self.board.unload(model, upstream)
        self.moves.append(Move(False, model, upstream, revision, reason))


def _last(_need: Need) -> int:
    return 1


def _least(need: Need) -> int:
    return need.least


def _wanted(need: Need) -> int:
    return need.wanted


_FLOORS: Final = {
    Reason.UNREACHABLE: _last,
    Reason.REVISION: _last,
    Reason.DEMAND: _least,
    Reason.HEAT: _least,
}
"""Copies that a model keeps when its memory is wanted for another reason."""
FIRST: Final = (Reason.UNREACHABLE, Reason.REVISION)
"""Loads for which other models give up copies above their last one."""
_URGENCY: Final = {reason: index for index, reason in enumerate(Reason)}
