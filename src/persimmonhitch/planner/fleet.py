"""What the planner knows of the upstreams, from their sidecars' own words."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from ..decide.pacing import LoadTarget
from ..decide.placement import Move
from ..decide.targets import CopyPhase, ModelRequirement, PlacedCopy, PlacementTarget
from ..entry.directory import SidecarInfo
from ..ids import Epoch, Model, Upstream
from ..wire.link import Link
from ..wire.messages import OrderDone
from ..wire.placement import CopyState, Inventory

SILENCE: Final = 10.0
"""Seconds without a link until an upstream's copies count as gone: longer than a
sidecar's restart, which would else cost a load of each of its models."""
STATES: Final = {
    CopyState.LOADING: CopyPhase.LOADING,
    CopyState.LOADED: CopyPhase.SERVING,
    CopyState.UNLOADING: CopyPhase.UNLOADING,
}


@dataclass
class OpenOrder:
    """An order that was sent and does not show in the holdings yet."""

    move: Move
    memory: float
    done: bool = False


@dataclass
class Member:
    """One upstream."""

    info: SidecarInfo
    link: Link | None = None
    holdings: Inventory | None = None
    heard_at: float = 0.0
    fresh: bool = False
    """Holdings came over the link that is open now, not from an earlier life."""
    orders: dict[str, OpenOrder] = field(default_factory=dict)

    def current(self, epoch: Epoch) -> bool:
        """Return whether its holdings are from after it took our epoch."""
        return self.holdings is not None and self.holdings.epoch == epoch


class FleetView:
    """All upstreams that the store lists, with what their sidecars say."""

    def __init__(self) -> None:
        self.members: dict[Upstream, Member] = {}

    def set_sidecars(self, infos: Mapping[Upstream, SidecarInfo]) -> list[Link]:
        """Take the store's list; return the links of those that left it."""
        gone = [u for u in self.members if u not in infos]
        members = [self.members.pop(upstream) for upstream in gone]
        for upstream, info in infos.items():
            if upstream in self.members:
                self.members[upstream].info = info
            else:
                self.members[upstream] = Member(info)
        return [member.link for member in members if member.link is not None]

    def opened(self, upstream: Upstream, link: Link) -> bool:
        """Take a new link; return False when the upstream is not wanted."""
        member = self.members.get(upstream)
        if member is None or member.link is not None:
            return False
        member.link = link
        member.fresh = False
        return True

    def lost(self, upstream: Upstream, link: Link) -> None:
        """Take the end of a link; what was ordered over it shows in holdings."""
        member = self.members.get(upstream)
        if member is not None and member.link is link:
            member.link = None
            member.orders.clear()

    def heard(self, msg: Inventory, now: float) -> None:
        """Take an upstream's holdings."""
        member = self.members.get(msg.upstream)
        if member is None:
            return
        member.holdings = msg
        member.heard_at = now
        member.fresh = True
        member.orders = {k: o for k, o in member.orders.items() if not o.done}

    def done(self, upstream: Upstream, msg: OrderDone) -> OpenOrder | None:
        """Take an order's end; return it if it was open."""
        member = self.members.get(upstream)
        order = None if member is None else member.orders.get(msg.order_id)
        if order is not None:
            order.done = True
        return order

    def ordered(self) -> set[LoadTarget]:
        """Return the places with an order whose end is not known yet."""
        return {
            (order.move.model, upstream)
            for upstream, member in self.members.items()
            for order in member.orders.values()
            if not order.done
        }

    def heard_from_all(self, epoch: Epoch) -> bool:
        """Return whether every listed upstream has reported in this epoch."""
        return all(member.current(epoch) for member in self.members.values())

    def sites(
        self, epoch: Epoch, needs: Mapping[Model, ModelRequirement], now: float
    ) -> list[PlacementTarget]:
        """Return the upstreams that are known to live, or were a moment ago."""
        found = []
        for upstream, member in self.members.items():
            holdings = member.holdings
            if holdings is None or not member.current(epoch):
                continue
            silent = member.link is None or not member.fresh
            if silent and now - member.heard_at > SILENCE:
                continue
            found.append(_site(upstream, member, holdings, needs, silent))
        return found

    def demand(self, epoch: Epoch) -> dict[Model, float]:
        """Return the tokens a second asked for by model, over all upstreams."""
        total: dict[Model, float] = {}
        for member in self.members.values():
            if member.holdings is None or not member.current(epoch):
                continue
            for held in member.holdings.copies:
                name = held.copy.name
                total[name] = total.get(name, 0.0) + held.demand
        return total


def _site(
    upstream: Upstream,
    member: Member,
    holdings: Inventory,
    needs: Mapping[Model, ModelRequirement],
    silent: bool,
) -> PlacementTarget:
    copies: dict[Model, PlacedCopy] = {}
    old: dict[Model, PlacedCopy] = {}
    free = holdings.free_gib
    for held in holdings.copies:
        state = STATES.get(held.state)
        if state is None:
            continue
        if silent and state is CopyPhase.SERVING:
            # It may serve or be gone: it counts as a copy, so that a sidecar's
            # restart moves nothing, but no other copy is unloaded for its sake.
            state = CopyPhase.LOADING
        name, revision = held.copy.name, held.copy.revision
        need = needs.get(name)
        wanted = need is None or need.revision == revision
        (copies if wanted else old)[name] = PlacedCopy(state, held.memory_gib, revision)
    for order in member.orders.values():
        free -= _apply(order, copies, old)
    return PlacementTarget(
        upstream=upstream,
        zone=holdings.zone,
        capacity=holdings.capacity_gib,
        free=max(0.0, free),
        accepting=holdings.accepts_loads and not silent,
        draining=holdings.draining or member.info.draining,
        copies=copies,
        stale=old,
    )


def _apply(
    order: OpenOrder, copies: dict[Model, PlacedCopy], old: dict[Model, PlacedCopy]
) -> float:
    """Enter an order that the holdings may not show yet; return the memory taken."""
    move = order.move
    if not move.is_load:
        for side in (copies, old):
            placed = side.get(move.model)
            if placed is not None and placed.revision == move.revision:
                leaving = PlacedCopy(
                    CopyPhase.UNLOADING, placed.memory, placed.revision
                )
                side[move.model] = leaving
        return 0.0
    if move.model in copies:
        return 0.0
    copies[move.model] = PlacedCopy(CopyPhase.LOADING, order.memory, move.revision)
    return order.memory
