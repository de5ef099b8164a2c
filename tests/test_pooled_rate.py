"""Bucket of an account at every entry, updated with the usage of all entries."""

import pytest

from persimmonhitch.direct.quota import Quota
from persimmonhitch.fleet.config import AccountSpec, FleetConfig
from persimmonhitch.ids import Account, ConfigVersion, Tokens, Vm
from persimmonhitch.limits.pooled import PEER_TIMEOUT_S, UPDATE_INTERVAL_S, PooledBucket

COOP = Account("coop")
RATE, BURST, COST = 1000.0, 2000.0, Tokens(50)
STEP_S = 0.01


def make_quotas(count, listed=None):
    """Return a clock and the quotas of entries that share it."""
    clock = [0.0]
    names = [Vm(f"e{n}") for n in range(count)]
    account = AccountSpec(COOP, None, RATE, BURST, Tokens(1))
    cfg = FleetConfig(ConfigVersion(1), accounts={COOP: account})
    quotas = {}
    for name in names:
        others = frozenset(listed or names) - {name}
        quotas[name] = Quota(lambda others=others: others, lambda: clock[0])
        quotas[name].update(cfg)
    return clock, quotas


def run(clock, quotas, seconds, attempts, delivers=lambda _a, _b: True):
    """Spend tokens and exchange updates for a time; return the tokens admitted."""
    admitted, published_at = 0.0, clock[0]
    for _ in range(int(seconds / STEP_S)):
        clock[0] += STEP_S
        for name, quota in quotas.items():
            for _ in range(attempts(name)):
                if quota.spend(COOP, COST) is None:
                    admitted += COST
        if clock[0] - published_at >= UPDATE_INTERVAL_S:
            published_at = clock[0]
            for sender, quota in quotas.items():
                for name, other in quotas.items():
                    if name != sender and delivers(sender, name):
                        other.receive(sender, quota.tokens_used())
    return admitted


def test_a_flood_at_all_entries_gets_the_rate_once():
    """Guards against a rate that is granted once per entry."""
    clock, quotas = make_quotas(4)
    run(clock, quotas, 1.0, lambda _name: 0)
    admitted = run(clock, quotas, 8.0, lambda _name: 2)
    initial_overshoot = 4 * 2 * COST * UPDATE_INTERVAL_S / STEP_S
    assert BURST + 8 * RATE * 0.9 <= admitted <= BURST + 8 * RATE + initial_overshoot


def test_callers_of_a_single_entry_get_the_full_rate():
    """Guards against a fixed share of the rate per entry: with all callers at one of
    four entries, three quarters of the tokens would be refused.
    """
    clock, quotas = make_quotas(4)
    run(clock, quotas, 1.0, lambda _name: 0)
    admitted = run(clock, quotas, 8.0, lambda name: 2 * (name == "e0"))
    assert admitted >= BURST + 8 * RATE * 0.97


def test_partitioned_halves_share_the_rate():
    """Guards against a doubled rate while the links between two halves of the entries
    are cut: neither half may assume the full rate.
    """
    clock, quotas = make_quotas(4)
    run(clock, quotas, 1.0, lambda _name: 0)
    half = {"e0": 0, "e1": 0, "e2": 1, "e3": 1}

    def same_half(sender, name):
        return half[sender] == half[name]

    admitted = run(clock, quotas, 10.0, lambda _name: 2, same_half)
    before_timeout = PEER_TIMEOUT_S * RATE + BURST
    initial_overshoot = 4 * 2 * COST * UPDATE_INTERVAL_S / STEP_S
    assert admitted <= BURST + 10 * RATE + before_timeout + initial_overshoot


def test_a_restarted_peer_does_not_count_as_a_refund():
    """Guards against a restart that counts as a refund: the total of the new process
    begins at zero, and the account would get back all tokens it ever spent there.
    """
    bucket = PooledBucket(RATE, BURST, 0.0)
    bucket.receive(Vm("e1"), 50_000.0)
    bucket.advance(0.1, 0, 2)
    level = bucket.level
    bucket.receive(Vm("e1"), 100.0)
    assert bucket.level == level - 100.0


def test_refunds_reach_peers():
    bucket = PooledBucket(RATE, BURST, 0.0)
    bucket.receive(Vm("e1"), 0.0)
    bucket.receive(Vm("e1"), 500.0)
    bucket.receive(Vm("e1"), 300.0)
    assert bucket.level == BURST - 300.0


def test_a_lower_rate_applies_at_once():
    bucket = PooledBucket(RATE, BURST, 0.0)
    bucket.resize(10.0, 100.0)
    assert bucket.spend(Tokens(60)) is None
    wait = bucket.spend(Tokens(60))
    assert wait is not None and 1.9 < wait < 2.1


def test_a_request_above_the_burst_needs_a_full_bucket():
    bucket = PooledBucket(RATE, BURST, 0.0)
    assert bucket.spend(Tokens(5000)) is None
    assert bucket.spend(Tokens(1)) is not None


def test_usage_of_the_fleet_covers_all_entries():
    """Guards against an account that floods through other entries unseen."""
    clock, quotas = make_quotas(3)
    run(clock, quotas, 1.0, lambda _name: 1)
    before, rates = quotas[Vm("e0")].fleet_usage()
    admitted = run(clock, quotas, 2.0, lambda _name: 1)
    used, _ = quotas[Vm("e0")].fleet_usage()
    assert rates == {COOP: RATE}
    assert used[COOP] - before[COOP] == pytest.approx(admitted, abs=RATE / 2)
