"""Compare strategies that enforce an account's rate over many entries.

Usage: ``persimmonhitch-play limits [ENTRIES...]`` prints one table.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import log
from random import Random
from typing import Final

from ..ids import Vm
from ..limits.record import PARTS, ShareRecord, rebalance, reclaim
from ..limits.share import RECLAIM_AFTER_S
from .limits_world import Outcome, World, plan, worst_window
from .registry import PLAYS

RATE: Final = 1000.0
BURST: Final = 5000.0
MEAN_COST: Final = 400.0
SIGMA: Final = 1.0
LOAD: Final = 0.9
WAIT: Final = 0.5
LENGTH: Final = 1500.0
SEEDS: Final = (11, 12)
ENTRIES: Final = (3, 6, 30)
WARM_UP: Final = 60.0
"""Seconds before requests count: shares start empty, the exact bucket full."""
OWNER_LEASE: Final = 10.0
REBALANCE_EVERY: Final = 30.0
LIST_LAG: Final = 5.0
FAULT_AT: Final = 600.0
FROZEN_FOR: Final = 20.0
OUTAGE: Final = 600.0
RESTART_AFTER: Final = 5.0
"""Seconds until the balancer has detected a fault, or the VM has restarted."""


@dataclass(frozen=True)
class Arrival:
    """A request before the balancer has chosen its entry."""

    time: float
    tokens: float
    place: float
    """A number below one that the balancer turns into an entry."""


def arrivals(seed: int) -> list[Arrival]:
    """Return Poisson arrivals with lognormal cost."""
    rng = Random(seed)
    per_second = LOAD * RATE / MEAN_COST
    found: list[Arrival] = []
    time = rng.expovariate(per_second)
    while time < LENGTH:
        mu = log(MEAN_COST) - SIGMA**2 / 2
        tokens = min(rng.lognormvariate(mu, SIGMA), BURST)
        found.append(Arrival(time, tokens, rng.random()))
        time += rng.expovariate(per_second)
    return found


def balance(place: float, live: list[Vm], skewed: bool) -> Vm:
    """Choose an entry; skewed, the first gets half of all, the next a quarter."""
    if not skewed:
        return live[int(place * len(live))]
    for vm in live:
        if place < 0.5:
            return vm
        place = 2 * place - 1
    return live[0]


def exact(sent: list[Arrival]) -> list[bool]:
    """Return which requests a single global bucket admits within the waiting time."""
    level, last, answers = BURST, 0.0, []
    for arrival in sent:
        level = min(BURST, level + RATE * (arrival.time - last))
        last = arrival.time
        admitted = level - arrival.tokens >= -RATE * WAIT
        level -= arrival.tokens if admitted else 0.0
        answers.append(admitted)
    return answers


@dataclass(frozen=True)
class Way:
    """A strategy to enforce the rate."""

    name: str
    holders: int | None
    """Number of holders; None for all entries."""
    lending: bool = True
    lease: bool = False
    moves: bool = False


WAYS: Final = (
    Way("equal split", None, lending=False),
    Way("one owner, lease", 1, lease=True),
    Way("pooled, all hold", None),
    Way("pooled, 4 hold", 4),
    Way("pooled, 4 hold, moves", 4, moves=True),
)


def _equal(vms: list[Vm], generation: int) -> ShareRecord:
    parts = {vm: PARTS // len(vms) for vm in vms}
    parts[vms[0]] += PARTS - sum(parts.values())
    return ShareRecord(generation, parts)


class Run:
    """A run of one strategy, size, scenario and seed."""

    def __init__(self, way: Way, entries: int, skewed: bool, fault: str, seed: int):
        self.way, self.skewed, self.fault = way, skewed, fault
        self.world = World(entries, plan(RATE, BURST), seed)
        self.live = list(self.world.names)
        self.sent = arrivals(seed)
        self.store_up = True
        self._moves = 0
        # Holders are at the end of the list, so that under skew the busiest entries
        # have no share at the start, which is the worst case.
        held = self.live[-(way.holders or entries) :]
        self._victim = held[0]
        self.world.set_record(_equal(held, 1))

    def play(self) -> list[Outcome]:
        """Run it and return the outcomes in order of arrival."""
        self._plan_faults()
        if self.way.moves:
            self._every(REBALANCE_EVERY, self._rebalance)
        for arrival in self.sent:
            self.world.run(arrival.time)
            vm = balance(arrival.place, self.live, self.skewed)
            self.world.request(vm, arrival.tokens, WAIT)
        self.world.run(LENGTH + 2 * WAIT)
        return self.world.outcomes

    def _every(self, seconds: float, step: Callable[[], None]) -> None:
        def again() -> None:
            step()
            self.world.at(self.world.now + seconds, again)

        self.world.at(seconds, again)

    def _rebalance(self) -> None:
        for vm in self.world.record.holders():
            limiter = self.world.limiters.get(vm)
            if limiter is None or not self.store_up or vm not in self.live:
                continue
            record = rebalance(self.world.record, vm, limiter.demand)
            limiter.demand.clear()
            if record is not None:
                limiter.share.shrink_to(record, self.world.now)
                self.world.set_record(record, delay=1.0)
                self._moves += 1

    def _plan_faults(self) -> None:
        at = self.world.at
        match self.fault:
            case "death":
                at(FAULT_AT, self._kill)
                taken = OWNER_LEASE if self.way.lease else RECLAIM_AFTER_S + LIST_LAG
                at(FAULT_AT + taken, self._take_over)
            case "restart":
                at(FAULT_AT, self._kill)
                at(FAULT_AT + RESTART_AFTER, self._restart)
            case "freeze":
                at(FAULT_AT, self._freeze)
                if self.way.lease:
                    at(FAULT_AT + OWNER_LEASE, self._take_over)
                at(FAULT_AT + FROZEN_FOR, lambda: self.live.insert(0, self._victim))
            case "outage":
                at(FAULT_AT, lambda: self._store(False))
                if self.way.lease:
                    lapse = ShareRecord(2, {})
                    at(FAULT_AT + OWNER_LEASE, lambda: self.world.set_record(lapse))
                at(FAULT_AT + OUTAGE, lambda: self._store(True))

    def _kill(self) -> None:
        self.world.kill(self._victim)
        self.live.remove(self._victim)

    def _restart(self) -> None:
        self.world.start(self._victim)
        self.live.append(self._victim)

    def _freeze(self) -> None:
        self.world.freeze(self._victim, self.world.now + FROZEN_FOR)
        self.live.remove(self._victim)

    def _take_over(self) -> None:
        record = reclaim(self.world.record, [self._victim], self.live)
        self.world.set_record(record, delay=1.0)

    def _store(self, up: bool) -> None:
        self.store_up = up
        if up and self.way.lease:
            self.world.set_record(_equal(self.live[-1:], 3))


class Split:
    """Equal split: one bucket per entry, without messages."""

    def __init__(self, entries: int, skewed: bool, fault: str, seed: int) -> None:
        self.sent = arrivals(seed)
        self._vms = [Vm(f"vm{number:03d}") for number in range(entries)]
        self._skewed, self._fault = skewed, fault
        self._rate, self._burst = RATE / entries, BURST / entries
        self._levels = {vm: (self._burst, 0.0) for vm in self._vms}

    def play(self) -> list[Outcome]:
        """Run it; the share of a failed entry is lost until the next split."""
        outcomes = []
        for arrival in self.sent:
            live = self._vms
            if self._fault in ("death", "restart", "freeze"):
                gone = RECLAIM_AFTER_S if self._fault == "death" else FROZEN_FOR
                if FAULT_AT <= arrival.time < FAULT_AT + gone:
                    live = self._vms[1:]
            outcomes.append(
                self._request(balance(arrival.place, live, self._skewed), arrival)
            )
        return outcomes

    def _request(self, vm: Vm, arrival: Arrival) -> Outcome:
        level, last = self._levels[vm]
        level = min(self._burst, level + self._rate * (arrival.time - last))
        outcome = Outcome(arrival.time, arrival.tokens)
        after = level - arrival.tokens
        if arrival.tokens <= self._burst and after >= -self._rate * WAIT:
            level = after
            outcome.admitted = arrival.time + max(0.0, -after / self._rate)
        self._levels[vm] = (level, arrival.time)
        return outcome


@dataclass(frozen=True)
class Row:
    """Figures of one strategy in one scenario over all seeds."""

    admitted_over_allowed: float
    refused: float
    wrongful: float
    messages: float


def measure(way: Way, entries: int, skewed: bool, fault: str) -> Row:
    """Run all seeds and return the worst window and the means of the rest."""
    worst, refused, wrongful, messages, total = 0.0, 0, 0, 0, 0
    for seed in SEEDS:
        run: Run | Split
        if way.lending:
            run = Run(way, entries, skewed, fault, seed)
            outcomes = run.play()
            messages += run.world.messages
        else:
            run = Split(entries, skewed, fault, seed)
            outcomes = run.play()
        reference = exact(run.sent)
        worst = max(worst, worst_window(outcomes, RATE, BURST))
        for outcome, within in zip(outcomes, reference, strict=True):
            if outcome.arrived < WARM_UP:
                continue
            total += 1
            refused += outcome.admitted is None
            wrongful += outcome.admitted is None and within
    return Row(worst, refused / total, wrongful / total, messages / total)


SCENARIOS: Final = (
    ("balanced", False, ""),
    ("skewed", True, ""),
    ("death", False, "death"),
    ("restart", False, "restart"),
    ("freeze", False, "freeze"),
    ("store down 10 min", False, "outage"),
)


@PLAYS.register("limits")
def main(args: list[str]) -> int:
    """Print the table for the numbers of entries given."""
    sizes = [int(arg) for arg in args] or list(ENTRIES)
    sent = [exact(arrivals(seed)) for seed in SEEDS]
    total = sum(len(answers) for answers in sent)
    refused = total - sum(sum(answers) for answers in sent)
    print(f"seeds {SEEDS}, {total} requests; one exact bucket refuses ", end="")
    print(f"{refused / total:.2%}\n")
    print("| way | entries | scenario | over | refused | wrongful | messages |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for entries in sizes:
        for scenario, skewed, fault in SCENARIOS:
            for way in WAYS:
                row = measure(way, entries, skewed, fault)
                print(
                    f"| {way.name} | {entries} | {scenario} "
                    f"| {row.admitted_over_allowed:.3f} | {row.refused:.2%} "
                    f"| {row.wrongful:.2%} | {row.messages:.2f} |",
                    flush=True,
                )
    return 0
