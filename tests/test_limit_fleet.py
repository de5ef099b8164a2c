"""Many entries, an upstream with a request limit, and updates that arrive late."""

import random
from collections import deque

import pytest

from persimmonhitch.decide.dispatch import UpstreamView
from persimmonhitch.direct.upstream_limits import UpstreamLimits
from persimmonhitch.fleet.call import RateLimit
from persimmonhitch.fleet.upstream import UpstreamRecord
from persimmonhitch.ids import Service, Upstream, Vm, Zone

LLM, ZONE = Service("llm"), Zone("z1")
UP = UpstreamRecord(Upstream("u1"), LLM, "h", 1, ZONE, 64, False, 1, None)
STEP_S, UPDATE_DELAY_S, RPC_DELAY_S = 0.05, 0.3, 0.1
"""Seconds of a step, of an update to all entries, and of a message to one entry."""
REQUESTS_PER_S = 30
"""Requests a second, many times the limit of the upstream."""
SETTLE_S = 0.5
"""Seconds after its first limited answer from which the sends of an entry count."""
WINDOW_S, OVERAGE, SLACK = 4.0, 1.5, 5
DURATION_S = 24.0
ANSWER_S = 0.1
QUEUE_TIMEOUT_S = 0.6
"""Seconds that a request waits at its entry."""
GRANT_MARKER = Vm("answered")
"""Marks a message that carries a grant."""


class Fleet:
    """Entries with more requests than one upstream accepts; ``now`` is in seconds."""

    def __init__(self, entries, reported, seed=1):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.reported = reported
        """Returns the limit that the upstream reports at a time, None for no limit."""
        self.vms = [Vm(f"e{n}") for n in range(entries)]
        self.leader = self.vms[0]
        self.limits = {vm: self._make_limits(vm) for vm in self.vms}
        self.isolated = set()
        self.excused_at = dict.fromkeys(self.vms, -100.0)
        self.limited_since = {}
        self.sent = []
        self._updates = deque()
        self._messages = deque()
        self._answers = deque()
        self._waiting = []

    def _make_limits(self, vm):
        return UpstreamLimits(
            lambda msg: self._request(vm, msg), lambda: len(self.vms), lambda: self.now
        )

    def _request(self, vm, msg):
        if vm == self.leader:
            self.limits[vm].receive_grant(self.limits[vm].grant(vm, msg))
        elif self.leader is not None and not {vm, self.leader} & self.isolated:
            self._messages.append((self.now + RPC_DELAY_S, self.leader, vm, msg))

    def restart(self, vm):
        """Restart an entry without any state."""
        self.limits[vm] = self._make_limits(vm)
        self.excused_at[vm] = self.now
        self.limited_since.pop(vm, None)

    def _deliver(self):
        for vm, limits in self.limits.items():
            update = limits.next_update()
            if update is not None and vm not in self.isolated:
                self._updates.append((self.now, vm, update))
        while self._updates and self._updates[0][0] + UPDATE_DELAY_S <= self.now:
            at, origin, update = self._updates.popleft()
            for vm in set(self.vms) - {origin} - self.isolated:
                self.limits[vm].receive(origin, update, at)
        while self._messages and self._messages[0][0] <= self.now:
            _, leader, vm, msg = self._messages.popleft()
            if leader is GRANT_MARKER:
                self.limits[vm].receive_grant(msg)
            elif leader == self.leader:
                grant = self.limits[leader].grant(vm, msg)
                self._messages.append((self.now + RPC_DELAY_S, GRANT_MARKER, vm, grant))

    def _submit(self):
        vm = self.rng.choice(self.vms)
        self._waiting.append((self.now + QUEUE_TIMEOUT_S, vm))

    def _dispatch(self):
        waiting, self._waiting = self._waiting, []
        for deadline, vm in waiting:
            if not self._send(vm) and deadline > self.now:
                self._waiting.append((deadline, vm))

    def _send(self, vm):
        view = UpstreamView(UP.name, ZONE, 64, 0, 0, 0, 0, True, True)
        self.limits[vm].exclude_limited([view])
        if view.traffic_share <= 0:
            return False
        self.limits[vm].sent(UP.name)
        limited_for = self.now - self.limited_since.get(vm, self.now)
        excused = self.now - self.excused_at[vm] < 3.0 or vm in self.isolated
        self.sent.append((self.now, limited_for >= SETTLE_S and not excused))
        self._answers.append((self.now + ANSWER_S, vm, self.now))
        return True

    def _answer(self):
        while self._answers and self._answers[0][0] <= self.now:
            _, vm, sent_at = self._answers.popleft()
            reported = self.reported(self.now)
            limit = None if reported is None else RateLimit(reported)
            self.limits[vm].answered(UP, limit, sent_at)
            if reported is not None:
                self.limited_since.setdefault(vm, self.now)

    def step(self):
        """Advance the simulation by one step."""
        self.now += STEP_S
        self._answer()
        self._deliver()
        for _ in range(int(REQUESTS_PER_S * STEP_S + self.rng.random())):
            self._submit()
        self._dispatch()

    def run(self, seconds, fault):
        """Advance the simulation to a time, with faults."""
        while self.now < seconds:
            self.step()
            fault(self)
        return self

    def max_in_window(self, counted=True):
        """Return the maximum number of requests within a window.

        If ``counted``, only of entries that knew the limit when they sent.
        """
        times = [at for at, counts in self.sent if counts or not counted]
        return max(
            (sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0
        )

    def rate(self, begin, end):
        """Return the requests a second between two times."""
        return sum(begin <= at < end for at, _ in self.sent) / (end - begin)


def no_fault(_fleet):
    """Cause no fault."""


def is_due(fleet, seconds):
    return round(fleet.now / STEP_S) % round(seconds / STEP_S) == 0


def restarts(fleet):
    """Restart random entries, sometimes the leader."""
    if is_due(fleet, 1.5):
        fleet.restart(fleet.rng.choice(fleet.vms))


def leader_failures(fleet):
    """Stop the leader every eight seconds; another is elected four seconds later."""
    if is_due(fleet, 8.0):
        fleet.leader = None
    elif fleet.leader is None and is_due(fleet, 4.0):
        fleet.leader = fleet.rng.choice(fleet.vms)


def isolations(fleet):
    """Isolate a random quarter of the entries every four seconds."""
    if is_due(fleet, 4.0):
        count = len(fleet.vms) // 4
        fleet.isolated = set(fleet.rng.sample(fleet.vms, count))
        for vm in fleet.isolated:
            fleet.excused_at[vm] = fleet.now + 4.0


@pytest.mark.parametrize("entries", [4, 24, 68])
@pytest.mark.parametrize("limit", [0.0, 1.0, 2.9, 12.0])
@pytest.mark.parametrize("fault", [no_fault, restarts, leader_failures, isolations])
def test_all_entries_together_respect_the_limit_of_an_upstream(entries, limit, fault):
    """Guards against a limit that each entry enforces separately."""
    fleet = Fleet(entries, lambda _now: limit).run(DURATION_S, fault)
    assert fleet.max_in_window() <= limit * WINDOW_S * OVERAGE + SLACK


@pytest.mark.parametrize("entries", [4, 24, 68])
@pytest.mark.parametrize("limit", [1.0, 2.9, 12.0])
def test_a_limited_upstream_is_fully_used(entries, limit):
    """Guards against requests refused while the upstream has capacity left."""
    fleet = Fleet(entries, lambda _now: limit).run(DURATION_S, no_fault)
    assert fleet.rate(4.0, DURATION_S) >= 0.8 * limit


@pytest.mark.parametrize("entries", [4, 24, 68])
def test_a_changed_limit_takes_effect(entries):
    """Guards against grants that outlive the limit under which they were made."""
    fleet = Fleet(entries, lambda now: 12.0 if now < 10.0 else 1.0)
    fleet.run(DURATION_S, no_fault)
    late = [
        (at, counts) for at, counts in fleet.sent if at >= 10.0 + SETTLE_S + ANSWER_S
    ]
    fleet.sent = late
    assert fleet.max_in_window() <= WINDOW_S * OVERAGE + SLACK


@pytest.mark.parametrize("entries", [4, 24, 68])
def test_a_lifted_limit_restricts_no_requests(entries):
    """Guards against refusals after the overload has ended."""
    fleet = Fleet(entries, lambda now: 1.0 if now < 10.0 else None)
    fleet.run(DURATION_S, no_fault)
    assert fleet.rate(12.0, DURATION_S) >= 0.9 * REQUESTS_PER_S


@pytest.mark.parametrize(("previous", "limit"), [(None, 1.0), (3.0, 3.0)])
def test_an_unreadable_limit_still_applies(previous, limit):
    """Guards against an overload of an upstream whose limit can't be parsed."""
    fleet = Fleet(4, lambda now: previous if now < 8.0 and previous else float("nan"))
    fleet.reported = lambda now: previous if previous and now < 8.0 else None
    limits = fleet.limits
    for vm in limits:
        if previous is not None:
            limits[vm].answered(UP, RateLimit(previous), 0.0)
        limits[vm].answered(UP, RateLimit(None), 0.0)
    fleet._answer = lambda: None
    fleet.limited_since = dict.fromkeys(fleet.vms, -SETTLE_S)
    fleet.run(DURATION_S, no_fault)
    assert fleet.max_in_window() <= limit * WINDOW_S * OVERAGE + SLACK
    assert fleet.rate(0.0, DURATION_S) >= 0.8 * limit
