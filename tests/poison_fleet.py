"""A simulated fleet of entries whose updates arrive late, and its faults."""

import random
from collections import deque
from dataclasses import dataclass, field

from persimmonhitch.decide.dispatch import DispatchRequest, UpstreamView
from persimmonhitch.direct.poison import PoisonGuard
from persimmonhitch.fleet.upstream import UpstreamRecord
from persimmonhitch.ids import Fingerprint, Service, Upstream, Vm, Zone
from persimmonhitch.verdict import ErrorCode

LLM, ZONE = Service("llm"), Zone("z1")
STEP_S = 0.05
RUN_S, START_S, RESTART_S = 1.5, 0.1, 4.0
"""Seconds that a request runs, that it takes to start, and that a restart takes."""
UPDATE_DELAY_S, STORE_DELAY_S = 0.3, 0.8
"""Seconds until an update reaches the peers, and a block reaches them by the store."""
MAX_TRIES = 4
"""Tries of a request: its caller repeats it once, and entries retry it."""
MAX_WAIT_S = 1.0
"""Seconds that a request waits at an entry for an upstream."""
CONTACT_S = 3.0
"""Seconds in contact with its peers from which the sends of an entry count."""
MAX_LATE_SENDS = 3
"""Allowed sends of a request later than ``CONTACT_S`` after its third crash."""
DURATION_S, CALM_FROM_S = 24.0, 16.0
"""Duration of a run, and the time from which the crashes are over."""
MIN_SERVED_FRACTION = 0.95
"""Fraction of the requests that arrive after that time which must be served."""
UPSTREAMS, SLOTS = 8, 16


@dataclass
class Engine:
    """An upstream; it restarts under a new name."""

    record: UpstreamRecord
    available_at: float = 0.0
    running: list = field(default_factory=list)


@dataclass(eq=False)
class Run:
    """One attempt of a request, running on an engine."""

    fingerprint: Fingerprint
    vm: Vm
    engine: Engine
    sent_at: float
    poison: bool
    tries: int


class Fleet:
    """Entries that share observations with a delay; ``now`` is in seconds."""

    def __init__(self, entries, seed):
        self.now = 0.0
        self.rng = random.Random(seed)
        names = [Vm(f"e{n}") for n in range(entries)]
        self.guards = {vm: self._guard(vm) for vm in names}
        self.cut_until = {}
        self.in_contact_since = dict.fromkeys(self.guards, -CONTACT_S)
        self.engines = [Engine(self._record(n, n)) for n in range(UPSTREAMS)]
        self.sent = []
        self.crashes = []
        self.arrivals = []
        self.done, self.refused, self.dropped = set(), set(), set()
        self.completions = []
        """When each request completed, with its fingerprint."""
        self.parts = {}
        """Shared parts of the prompt of each request that has any."""
        self._in_transit = deque()
        self._writes = deque()
        self._retries = deque()
        self._waiting = []
        self._next_number = UPSTREAMS

    def _guard(self, vm):
        return PoisonGuard(
            vm,
            lambda: self.now,
            is_isolated=lambda: self._is_cut(vm),
            entry_count=lambda: len(self.guards),
        )

    def _parts(self, fingerprint):
        return self.parts.get(fingerprint, ())

    def _record(self, number, port):
        return UpstreamRecord(
            Upstream(f"u{number}"), LLM, "h", port, ZONE, SLOTS, False, number, None
        )

    # -- entries -----------------------------------------------------------------

    def restart(self, vm):
        """Restart an entry without any state."""
        self.guards[vm] = self._guard(vm)
        self.in_contact_since[vm] = self.now
        for engine in self.engines:
            self.dropped |= {run.fingerprint for run in engine.running if run.vm == vm}
            engine.running = [run for run in engine.running if run.vm != vm]

    def cut(self, vm, seconds):
        """Cut an entry off from its peers, but not from the store."""
        self.cut_until[vm] = self.now + seconds

    def _is_cut(self, vm):
        return self.cut_until.get(vm, 0.0) > self.now

    def _exchange_updates(self):
        for vm, guard in self.guards.items():
            updates = guard.next_update(), guard.next_parts_update()
            if any(updates) and not self._is_cut(vm):
                self._in_transit.append((self.now, vm, updates))
        while self._in_transit and self._in_transit[0][0] + UPDATE_DELAY_S <= self.now:
            at, origin, (update, parts_update) = self._in_transit.popleft()
            for vm, guard in self.guards.items():
                if vm == origin or self._is_cut(vm):
                    continue
                if update is not None:
                    guard.receive(origin, update, at)
                if parts_update is not None:
                    guard.receive_parts(parts_update)

    def _sync_store(self):
        for guard in self.guards.values():
            self._writes.append((self.now, guard.blocked()))
        due = {}
        while self._writes and self._writes[0][0] + STORE_DELAY_S <= self.now:
            due.update(self._writes.popleft()[1])
        for guard in self.guards.values():
            guard.receive_blocked(due)

    # -- requests ----------------------------------------------------------------

    def submit(self, fingerprint, poison=False, tries=MAX_TRIES):
        """Send a request to a random entry."""
        vm = self.rng.choice(list(self.guards))
        self._waiting.append((self.now + MAX_WAIT_S, vm, fingerprint, poison, tries))

    def _dispatch(self):
        waiting, self._waiting = self._waiting, []
        for deadline, vm, fingerprint, poison, tries in waiting:
            guard = self.guards[vm]
            refusal = guard.refusal(fingerprint, self._parts(fingerprint))
            if refusal is not None and refusal.code is ErrorCode.CRASHES_UPSTREAMS:
                self.refused.add(fingerprint)
                continue
            if refusal is not None:
                if tries > 1:
                    self._retries.append(
                        (self.now + 0.5, fingerprint, poison, tries - 1)
                    )
                continue
            engine = self._choose_engine(guard, fingerprint)
            if engine is not None:
                self._send(vm, fingerprint, poison, tries, engine)
            elif deadline > self.now:
                self._waiting.append((deadline, vm, fingerprint, poison, tries))
            elif tries > 1:
                self._retries.append((self.now + 0.5, fingerprint, poison, tries - 1))

    def _send(self, vm, fingerprint, poison, tries, engine):
        guard = self.guards[vm]
        guard.started(fingerprint, engine.record.name, self._parts(fingerprint))
        engine.running.append(Run(fingerprint, vm, engine, self.now, poison, tries))
        if poison:
            in_contact = self.now - self.in_contact_since[vm] >= CONTACT_S
            self.sent.append((self.now, fingerprint, in_contact))

    def _choose_engine(self, guard, fingerprint):
        views = [
            UpstreamView(
                e.record.name, ZONE, SLOTS, 0, len(e.running), 0, 0, True, True
            )
            for e in self.engines
            if e.available_at <= self.now and len(e.running) < SLOTS
        ]
        guard.exclude_upstreams(
            DispatchRequest(
                LLM,
                None,
                None,
                1,
                1,
                1,
                0,
                0,
                0,
                0,
                fingerprint,
                self._parts(fingerprint),
            ),
            views,
        )
        available = [view for view in views if view.traffic_share > 0]
        if not available:
            return None
        choice = min(available, key=lambda view: (view.running, self.rng.random()))
        return next(e for e in self.engines if e.record.name == choice.upstream)

    def _run_engines(self):
        for engine in self.engines:
            fatal = [r for r in engine.running if r.poison and self._age(r) >= START_S]
            if fatal:
                self._crash(engine, min(fatal, key=lambda run: run.sent_at))
                continue
            for run in [r for r in engine.running if self._age(r) >= RUN_S]:
                engine.running.remove(run)
                guard = self.guards[run.vm]
                guard.answered(engine.record, run.sent_at)
                guard.completed(run.fingerprint, self._parts(run.fingerprint))
                guard.ended(run.fingerprint, engine.record.name)
                self.done.add(run.fingerprint)
                self.completions.append((self.now, run.fingerprint))

    def _age(self, run):
        return self.now - run.sent_at

    def _crash(self, engine, fatal):
        self.crashes.append((self.now, fatal.fingerprint))
        self._lose(engine, RESTART_S)

    def lose_power(self, seconds=RESTART_S, share=1.0):
        """Lose a share of the engines at the same moment, whatever they run."""
        for engine in self.engines[: round(share * len(self.engines))]:
            self._lose(engine, seconds)

    def _lose(self, engine, seconds):
        for run in engine.running:
            guard = self.guards[run.vm]
            guard.connection_lost(
                run.fingerprint,
                engine.record,
                START_S <= self._age(run) <= 1.0,
                self._parts(run.fingerprint),
            )
            guard.ended(run.fingerprint, engine.record.name)
            if run.tries > 1:
                retry = (self.now + 0.1, run.fingerprint, run.poison, run.tries - 1)
                self._retries.append(retry)
        engine.running = []
        engine.record = self._record(self._next_number, engine.record.port)
        self._next_number += 1
        engine.available_at = self.now + seconds

    def _list_engines(self):
        listed = [e.record for e in self.engines if e.available_at <= self.now]
        for guard in self.guards.values():
            guard.update_upstreams(listed)

    def _run_checks(self):
        alive = {e.record.name for e in self.engines if e.available_at <= self.now}
        for guard in self.guards.values():
            for record in guard.due_checks():
                if record.name in alive:
                    guard.reachable(record)
                else:
                    guard.unreachable(record)

    def step(self):
        """Advance the simulation by one step."""
        self.now += STEP_S
        self._list_engines()
        self._run_engines()
        self._run_checks()
        self._exchange_updates()
        self._sync_store()
        self._dispatch()
        while self._retries and self._retries[0][0] <= self.now:
            _, fingerprint, poison, tries = self._retries.popleft()
            self.submit(fingerprint, poison, tries)

    # -- results -----------------------------------------------------------------

    def late_sends(self, fingerprints, after=3):
        """Return the number of late sends of requests and the number of their crashes.

        Sends count later than ``CONTACT_S`` after the crash numbered ``after``, except
        those of entries that were not in contact with the fleet.
        """
        crashes = sorted(at for at, crashed in self.crashes if crashed in fingerprints)
        if len(crashes) < after:
            return 0, len(crashes)
        late = [
            at
            for at, sent, in_contact in self.sent
            if sent in fingerprints and in_contact
            if at > crashes[after - 1] + CONTACT_S
        ]
        return len(late), len(crashes)


def no_fault(_fleet):
    """Cause no fault."""


def entry_restarts(fleet):
    """Restart a random entry every four seconds."""
    if round(fleet.now / STEP_S) % round(4.0 / STEP_S) == 0:
        fleet.restart(fleet.rng.choice(list(fleet.guards)))


def link_cuts(fleet):
    """Cut off a random quarter of the entries every five seconds."""
    if round(fleet.now / STEP_S) % round(5.0 / STEP_S) == 0:
        for vm in fleet.rng.sample(list(fleet.guards), len(fleet.guards) // 4):
            fleet.cut(vm, 5.0)
