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

LINK_LOSS_GRACE_S: Final = 10.0
"""Seconds without a link until an upstream's copies count as gone: longer than a
sidecar's restart, which would else cost a load of each of its models."""
COPY_PHASES: Final = {
    CopyState.LOADING: CopyPhase.LOADING,
    CopyState.LOADED: CopyPhase.SERVING,
    CopyState.UNLOADING: CopyPhase.UNLOADING,
}


@dataclass
class PendingOrder:
    """An order that was sent and does not show in the holdings yet."""

    move: Move
    memory: float
    done: bool = False


@dataclass
class FleetMember:
    """One upstream."""

    info: SidecarInfo
    link: Link | None = None
    inventory: Inventory | None = None
    received_at: float = 0.0
    reported_on_link: bool = False
    """Holdings came over the link that is open now, not from an earlier life."""
    orders: dict[str, PendingOrder] = field(default_factory=dict)

    def has_reported(self, epoch: Epoch) -> bool:
        """Return whether its holdings are from after it took our epoch."""
        return self.inventory is not None and self.inventory.epoch == epoch


class FleetView:
    """All upstreams that the store lists, with what their sidecars say."""

    def __init__(self) -> None:
        self.members: dict[Upstream, FleetMember] = {}

    def set_sidecars(self, infos: Mapping[Upstream, SidecarInfo]) -> list[Link]:
        """Take the store's list; return the links of those that left it."""
        removed = [u for u in self.members if u not in infos]
        members = [self.members.pop(upstream) for upstream in removed]
        for upstream, info in infos.items():
            if upstream in self.members:
                self.members[upstream].info = info
            else:
                self.members[upstream] = FleetMember(info)
        return [member.link for member in members if member.link is not None]

    def attach(self, upstream: Upstream, link: Link) -> bool:
        """Take a new link; return False when the upstream is not wanted."""
        member = self.members.get(upstream)
        if member is None or member.link is not None:
            return False
        member.link = link
        member.reported_on_link = False
        return True

    def detach(self, upstream: Upstream, link: Link) -> None:
        """Take the end of a link; what was ordered over it shows in holdings."""
        member = self.members.get(upstream)
        if member is not None and member.link is link:
            member.link = None
            member.orders.clear()

    def receive_inventory(self, msg: Inventory, now: float) -> None:
        """Take an upstream's holdings."""
        member = self.members.get(msg.upstream)
        if member is None:
            return
        member.inventory = msg
        member.received_at = now
        member.reported_on_link = True
        member.orders = {k: o for k, o in member.orders.items() if not o.done}

    def finish_order(self, upstream: Upstream, msg: OrderDone) -> PendingOrder | None:
        """Take an order's end; return it if it was open."""
        member = self.members.get(upstream)
        order = None if member is None else member.orders.get(msg.order_id)
        if order is not None:
            order.done = True
        return order

    def pending(self) -> set[LoadTarget]:
        """Return the places with an order whose end is not known yet."""
        return {
            (order.move.model, upstream)
            for upstream, member in self.members.items()
            for order in member.orders.values()
            if not order.done
        }

    def all_reported(self, epoch: Epoch) -> bool:
        """Return whether every listed upstream has reported in this epoch."""
        return all(member.has_reported(epoch) for member in self.members.values())

    def targets(
        self, epoch: Epoch, needs: Mapping[Model, ModelRequirement], now: float
    ) -> list[PlacementTarget]:
        """Return the upstreams that are known to live, or were a moment ago."""
        targets = []
        for upstream, member in self.members.items():
            inventory = member.inventory
            if inventory is None or not member.has_reported(epoch):
                continue
            unresponsive = member.link is None or not member.reported_on_link
            if unresponsive and now - member.received_at > LINK_LOSS_GRACE_S:
                continue
            targets.append(_target(upstream, member, inventory, needs, unresponsive))
        return targets

    def demand(self, epoch: Epoch) -> dict[Model, float]:
        """Return the tokens a second asked for by model, over all upstreams."""
        total: dict[Model, float] = {}
        for member in self.members.values():
            if member.inventory is None or not member.has_reported(epoch):
                continue
            for status in member.inventory.copies:
                name = status.copy.name
                total[name] = total.get(name, 0.0) + status.demand
        return total


def _target(
    upstream: Upstream,
    member: FleetMember,
    inventory: Inventory,
    needs: Mapping[Model, ModelRequirement],
    unresponsive: bool,
) -> PlacementTarget:
    copies: dict[Model, PlacedCopy] = {}
    stale: dict[Model, PlacedCopy] = {}
    free = inventory.free_gib
    for status in inventory.copies:
        phase = COPY_PHASES.get(status.state)
        if phase is None:
            continue
        if unresponsive and phase is CopyPhase.SERVING:
            # It may serve or be gone: it counts as a copy, so that a sidecar's
            # restart moves nothing, but no other copy is unloaded for its sake.
            phase = CopyPhase.LOADING
        name, rev = status.copy.name, status.copy.revision
        need = needs.get(name)
        listed = need is None or need.revision == rev
        (copies if listed else stale)[name] = PlacedCopy(phase, status.memory_gib, rev)
    for order in member.orders.values():
        free -= _apply_order(order, copies, stale)
    return PlacementTarget(
        upstream=upstream,
        zone=inventory.zone,
        capacity=inventory.capacity_gib,
        free=max(0.0, free),
        accepting=inventory.accepts_loads and not unresponsive,
        draining=inventory.draining or member.info.draining,
        copies=copies,
        stale=stale,
    )


def _apply_order(
    order: PendingOrder, copies: dict[Model, PlacedCopy], stale: dict[Model, PlacedCopy]
) -> float:
    """Enter an order that the holdings may not show yet; return the memory taken."""
    move = order.move
    if not move.is_load:
        for group in (copies, stale):
            placed = group.get(move.model)
            if placed is not None and placed.revision == move.revision:
                unloading = PlacedCopy(
                    CopyPhase.UNLOADING, placed.memory, placed.revision
                )
                group[move.model] = unloading
        return 0.0
    if move.model in copies:
        return 0.0
    copies[move.model] = PlacedCopy(CopyPhase.LOADING, order.memory, move.revision)
    return order.memory
