"""Many entries, some calls that crash upstreams, and news that come late."""

import random
from collections import deque
from dataclasses import dataclass, field

import pytest

from persimmonhitch.decide.dispatch import DispatchRequest, UpstreamView
from persimmonhitch.direct.poison import PoisonGuard
from persimmonhitch.fleet.upstream import UpstreamRecord
from persimmonhitch.ids import Fingerprint, Service, Upstream, Vm, Zone
from persimmonhitch.verdict import ErrorCode

LLM, ZONE = Service("llm"), Zone("z1")
STEP = 0.05
RUN, BEGIN, BACK = 1.5, 0.1, 4.0
"""Seconds that a call runs, waits for its begin, and that an upstream is away."""
LATE, STORE_LATE = 0.3, 0.8
"""Seconds until entries hear each other, and read in the store what was judged."""
ATTEMPTS = 4
"""How often a call is sent again: its caller comes back once, and entries repeat it."""
PATIENCE = 1.0
"""Seconds that a call waits at an entry for a place."""
CONTACT = 3.0
LATE_SENDS = 3
"""Sends of a call allowed later than ``CONTACT`` after its third crash."""
SECONDS, CALM_FROM = 24.0, 16.0
"""Length of a play, and from when on no upstream is left that crashed."""
SERVED_PART = 0.95
"""Part of the calls to serve that come by then and early enough to end."""
UPSTREAMS, SLOTS = 8, 16


@dataclass
class Engine:
    """An upstream; it starts anew under a new name."""

    record: UpstreamRecord
    back_at: float = 0.0
    running: list = field(default_factory=list)


@dataclass(eq=False)
class Run:
    """One attempt of a call."""

    call: Fingerprint
    vm: Vm
    engine: Engine
    sent_at: float
    poison: bool
    attempts: int


class Fleet:
    """Enattempts that decide by what they have heard; ``now`` is in seconds."""

    def __init__(self, entries, seed):
        self.now = 0.0
        self.rng = random.Random(seed)
        names = [Vm(f"e{n}") for n in range(entries)]
        self.guards = {vm: self._guard(vm) for vm in names}
        self.cut_off = {}
        self.calm_since = dict.fromkeys(self.guards, -CONTACT)
        self.engines = [Engine(self._record(n)) for n in range(UPSTREAMS)]
        self.sent = []
        self.crashes = []
        self.came = []
        self.done, self.refused, self.dropped = set(), set(), set()
        self._on_way = deque()
        self._stored = deque()
        self._again = deque()
        self._waiting = []
        self._number = UPSTREAMS

    def _guard(self, vm):
        return PoisonGuard(vm, lambda: self.now, is_isolated=lambda: self._is_cut(vm))

    def _record(self, number):
        return UpstreamRecord(
            Upstream(f"u{number}"), LLM, "h", 1, ZONE, SLOTS, False, number, None
        )

    # -- entries -----------------------------------------------------------------

    def restart(self, vm):
        """Start an entry anew; it remembers nothing."""
        self.guards[vm] = self._guard(vm)
        self.calm_since[vm] = self.now
        for engine in self.engines:
            self.dropped |= {run.call for run in engine.running if run.vm == vm}
            engine.running = [run for run in engine.running if run.vm != vm]

    def cut(self, vm, seconds):
        """Keep an entry from hearing and telling others; it reaches the store."""
        self.cut_off[vm] = self.now + seconds

    def _is_cut(self, vm):
        return self.cut_off.get(vm, 0.0) > self.now

    def _news(self):
        for vm, guard in self.guards.items():
            news = guard.next_update()
            if news is not None and not self._is_cut(vm):
                self._on_way.append((self.now, vm, news))
        while self._on_way and self._on_way[0][0] + LATE <= self.now:
            at, origin, news = self._on_way.popleft()
            for vm, guard in self.guards.items():
                if vm != origin and not self._is_cut(vm):
                    guard.receive(origin, news, at)

    def _store(self):
        for guard in self.guards.values():
            self._stored.append((self.now, guard.blocked()))
        due = {}
        while self._stored and self._stored[0][0] + STORE_LATE <= self.now:
            due.update(self._stored.popleft()[1])
        for guard in self.guards.values():
            guard.receive_blocked(due)

    # -- calls -------------------------------------------------------------------

    def call(self, call, poison=False, attempts=ATTEMPTS):
        """Let a call come to an entry at random."""
        vm = self.rng.choice(list(self.guards))
        self._waiting.append((self.now + PATIENCE, vm, call, poison, attempts))

    def _match(self):
        waiting, self._waiting = self._waiting, []
        for until, vm, call, poison, attempts in waiting:
            guard = self.guards[vm]
            refused = guard.refusal(call)
            if refused is not None and refused.code is ErrorCode.CRASHES_UPSTREAMS:
                self.refused.add(call)
                continue
            if refused is not None:
                if attempts > 1:
                    self._again.append((self.now + 0.5, call, poison, attempts - 1))
                continue
            engine = self._place(guard, call)
            if engine is not None:
                self._send(vm, call, poison, attempts, engine)
            elif until > self.now:
                self._waiting.append((until, vm, call, poison, attempts))
            elif attempts > 1:
                self._again.append((self.now + 0.5, call, poison, attempts - 1))

    def _send(self, vm, call, poison, attempts, engine):
        guard = self.guards[vm]
        guard.started(call, engine.record.name)
        engine.running.append(Run(call, vm, engine, self.now, poison, attempts))
        if poison:
            calm = self.now - self.calm_since[vm] >= CONTACT
            self.sent.append((self.now, call, calm))

    def _place(self, guard, call):
        lanes = [
            UpstreamView(
                e.record.name, ZONE, SLOTS, 0, len(e.running), 0, 0, True, True
            )
            for e in self.engines
            if e.back_at <= self.now and len(e.running) < SLOTS
        ]
        guard.exclude_upstreams(
            DispatchRequest(LLM, None, None, 1, 1, 1, 0, 0, 0, 0, call), lanes
        )
        able = [lane for lane in lanes if lane.traffic_share > 0]
        if not able:
            return None
        least = min(able, key=lambda lane: (lane.running, self.rng.random()))
        return next(e for e in self.engines if e.record.name == least.upstream)

    def _work(self):
        for engine in self.engines:
            guilty = [r for r in engine.running if r.poison and self._age(r) >= BEGIN]
            if guilty:
                self._crash(engine, min(guilty, key=lambda run: run.sent_at))
                continue
            for run in [r for r in engine.running if self._age(r) >= RUN]:
                engine.running.remove(run)
                guard = self.guards[run.vm]
                guard.answered(engine.record, run.sent_at)
                guard.completed(run.call)
                guard.ended(run.call, engine.record.name)
                self.done.add(run.call)

    def _age(self, run):
        return self.now - run.sent_at

    def _crash(self, engine, guilty):
        self.crashes.append((self.now, guilty.call))
        for run in engine.running:
            guard = self.guards[run.vm]
            guard.connection_lost(
                run.call, engine.record, BEGIN <= self._age(run) <= 1.0
            )
            guard.ended(run.call, engine.record.name)
            if run.attempts > 1:
                again = (self.now + 0.1, run.call, run.poison, run.attempts - 1)
                self._again.append(again)
        engine.running = []
        engine.record = self._record(self._number)
        self._number += 1
        engine.back_at = self.now + BACK

    def _checks(self):
        alive = {e.record.name for e in self.engines if e.back_at <= self.now}
        for guard in self.guards.values():
            for record in guard.due_checks():
                if record.name not in alive:
                    guard.unreachable(record)

    def step(self):
        """Play one step."""
        self.now += STEP
        self._work()
        self._checks()
        self._news()
        self._store()
        self._match()
        while self._again and self._again[0][0] <= self.now:
            _, call, poison, attempts = self._again.popleft()
            self.call(call, poison, attempts)

    # -- what came of it ---------------------------------------------------------

    def late_sends(self, call):
        """Return the sends of a call that count, and its crashes."""
        crashes = sorted(at for at, crashed in self.crashes if crashed == call)
        if len(crashes) < 3:
            return 0, len(crashes)
        late = [
            at
            for at, sent, calm in self.sent
            if sent == call and calm and at > crashes[2] + CONTACT
        ]
        return len(late), len(crashes)


def calm(_fleet):
    """Let nothing happen."""


def restarts(fleet):
    """Start entries anew, one each few seconds."""
    if round(fleet.now / STEP) % round(4.0 / STEP) == 0:
        fleet.restart(fleet.rng.choice(list(fleet.guards)))


def cuts(fleet):
    """Cut a quarter of the entries off from all others for seconds, in turn."""
    if round(fleet.now / STEP) % round(5.0 / STEP) == 0:
        for vm in fleet.rng.sample(list(fleet.guards), len(fleet.guards) // 4):
            fleet.cut(vm, 5.0)


def play(entries, trouble, poison, seed):
    """Return a fleet after a while with calls that crash upstreams."""
    fleet = Fleet(entries, seed)
    calls = [Fingerprint(f"poison-{n}") for n in range(poison)]
    number = 0
    while fleet.now < SECONDS:
        fleet.step()
        trouble(fleet)
        for _ in range(2 if fleet.now < SECONDS - 4.0 else 0):
            number += 1
            fleet.came.append((fleet.now, Fingerprint(f"call-{number}")))
            fleet.call(fleet.came[-1][1])
        for call in calls:
            if fleet.rng.random() < STEP / 0.8:
                fleet.call(call, poison=True)
    return fleet, calls


@pytest.mark.parametrize("entries", [4, 24, 68])
@pytest.mark.parametrize("poison", [1, 4])
@pytest.mark.parametrize("trouble", [calm, restarts, cuts])
def test_calls_that_crash_upstreams_are_found_and_no_others(entries, poison, trouble):
    """Guards against repeats at entries that saw no crash, and blame for bystanders."""
    fleet, calls = play(entries, trouble, poison, seed=entries + poison)
    for call in calls:
        late, crashes = fleet.late_sends(call)
        assert crashes >= 3
        assert late <= LATE_SENDS, (call, crashes)
    assert fleet.refused <= set(calls)
    late_calls = {call for at, call in fleet.came if at >= CALM_FROM} - fleet.dropped
    assert len(late_calls & fleet.done) >= SERVED_PART * len(late_calls)
