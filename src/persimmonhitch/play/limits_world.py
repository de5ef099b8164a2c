"""Entries, messages between them and faults, for measuring rate limits."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any, Final

from ..catalog.model import PlanEntry
from ..ids import Account, LoanId, Plan, Tokens, Vm
from ..limits.account import AccountLimiter
from ..limits.actions import Action, Admit, Send, Ticket
from ..limits.record import ShareRecord
from ..wire.messages import Priority

LATENCY: Final = 0.0015
"""Seconds for a message between two zones."""
JITTER: Final = 0.0005
HEARTBEAT: Final = 1.0
ACCOUNT: Final = Account("coop")


@dataclass
class Outcome:
    """Result of one request; times are seconds."""

    arrived: float
    tokens: float
    admitted: float | None = None
    refused: float | None = None


@dataclass(order=True)
class _Event:
    time: float
    order: int
    run: Callable[[], None] = field(compare=False)


def plan(rate: float, burst: float) -> PlanEntry:
    """Return a plan with the given rate and burst."""
    return PlanEntry(Plan("gold"), rate, burst, 1.0, Priority.INTERACTIVE, (), ())


class World:
    """Runs the limiters of one account on many VMs under a virtual clock.

    Parameters
    ----------
    vms : int
        Number of entries.
    allowed : PlanEntry
        The account's plan.
    seed : int
        Seed of latencies and losses.
    loss, twice : float
        Part of the messages that are lost, or delivered a second time later.
    """

    def __init__(
        self,
        vms: int,
        allowed: PlanEntry,
        seed: int,
        loss: float = 0.0,
        twice: float = 0.0,
    ) -> None:
        self.now = 0.0
        self.plan = allowed
        self.messages = 0
        self.outcomes: list[Outcome] = []
        self.names = [Vm(f"vm{number:03d}") for number in range(vms)]
        self.frozen: dict[Vm, float] = {}
        self.record = ShareRecord(0, {})
        self._rng = Random(seed)
        self._loss, self._twice = loss, twice
        self._events: list[_Event] = []
        self._order = count()
        self._loans = count()
        self._wakes: dict[Vm, float] = {}
        self._tickets: dict[tuple[Vm, Ticket], Outcome] = {}
        self.limiters: dict[Vm, AccountLimiter] = {}
        for vm in self.names:
            self.start(vm)

    def start(self, vm: Vm) -> None:
        """Start the process of a VM, with the stored record only."""
        limiter = AccountLimiter(vm, ACCOUNT, self.plan, self.now, self._loan)
        self.limiters[vm] = limiter
        self._do(vm, limiter.adopt(self.record, self.now))
        self._beat(vm, limiter)

    def _beat(self, vm: Vm, limiter: AccountLimiter) -> None:
        if self.limiters.get(vm) is not limiter:
            return
        self._on(vm, lambda lim: lim.tick(self.now))
        if limiter.share.unconfirmed and self.now >= self.frozen.get(vm, 0.0):
            record = self.record
            self._on(vm, lambda lim: lim.confirm(record, self.now, self.now))
        self.at(self.now + HEARTBEAT, lambda: self._beat(vm, limiter))

    def kill(self, vm: Vm) -> None:
        """Kill the process of a VM without notice."""
        self.limiters.pop(vm, None)

    def freeze(self, vm: Vm, until: float) -> None:
        """Suspend a process; its pending events run when it resumes."""
        self.frozen[vm] = until

    def set_record(self, record: ShareRecord, delay: float = 0.0) -> None:
        """Deliver a record to all VMs, each up to ``delay`` seconds later."""
        self.record = record
        for vm in self.names:
            self.at(self.now + delay * self._rng.random(), self._learner(vm, record))

    def _learner(self, vm: Vm, record: ShareRecord) -> Callable[[], None]:
        return lambda: self._on(vm, lambda limiter: limiter.adopt(record, self.now))

    def set_plan(self, allowed: PlanEntry, delay: float = 0.0) -> None:
        """Deliver a plan to all VMs, each up to ``delay`` seconds later."""
        self.plan = allowed
        for vm in self.names:
            time = self.now + delay * self._rng.random()
            self.at(time, self._planner(vm, allowed))

    def _planner(self, vm: Vm, allowed: PlanEntry) -> Callable[[], None]:
        return lambda: self._on(vm, lambda lim: lim.set_plan(allowed, self.now))

    def at(self, time: float, run: Callable[[], None]) -> None:
        """Schedule an event."""
        heapq.heappush(self._events, _Event(time, next(self._order), run))

    def request(self, vm: Vm, tokens: float, wait: float) -> Outcome:
        """Simulate the arrival of a request."""
        outcome = Outcome(self.now, tokens)
        self.outcomes.append(outcome)
        ticket = Ticket(len(self.outcomes))
        self._tickets[vm, ticket] = outcome
        self._on(
            vm,
            lambda limiter: limiter.reserve(ticket, Tokens(tokens), wait, self.now),
        )
        return outcome

    def settle(self, vm: Vm, ticket: int, used: float) -> None:
        """Simulate the end of a request."""
        self._on(vm, lambda lim: lim.settle(Ticket(ticket), Tokens(used), self.now))

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0].time <= until:
            event = heapq.heappop(self._events)
            self.now = event.time
            event.run()
        self.now = until

    def _on(self, vm: Vm, step: Callable[[AccountLimiter], list[Action]]) -> None:
        thaw = self.frozen.get(vm, 0.0)
        if self.now < thaw:
            self.at(thaw, lambda: self._on(vm, step))
            return
        limiter = self.limiters.get(vm)
        if limiter is not None:
            self._do(vm, step(limiter))

    def _do(self, vm: Vm, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(vm, action.vm, action.msg)
                continue
            outcome = self._tickets[vm, action.ticket]
            if isinstance(action, Admit):
                outcome.admitted = self.now
            else:
                outcome.refused = self.now
        self._plan_wake(vm)

    def _plan_wake(self, vm: Vm) -> None:
        wake = self.limiters[vm].next_wake()
        if wake is None or self._wakes.get(vm) == wake:
            return
        self._wakes[vm] = wake
        self.at(max(wake, self.now), lambda: self._tick(vm, wake))

    def _tick(self, vm: Vm, wake: float) -> None:
        if self._wakes.get(vm) == wake:
            del self._wakes[vm]
            self._on(vm, lambda limiter: limiter.tick(self.now))

    def _send(self, source: Vm, target: Vm, msg: Any) -> None:
        self.messages += 1
        copies = 2 if self._rng.random() < self._twice else 1
        for copy in range(copies):
            if self._rng.random() < self._loss:
                continue
            delay = LATENCY + JITTER * self._rng.random()
            delay += copy * self._rng.random()
            self.at(self.now + delay, self._delivery(source, target, msg))

    def _delivery(self, source: Vm, target: Vm, msg: Any) -> Callable[[], None]:
        return lambda: self._on(
            target, lambda limiter: limiter.receive(source, msg, self.now)
        )

    def _loan(self) -> LoanId:
        return LoanId(f"loan{next(self._loans)}")


def worst_window(outcomes: list[Outcome], rate: float, burst: float) -> float:
    """Return admitted over allowed, the most over all windows.

    For the windows that end at an admission the excess of what was admitted over
    ``rate * length`` follows a recursion; the result is the largest such excess over
    the burst, at most one if and only if every window is within rate and burst.
    """
    pairs = [(o.admitted, o.tokens) for o in outcomes if o.admitted is not None]
    level, last, worst = 0.0, 0.0, 0.0
    for time, tokens in sorted(pairs):
        level = max(0.0, level - rate * (time - last)) + tokens
        last = time
        worst = max(worst, level)
    return worst / burst
