"""Replay of many entries that choose plain upstreams or engines by late news."""

import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from itertools import count
from statistics import fmean, pstdev

from persimmonhitch.decide.dispatch import (
    DispatchRequest,
    Step,
    UpstreamView,
    choose_upstream,
)
from persimmonhitch.decide.load_estimate import CountedWork, estimate_load
from persimmonhitch.direct.load_figures import LoadFigures
from persimmonhitch.fleet.call import ServerLoad
from persimmonhitch.ids import Model, Service, Upstream, Zone

ZONES = 3
PROMPT, READ_RATE = 2368, 20_000.0
SLOW_SHARE, SLOWDOWN, SLOW_S = 1 / 7, 2.5, 0.6
TICK_S, WARM_UP_S = 0.05, 4.0


@dataclass(frozen=True)
class Load:
    """Load of a fleet; engines read prompts one by one, plain upstreams have none."""

    entries: int
    upstreams: int
    utilization: float
    news_age_s: float
    uneven: bool = False
    engines: bool = False
    joins: bool = False
    liar: bool = False
    """The first upstream says that it is idle."""
    silent: bool = False
    """The first upstream states no figures."""
    duration_s: float = 16.0
    seed: int = 1

    @property
    def slots(self):
        return 64 if self.engines else 6

    @property
    def work_s(self):
        """Time for which a request holds a slot, apart from its prompt."""
        return 0.6 if self.engines else 0.09

    @property
    def rate(self):
        """Requests per second at this share of the capacity."""
        busy_s = PROMPT / READ_RATE if self.engines else self.work_s / self.slots
        slow = 1 - SLOW_SHARE + SLOW_SHARE / SLOWDOWN
        speed = 1.2 * slow if self.uneven else 1.0
        return self.utilization * self.upstreams * speed / busy_s


@dataclass
class Server:
    """An upstream whose work takes ``factor`` times as long as at a mean one."""

    zone: Zone
    factor: float = 1.0
    is_slow: bool = False
    running: int = 0
    queue: deque = field(default_factory=deque)
    read_until: float = 0.0
    waits: list = field(default_factory=list)

    @property
    def slowdown(self):
        return SLOWDOWN if self.is_slow else 1.0


class Counts:
    """Counts of one entry, seen late by the others."""

    def __init__(self):
        self.running, self.unread = Counter(), Counter()
        self.late_running, self.late_unread = Counter(), Counter()


class EvenLoadFleet:
    """Runs one load; ``stated`` tells whether upstreams state how slow they are."""

    def __init__(self, load, stated):
        self.load, self._stated = load, stated
        self._rng = random.Random(load.seed)
        numbers = range(load.upstreams)
        self.servers = [Server(Zone(f"z{n % ZONES}")) for n in numbers]
        if load.uneven:
            for n in numbers:
                self.servers[n].factor = 1 / (0.7 + n / (load.upstreams - 1))
            self._rng.shuffle(self.servers)
        self._counts = [Counts() for _ in range(load.entries)]
        self._late = Counts()
        self._waiting = [deque() for _ in self._counts]
        self._figures = [
            [LoadFigures() for _ in range(load.upstreams + 1)] for _ in self._counts
        ]
        self._events, self._order, self._now = [], count(), 0.0
        self._overruns = self._sent = 0
        self._spreads = []

    def run(self):
        """Return the mean spread, 0.95 quantile of the wait, and share of overruns."""
        for event in (self._arrive, self._tick, self._change_slow, self._sample):
            self._after(0.0, event)
        if self.load.joins:
            self._after(self.load.duration_s / 2, self._join)
        while self._events[0][0] < self.load.duration_s:
            self._now, _, event, args = heapq.heappop(self._events)
            event(*args)
        waits = sorted(wait for server in self.servers for wait in server.waits)
        overruns = self._overruns / self._sent
        return fmean(self._spreads), waits[int(0.95 * len(waits))], overruns

    def _after(self, seconds, event, *args):
        item = self._now + seconds, next(self._order), event, args
        heapq.heappush(self._events, item)

    def _join(self):
        self.servers.append(Server(Zone("z0")))

    def _arrive(self):
        self._after(self._rng.expovariate(self.load.rate), self._arrive)
        entry = self._rng.randrange(self.load.entries)
        self._waiting[entry].append(self._now)
        self._match(entry)

    def _tick(self):
        self._after(TICK_S, self._tick)
        for entry in range(self.load.entries):
            self._match(entry)

    def _change_slow(self):
        self._after(SLOW_S, self._change_slow)
        for server in self.servers:
            server.is_slow = self.load.uneven and self._rng.random() < SLOW_SHARE

    def _sample(self):
        self._after(0.02, self._sample)
        running = [server.running for server in self.servers]
        if self._now >= WARM_UP_S and any(running):
            self._spreads.append(pstdev(running) / fmean(running))

    def _match(self, entry):
        waiting = self._waiting[entry]
        while waiting and (number := self._choose(entry, waiting[0])) is not None:
            self._send(entry, number, waiting.popleft())

    def _send(self, entry, number, arrived):
        server = self.servers[number]
        if self._now >= WARM_UP_S:
            self._sent += 1
            self._overruns += server.running >= self.load.slots
        server.running += 1
        self._count(entry, number, "running", 1)
        call = entry, number, arrived, self._now
        if self.load.engines:
            self._count(entry, number, "unread", PROMPT)
            read_s = PROMPT / READ_RATE * server.factor * server.slowdown
            server.read_until = max(self._now, server.read_until) + read_s
            self._after(server.read_until - self._now, self._start, *call)
        elif server.running <= self.load.slots:
            self._start(*call)
        else:
            server.queue.append(call)

    def _start(self, entry, number, arrived, sent_at):
        """Start the work of a request, or its answer if its prompt has been read."""
        server = self.servers[number]
        if self._now >= WARM_UP_S:
            server.waits.append(self._now - arrived)
        if self.load.engines:
            self._count(entry, number, "unread", -PROMPT)
            self._answer(entry, number)
        work_s = self.load.work_s * self._rng.uniform(0.5, 1.5)
        work_s *= server.factor * server.slowdown
        self._after(work_s, self._end, entry, number, sent_at)

    def _end(self, entry, number, sent_at):
        server = self.servers[number]
        if not self.load.engines:
            self._answer(entry, number)
        figures = self._figures[entry][number]
        figures.record_occupancy(self._now - sent_at, self.load.work_s)
        server.running -= 1
        self._count(entry, number, "running", -1)
        if server.queue:
            self._start(*server.queue.popleft())
        self._match(entry)

    def _answer(self, entry, number):
        """Record the figures that an answer states."""
        if self.load.silent and number == 0:
            return
        server = self.servers[number]
        running = 0 if self.load.liar and number == 0 else server.running
        stated = ServerLoad(running, 0, self.load.slots, server.slowdown)
        own = self._counts[entry].running[number]
        peers = self._peers(entry, number, "running")
        figures = self._figures[entry][number]
        figures.record(Upstream(str(number)), stated, own, peers, self._now)

    def _count(self, entry, number, kind, change):
        getattr(self._counts[entry], kind)[number] += change
        delay_s = self.load.news_age_s * self._rng.uniform(0.6, 1.4)
        self._after(delay_s, self._report, entry, number, f"late_{kind}", change)

    def _report(self, entry, number, kind, change):
        getattr(self._counts[entry], kind)[number] += change
        getattr(self._late, kind)[number] += change

    def _peers(self, entry, number, kind):
        kind = f"late_{kind}"
        total = getattr(self._late, kind)[number]
        return max(0, total - getattr(self._counts[entry], kind)[number])

    def _choose(self, entry, arrived):
        model, prompt = (Model("m"), PROMPT) if self.load.engines else (None, 0)
        request = DispatchRequest(
            Service("s"), model, None, prompt, 0, 1, arrived, arrived + 1, 99, 99
        )
        numbers = range(len(self.servers))
        peers = [self._peers(entry, number, "running") for number in numbers]
        views = [self._view(entry, number, peers) for number in numbers]
        zone = Zone(f"z{entry % ZONES}")
        choice = choose_upstream(views, request, zone, self._rng.random)
        return int(choice.upstream) if choice.step is Step.SEND else None

    def _view(self, entry, number, peers):
        server, own = self.servers[number], self._counts[entry]
        running, unread = own.running[number], own.unread[number]
        peer_unread = self._peers(entry, number, "unread")
        rate, slots = READ_RATE / server.factor, self.load.slots
        total = running + peers[number]
        view = UpstreamView(
            Upstream(str(number)), server.zone, slots, 0, total, 0,
            unread + peer_unread, True, True, read_rate=rate,
        )  # fmt: skip
        if self._stated:
            figures = self._figures[entry][number]
            work = CountedWork(
                running, unread / rate, peers[number], peer_unread / rate,
                self.load.news_age_s,
            )  # fmt: skip
            service_s = figures.occupancy_s or self.load.work_s
            view.estimate = estimate_load(
                work, figures.usable, service_s, fmean(peers), self._now
            )
        return view
