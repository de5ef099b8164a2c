"""The planner's actor: owns the view of the fleet and sends orders to sidecars."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any, Final

import pykka

from ..catalog.model import EMPTY, Catalog
from ..decide.placement import Move, Reason
from ..entry.sidecar_info import SidecarInfo
from ..ids import Adapter, Epoch, Incarnation, Model, Upstream
from ..observe.logs import log
from ..wire.link import Link
from ..wire.messages import Order, OrderDone, Welcome
from ..wire.placement import Action, Inventory, OrderError
from .fleet import FleetView, PendingOrder
from .lease import LeaseKeeper
from .links import Dialer, LinkLost, LinkOpened, SidecarMessage
from .round import RoundPlanner

TRANSIENT_ERRORS: Final = frozenset({OrderError.STARTING.value, OrderError.BUSY.value})
"""Errors that clear without a change of the plan; no backoff is needed."""


@dataclass(frozen=True)
class Tick:
    """Triggers a planning round."""


@dataclass(frozen=True)
class SidecarsListed:
    """The list of the sidecars of engines in the store."""

    infos: dict[Upstream, SidecarInfo]


@dataclass(frozen=True)
class CatalogRead:
    """The catalog was read from the store."""

    catalog: Catalog


@dataclass(frozen=True)
class PlanningConfig:
    """Settings of the actor.

    ``settle_s`` is the time that a new leader waits for missing inventories.
    """

    settle_s: float


class PlanningActor(pykka.ThreadingActor):
    """Plans and sends orders while this process may act under the lease."""

    def __init__(
        self,
        lease: LeaseKeeper,
        planner: RoundPlanner,
        config: PlanningConfig,
        incarnation: Incarnation,
        clock: Callable[[], float],
    ) -> None:
        super().__init__()
        self._lease = lease
        self._planner = planner
        self._config = config
        self._incarnation = incarnation
        self._clock = clock
        self._dialer: Dialer | None = None
        self._catalog = EMPTY
        self._epoch: Epoch | None = None
        self._epoch_since = 0.0
        self._fleet = FleetView()
        self._order_numbers = itertools.count(1)

    def on_receive(self, message: Any) -> None:
        """Handle one message of the mailbox."""
        self.handle(message)

    @singledispatchmethod
    def handle(self, message: Any) -> None:
        """Dispatch a message by its type."""
        log("message_unexpected", kind=type(message).__name__)

    @handle.register
    def _(self, dialer: Dialer) -> None:
        self._dialer = dialer

    @handle.register
    def _(self, msg: CatalogRead) -> None:
        if msg.catalog.version > self._catalog.version:
            self._catalog = msg.catalog

    @handle.register
    def _(self, msg: SidecarsListed) -> None:
        for link in self._fleet.set_sidecars(msg.infos):
            link.close()

    @handle.register
    def _(self, msg: LinkOpened) -> None:
        if self._own_epoch() is None or not self._fleet.attach(msg.upstream, msg.link):
            msg.link.close()
            return
        if self._epoch is not None and not self._send_fence(msg.link, self._epoch):
            # The link closed before it was attached, so its LinkLost has already been
            # handled. Without this the upstream would not be dialed again and would
            # count as dead until the planner restarts.
            self._fleet.detach(msg.upstream, msg.link)

    @handle.register
    def _(self, msg: LinkLost) -> None:
        self._fleet.detach(msg.upstream, msg.link)

    @handle.register
    def _(self, msg: SidecarMessage) -> None:
        self._handle_sidecar(msg.msg, msg.upstream)

    @handle.register
    def _(self, _msg: Tick) -> None:
        epoch = self._own_epoch()
        if epoch != self._epoch:
            self._change_epoch(epoch)
        if epoch is None:
            return
        self._dial()
        self._plan(epoch)

    @singledispatchmethod
    def _handle_sidecar(self, msg: Any, upstream: Upstream) -> None:
        log("message_unexpected", upstream=upstream, kind=type(msg).__name__)

    @_handle_sidecar.register
    def _(self, msg: Welcome, upstream: Upstream) -> None:
        log("sidecar_reached", upstream=upstream)

    @_handle_sidecar.register
    def _(self, msg: Inventory, upstream: Upstream) -> None:
        if msg.upstream != upstream:
            log("inventory_mismatch", upstream=upstream, named=msg.upstream)
            return
        if self._epoch is not None and msg.epoch > self._epoch:
            self._lease.observe_epoch(msg.epoch)
        self._fleet.receive_inventory(msg, self._clock())

    @_handle_sidecar.register
    def _(self, msg: OrderDone, upstream: Upstream) -> None:
        order = self._fleet.finish_order(upstream, msg)
        if order is None:
            return
        target = (order.move.model, upstream)
        if not msg.error:
            self._planner.backoff.record_success(target)
        elif msg.error not in TRANSIENT_ERRORS:
            self._planner.backoff.record_failure(target, self._clock())
        log(
            "order_ended", order=msg.order_id, upstream=upstream, error=msg.error or "-"
        )

    def _own_epoch(self) -> Epoch | None:
        return self._lease.epoch() or self._lease.caretaker_epoch()

    def _may_send(self, move: Move, epoch: Epoch) -> bool:
        if self._lease.epoch() == epoch:
            return True
        is_rescue = move.is_load and move.reason is Reason.UNREACHABLE
        return is_rescue and self._lease.caretaker_epoch() == epoch

    def _change_epoch(self, epoch: Epoch | None) -> None:
        log("epoch_changed", old=self._epoch, new=epoch)
        self._epoch = epoch
        self._epoch_since = self._clock()
        for member in self._fleet.members.values():
            member.orders.clear()
            if member.link is None:
                continue
            if epoch is None:
                member.link.close()
            else:
                self._send_fence(member.link, epoch)

    def _dial(self) -> None:
        if self._dialer is None:
            return
        for member in self._fleet.members.values():
            if member.link is None:
                self._dialer.dial(member.info)

    def _send_fence(self, link: Link, epoch: Epoch) -> bool:
        # An order of the previous leader may change the copies of a sidecar until the
        # sidecar refuses older epochs. Only inventories reported after that count.
        order_id = self._new_order_id(epoch)
        order = Order(order_id, epoch, Action.FENCE.value, Model(""), None, "", 0.0)
        return link.send(order)

    def _plan(self, epoch: Epoch) -> None:
        now = self._clock()
        settled = now - self._epoch_since >= self._config.settle_s
        if self._catalog.version == 0 or not self._fleet.members:
            return
        if not (settled or self._fleet.all_reported(epoch)):
            return
        needs = self._planner.needs(self._catalog, self._fleet.demand(epoch), now)
        targets = self._fleet.targets(epoch, needs, now)
        for move in self._planner.moves(needs, targets, self._fleet.pending(), now):
            self._send_order(move, epoch)

    def _send_order(self, move: Move, epoch: Epoch) -> None:
        member = self._fleet.members[move.upstream]
        entry = self._catalog.models.get(move.model)
        memory = 0.0 if entry is None else entry.memory + entry.kv_memory
        base, adapter = self._copy_id(move, entry is None)
        if member.link is None or base is None:
            return
        # The process may have been paused since the round began. Its orders would then
        # change copies on which another planner relies.
        if not self._may_send(move, epoch):
            return
        action = Action.LOAD if move.is_load else Action.UNLOAD
        order_id = self._new_order_id(epoch)
        msg = Order(order_id, epoch, action.value, base, adapter, move.revision, memory)
        member.orders[order_id] = PendingOrder(move, memory)
        member.link.send(msg)
        log(
            "order_sent",
            order=order_id,
            action=action.value,
            model=move.model,
            upstream=move.upstream,
            reason=move.reason.value,
        )

    def _copy_id(self, move: Move, absent: bool) -> tuple[Model | None, Adapter | None]:
        """Return the base model and adapter that identify the copy at the sidecar.

        For a model ``absent`` from the catalog they are read from the inventory.
        """
        if not absent:
            base = self._catalog.models[move.model].base
            if base is None:
                return move.model, None
            return base, Adapter(move.model)
        inventory = self._fleet.members[move.upstream].inventory
        for status in () if inventory is None else inventory.copies:
            if status.copy.name == move.model:
                return status.copy.model, status.copy.adapter
        return None, None

    def _new_order_id(self, epoch: Epoch) -> str:
        return f"{self._incarnation}-{epoch}-{next(self._order_numbers)}"
