"""Moves of one round, and where a load finds a place."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Final

from ..ids import Model, Upstream
from .board import Board, Need, PlacedState, Site

COOL: Final = 0.5
"""Part of its speed below which an upstream takes copies for the sake of heat."""
HEAT_STEP: Final = 0.1
"""Heat, as part of the speed, that counts as equal when a site is chosen."""
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


class MoveList:
    """The moves chosen so far and the board with them applied."""

    def __init__(self, board: Board, speed: float) -> None:
        self.board = board
        self.speed = speed
        self.moves: list[Move] = []
        self.loads = 0

    def choose(self, need: Need, reason: Reason) -> Site | None:
        """Return the best site with free memory for a load, or None."""
        zones = self.board.zones(need.model)
        cold = reason is Reason.UNREACHABLE and need.demand < self.speed * HEAT_STEP
        best, best_score = None, None
        for site in self.open_sites(need):
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

    def open_sites(self, need: Need) -> Iterator[Site]:
        """Yield the sites that may take a copy, whatever their free memory."""
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

    def warm(self, site: Site) -> bool:
        """Return whether a site has too much work to take a copy for heat."""
        return self.board.heat[site.upstream] >= self.speed * COOL

    def by_demand(self, site: Site) -> list[Model]:
        """Return the models of a site, the least asked for first."""
        return sorted(site.copies, key=lambda model: self.board.demand_here(model))

    def load(self, need: Need, upstream: Upstream, reason: Reason) -> None:
        """Choose a load."""
        self.board.load(need.model, upstream)
        self.loads += 1
        self.moves.append(Move(True, need.model, upstream, need.revision, reason))

    def unload(self, model: Model, upstream: Upstream, reason: Reason) -> None:
        """Choose an unload."""
        revision = self.board.sites[upstream].copies[model].revision
        self.board.unload(model, upstream)
        self.moves.append(Move(False, model, upstream, revision, reason))
