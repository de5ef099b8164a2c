"""Rate limiter of one entry: runs the account state machines with threads and I/O."""

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final, Protocol

from returns.result import Failure as Err
from returns.result import Result, Success

from ..catalog.model import EMPTY, Catalog, PlanEntry
from ..ids import Account, Tokens, Vm, new_loan_id
from ..observe.logs import log
from ..verdict import ErrorCode, Failure
from .account import AccountLimiter
from .actions import Action, Admit, Send, Ticket
from .messages import (
    Borrow,
    Lend,
    Message,
    PoolReply,
    PoolRequest,
    PoolReturn,
    Queued,
    Refund,
    ShareRecordRequest,
    ShareRecordUpdate,
)
from .record import NO_PARTS, ShareRecord, from_spec

TICK_S: Final = 1.0
"""Maximum interval between periodic updates of an account."""
GRACE_S: Final = 1.0
"""Extra wait after the timeout of a request, before a missing decision is a failure."""
NOT_REQUESTED: Final = 0.0
"""Request time of an unsolicited record update, which confirms no share."""
MESSAGE_KINDS: Final = (
    Borrow,
    Queued,
    Lend,
    Refund,
    PoolRequest,
    PoolReply,
    PoolReturn,
)


def boot_time() -> float:
    """Return the seconds since boot, including time in suspension.

    With a clock that stops during suspension, a resumed VM would not see that the
    lease of a share has expired, and two VMs would spend the same share.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PeerLinks(Protocol):
    """Links to the other entries, as used by the limiter."""

    def send(self, vm: Vm, msg: Any) -> bool:
        """Send a message; return False if no link to the VM is open."""

    def on(self, kind: type[Any], handler: Callable[[Vm, Any], None]) -> None:
        """Register ``handler`` for all messages of type ``kind``."""


@dataclass(frozen=True)
class Reservation:
    """Tokens reserved for one request of an account."""

    account: Account
    tokens: Tokens
    ticket: Ticket
    lender: Vm
    generation: int


NO_RESERVATION: Final = Reservation(Account(""), Tokens(0.0), Ticket(-1), Vm(""), 0)
"""Placeholder for a request without reserved tokens."""


class _Decision:
    """Decision on a request, for which the thread of the request waits."""

    def __init__(self) -> None:
        self.done = threading.Event()
        self.action: Action | None = None


class Limiter:
    """Rate limiter of all accounts, coordinated with the other entries."""

    def __init__(
        self, vm: Vm, links: PeerLinks, clock: Callable[[], float] = boot_time
    ) -> None:
        self.vm = vm
        self._links = links
        self._clock = clock
        self._catalog = EMPTY
        self._accounts: dict[Account, AccountLimiter] = {}
        self._decisions: dict[Ticket, _Decision] = {}
        self._last_ticket = 0
        self._changed = threading.Condition()
        self._stopping = False
        for kind in MESSAGE_KINDS:
            links.on(kind, self._on_message)
        links.on(ShareRecordRequest, self._on_record_request)
        links.on(ShareRecordUpdate, self._on_record_update)
        self._thread = threading.Thread(target=self._run, name="limits", daemon=True)

    def start(self) -> None:
        """Start the thread that updates the accounts periodically."""
        self._thread.start()

    def close(self) -> None:
        """Stop the periodic updates and refuse all waiting requests."""
        with self._changed:
            self._stopping = True
            for decision in self._decisions.values():
                decision.done.set()
            self._changed.notify_all()

    # -- requests --------------------------------------------------------------

    def reserve(
        self, account: Account, cost: Tokens, timeout_s: float
    ) -> Result[Reservation, Failure]:
        """Reserve tokens; wait while they can be available within ``timeout_s``."""
        plan = self._catalog.plan_of(account)
        if plan is None:
            return Err(Failure(ErrorCode.NOT_PERMITTED, "the account has no plan"))
        decision = _Decision()
        with self._changed:
            self._last_ticket += 1
            ticket = Ticket(self._last_ticket)
            self._decisions[ticket] = decision
            limiter = self._account(account, plan)
            sends = self._wake(limiter.reserve(ticket, cost, timeout_s, self._clock()))
            self._changed.notify_all()
        self._send(account, sends)
        decision.done.wait(timeout_s + GRACE_S)
        with self._changed:
            del self._decisions[ticket]
        action = decision.action
        if isinstance(action, Admit):
            grant = Reservation(account, cost, ticket, action.lender, action.generation)
            return Success(grant)
        return Err(_refusal(action, cost, plan))

    def settle(self, reservation: Reservation, used: Tokens) -> None:
        """Refund the unused tokens of a reservation."""
        with self._changed:
            limiter = self._accounts[reservation.account]
            actions = limiter.settle(reservation.ticket, used, self._clock())
            sends = self._wake(actions)
        self._send(reservation.account, sends)

    # -- configuration and records ---------------------------------------------

    def update(self, catalog: Catalog) -> None:
        """Apply the plans of a new catalog, also to waiting requests."""
        self._catalog = catalog
        with self._changed:
            accounts = list(self._accounts.items())
        for account, _limiter in accounts:
            plan = catalog.plan_of(account)
            if plan is not None:
                self.apply(account, _plan_setter(plan))

    def accounts(self) -> tuple[Account, ...]:
        """Return the accounts of the current catalog."""
        return tuple(self._catalog.accounts)

    def record(self, account: Account) -> ShareRecord:
        """Return the newest share record received for an account."""
        with self._changed:
            limiter = self._accounts.get(account)
            return NO_PARTS if limiter is None else limiter.share.record

    def request_records(self, vms: list[Vm]) -> bool:
        """Request missing and unconfirmed records; return whether none are needed."""
        needed = [a for a in self.accounts() if self._needs_record(a)]
        for account in needed:
            for vm in vms:
                self._links.send(vm, ShareRecordRequest(account, self._clock()))
        return not needed

    def _needs_record(self, account: Account) -> bool:
        with self._changed:
            limiter = self._accounts.get(account)
            if limiter is None:
                return True
            return limiter.share.unconfirmed or limiter.share.record.generation == 0

    def broadcast_record(self, account: Account, vms: Iterable[Vm]) -> None:
        """Send a newly written record to peers.

        Peers poll the store every few seconds. If the store becomes unavailable
        before the next poll, a new holder could not use its share during the outage.
        """
        record = self.record(account)
        update = ShareRecordUpdate(
            account, NOT_REQUESTED, record.generation, dict(record.parts)
        )
        for vm in vms:
            self._links.send(vm, update)

    def parts(self, account: Account) -> int:
        """Return the parts of an account in the own share of this VM."""
        with self._changed:
            limiter = self._accounts.get(account)
            return 0 if limiter is None else limiter.share.parts

    def apply(
        self,
        account: Account,
        step: Callable[[AccountLimiter, float], list[Action]],
    ) -> None:
        """Run one step of an account's state machine and perform its actions."""
        plan = self._catalog.plan_of(account)
        if plan is None:
            return
        with self._changed:
            limiter = self._account(account, plan)
            sends = self._wake(step(limiter, self._clock()))
            self._changed.notify_all()
        self._send(account, sends)

    def _account(self, account: Account, plan: PlanEntry) -> AccountLimiter:
        limiter = self._accounts.get(account)
        if limiter is None:
            now = self._clock()
            limiter = AccountLimiter(self.vm, account, plan, now, new_loan_id)
            self._accounts[account] = limiter
        return limiter

    # -- messages and time -----------------------------------------------------

    def _on_message(self, vm: Vm, msg: Message) -> None:
        self.apply(msg.account, lambda limiter, now: limiter.receive(vm, msg, now))

    def _on_record_request(self, vm: Vm, msg: ShareRecordRequest) -> None:
        record = self.record(msg.account)
        if record.generation > 0:
            parts = dict(record.parts)
            reply = ShareRecordUpdate(msg.account, msg.as_of, record.generation, parts)
            self._links.send(vm, reply)

    def _on_record_update(self, vm: Vm, msg: ShareRecordUpdate) -> None:
        result = from_spec({"generation": msg.generation, "parts": msg.parts})
        if not isinstance(result, Success):
            log("share_record_broken", peer_vm=vm, error=result.failure())
            return
        record = result.unwrap()
        self.apply(msg.account, lambda lim, now: lim.confirm(record, msg.as_of, now))

    def _wake(self, actions: list[Action]) -> list[Send]:
        # Wakes the threads of decided requests and returns the messages to send.
        sends: list[Send] = []
        for action in actions:
            if isinstance(action, Send):
                sends.append(action)
                continue
            decision = self._decisions.get(action.ticket)
            if decision is not None:
                decision.action = action
                decision.done.set()
        return sends

    def _send(self, account: Account, sends: list[Send]) -> None:
        # Send without the lock: a slow peer must not block the requests of all
        # accounts.
        for send in sends:
            if not self._links.send(send.vm, send.msg):
                self.apply(account, _disconnect_step(send.vm))

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait(self._time_to_tick())
                if self._stopping:
                    return
                accounts = list(self._accounts)
            for account in accounts:
                self.tick_or_log(account)

    def tick_or_log(self, account: Account) -> None:
        """Update one account; log an error, so that the others are still updated."""
        try:
            self._tick(account)
        except Exception as exc:
            log("limits_tick_failed", account=account, error=repr(exc))

    def _tick(self, account: Account) -> None:
        with self._changed:
            limiter = self._accounts[account]
            sends = self._wake(limiter.tick(self._clock()))
            holders = list(limiter.share.record.parts)
            unconfirmed = limiter.share.unconfirmed
        self._send(account, sends)
        if unconfirmed:
            log("share_in_doubt", account=account)
            for vm in holders:
                if vm != self.vm:
                    self._links.send(vm, ShareRecordRequest(account, self._clock()))

    def _time_to_tick(self) -> float:
        now = self._clock()
        wakes = [limiter.next_wake() for limiter in self._accounts.values()]
        due = min((wake for wake in wakes if wake is not None), default=now + TICK_S)
        return min(TICK_S, max(0.0, due - now))


def _plan_setter(
    plan: PlanEntry,
) -> Callable[[AccountLimiter, float], list[Action]]:
    return lambda limiter, now: limiter.set_plan(plan, now)


def _disconnect_step(vm: Vm) -> Callable[[AccountLimiter, float], list[Action]]:
    return lambda limiter, now: limiter.peer_disconnected(vm, now)


def _refusal(action: Action | None, cost: Tokens, plan: PlanEntry) -> Failure:
    if action is None or isinstance(action, Admit | Send):
        return Failure(
            ErrorCode.RATE_LIMITED, "no tokens could be taken", retry_after=GRACE_S
        )
    if action.retry_after is None:
        reason = f"the request costs {cost:.0f} tokens, the burst is {plan.burst:.0f}"
        return Failure(ErrorCode.RATE_LIMITED, reason)
    reason = "the account's rate is used up"
    return Failure(ErrorCode.RATE_LIMITED, reason, retry_after=action.retry_after)
