"""One bucket an account at every entry, fed by what all of them spend."""

from persimmonhitch.direct.quota import Quota
from persimmonhitch.fleet.config import AccountSpec, FleetConfig
from persimmonhitch.ids import Account, ConfigVersion, Tokens, Vm
from persimmonhitch.limits.pooled import PEER_TIMEOUT_S, UPDATE_INTERVAL_S, PooledBucket

COOP = Account("coop")
RATE, BURST, COST = 1000.0, 2000.0, Tokens(50)
STEP = 0.01


def entries(count, listed=None):
    """Return quotas of entries that share a clock and know of each other."""
    clock = [0.0]
    names = [Vm(f"e{n}") for n in range(count)]
    account = AccountSpec(COOP, None, RATE, BURST, Tokens(1))
    cfg = FleetConfig(ConfigVersion(1), accounts={COOP: account})
    made = {}
    for name in names:
        others = frozenset(listed or names) - {name}
        made[name] = Quota(lambda others=others: others, lambda: clock[0])
        made[name].update(cfg)
    return clock, made


def play(clock, made, seconds, asks, heard=lambda _a, _b: True):
    """Ask and exchange news for some seconds; return the tokens let in."""
    let_in, told_at = 0.0, clock[0]
    for _ in range(int(seconds / STEP)):
        clock[0] += STEP
        for name, quota in made.items():
            for _ in range(asks(name)):
                if quota.spend(COOP, COST) is None:
                    let_in += COST
        if clock[0] - told_at >= UPDATE_INTERVAL_S:
            told_at = clock[0]
            for sender, quota in made.items():
                for name, other in made.items():
                    if name != sender and heard(sender, name):
                        other.receive(sender, quota.tokens_used())
    return let_in


def test_a_flood_at_all_entries_gets_the_rate_once():
    """One account sends many times its rate at every entry at the same moment."""
    clock, made = entries(4)
    play(clock, made, 1.0, lambda _name: 0)
    let_in = play(clock, made, 8.0, lambda _name: 2)
    first_moment = 4 * 2 * COST * UPDATE_INTERVAL_S / STEP
    assert BURST + 8 * RATE * 0.9 <= let_in <= BURST + 8 * RATE + first_moment


def test_callers_of_one_entry_alone_get_the_whole_rate():
    """All callers of an account come by one entry. A fixed part of the rate for each
    would refuse three of four of them below their rate.
    """
    clock, made = entries(4)
    play(clock, made, 1.0, lambda _name: 0)
    let_in = play(clock, made, 8.0, lambda name: 2 * (name == "e0"))
    assert let_in >= BURST + 8 * RATE * 0.97


def test_halves_that_do_not_hear_each_other_share_the_rate():
    """The links between two halves of the entries are cut. With all of the rate at
    either side the account would get it twice for as long as the cut lasts.
    """
    clock, made = entries(4)
    play(clock, made, 1.0, lambda _name: 0)
    half = {"e0": 0, "e1": 0, "e2": 1, "e3": 1}

    def same_half(sender, name):
        return half[sender] == half[name]

    let_in = play(clock, made, 10.0, lambda _name: 2, same_half)
    silence = PEER_TIMEOUT_S * RATE + BURST
    first_moment = 4 * 2 * COST * UPDATE_INTERVAL_S / STEP
    assert let_in <= BURST + 10 * RATE + silence + first_moment


def test_a_peer_that_starts_anew_is_not_taken_for_a_refund():
    """A process is killed and counts from zero. Taken as tokens given back, its
    account would get all that it ever spent once more.
    """
    bucket = PooledBucket(RATE, BURST, 0.0)
    bucket.receive(Vm("e1"), 50_000.0)
    bucket.advance(0.1, 0, 2)
    level = bucket.level
    bucket.receive(Vm("e1"), 100.0)
    assert bucket.level == level - 100.0


def test_refunds_reach_the_others():
    bucket = PooledBucket(RATE, BURST, 0.0)
    bucket.receive(Vm("e1"), 0.0)
    bucket.receive(Vm("e1"), 500.0)
    bucket.receive(Vm("e1"), 300.0)
    assert bucket.level == BURST - 300.0


def test_a_lower_rate_holds_at_once():
    bucket = PooledBucket(RATE, BURST, 0.0)
    bucket.resize(10.0, 100.0)
    assert bucket.spend(Tokens(60)) is None
    wait = bucket.spend(Tokens(60))
    assert wait is not None and 1.9 < wait < 2.1


def test_a_call_above_the_burst_goes_alone():
    bucket = PooledBucket(RATE, BURST, 0.0)
    assert bucket.spend(Tokens(5000)) is None
    assert bucket.spend(Tokens(1)) is not None
