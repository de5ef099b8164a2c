"""Room for a load that finds no free memory: surplus copies go, sole ones move.

A copy is surplus as long as others of its model serve, by the floor that goes with
the load's reason. Only for a model that nobody can reach, or a new revision, is a sole
copy loaded elsewhere, so that its old place can be taken in a later round.
"""

from typing import Final

from ..ids import Model, Upstream
from .board import Board, Need, Site
from .moves import ROUNDING, MoveList, Reason

MAX_SEARCHES: Final = 24
MAX_RELOCATIONS: Final = 4
MAX_SITES: Final = 64
"""Sites with most free memory that are tried for a relocation."""


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


class RoomMaker:
    """Makes room within the moves of one round."""

    def __init__(self, chosen: MoveList) -> None:
        self.chosen = chosen
        self.stuck: list[tuple[Model, Reason]] = []
        self.searches = 0
        self.relocations = 0

    @property
    def board(self) -> Board:
        """Return the board with the moves chosen so far."""
        return self.chosen.board

    def spent(self) -> bool:
        """Return whether this round has searched enough."""
        return self.searches >= MAX_SEARCHES

    def make_room(self, need: Need, reason: Reason) -> None:
        """Take surplus copies from one site, the one with the least to take."""
        self.searches += 1
        best: tuple[int, float, Site, list[Model]] | None = None
        for site in self.chosen.open_sites(need):
            if site.upstream in self.board.claimed:
                continue
            if reason is Reason.HEAT and self.chosen.warm(site):
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
                self.chosen.unload(model, best[2].upstream, Reason.MAKE_ROOM)
        elif reason in FIRST:
            before = len(self.chosen.moves)
            self._relocate(need)
            if len(self.chosen.moves) == before:
                self.stuck.append((need.model, reason))

    def _victims(self, need: Need, site: Site, reason: Reason) -> list[Model] | None:
        room = self.board.free[site.upstream] + self.board.coming[site.upstream]
        if room + ROUNDING >= need.memory:
            return []
        found: list[Model] = []
        for model in self.chosen.by_demand(site):
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
            self.chosen.open_sites(need),
            key=lambda site: -self.board.free[site.upstream],
        )
        for site in sites[:MAX_SITES]:
            if site.upstream not in self.board.claimed and self._clear(need, site):
                return
        base = None if need.base is None else self.board.needs.get(need.base)
        if base is None or self.board.loading[base.model]:
            return
        # No upstream with the base has room for one more adapter.
        target = self.chosen.choose(base, Reason.UNREACHABLE)
        if target is not None:
            self.chosen.load(base, target.upstream, Reason.MAKE_ROOM)
        else:
            self.make_room(base, Reason.UNREACHABLE)

    def _clear(self, need: Need, site: Site) -> bool:
        missing = need.memory - self.board.free[site.upstream]
        targets: list[tuple[Need, Upstream]] = []
        taken: set[Upstream] = {site.upstream}
        for model in self.chosen.by_demand(site):
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
            self.chosen.load(other, upstream, Reason.MAKE_ROOM)
        return True

    def _other_place(self, need: Need, taken: set[Upstream]) -> Site | None:
        fits = (
            site
            for site in self.chosen.open_sites(need)
            if site.upstream not in taken | self.board.claimed
            and self.board.free[site.upstream] + ROUNDING >= need.memory
        )
        return min(fits, key=lambda site: self.board.free[site.upstream], default=None)
