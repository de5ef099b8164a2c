"""Rate limit of one account on one VM: its queue, its loans and its pool.

Load pattern: requests of one account that arrive on any entry, faster than the
tokens come for a while. Each is admitted, waits while tokens are on their way, or is
refused at once when they cannot come in time. Pure state machine: every method takes
the time and returns what to do; the runtime and the load player both drive it.
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
    PoolAsk,
    Pooled,
    PoolReturn,
    Queued,
    Refund,
)
from .pending import Ask, Charge, Credit, Lent, Waiter
from .record import PARTS, ShareRecord
from .share import KEPT_FACTOR, LOAN_LIFE, POOL_LIFE, Lease, Share

LOANS_KNOWN: Final = 20_000
"""Loans remembered for refunds; a refund of an older one is lost, never doubled."""
LEAST_LIFE: Final = 0.1
"""Seconds that a loan is asked to live at least: a pause of the interpreter."""
ROUND_TRIPS: Final = 6.0
"""Round trips that a loan is asked to live. The giver cannot refill what is out, so
a long life makes the burst smaller (docs/notes/rate-limits.md)."""
EPSILON: Final = 1e-6
"""Tokens; below it a difference is a rounding error."""


class AccountLimiter:
    """State machine of one account on one VM."""

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
        self._asks: dict[LoanId, Ask] = {}
        self._charges: dict[Ticket, Charge] = {}
        self._lent: OrderedDict[LoanId, Lent] = OrderedDict()
        self._round_trip = LOAN_LIFE
        self._busy_until = now
        self._refill_at: float | None = None

    # -- what the runtime calls ------------------------------------------------

    def reserve(
        self, ticket: Ticket, tokens: Tokens, wait: float, now: float
    ) -> list[Action]:
        """Ask for a request's tokens; ``Admit`` or ``Refuse`` follows by ``wait``."""
        if tokens > self.share.plan.burst:
            return [Refuse(ticket, None)]
        self._busy_until = now + lending.POOL_IDLE
        self._queue.append(Waiter(tokens, now + wait, now, ticket))
        return self.tick(now)

    def settle(self, ticket: Ticket, used: Tokens, now: float) -> list[Action]:
        """Give back what an admitted request did not use."""
        charge = self._charges.pop(ticket, None)
        if charge is None:
            return []
        unused = max(0.0, charge.total - used)
        self.share.look(now)
        if self.share.in_use > 0:
            self.share.bucket.credit(unused, charge.since, now)
            return self.tick(now)
        actions: list[Action] = []
        for giver, loan, tokens in charge.borrowed:
            part = min(unused, tokens)
            unused -= part
            if part > EPSILON:
                actions.append(Send(giver, Refund(self.account, loan, Tokens(part))))
        return actions

    def receive(self, vm: Vm, msg: Message, now: float) -> list[Action]:
        """Take a message of another entry."""
        self.share.look(now)
        match msg:
            case Borrow():
                return self._on_borrow(vm, msg, now)
            case Queued():
                ask = self._asks.get(msg.loan)
                if ask is not None and ask.vm == vm:
                    ask.queued = True
                    self._heard(vm)
                return []
            case Lend():
                return self._on_lend(vm, msg, now)
            case Refund():
                self._on_refund(msg, now)
            case PoolAsk():
                return self._on_pool_ask(vm, msg, now)
            case Pooled():
                self._on_pooled(vm, msg, now)
            case PoolReturn():
                self.share.take_back(msg.lease, msg.tokens, now)
        return self.tick(now)

    def found(self, record: ShareRecord, now: float) -> list[Action]:
        """Take the first record that an account ever has, full at once."""
        self.share.found(record, now)
        return self.learn(record, now)

    def learn(self, record: ShareRecord, now: float) -> list[Action]:
        """Take a share record, newer or not."""
        self.share.look(now)
        if self.share.learn(record, now):
            self._renew_views()
        return self.tick(now)

    def confirm(self, record: ShareRecord, asked: float, now: float) -> list[Action]:
        """Take a record asked for at ``asked``; it may settle a doubt."""
        self.share.look(now)
        if self.share.confirm(record, asked, now):
            self._renew_views()
        return self.tick(now)

    def set_plan(self, plan: PlanEntry, now: float) -> list[Action]:
        """Take a changed plan while requests wait."""
        self.share.look(now)
        self.share.set_plan(plan, now)
        return self.tick(now)

    def peer_lost(self, vm: Vm, now: float) -> list[Action]:
        """Stop waiting for a peer whose connection ended."""
        for ask in self._asks.values():
            if ask.vm == vm:
                ask.sent, ask.queued = float("-inf"), False
        view = self._views.get(vm)
        if view is not None and view.up:
            view.silent(now)
        return self.tick(now)

    def peer_found(self, vm: Vm, now: float) -> list[Action]:
        """Use a peer whose connection is open again."""
        self._heard(vm)
        return self.tick(now)

    def stop_pooling(self, now: float) -> list[Action]:
        """Give all pooled shares back, for a stop of this process."""
        self.share.look(now)
        return self._return_pool(now)

    def tick(self, now: float) -> list[Action]:
        """Do what is due: admit, refuse, ask, pool, give back."""
        usable = self.share.look(now)
        self._refill_at = None
        self._expire_asks(now)
        actions = self._expire_credits(now)
        if usable:
            actions += self._serve(now)
        actions += self._refuse_late(now)
        if not usable:
            return actions
        if self._queue:
            actions += self._get_tokens(now)
        return actions + self._keep_pool(now) + self._probe(now)

    def next_wake(self) -> float | None:
        """Return when ``tick`` is due, or None while nothing is."""
        times = [waiter.deadline for waiter in self._queue]
        if self.share.doubtful:
            return min(times, default=None)
        times += [credit.ends for credit in self._credits]
        times += [
            ask.sent + lending.ANSWER_TIMEOUT
            for ask in self._asks.values()
            if not ask.queued
        ]
        times += [self._renew_at(lease) for lease in self.share.pooled.values()]
        if self.share.away is not None and self._queue:
            times.append(self.share.away.ends)
        if self._refill_at is not None:
            times.append(self._refill_at)
        return min(times, default=None)

    def _renew_at(self, lease: Lease) -> float:
        view = self._views.get(lease.vm)
        due = lease.ends - lending.RENEW_AT
        if view is None or view.asked or not view.up or view.pool_again_at > due:
            return lease.ends
        return due

    def waiting(self) -> int:
        """Return the number of requests that wait here."""
        return len(self._queue)

    # -- the giver's side ------------------------------------------------------

    def _on_borrow(self, vm: Vm, msg: Borrow, now: float) -> list[Action]:
        # A second copy of a message must not take the tokens a second time.
        if msg.loan in self._lent or any(w.loan == msg.loan for w in self._queue):
            return []
        deadline = now + msg.wait
        waiter = Waiter(
            msg.tokens, deadline, now, peer=vm, loan=msg.loan, life=msg.life
        )
        if msg.tokens <= 0 or self.share.doubtful or self.share.parts == 0:
            return [self._refusal(waiter, 0.0, now)]
        if self._pooled_at() is not None and not msg.insist:
            return [self._refusal(waiter, 0.0, now)]
        self._busy_until = now + lending.POOL_IDLE
        self._queue.append(waiter)
        actions = self.tick(now)
        if waiter in self._queue:
            actions.append(Send(vm, Queued(self.account, msg.loan)))
        return actions

    def _pooled_at(self) -> Vm | None:
        # While the holder that has this share does not answer, requests wait here:
        # the lease ends soon, and then this VM can serve them itself.
        away = self.share.away
        if away is None:
            return None
        view = self._views.get(away.vm)
        return away.vm if view is not None and view.up else None

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
            now - waiter.arrived,
            retry_after,
            self._pooled_at(),
            generation,
        )
        return Send(waiter.peer, msg)

    def _lend(self, waiter: Waiter, now: float) -> Action | None:
        # The debit comes before the message: a lost message loses tokens and
        # never makes them.
        until = now + min(waiter.life, LOAN_LIFE) * KEPT_FACTOR
        loan = self.share.bucket.lend(waiter.tokens, now, until)
        if loan is None:
            return None
        self._lent[waiter.loan] = Lent(loan, waiter.tokens)
        if len(self._lent) > LOANS_KNOWN:
            self._lent.popitem(last=False)
        return self._answer(waiter, waiter.tokens, 0.0, now)

    def _on_refund(self, msg: Refund, now: float) -> None:
        lent = self._lent.pop(msg.loan, None)
        if lent is not None:
            self.share.bucket.repay(lent.loan, min(lent.tokens, msg.tokens), now)

    def _on_pool_ask(self, vm: Vm, msg: PoolAsk, now: float) -> list[Action]:
        share = self.share
        if msg.lease is not None:
            # A peer that cannot reach the home holder waits here: the share has to
            # come back, or that peer would be refused however little it sends.
            waited_for = any(w.peer is not None for w in self._queue)
            kept = not waited_for and share.extend(vm, msg.lease, now)
            return [self._pooled(vm, msg.ask, msg.lease, 0.0, kept, now)]
        lease = self._new_loan()
        tokens = None
        if lending.home(share.record.holders(), self.vm, self._views) != self.vm:
            tokens = share.hand_over(vm, lease, now)
        answer = self._pooled(
            vm, msg.ask, lease, tokens or 0.0, tokens is not None, now
        )
        return [answer, *self.tick(now)]

    def _pooled(
        self, vm: Vm, ask: LoanId, lease: LoanId, tokens: float, kept: bool, now: float
    ) -> Action:
        away = self.share.away
        parts = away.parts if kept and away is not None else 0
        life = POOL_LIFE
        if not kept and away is not None:
            life = max(0.0, away.ends - now)
        generation = self.share.record.generation
        msg = Pooled(self.account, ask, lease, parts, Tokens(tokens), life, generation)
        return Send(vm, msg)

    # -- the borrower's side ---------------------------------------------------

    def _heard(self, vm: Vm) -> None:
        view = self._views.get(vm)
        if view is not None:
            view.answered()

    def _take_ask(self, vm: Vm, loan: LoanId) -> Ask | None:
        # An answer to an ask that was given up, or its second copy, is dropped:
        # its tokens are lost, where taking them could make some.
        ask = self._asks.get(loan)
        if ask is None or ask.vm != vm:
            return None
        del self._asks[loan]
        self._heard(vm)
        view = self._views.get(vm)
        if view is not None:
            view.asked = False
        return ask

    def _on_lend(self, vm: Vm, msg: Lend, now: float) -> list[Action]:
        ask = self._take_ask(vm, msg.loan)
        if ask is None:
            return []
        waiter = ask.waiter
        if waiter is None:
            return self.tick(now)
        waiter.asked = False
        trip = now - ask.sent - msg.queued
        self._round_trip += (trip - self._round_trip) / 8
        if msg.tokens > 0:
            ends = ask.sent + msg.queued + ask.life
            self._credits.append(Credit(vm, msg.loan, msg.generation, msg.tokens, ends))
        elif waiter in self._queue:
            waiter.target = msg.pooled_at
            if msg.retry_after > 0:
                self._queue.remove(waiter)
                return [Refuse(waiter.ticket, msg.retry_after), *self.tick(now)]
            if msg.pooled_at is None:
                self._not_a_holder(vm, now)
        return self.tick(now)

    def _not_a_holder(self, vm: Vm, now: float) -> None:
        # It answers but cannot lend; asking it again at once would do so for ever.
        view = self._views.get(vm)
        if view is not None:
            view.silent(now)

    def _expire_credits(self, now: float) -> list[Action]:
        late = [credit for credit in self._credits if credit.ends <= now]
        self._credits = [credit for credit in self._credits if credit.ends > now]
        return [
            Send(c.giver, Refund(self.account, c.loan, Tokens(c.tokens)))
            for c in late
            if c.tokens > EPSILON
        ]

    def _expire_asks(self, now: float) -> None:
        late = [
            loan
            for loan, ask in self._asks.items()
            if not ask.queued and ask.sent + lending.ANSWER_TIMEOUT <= now
        ]
        for loan in late:
            ask = self._asks.pop(loan)
            if ask.waiter is not None:
                ask.waiter.asked, ask.waiter.target = False, None
                ask.waiter.insist = True
            view = self._views.get(ask.vm)
            if view is None:
                continue
            view.asked = False
            if view.up or view.probe_at <= now:
                view.silent(now)

    # -- the queue -------------------------------------------------------------

    def _have(self) -> float:
        return self.share.bucket.level + sum(c.tokens for c in self._credits)

    def _home(self) -> Vm | None:
        order = self.share.record.holders()
        return lending.home(order, self.vm, self._views)

    def _serve(self, now: float) -> list[Action]:
        # At the home holder strictly in order, or small requests would starve a
        # large one; elsewhere each request has an ask of its own.
        actions: list[Action] = []
        strict = self._home() == self.vm
        for waiter in list(self._queue):
            if waiter.peer is None:
                action = self._admit(waiter, now)
            else:
                action = self._lend(waiter, now)
            if action is None:
                if strict:
                    break
                continue
            self._queue.remove(waiter)
            user = waiter.peer or self.vm
            self.demand[user] = self.demand.get(user, 0.0) + waiter.tokens
            actions.append(action)
        return actions

    def _admit(self, waiter: Waiter, now: float) -> Action | None:
        if self._have() + EPSILON < waiter.tokens:
            return None
        charge = Charge(waiter.tokens, now)
        giver, generation = self.vm, self.share.record.generation
        left = waiter.tokens
        for credit in sorted(self._credits, key=lambda c: c.ends):
            part = min(left, credit.tokens)
            if part <= 0:
                continue
            credit.tokens -= part
            left -= part
            charge.borrowed.append((credit.giver, credit.loan, part))
            giver, generation = credit.giver, credit.generation
        if left > 0:
            self.share.bucket.spend(min(left, self.share.bucket.level), now)
        self._credits = [c for c in self._credits if c.tokens > EPSILON]
        self._charges[waiter.ticket] = charge
        return Admit(waiter.ticket, giver, generation)

    def _refuse_late(self, now: float) -> list[Action]:
        late = [waiter for waiter in self._queue if waiter.deadline <= now]
        rate = self.share.plan.rate
        return [
            self._drop(waiter, lending.time_to_fill(waiter.tokens, rate), now)
            for waiter in late
        ]

    def _drop(self, waiter: Waiter, retry_after: float, now: float) -> Action:
        self._queue.remove(waiter)
        if waiter.peer is not None:
            return self._refusal(waiter, max(retry_after, EPSILON), now)
        return Refuse(waiter.ticket, retry_after)

    # -- getting tokens --------------------------------------------------------

    def _get_tokens(self, now: float) -> list[Action]:
        if self._home() == self.vm or any(w.peer for w in self._queue):
            return self._give_up_hopeless(now)
        return self._ask_home(now)

    def _ask_home(self, now: float) -> list[Action]:
        if not self.share.record.parts:  # not read yet
            return []
        first = self._home()
        if first is None:
            return self._wait_for_probe(now)
        have = self._have()
        actions: list[Action] = []
        for waiter in self._queue:
            need = waiter.tokens - have
            have = max(0.0, have - waiter.tokens)
            if need > EPSILON and not waiter.asked:
                actions.append(self._borrow(waiter, need, first, now))
        return actions

    def _wait_for_probe(self, now: float) -> list[Action]:
        # No holder answers. The next probe may find one, and a request that can
        # wait for it does; the others are told when it is.
        probe_at = min(view.probe_at for view in self._views.values())
        self._refill_at = max(probe_at, now + lending.ANSWER_TIMEOUT / 10)
        pause = max(probe_at - now, 0.0) + lending.ANSWER_TIMEOUT
        late = [w for w in self._queue if w.deadline <= now + pause]
        return [self._drop(waiter, pause, now) for waiter in late]

    def _borrow(self, waiter: Waiter, tokens: float, first: Vm, now: float) -> Action:
        vm, waiter.target, waiter.asked = waiter.target or first, None, True
        loan, wait = self._new_loan(), waiter.deadline - now
        life = min(LOAN_LIFE, max(LEAST_LIFE, ROUND_TRIPS * self._round_trip))
        self._asks[loan] = Ask(vm, now, waiter, life)
        return Send(
            vm, Borrow(self.account, loan, Tokens(tokens), wait, life, waiter.insist)
        )

    def _give_up_hopeless(self, now: float) -> list[Action]:
        share = self.share
        open_views = {v: w for v, w in self._views.items() if v not in share.pooled}
        most = share.in_use + lending.poolable(open_views, now)
        if share.away is not None:
            most += min(share.parts, share.away.parts)
        fraction = most / PARTS
        rate = share.plan.rate * fraction
        room = share.plan.burst * (most - share.in_use) / PARTS
        needs = [(w.tokens, w.deadline - now) for w in self._queue]
        verdicts = lending.hopeless(needs, self._have() + room, rate)
        pairs = list(zip(list(self._queue), verdicts, strict=True))
        actions = [
            self._drop(waiter, seconds, now)
            for waiter, seconds in pairs
            if seconds is not None
        ]
        # A request given up may have held back others that can go.
        if actions:
            actions += self._serve(now)
        if self._queue:
            shortage = self._queue[0].tokens - self._have()
            seconds = lending.time_to_fill(shortage, share.bucket.rate)
            if seconds < float("inf"):
                self._refill_at = now + seconds + EPSILON
        return actions

    # -- the pool --------------------------------------------------------------

    def _keep_pool(self, now: float) -> list[Action]:
        share = self.share
        pooler = self._home() == self.vm and share.parts > 0
        if share.pooled and (not pooler or now > self._busy_until):
            return self._return_pool(now)
        if not pooler:
            return []
        low = share.bucket.level < lending.POOL_BELOW * share.bucket.cap
        wanted = bool(share.pooled) or low or bool(self._queue)
        if not wanted or now > self._busy_until:
            return []
        actions: list[Action] = []
        for vm, view in self._views.items():
            if not view.up or view.asked or view.pool_again_at > now:
                continue
            lease = share.pooled.get(vm)
            if lease is None or self._renew_at(lease) <= now:
                known = None if lease is None else lease.lease
                actions.append(self._ask_pool(vm, view, known, now))
        return actions

    def _ask_pool(
        self, vm: Vm, view: HolderView, lease: LoanId | None, now: float
    ) -> Action:
        ask = self._new_loan()
        view.asked = True
        self._asks[ask] = Ask(vm, now)
        return Send(vm, PoolAsk(self.account, ask, lease))

    def _on_pooled(self, vm: Vm, msg: Pooled, now: float) -> None:
        ask = self._take_ask(vm, msg.ask)
        view = self._views.get(vm)
        if ask is None or view is None:
            return
        if msg.parts == 0:
            view.pool_again_at = now + msg.life
            return
        lease = Lease(vm, msg.lease, msg.parts, ask.sent + msg.life)
        self.share.pool(lease, msg.tokens, msg.generation, now)

    def _return_pool(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for vm in list(self.share.pooled):
            lease, tokens = self.share.give_back(vm, now)
            msg = PoolReturn(self.account, lease, Tokens(tokens))
            actions.append(Send(vm, msg))
        return actions

    def _probe(self, now: float) -> list[Action]:
        if now > self._busy_until:
            return []
        actions: list[Action] = []
        for vm in lending.to_probe(self._views, now):
            loan = self._new_loan()
            self._views[vm].asked = True
            self._asks[loan] = Ask(vm, now)
            msg = Borrow(self.account, loan, Tokens(0.0), 0.0, 0.0, False)
            actions.append(Send(vm, msg))
        return actions

    def _renew_views(self) -> None:
        record = self.share.record
        views: dict[Vm, HolderView] = {}
        for vm, parts in record.parts.items():
            if vm != self.vm:
                views[vm] = self._views.get(vm, HolderView(parts))
                views[vm].parts = parts
        self._views = views
