"""The retries of all entries to a service, against the operators' bound."""

import random
from dataclasses import dataclass, field

import pytest
from direct_help import FakeUpstream, GatewayServer, answer, sends
from retry_rule import excess_retries

from persimmonhitch.decide.retries import RetryBound, RetryBudget
from persimmonhitch.decide.retry_share import LEARN_S
from persimmonhitch.ids import Account, Service, Vm
from persimmonhitch.limits.retry_budgets import RetryBudgets, RetrySource

SERVICE, ACCOUNT = Service("ledger"), Account("coop")
READ = RetrySource(SERVICE, ACCOUNT, 1)
STEP_S = 0.1
CALM_S, FAILING_S = 14.0, 20.0
LIST_DELAY_S = 1.0
"""Seconds until entries learn of a change in the list of entries."""
MAX_ATTEMPTS = 4


@dataclass
class Fleet:
    """Entries that retry failed requests to one service, on a simulated clock."""

    bound: RetryBound
    rng: random.Random
    now: float = 0.0
    budgets: dict = field(default_factory=dict)
    cut_off_at: dict = field(default_factory=dict)
    stopping: set = field(default_factory=set)
    requests: list = field(default_factory=list)
    retries: list = field(default_factory=list)
    failed: int = 0
    _listed: list = field(default_factory=list)
    _names: list = field(default_factory=list)

    def start(self, name):
        """Start a process, in place of any earlier one of that name."""
        self.budgets[Vm(name)] = RetryBudgets(
            self.bound, lambda: self._in_touch(name), clock=lambda: self.now
        )

    def stop(self, name):
        del self.budgets[name]
        self.stopping.discard(name)

    def _in_touch(self, name):
        cut_at = self.cut_off_at.get(name, self.now)
        return name not in self.stopping and self.now - cut_at < LEARN_S

    def _update_lists(self):
        self._listed.append((self.now, frozenset(self.budgets.keys() - self.stopping)))
        while len(self._listed) > 1 and self._listed[1][0] <= self.now - LIST_DELAY_S:
            self._listed.pop(0)
        names = self._listed[0][1]
        for vm, budgets in self.budgets.items():
            if vm not in self.cut_off_at and vm in names:
                budgets.update_fleet(vm, names - {vm})

    def run(self, seconds, rate, failing, on_step=lambda: None):
        """Send ``rate`` requests a second, of which the share ``failing`` fails."""
        end, due = self.now + seconds, 0.0
        while self.now < end:
            self.now += STEP_S
            on_step()
            self._update_lists()
            self._names = sorted(self.budgets)
            due += rate * STEP_S
            while due >= 1.0:
                due -= 1.0
                self._send(failing)

    def _send(self, failing):
        # Callers are spread unevenly over the entries.
        names = self._names
        budgets = self.budgets[names[int(len(names) * self.rng.random() ** 2)]]
        self.requests.append(self.now)
        budgets.on_request(READ)
        for _ in range(MAX_ATTEMPTS):
            if self.rng.random() >= failing:
                return
            if not budgets.try_spend(READ).allowed:
                break
            self.retries.append(self.now)
        self.failed += 1

    def excess(self):
        return excess_retries(self.bound, self.requests, self.retries)


def each(seconds, fleet, action):
    """Return a step that calls ``action`` with 0, 1, ... every ``seconds``."""
    state = {"next": fleet.now + seconds, "count": 0}

    def step():
        if fleet.now >= state["next"]:
            action(state["count"])
            state["next"] += seconds
            state["count"] += 1

    return step


def killed(fleet):
    names = sorted(fleet.budgets)
    return each(1.5, fleet, lambda n: fleet.start(names[n % len(names)]))


def all_killed(fleet):
    return each(6.0, fleet, lambda _n: [fleet.start(name) for name in fleet.budgets])


def joined(fleet):
    return each(2.0, fleet, lambda n: fleet.start(f"new-{n}"))


def joined_while_others_are_cut_off(fleet):
    fleet.cut_off_at = dict.fromkeys(fleet.budgets, fleet.now)
    return joined(fleet)


def left(fleet):
    names = sorted(fleet.budgets)[1:]

    def leave(n):
        if n < len(names):
            fleet.stopping.add(names[n])
        if 2 <= n < len(names):
            fleet.stop(names[n - 2])

    return each(2.0, fleet, leave)


def replaced(fleet):
    def replace(n):
        fleet.stopping.clear()
        fleet.stop(sorted(fleet.budgets)[0])
        fleet.start(f"new-{n}")

    return each(1.0, fleet, replace)


def steady(_fleet):
    return lambda: None


FAULTS = (
    steady,
    killed,
    all_killed,
    joined,
    joined_while_others_are_cut_off,
    left,
    replaced,
)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize(
    ("entries", "slack", "rate", "failing"),
    [
        (4, 52, 16, 0.6),
        (12, 52, 16, 1.0),
        (68, 176, 60, 0.6),
        (68, 40, 60, 1.0),
    ],
)
def test_retries_of_all_entries_stay_within_the_bound(
    fault, entries, slack, rate, failing
):
    """Guards against retries that grow with the number of entries and of restarts."""
    fleet = Fleet(RetryBound(0.2, 10.0, slack), random.Random(7))
    for n in range(entries):
        fleet.start(f"e{n:03}")
    fleet.run(CALM_S, rate, 0.0)
    fleet.run(FAILING_S, rate, failing, fault(fleet))
    fleet.run(5.0, 0.0, 0.0)
    assert fleet.retries
    assert fleet.excess() <= 0


@pytest.mark.parametrize(("entries", "slack"), [(4, 52), (26, 92), (68, 176)])
def test_one_failing_attempt_in_five_is_retried(entries, slack):
    """Guards against a division that leaves busy entries without retries."""
    fleet = Fleet(RetryBound(0.2, 10.0, slack), random.Random(3))
    for n in range(entries):
        fleet.start(f"e{n:03}")
    fleet.run(CALM_S, 100, 0.0)
    before = len(fleet.requests)
    fleet.run(FAILING_S, 100, 0.16)
    assert fleet.failed / (len(fleet.requests) - before) < 0.03


def test_more_entries_than_slack_keep_within_the_bound():
    """Guards against parts of the slack below one retry that are rounded up."""
    fleet = Fleet(RetryBound(0.0, 10.0, 176), random.Random(5))
    for n in range(360):
        fleet.start(f"e{n:03}")
    fleet.run(CALM_S, 100, 0.0)
    fleet.run(5.0, 400, 1.0)
    assert 100 < len(fleet.retries) <= 176


def test_retries_saved_in_calm_do_not_add_to_those_of_the_next_window():
    """Guards against bursts at both ends of a window."""
    budget, spent = RetryBudget(RetryBound(0.0, 10.0, 5), 5), []
    for step in range(300):
        now = step / 10
        if now > 9.0 and budget.try_spend(now):
            spent.append(now)
    assert len([at for at in spent if at < 10.0]) == 5
    assert excess_retries(budget.bound, [], spent) <= 0


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


@pytest.mark.parametrize(
    ("other", "takes_precedence"),
    [
        (RetrySource(SERVICE, Account("other"), 1), False),
        (RetrySource(SERVICE, ACCOUNT, 1), True),
    ],
    ids=["another account", "a request that must not run twice"],
)
def test_requests_of_one_account_leave_retries_to_others(other, takes_precedence):
    """Guards against one account, or night work, that uses up all retries."""
    budgets = RetryBudgets.of_sole_entry(RetryBound(0.2, 10.0, 11))
    night = RetrySource(SERVICE, ACCOUNT, 5)
    budgets.on_request(other)
    used = sum(budgets.try_spend(night).allowed for _ in range(30))
    assert used == 6
    assert budgets.try_spend(other, takes_precedence).allowed


def test_services_do_not_share_a_budget():
    """Guards against one failing service that uses up the retries of another."""
    budgets = RetryBudgets.of_sole_entry(RetryBound(0.0, 10.0, 4))
    while budgets.try_spend(READ).allowed:
        pass
    assert budgets.try_spend(RetrySource(Service("llm"), ACCOUNT, 1)).allowed


def test_a_new_process_has_no_retries_but_those_of_its_requests():
    """Guards against a process that spends again what its predecessor has spent."""
    clock = Clock()
    budgets = RetryBudgets(RetryBound(0.2, 10.0, 52), clock=clock)
    budgets.update_fleet(Vm("e1"), frozenset())
    assert not budgets.try_spend(READ).allowed
    for _ in range(6):
        budgets.on_request(READ)
    assert budgets.try_spend(READ).allowed
    clock.now = 10.0 + LEARN_S + 0.1
    assert budgets.try_spend(READ).budget > 40


def test_reads_are_served_beside_an_upstream_that_rejects_everything():
    """Guards against retries used up by requests to one upstream."""
    clock = Clock()
    budgets = RetryBudgets(RetryBound(0.2, 10.0, 52), clock=clock)
    budgets.update_fleet(Vm("e00"), frozenset(Vm(f"e{n:02}") for n in range(1, 12)))
    clock.now = 60.0
    refusal = answer(503, b"", "X-Persimmonhitch-Not-Executed: 1\r\n")
    upstreams = [FakeUpstream(f"u{n}", sends(answer())) for n in range(3)]
    upstreams.append(FakeUpstream("u3", sends(refusal)))
    with GatewayServer(*upstreams, retries=budgets) as gateway:
        statuses = [gateway.call("/read/x").status for _ in range(200)]
    assert statuses.count(200) / len(statuses) >= 0.97
