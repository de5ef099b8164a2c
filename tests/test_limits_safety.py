"""Admissions never exceed rate and burst in any window, with few wrong refusals."""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from persimmonhitch.limits.account import AccountLimiter
from persimmonhitch.limits.actions import Admit
from persimmonhitch.limits.bucket import Bucket
from persimmonhitch.limits.messages import Borrow, PoolReply, PoolRequest, Refund
from persimmonhitch.limits.record import (
    NO_PARTS,
    PARTS,
    ShareRecord,
    allocate,
    reclaim,
    release,
    split_share,
)
from persimmonhitch.limits.share import MAX_PAUSE_S
from persimmonhitch.play.limits_play import Run, Way, exact
from persimmonhitch.play.limits_world import ACCOUNT, World, plan, worst_window

PLANS = (plan(100.0, 500.0), plan(300.0, 900.0), plan(40.0, 200.0))
VMS = st.integers(0, 5)
EVENT = st.one_of(
    st.tuples(st.just("settle"), st.integers(0, 80), st.floats(0, 1)),
    st.tuples(st.just("kill"), VMS),
    st.tuples(st.just("start"), VMS),
    st.tuples(st.just("restart"), VMS),
    st.tuples(st.just("freeze"), VMS, st.floats(0.05, 12)),
    st.tuples(st.just("plan"), st.integers(0, 2)),
    st.tuples(st.sampled_from(["release", "reclaim", "split_share"]), VMS, VMS),
)
GAP = st.one_of(st.floats(0.0, 0.01), st.floats(0.01, 0.6), st.floats(0.6, 6))
STEP = st.tuples(
    st.booleans(),
    st.lists(st.tuples(EVENT, GAP), max_size=3),
    st.lists(VMS, min_size=1, max_size=6),
    st.sampled_from([25.0, 60.0, 200.0]),
    GAP,
)
FILL_TIME_S = 11.0
"""Time in which an idle account refills its burst and all leases and loans expire."""


class Driver:
    """Run steps on a simulated fleet and record plans and admissions."""

    def __init__(self, seed, loss, twice, changes):
        self.changes = changes
        self.world = World(6, PLANS[0], seed, loss, twice)
        self.world.set_record(allocate(NO_PARTS, ACCOUNT, self.world.names), delay=1.0)
        self.request_vms = []
        self.plans = [(0.0, PLANS[0])]

    def play(self, step):
        fill, events, targets, tokens, gap = step
        if fill:
            self.wait(FILL_TIME_S)
        for (kind, *args), pause in events:
            getattr(self, kind)(*args)
            self.wait(pause)
        for _ in range(int(600 / tokens / len(targets)) + 1):
            for number in targets:
                self.request(number, tokens, 0.5)
        self.wait(gap)

    def wait(self, seconds):
        self.world.run(self.world.now + seconds)

    def restart(self, number):
        self.kill(number)
        self.start(number)

    def request(self, number, tokens, wait):
        vm = self.world.names[number]
        if vm in self.world.limiters:
            self.world.request(vm, tokens, wait)
            self.request_vms.append(vm)

    def settle(self, number, part):
        # Charge the actual cost at the time of admission: a refund must not allow a
        # window that ended before it to exceed the plan.
        if number < len(self.request_vms):
            outcome = self.world.outcomes[number]
            used = outcome.tokens * part
            if outcome.admitted is not None:
                self.world.settle(self.request_vms[number], number + 1, used)
                outcome.tokens = used

    def kill(self, number):
        self.world.kill(self.world.names[number])

    def start(self, number):
        vm = self.world.names[number]
        if vm not in self.world.limiters and self.world.now >= self.world.frozen.get(
            vm, 0.0
        ):
            self.world.start(vm)

    def freeze(self, number, seconds):
        vm = self.world.names[number]
        self.world.freeze(
            vm, max(self.world.now + seconds, self.world.frozen.get(vm, 0))
        )

    def plan(self, number):
        if not self.changes:
            return
        self.world.set_plan(PLANS[number])
        self.plans.append((self.world.now, PLANS[number]))

    def release(self, number, _other):
        vm = self.world.names[number]
        limiter = self.world.limiters.get(vm)
        if limiter is None or self.world.now < self.world.frozen.get(vm, 0.0):
            return
        limiter.share.advance(self.world.now)
        new = release(limiter.share.record, vm)
        current = limiter.share.record.generation == self.world.record.generation
        if limiter.share.shrink_to(new, self.world.now) and current:
            self.world.set_record(new, delay=1.0)

    def split_share(self, number, other):
        vm, new_holder = self.world.names[number], self.world.names[other]
        limiter = self.world.limiters.get(vm)
        if limiter is None or self.world.now < self.world.frozen.get(vm, 0.0):
            return
        limiter.share.advance(self.world.now)
        new = split_share(limiter.share.record, vm, new_holder)
        current = limiter.share.record.generation == self.world.record.generation
        if new and limiter.share.shrink_to(new, self.world.now) and current:
            self.world.set_record(new, delay=1.0)

    def reclaim(self, number, _other):
        # The share of a lost VM is reclaimed only after the longest pause for which a
        # process uses its share without confirming the record.
        vm = self.world.names[number]
        self.world.kill(vm)
        self.world.run(self.world.now + MAX_PAUSE_S)
        live = [other for other in self.world.names if other != vm]
        self.world.set_record(reclaim(self.world.record, [vm], live), delay=1.0)

    def refilled(self, start, end):
        marks = [*self.plans, (float("inf"), None)]
        return sum(
            allowed.rate * max(0.0, min(end, until) - max(start, since))
            for (since, allowed), (until, _) in zip(marks, marks[1:], strict=False)
        )

    def peak_usage(self):
        pairs = [(o.admitted, o.tokens) for o in self.world.outcomes if o.admitted]
        level, last, peak = 0.0, 0.0, 0.0
        for time, tokens in sorted(pairs):
            level = max(0.0, level - self.refilled(last, time)) + tokens
            last, peak = time, max(peak, level)
        return peak / max(allowed.burst for _, allowed in self.plans)


@settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(
    steps=st.lists(STEP, min_size=1, max_size=6),
    seed=st.integers(0, 1000),
    loss=st.sampled_from([0.0, 0.1, 0.4]),
    twice=st.sampled_from([0.0, 0.3]),
    changes=st.booleans(),
)
def test_never_more_than_rate_and_burst(steps, seed, loss, twice, changes):
    """Messages are lost, duplicated and delayed, and entries crash, freeze, restart,
    transfer shares and change plans in any order. An account that exceeds its plan
    in any of these cases takes capacity from the other accounts."""
    driver = Driver(seed, loss, twice, changes)
    driver.world.run(6.0)
    for step in steps:
        driver.play(step)
    driver.world.run(driver.world.now + 20)
    assert driver.peak_usage() <= 1 + 1e-6
    assert (
        all(
            (o.admitted is None) != (o.refused is None)
            for o, vm in zip(driver.world.outcomes, driver.request_vms, strict=True)
            if vm in driver.world.limiters and o.arrived > driver.world.now - 25
        )
        or driver.world.frozen
    )


@pytest.mark.parametrize("entries", [3, 30])
@pytest.mark.parametrize("skewed", [False, True])
@pytest.mark.parametrize("fault", ["", "outage"])
def test_steady_load_is_rarely_refused(entries, skewed, fault, monkeypatch):
    """An account sends 90 % of its rate through many entries, and the store is
    unavailable for a time. Requests that one exact bucket would admit must not be
    refused because their tokens are at another entry."""
    monkeypatch.setattr("persimmonhitch.play.limits_play.LENGTH", 300.0)
    monkeypatch.setattr("persimmonhitch.play.limits_play.FAULT_AT", 100.0)
    run = Run(Way("four holders", 4), entries, skewed, fault, seed=5)
    outcomes = run.play()
    within = [
        outcome
        for outcome, admitted in zip(outcomes, exact(run.sent), strict=True)
        if admitted and outcome.arrived > 60
    ]
    refused = sum(outcome.admitted is None for outcome in within)
    assert worst_window(outcomes, 1000.0, 5000.0) <= 1 + 1e-9
    assert refused <= 0.01 * len(within)


def test_dead_home_holder_costs_one_lease():
    """The home holder fails while it pools all shares. Its own requests are lost, and
    requests at other entries are refused no longer than its leases last. After that
    only its own share is missing until the platform no longer lists the VM."""
    world = World(6, plan(1000.0, 5000.0), seed=1)
    record = allocate(NO_PARTS, ACCOUNT, world.names)
    world.set_record(record)
    home = record.holders()[0]
    others = [vm for vm in world.names if vm != home]

    def send(until):
        outcomes = []
        while world.now < until:
            world.run(world.now + 0.5)
            vm = others[len(world.outcomes) % len(others)]
            outcomes.append(world.request(vm, 300.0, 0.5))
        world.run(world.now + 0.6)
        return outcomes

    send(20.0)
    world.kill(home)
    send(26.0)
    after = send(50.0)
    assert all(outcome.admitted is not None for outcome in after)


def test_refund_counts_from_the_charge():
    """A full bucket is spent while an old request refunds tokens. If the refund were
    credited at the current time, the account would get its burst twice in a second."""
    bucket = Bucket(rate=10.0, cap=100.0, now=0.0)
    bucket.advance(10.0)
    assert bucket.spend(100.0, 10.0)
    assert bucket.spend(100.0, 30.0)
    assert bucket.credit(60.0, charged_at=10.0, now=30.0) == 0.0
    assert bucket.credit(60.0, charged_at=30.0, now=31.0) == 60.0
    assert not bucket.spend(80.0, 31.0)


def test_loan_counts_until_it_ends():
    """A holder lends its burst. If it refilled before the borrower spends the loan,
    both together could spend twice the burst at once."""
    bucket = Bucket(rate=1000.0, cap=100.0, now=0.0)
    bucket.advance(1.0)
    loan = bucket.lend(100.0, 1.0, expires_at=2.0)
    bucket.advance(1.9)
    assert bucket.level == 0.0
    assert bucket.repay(loan, 30.0, 1.9) == 30.0
    bucket.advance(2.05)
    assert bucket.level == pytest.approx(80.0)


def account_limiter(vm, parts, now=0.0):
    """Return the limiter of a new process with the given share record."""
    ids = iter(range(1000))
    limiter = AccountLimiter(vm, ACCOUNT, PLANS[0], now, lambda: f"{vm}-{next(ids)}")
    limiter.adopt(ShareRecord(1, parts), now)
    return limiter


HALVES = {"vm0": PARTS // 2, "vm1": PARTS // 2}


def test_new_process_waits_for_one_lease():
    """An entry is killed after it lent its whole share, and restarts at once. The
    borrower may use the share until the lease expires, so the new process must not."""
    limiter = account_limiter("vm0", HALVES)
    for now, level in ((4.0, 0.0), (4.6, 0.0), (5.675, 50.0)):
        limiter.tick(now)
        assert limiter.share.bucket.level == pytest.approx(level)


def test_share_that_grows_waits_for_loans_to_end():
    """A holder lends all its tokens and then transfers its share. The new holder must
    not refill before the loan expires, or the account gets the tokens twice."""
    limiter = account_limiter("vm0", {"vm1": PARTS})
    limiter.tick(5.0)
    limiter.adopt(ShareRecord(2, HALVES), 5.0)
    for now, level in ((5.2, 0.0), (5.275, 0.0), (6.275, 50.0)):
        limiter.tick(now)
        assert limiter.share.bucket.level == pytest.approx(level)


def test_duplicate_refund_is_credited_once():
    """A refund is delivered twice. A second credit would exceed the lent tokens."""
    limiter = account_limiter("vm0", HALVES)
    for now in (4.0, 8.0, 12.0):
        limiter.tick(now)
    before = limiter.share.bucket.level
    limiter.receive("vm9", Borrow(ACCOUNT, "loan", 100.0, 1.0, 0.2, False), 12.0)
    for _ in range(2):
        limiter.receive("vm9", Refund(ACCOUNT, "loan", 60.0), 12.0)
    assert limiter.share.bucket.level == pytest.approx(before - 40.0)


def test_pool_lease_counts_from_the_request():
    """The answer that lends a share is delayed by seconds. If the lease started at its
    arrival, it would outlast the lease of the owner, and two VMs would spend one
    share."""
    limiter = account_limiter("vm0", HALVES)
    for now in (2.0, 4.9):
        limiter.tick(now)
    actions = limiter.reserve(1, 400.0, 30.0, 5.0)
    (request,) = [send.msg for send in actions if isinstance(send.msg, PoolRequest)]
    answer = PoolReply(ACCOUNT, request.request_id, "lease", PARTS // 2, 0.0, 4.0, 1)
    limiter.receive("vm1", answer, 5.2)
    assert limiter.share.in_use == PARTS
    limiter.tick(8.9)
    limiter.tick(9.0)
    assert limiter.share.in_use == PARTS // 2


def test_resumed_process_confirms_its_share_first():
    """A process is frozen for ten minutes while its share is reclaimed. An answer to a
    request from before the pause must not allow it to spend the share again."""
    limiter = account_limiter("vm0", HALVES)
    for now in (4.0, 8.0):
        limiter.tick(now)
    assert limiter.reserve(1, 10.0, 1.0, 608.0) == []
    assert limiter.confirm(ShareRecord(1, HALVES), 7.0, 608.1) == []
    reclaimed = ShareRecord(2, {"vm1": PARTS})
    actions = limiter.confirm(reclaimed, 608.1, 608.2)
    assert not any(isinstance(action, Admit) for action in actions)
    assert limiter.share.bucket.level == 0.0
