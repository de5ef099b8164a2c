"""Rate limit of one account on one VM: request queue, token loans and share pool.

Load pattern: requests of one account arrive at any entry, and for a while faster than
its tokens are refilled. Each request is admitted, waits while tokens can arrive before
its deadline, or is refused at once when they cannot. The state machine does no I/O:
every method receives the current time and returns the actions to perform. The limiter
and the simulation both run this state machine.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from ..catalog.model import PlanEntry
from ..ids import Account, LoanId, Tokens, Vm
from . import lending
from .actions import Action, Admit, Refuse, Send, Ticket
from .lending import HolderView
from .messages import (
    Borrow,
    Lend,
    Message,
    PoolReply,
    PoolRequest,
    PoolReturn,
    Queued,
    Refund,
)
from .pending import Charge, Credit, GrantedLoan, PendingRequest, Waiter
from .record import PARTS, ShareRecord
from .share import DRIFT_FACTOR, LOAN_TTL_S, POOL_TTL_S, Lease, Share

MAX_GRANTED_LOANS: Final = 20_000
"""Granted loans that can be refunded. The refund of an older loan is dropped, which
loses tokens but never credits them twice."""
MIN_TTL_S: Final = 0.1
"""Minimum lifetime of a loan; covers a pause of the interpreter."""
TTL_ROUND_TRIPS: Final = 6.0
"""Lifetime of a loan in round trips. The lender cannot refill tokens on loan, so a long
lifetime makes the burst smaller (docs/notes/rate-limits.md)."""
EPSILON: Final = 1e-6
"""Tolerance in tokens and seconds, for rounding errors."""


class AccountLimiter:
    """State machine for the rate limit of one account on one VM."""

    def __init__(
        self,
        vm: Vm,
        account: Account,
        plan: PlanEntry,
        now: float,
        new_loan: Callable[[], LoanId],
    ) -> None:
        self.vm = vm
        self.account = account
        self.share = Share(vm, plan, now)
        self.demand: dict[Vm, float] = {}
        self._new_loan = new_loan
        self._views: dict[Vm, HolderView] = {}
        self._queue: list[Waiter] = []
        self._credits: list[Credit] = []
        self._pending: dict[LoanId, PendingRequest] = {}
        self._charges: dict[Ticket, Charge] = {}
        self._granted: OrderedDict[LoanId, GrantedLoan] = OrderedDict()
        self._round_trip_s = LOAN_TTL_S
        self._active_until = now
        self._retry_at: float | None = None

    # -- interface of the limiter ----------------------------------------------

    def reserve(
        self, ticket: Ticket, tokens: Tokens, timeout_s: float, now: float
    ) -> list[Action]:
        """Queue a request; ``Admit`` or ``Refuse`` follows within ``timeout_s``."""
        if tokens > self.share.plan.burst:
            return [Refuse(ticket, None)]
        self._active_until = now + lending.POOL_IDLE_S
        self._queue.append(Waiter(tokens, now + timeout_s, now, ticket))
        return self.tick(now)

    def settle(self, ticket: Ticket, used: Tokens, now: float) -> list[Action]:
        """Refund the tokens that an admitted request did not use."""
        charge = self._charges.pop(ticket, None)
        if charge is None:
            return []
        unused = max(0.0, charge.total - used)
        self.share.advance(now)
        if self.share.in_use > 0:
            self.share.bucket.credit(unused, charge.charged_at, now)
            return self.tick(now)
        actions: list[Action] = []
        for lender, loan, tokens in charge.borrowed:
            part = min(unused, tokens)
            unused -= part
            if part > EPSILON:
                actions.append(Send(lender, Refund(self.account, loan, Tokens(part))))
        return actions

    def receive(self, vm: Vm, msg: Message, now: float) -> list[Action]:
        """Process a message from another entry."""
        self.share.advance(now)
        match msg:
            case Borrow():
                return self._on_borrow(vm, msg, now)
            case Queued():
                pending = self._pending.get(msg.loan)
                if pending is not None and pending.vm == vm:
                    pending.queued = True
                    self._mark_responsive(vm)
                return []
            case Lend():
                return self._on_lend(vm, msg, now)
            case Refund():
                self._on_refund(msg, now)
            case PoolRequest():
                return self._on_pool_request(vm, msg, now)
            case PoolReply():
                self._on_pool_reply(vm, msg, now)
            case PoolReturn():
                self.share.end_lease(msg.lease_id, msg.tokens, now)
        return self.tick(now)

    def initialize(self, record: ShareRecord, now: float) -> list[Action]:
        """Apply the first record of an account and start with a full bucket."""
        self.share.initialize(record, now)
        return self.adopt(record, now)

    def adopt(self, record: ShareRecord, now: float) -> list[Action]:
        """Apply a share record unless it is older than the current one."""
        self.share.advance(now)
        if self.share.adopt(record, now):
            self._update_views()
        return self.tick(now)

    def confirm(self, record: ShareRecord, as_of: float, now: float) -> list[Action]:
        """Apply a record requested at ``as_of``, which may confirm the share."""
        self.share.advance(now)
        if self.share.confirm(record, as_of, now):
            self._update_views()
        return self.tick(now)

    def set_plan(self, plan: PlanEntry, now: float) -> list[Action]:
        """Apply a changed plan, also to waiting requests."""
        self.share.advance(now)
        self.share.set_plan(plan, now)
        return self.tick(now)

    def peer_disconnected(self, vm: Vm, now: float) -> list[Action]:
        """Stop waiting for replies of a peer whose connection is lost."""
        for pending in self._pending.values():
            if pending.vm == vm:
                pending.sent_at, pending.queued = float("-inf"), False
        view = self._views.get(vm)
        if view is not None and view.up:
            view.mark_unresponsive(now)
        return self.tick(now)

    def peer_connected(self, vm: Vm, now: float) -> list[Action]:
        """Resume borrowing from a peer whose connection is reestablished."""
        self._mark_responsive(vm)
        return self.tick(now)

    def stop_pooling(self, now: float) -> list[Action]:
        """Give back all pooled shares because this process is stopping."""
        self.share.advance(now)
        return self._return_pool(now)

    def tick(self, now: float) -> list[Action]:
        """Perform all due steps: expire, admit, refuse, borrow, pool and probe."""
        usable = self.share.advance(now)
        self._retry_at = None
        self._expire_pending(now)
        actions = self._expire_credits(now)
        if usable:
            actions += self._serve_queue(now)
        actions += self._refuse_expired(now)
        if not usable:
            return actions
        if self._queue:
            actions += self._obtain_tokens(now)
        return actions + self._maintain_pool(now) + self._probe_holders(now)

    def next_wake(self) -> float | None:
        """Return the time of the next due ``tick``, or None if nothing is due."""
        due_times = [waiter.deadline for waiter in self._queue]
        if self.share.unconfirmed:
            return min(due_times, default=None)
        due_times += [credit.expires_at for credit in self._credits]
        due_times += [
            pending.sent_at + lending.ANSWER_TIMEOUT_S
            for pending in self._pending.values()
            if not pending.queued
        ]
        due_times += [self._renewal_time(lease) for lease in self.share.pooled.values()]
        if self.share.lent is not None and self._queue:
            due_times.append(self.share.lent.expires_at)
        if self._retry_at is not None:
            due_times.append(self._retry_at)
        return min(due_times, default=None)

    def _renewal_time(self, lease: Lease) -> float:
        view = self._views.get(lease.vm)
        due = lease.expires_at - lending.RENEW_BEFORE_S
        if view is None or view.pending or not view.up or view.pool_retry_at > due:
            return lease.expires_at
        return due

    def queue_length(self) -> int:
        """Return the number of requests that wait at this VM."""
        return len(self._queue)

    # -- lender ----------------------------------------------------------------

    def _on_borrow(self, vm: Vm, msg: Borrow, now: float) -> list[Action]:
        # A duplicate message must not lend the tokens a second time.
        if msg.loan in self._granted or any(w.loan == msg.loan for w in self._queue):
            return []
        deadline = now + msg.timeout_s
        waiter = Waiter(
            msg.tokens, deadline, now, peer=vm, loan=msg.loan, ttl_s=msg.ttl_s
        )
        if msg.tokens <= 0 or self.share.unconfirmed or self.share.parts == 0:
            return [self._refusal(waiter, 0.0, now)]
        if self._pooling_holder() is not None and not msg.force:
            return [self._refusal(waiter, 0.0, now)]
        self._active_until = now + lending.POOL_IDLE_S
        self._queue.append(waiter)
        actions = self.tick(now)
        if waiter in self._queue:
            actions.append(Send(vm, Queued(self.account, msg.loan)))
        return actions

    def _pooling_holder(self) -> Vm | None:
        # While the pooling holder is unresponsive, requests wait at this VM: it can
        # serve them from its own share as soon as the lease expires.
        lease = self.share.lent
        if lease is None:
            return None
        view = self._views.get(lease.vm)
        return lease.vm if view is not None and view.up else None

    def _refusal(self, waiter: Waiter, retry_after: float, now: float) -> Action:
        return self._answer(waiter, 0.0, retry_after, now)

    def _answer(
        self, waiter: Waiter, tokens: float, retry_after: float, now: float
    ) -> Action:
        assert waiter.peer is not None
        generation = self.share.record.generation
        msg = Lend(
            self.account,
            waiter.loan,
            Tokens(tokens),
            now - waiter.arrived_at,
            retry_after,
            self._pooling_holder(),
            generation,
        )
        return Send(waiter.peer, msg)

    def _lend(self, waiter: Waiter, now: float) -> Action | None:
        # Debit the tokens before sending: a lost message then loses tokens instead
        # of duplicating them.
        expires_at = now + min(waiter.ttl_s, LOAN_TTL_S) * DRIFT_FACTOR
        loan = self.share.bucket.lend(waiter.tokens, now, expires_at)
        if loan is None:
            return None
        self._granted[waiter.loan] = GrantedLoan(loan, waiter.tokens)
        if len(self._granted) > MAX_GRANTED_LOANS:
            self._granted.popitem(last=False)
        return self._answer(waiter, waiter.tokens, 0.0, now)

    def _on_refund(self, msg: Refund, now: float) -> None:
        granted = self._granted.pop(msg.loan, None)
        if granted is not None:
            self.share.bucket.repay(granted.loan, min(granted.tokens, msg.tokens), now)

    def _on_pool_request(self, vm: Vm, msg: PoolRequest, now: float) -> list[Action]:
        share = self.share
        if msg.lease_id is not None:
            # A waiting peer cannot reach the home holder. Unless the lease ends, this
            # VM has no tokens to lend and the peer is refused even at a low rate.
            peer_waiting = any(w.peer is not None for w in self._queue)
            ok = not peer_waiting and share.extend(vm, msg.lease_id, now)
            return [self._pool_reply(vm, msg.request_id, msg.lease_id, 0.0, ok, now)]
        lease_id = self._new_loan()
        tokens = None
        if lending.home_holder(share.record.holders(), self.vm, self._views) != self.vm:
            tokens = share.lease_to(vm, lease_id, now)
        answer = self._pool_reply(
            vm, msg.request_id, lease_id, tokens or 0.0, tokens is not None, now
        )
        return [answer, *self.tick(now)]

    def _pool_reply(
        self, vm: Vm, req: LoanId, lease: LoanId, tokens: float, ok: bool, now: float
    ) -> Action:
        lent = self.share.lent
        parts = lent.parts if ok and lent is not None else 0
        ttl_s = POOL_TTL_S
        if not ok and lent is not None:
            ttl_s = max(0.0, lent.expires_at - now)
        generation = self.share.record.generation
        msg = PoolReply(
            self.account, req, lease, parts, Tokens(tokens), ttl_s, generation
        )
        return Send(vm, msg)

    # -- borrower --------------------------------------------------------------

    def _mark_responsive(self, vm: Vm) -> None:
        view = self._views.get(vm)
        if view is not None:
            view.mark_responsive()

    def _pop_pending(self, vm: Vm, loan_id: LoanId) -> PendingRequest | None:
        # Drop an answer after the timeout and a duplicate answer: this loses tokens,
        # whereas accepting the answer could spend the same tokens twice.
        pending = self._pending.get(loan_id)
        if pending is None or pending.vm != vm:
            return None
        del self._pending[loan_id]
        self._mark_responsive(vm)
        view = self._views.get(vm)
        if view is not None:
            view.pending = False
        return pending

    def _on_lend(self, vm: Vm, msg: Lend, now: float) -> list[Action]:
        pending = self._pop_pending(vm, msg.loan)
        if pending is None:
            return []
        waiter = pending.waiter
        if waiter is None:
            return self.tick(now)
        waiter.borrowing = False
        round_trip_s = now - pending.sent_at - msg.queued_s
        self._round_trip_s += (round_trip_s - self._round_trip_s) / 8
        if msg.tokens > 0:
            end = pending.sent_at + msg.queued_s + pending.ttl_s
            self._credits.append(Credit(vm, msg.loan, msg.generation, msg.tokens, end))
        elif waiter in self._queue:
            waiter.holder = msg.pooled_at
            if msg.retry_after > 0:
                self._queue.remove(waiter)
                return [Refuse(waiter.ticket, msg.retry_after), *self.tick(now)]
            if msg.pooled_at is None:
                self._back_off(vm, now)
        return self.tick(now)

    def _back_off(self, vm: Vm, now: float) -> None:
        # The peer is reachable but has no share to lend. An immediate retry would
        # repeat the same exchange without end.
        view = self._views.get(vm)
        if view is not None:
            view.mark_unresponsive(now)

    def _expire_credits(self, now: float) -> list[Action]:
        expired = [credit for credit in self._credits if credit.expires_at <= now]
        self._credits = [credit for credit in self._credits if credit.expires_at > now]
        return [
            Send(c.lender, Refund(self.account, c.loan, Tokens(c.tokens)))
            for c in expired
            if c.tokens > EPSILON
        ]

    def _expire_pending(self, now: float) -> None:
        expired = [
            request_id
            for request_id, pending in self._pending.items()
            if not pending.queued and pending.sent_at + lending.ANSWER_TIMEOUT_S <= now
        ]
        for request_id in expired:
            pending = self._pending.pop(request_id)
            if pending.waiter is not None:
                pending.waiter.borrowing, pending.waiter.holder = False, None
                pending.waiter.force = True
            view = self._views.get(pending.vm)
            if view is None:
                continue
            view.pending = False
            if view.up or view.probe_at <= now:
                view.mark_unresponsive(now)

    # -- queue -----------------------------------------------------------------

    def _available(self) -> float:
        return self.share.bucket.level + sum(c.tokens for c in self._credits)

    def _home_holder(self) -> Vm | None:
        holders = self.share.record.holders()
        return lending.home_holder(holders, self.vm, self._views)

    def _serve_queue(self, now: float) -> list[Action]:
        # The home holder serves strictly in order, otherwise small requests would
        # starve a large one. Other VMs borrow separately for each request.
        actions: list[Action] = []
        in_order = self._home_holder() == self.vm
        for waiter in list(self._queue):
            if waiter.peer is None:
                action = self._admit(waiter, now)
            else:
                action = self._lend(waiter, now)
            if action is None:
                if in_order:
                    break
                continue
            self._queue.remove(waiter)
            consumer = waiter.peer or self.vm
            self.demand[consumer] = self.demand.get(consumer, 0.0) + waiter.tokens
            actions.append(action)
        return actions

    def _admit(self, waiter: Waiter, now: float) -> Action | None:
        if self._available() + EPSILON < waiter.tokens:
            return None
        charge = Charge(waiter.tokens, now)
        lender, generation = self.vm, self.share.record.generation
        remaining = waiter.tokens
        for credit in sorted(self._credits, key=lambda c: c.expires_at):
            part = min(remaining, credit.tokens)
            if part <= 0:
                continue
            credit.tokens -= part
            remaining -= part
            charge.borrowed.append((credit.lender, credit.loan, part))
            lender, generation = credit.lender, credit.generation
        if remaining > 0:
            self.share.bucket.spend(min(remaining, self.share.bucket.level), now)
        self._credits = [c for c in self._credits if c.tokens > EPSILON]
        self._charges[waiter.ticket] = charge
        return Admit(waiter.ticket, lender, generation)

    def _refuse_expired(self, now: float) -> list[Action]:
        expired = [waiter for waiter in self._queue if waiter.deadline <= now]
        rate = self.share.plan.rate
        return [
            self._refuse(waiter, lending.time_to_fill(waiter.tokens, rate), now)
            for waiter in expired
        ]

    def _refuse(self, waiter: Waiter, retry_after: float, now: float) -> Action:
        self._queue.remove(waiter)
        if waiter.peer is not None:
            return self._refusal(waiter, max(retry_after, EPSILON), now)
        return Refuse(waiter.ticket, retry_after)

    # -- borrowing and refusing ------------------------------------------------

    def _obtain_tokens(self, now: float) -> list[Action]:
        if self._home_holder() == self.vm or any(w.peer for w in self._queue):
            return self._refuse_unattainable(now)
        return self._borrow_from_home(now)

    def _borrow_from_home(self, now: float) -> list[Action]:
        if not self.share.record.parts:  # the record is not loaded yet
            return []
        home = self._home_holder()
        if home is None:
            return self._wait_for_probe(now)
        available = self._available()
        actions: list[Action] = []
        for waiter in self._queue:
            shortage = waiter.tokens - available
            available = max(0.0, available - waiter.tokens)
            if shortage > EPSILON and not waiter.borrowing:
                actions.append(self._borrow(waiter, shortage, home, now))
        return actions

    def _wait_for_probe(self, now: float) -> list[Action]:
        # No holder is responsive. Requests whose deadline allows it wait for the next
        # probe; the others are refused with the time until that probe.
        probe_at = min(view.probe_at for view in self._views.values())
        self._retry_at = max(probe_at, now + lending.ANSWER_TIMEOUT_S / 10)
        delay = max(probe_at - now, 0.0) + lending.ANSWER_TIMEOUT_S
        expiring = [w for w in self._queue if w.deadline <= now + delay]
        return [self._refuse(waiter, delay, now) for waiter in expiring]

    def _borrow(self, waiter: Waiter, tokens: float, home: Vm, now: float) -> Action:
        vm, waiter.holder, waiter.borrowing = waiter.holder or home, None, True
        loan, timeout = self._new_loan(), waiter.deadline - now
        ttl = min(LOAN_TTL_S, max(MIN_TTL_S, TTL_ROUND_TRIPS * self._round_trip_s))
        self._pending[loan] = PendingRequest(vm, now, waiter, ttl)
        return Send(
            vm, Borrow(self.account, loan, Tokens(tokens), timeout, ttl, waiter.force)
        )

    def _refuse_unattainable(self, now: float) -> list[Action]:
        share = self.share
        unpooled = {v: w for v, w in self._views.items() if v not in share.pooled}
        max_parts = share.in_use + lending.poolable_parts(unpooled, now)
        if share.lent is not None:
            max_parts += min(share.parts, share.lent.parts)
        fraction = max_parts / PARTS
        rate = share.plan.rate * fraction
        poolable = share.plan.burst * (max_parts - share.in_use) / PARTS
        requests = [(w.tokens, w.deadline - now) for w in self._queue]
        waits = lending.excess_waits(requests, self._available() + poolable, rate)
        pairs = list(zip(list(self._queue), waits, strict=True))
        actions = [
            self._refuse(waiter, seconds, now)
            for waiter, seconds in pairs
            if seconds is not None
        ]
        # A refused request at the head may have blocked requests behind it.
        if actions:
            actions += self._serve_queue(now)
        if self._queue:
            shortage = self._queue[0].tokens - self._available()
            seconds = lending.time_to_fill(shortage, share.bucket.rate)
            if seconds < float("inf"):
                self._retry_at = now + seconds + EPSILON
        return actions

    # -- pool ------------------------------------------------------------------

    def _maintain_pool(self, now: float) -> list[Action]:
        share = self.share
        can_pool = self._home_holder() == self.vm and share.parts > 0
        if share.pooled and (not can_pool or now > self._active_until):
            return self._return_pool(now)
        if not can_pool:
            return []
        is_low = share.bucket.level < lending.POOL_THRESHOLD * share.bucket.cap
        wanted = bool(share.pooled) or is_low or bool(self._queue)
        if not wanted or now > self._active_until:
            return []
        actions: list[Action] = []
        for vm, view in self._views.items():
            if not view.up or view.pending or view.pool_retry_at > now:
                continue
            lease = share.pooled.get(vm)
            if lease is None or self._renewal_time(lease) <= now:
                lease_id = None if lease is None else lease.id
                actions.append(self._request_pool(vm, view, lease_id, now))
        return actions

    def _request_pool(
        self, vm: Vm, view: HolderView, lease_id: LoanId | None, now: float
    ) -> Action:
        request_id = self._new_loan()
        view.pending = True
        self._pending[request_id] = PendingRequest(vm, now)
        return Send(vm, PoolRequest(self.account, request_id, lease_id))

    def _on_pool_reply(self, vm: Vm, msg: PoolReply, now: float) -> None:
        pending = self._pop_pending(vm, msg.request_id)
        view = self._views.get(vm)
        if pending is None or view is None:
            return
        if msg.parts == 0:
            view.pool_retry_at = now + msg.ttl_s
            return
        lease = Lease(vm, msg.lease_id, msg.parts, pending.sent_at + msg.ttl_s)
        self.share.pool(lease, msg.tokens, msg.generation, now)

    def _return_pool(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for vm in list(self.share.pooled):
            lease_id, tokens = self.share.unpool(vm, now)
            msg = PoolReturn(self.account, lease_id, Tokens(tokens))
            actions.append(Send(vm, msg))
        return actions

    def _probe_holders(self, now: float) -> list[Action]:
        if now > self._active_until:
            return []
        actions: list[Action] = []
        for vm in lending.due_for_probe(self._views, now):
            loan = self._new_loan()
            self._views[vm].pending = True
            self._pending[loan] = PendingRequest(vm, now)
            msg = Borrow(self.account, loan, Tokens(0.0), 0.0, 0.0, False)
            actions.append(Send(vm, msg))
        return actions

    def _update_views(self) -> None:
        record = self.share.record
        views: dict[Vm, HolderView] = {}
        for vm, parts in record.parts.items():
            if vm != self.vm:
                views[vm] = self._views.get(vm, HolderView(parts))
                views[vm].parts = parts
        self._views = views
