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

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from ..ids import Model
from .board import Board, Need, PlacedState, Site
from .moves import Move, MoveList, Reason
from .room import RoomMaker

HOT: Final = 0.85
MAX_LOADS: Final = 64
MAX_HEAT_LOADS: Final = 2


@dataclass(frozen=True)
class Plan:
    """Moves to make now, the most urgent first, and loads that find no place."""

    moves: tuple[Move, ...]
    stuck: tuple[tuple[Model, Reason], ...]


def make_plan(needs: Mapping[Model, Need], sites: Iterable[Site], speed: float) -> Plan:
    """Return the moves to make now.

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
    return Plan(tuple(planner.chosen.moves), tuple(planner.room.stuck))


def plan(
    needs: Mapping[Model, Need], sites: Iterable[Site], speed: float
) -> tuple[Move, ...]:
    """Return the moves of ``make_plan``."""
    return make_plan(needs, sites, speed).moves


class _Round:
    """One round of planning."""

    def __init__(self, board: Board, speed: float) -> None:
        self.board = board
        self.speed = speed
        self.chosen = MoveList(board, speed)
        self.room = RoomMaker(self.chosen)

    def retire(self) -> None:
        """Unload copies of models and revisions that nobody may ask for any more."""
        for upstream, site in self.board.sites.items():
            for model, placed in site.copies.items():
                gone = model not in self.board.needs
                if gone and placed.state is PlacedState.SERVING:
                    self.chosen.unload(model, upstream, Reason.RETIRED)
            for model, placed in site.old.items():
                if placed.state is PlacedState.SERVING and self._replaced(model):
                    self.board.unload_old(model, upstream)
                    move = Move(
                        False, model, upstream, placed.revision, Reason.REVISION
                    )
                    self.chosen.moves.append(move)

    def _replaced(self, model: Model) -> bool:
        need = self.board.needs.get(model)
        if need is None:
            return True
        serving, old = len(self.board.serving[model]), len(self.board.old[model])
        # An old copy goes only for a new one, so the model keeps its strength.
        return serving > 0 and serving + old > need.wanted

    def load_missing(self) -> None:
        """Load what is missing, in the order of ``Reason``."""
        for need, reason in self._missing():
            if self.chosen.loads >= MAX_LOADS:
                return
            site = self.chosen.choose(need, reason)
            if site is not None:
                self.chosen.load(need, site.upstream, reason)
            elif reason is not Reason.SPARE and not self.room.spent():
                self.room.make_room(need, reason)

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

    def cool_down(self) -> None:
        """Add a copy of the busiest model of the hottest upstreams elsewhere."""
        limit = self.speed * HOT
        hot = [u for u, heat in self.board.heat.items() if heat > limit]
        hot.sort(key=lambda upstream: -self.board.heat[upstream])
        for upstream in hot[:MAX_HEAT_LOADS]:
            self._cool(self.board.sites[upstream])

    def _cool(self, site: Site) -> None:
        for model in reversed(self.chosen.by_demand(site)):
            need = self.board.needs.get(model)
            if need is None or self.board.loading[model]:
                continue
            target = self.chosen.choose(need, Reason.HEAT)
            if target is None:
                self.room.make_room(need, Reason.HEAT)
                return
            if not self.chosen.warm(target):
                self.chosen.load(need, target.upstream, Reason.HEAT)
                return


_URGENCY: Final = {reason: index for index, reason in enumerate(Reason)}

__all__ = ["Move", "Plan", "Reason", "make_plan", "plan"]
