"""Many entries, upstreams that take few requests, and news that come late."""

import random
from collections import deque

import pytest

from persimmonhitch.decide.dispatch import UpstreamView
from persimmonhitch.direct.upstream_limits import UpstreamLimits
from persimmonhitch.fleet.call import RequestLimit
from persimmonhitch.fleet.upstream import UpstreamRecord
from persimmonhitch.ids import Service, Upstream, Vm, Zone

LLM, ZONE = Service("llm"), Zone("z1")
UP = UpstreamRecord(Upstream("u1"), LLM, "h", 1, ZONE, 64, False, 1, None)
STEP, LATE, TRIP = 0.05, 0.3, 0.1
"""Seconds of a step, of news to all, and of a message to one entry."""
CALLS = 30
"""Calls a second, many times what the upstream takes."""
TOLD = 0.5
WINDOW, OVERAGE, SLACK = 4.0, 1.5, 5
SECONDS = 24.0
ANSWER = 0.1
PATIENCE = 0.6
"""Seconds that a call waits at its entry."""
ANSWERED = Vm("answered")


class Fleet:
    """Entries that want to send more than one upstream takes; seconds are ``now``."""

    def __init__(self, entries, said, seed=1):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.said = said
        """What the upstream says it takes at a time, None for nothing."""
        self.names = [Vm(f"e{n}") for n in range(entries)]
        self.leader = self.names[0]
        self.limits = {vm: self._limits(vm) for vm in self.names}
        self.cut = set()
        self.excused = dict.fromkeys(self.names, -100.0)
        self.told = {}
        self.came = []
        self._on_way = deque()
        self._letters = deque()
        self._answers = deque()
        self._waiting = []

    def _limits(self, vm):
        return UpstreamLimits(
            lambda ask: self._asked(vm, ask), lambda: len(self.names), lambda: self.now
        )

    def _asked(self, vm, ask):
        if vm == self.leader:
            self.limits[vm].receive_grant(self.limits[vm].grant(vm, ask))
        elif self.leader is not None and not {vm, self.leader} & self.cut:
            self._letters.append((self.now + TRIP, self.leader, vm, ask))

    def restart(self, vm):
        """Start an entry anew."""
        self.limits[vm] = self._limits(vm)
        self.excused[vm] = self.now
        self.told.pop(vm, None)

    def _carry(self):
        for vm, limits in self.limits.items():
            news = limits.next_update()
            if news is not None and vm not in self.cut:
                self._on_way.append((self.now, vm, news))
        while self._on_way and self._on_way[0][0] + LATE <= self.now:
            at, origin, news = self._on_way.popleft()
            for vm in set(self.names) - {origin} - self.cut:
                self.limits[vm].receive(origin, news, at)
        while self._letters and self._letters[0][0] <= self.now:
            _, leader, vm, ask = self._letters.popleft()
            if leader is ANSWERED:
                self.limits[vm].receive_grant(ask)
            elif leader == self.leader:
                grant = self.limits[leader].grant(vm, ask)
                self._letters.append((self.now + TRIP, ANSWERED, vm, grant))

    def _call(self):
        vm = self.rng.choice(self.names)
        self._waiting.append((self.now + PATIENCE, vm))

    def _match(self):
        waiting, self._waiting = self._waiting, []
        for until, vm in waiting:
            if not self._send(vm) and until > self.now:
                self._waiting.append((until, vm))

    def _send(self, vm):
        lane = UpstreamView(UP.name, ZONE, 64, 0, 0, 0, 0, True, True)
        self.limits[vm].exclude_limited([lane])
        if lane.traffic_share <= 0:
            return False
        self.limits[vm].sent(UP.name)
        since_told = self.now - self.told.get(vm, self.now)
        excused = self.now - self.excused[vm] < 3.0 or vm in self.cut
        self.came.append((self.now, since_told >= TOLD and not excused))
        self._answers.append((self.now + ANSWER, vm, self.now))
        return True

    def _answer(self):
        while self._answers and self._answers[0][0] <= self.now:
            _, vm, sent_at = self._answers.popleft()
            said = self.said(self.now)
            limit = None if said is None else RequestLimit(said)
            self.limits[vm].answered(UP, limit, sent_at)
            if said is not None:
                self.told.setdefault(vm, self.now)

    def step(self):
        """Play one step."""
        self.now += STEP
        self._answer()
        self._carry()
        for _ in range(int(CALLS * STEP + self.rng.random())):
            self._call()
        self._match()

    def play(self, seconds, trouble):
        """Play a while."""
        while self.now < seconds:
            self.step()
            trouble(self)
        return self

    def most(self, counted=True):
        """Return the most requests in a window, of entries that were told before."""
        times = [at for at, counts in self.came if counts or not counted]
        return max(
            (sum(at <= t < at + WINDOW for t in times) for at in times), default=0
        )

    def rate(self, begin, end):
        """Return the requests a second within a time."""
        return sum(begin <= at < end for at, _ in self.came) / (end - begin)


def calm(_fleet):
    """Let nothing happen."""


def every(fleet, seconds):
    return round(fleet.now / STEP) % round(seconds / STEP) == 0


def restarts(fleet):
    """Start entries anew, now and then the one that gives out places."""
    if every(fleet, 1.5):
        fleet.restart(fleet.rng.choice(fleet.names))


def no_leader(fleet):
    """Have the one that gives out places die; another follows seconds later."""
    if every(fleet, 8.0):
        fleet.leader = None
    elif fleet.leader is None and every(fleet, 4.0):
        fleet.leader = fleet.rng.choice(fleet.names)


def cuts(fleet):
    """Cut a quarter off from all others, in turn."""
    if every(fleet, 4.0):
        count = len(fleet.names) // 4
        fleet.cut = set(fleet.rng.sample(fleet.names, count))
        for vm in fleet.cut:
            fleet.excused[vm] = fleet.now + 4.0


@pytest.mark.parametrize("entries", [4, 24, 68])
@pytest.mark.parametrize("takes", [0.0, 1.0, 2.9, 12.0])
@pytest.mark.parametrize("trouble", [calm, restarts, no_leader, cuts])
def test_all_entries_together_send_no_more_than_an_upstream_takes(
    entries, takes, trouble
):
    """Guards against a limit that each entry keeps by itself."""
    fleet = Fleet(entries, lambda _now: takes).play(SECONDS, trouble)
    assert fleet.most() <= takes * WINDOW * OVERAGE + SLACK


@pytest.mark.parametrize("entries", [4, 24, 68])
@pytest.mark.parametrize("takes", [1.0, 2.9, 12.0])
def test_an_upstream_in_need_gets_what_it_takes(entries, takes):
    """Guards against calls refused though their upstream has places."""
    fleet = Fleet(entries, lambda _now: takes).play(SECONDS, calm)
    assert fleet.rate(4.0, SECONDS) >= 0.8 * takes


@pytest.mark.parametrize("entries", [4, 24, 68])
def test_a_limit_that_changes_is_followed(entries):
    """Guards against places that were granted under an older limit."""
    fleet = Fleet(entries, lambda now: 12.0 if now < 10.0 else 1.0)
    fleet.play(SECONDS, calm)
    late = [(at, counts) for at, counts in fleet.came if at >= 10.0 + TOLD + ANSWER]
    fleet.came = late
    assert fleet.most() <= WINDOW * OVERAGE + SLACK


@pytest.mark.parametrize("entries", [4, 24, 68])
def test_a_limit_that_has_ended_holds_nothing_back(entries):
    """Guards against callers refused for a need that is over."""
    fleet = Fleet(entries, lambda now: 1.0 if now < 10.0 else None)
    fleet.play(SECONDS, calm)
    assert fleet.rate(12.0, SECONDS) >= 0.9 * CALLS


@pytest.mark.parametrize(("before", "most"), [(None, 1.0), (3.0, 3.0)])
def test_a_limit_that_cannot_be_read_is_one(before, most):
    """Guards against an upstream overrun since its words were not understood."""
    fleet = Fleet(4, lambda now: before if now < 8.0 and before else float("nan"))
    fleet.said = lambda now: before if before and now < 8.0 else None
    limits = fleet.limits
    for vm in limits:
        if before is not None:
            limits[vm].answered(UP, RequestLimit(before), 0.0)
        limits[vm].answered(UP, RequestLimit(None), 0.0)
    fleet._answer = lambda: None
    fleet.told = dict.fromkeys(fleet.names, -TOLD)
    fleet.play(SECONDS, calm)
    assert fleet.most() <= most * WINDOW * OVERAGE + SLACK
    assert fleet.rate(0.0, SECONDS) >= 0.8 * most
