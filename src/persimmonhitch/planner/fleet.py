"""The planner's view of the upstreams, built from the reports of their sidecars."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from ..decide.pacing import LoadTarget
from ..decide.placement import Move
from ..decide.targets import CopyPhase, ModelRequirement, PlacedCopy, PlacementTarget
from ..entry.sidecar_info import SidecarInfo
from ..ids import Epoch, Model, Upstream
from ..wire.link import Link
from ..wire.messages import OrderDone
from ..wire.placement import CopyState, Inventory

LINK_LOSS_GRACE_S: Final = 10.0
"""Time after the loss of a link for which the copies of an upstream still count.

Longer than a restart of a sidecar, which would otherwise cause a load of each of its
models elsewhere.
"""
COPY_PHASES: Final = {
    CopyState.LOADING: CopyPhase.LOADING,
    CopyState.LOADED: CopyPhase.SERVING,
    CopyState.UNLOADING: CopyPhase.UNLOADING,
}


@dataclass
class PendingOrder:
    """An order that was sent and that the upstream's inventory may not show yet."""

    move: Move
    memory: float
    done: bool = False


@dataclass
class FleetMember:
    """One upstream, with its link, its last inventory and its pending orders."""

    info: SidecarInfo
    link: Link | None = None
    inventory: Inventory | None = None
    received_at: float = 0.0
    reported_on_link: bool = False
    """The inventory was received over the current link, not over an earlier one."""
    orders: dict[str, PendingOrder] = field(default_factory=dict)

    def has_reported(self, epoch: Epoch) -> bool:
        """Return whether the inventory was reported under this epoch."""
        return self.inventory is not None and self.inventory.epoch == epoch


class FleetView:
    """All upstreams listed in the store, with the reports of their sidecars."""

    def __init__(self) -> None:
        self.members: dict[Upstream, FleetMember] = {}

    def set_sidecars(self, infos: Mapping[Upstream, SidecarInfo]) -> list[Link]:
        """Apply the list of the store and return the links of removed upstreams."""
        removed = [u for u in self.members if u not in infos]
        members = [self.members.pop(upstream) for upstream in removed]
        for upstream, info in infos.items():
            if upstream in self.members:
                self.members[upstream].info = info
            else:
                self.members[upstream] = FleetMember(info)
        return [member.link for member in members if member.link is not None]

    def attach(self, upstream: Upstream, link: Link) -> bool:
        """Attach a new link; return False if the upstream is unlisted or has a link."""
        member = self.members.get(upstream)
        if member is None or member.link is not None:
            return False
        member.link = link
        member.reported_on_link = False
        return True

    def detach(self, upstream: Upstream, link: Link) -> None:
        """Detach a closed link and drop its orders; inventories show their effect."""
        member = self.members.get(upstream)
        if member is not None and member.link is link:
            member.link = None
            member.orders.clear()

    def receive_inventory(self, msg: Inventory, now: float) -> None:
        """Store the inventory of an upstream and drop the orders that have ended."""
        member = self.members.get(msg.upstream)
        if member is None:
            return
        member.inventory = msg
        member.received_at = now
        member.reported_on_link = True
        member.orders = {k: o for k, o in member.orders.items() if not o.done}

    def finish_order(self, upstream: Upstream, msg: OrderDone) -> PendingOrder | None:
        """Mark an order as ended and return it, or None if it is unknown."""
        member = self.members.get(upstream)
        order = None if member is None else member.orders.get(msg.order_id)
        if order is not None:
            order.done = True
        return order

    def pending(self) -> set[LoadTarget]:
        """Return the model and upstream of each order that has not ended yet."""
        return {
            (order.move.model, upstream)
            for upstream, member in self.members.items()
            for order in member.orders.values()
            if not order.done
        }

    def all_reported(self, epoch: Epoch) -> bool:
        """Return whether every listed upstream has reported under this epoch."""
        return all(member.has_reported(epoch) for member in self.members.values())

    def targets(
        self, epoch: Epoch, needs: Mapping[Model, ModelRequirement], now: float
    ) -> list[PlacementTarget]:
        """Return the upstreams that are alive or lost their link only recently."""
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
        """Return the demand per model over all upstreams, in tokens per second."""
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
            # The copy may or may not still be serving. It counts as loading, so that
            # a restart of the sidecar causes no move and no other copy is unloaded
            # in reliance on this one.
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
    """Apply a pending order to the copies and return the GiB that it reserves."""
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
