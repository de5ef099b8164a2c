"""Attribution of crashes of upstreams to requests."""

import pytest

from persimmonhitch.decide.crashes import MAX_LOST
from persimmonhitch.decide.poison import (
    BLOCK_CRASHES,
    BLOCK_TTL_S,
    MAX_BLOCKED,
    MAX_CRASHES,
    SETTLE_S,
    UNCONFIRMED_TTL_S,
    CrashHistory,
    UpstreamInstance,
)
from persimmonhitch.ids import Fingerprint, Upstream

BAD, GOOD, OTHER = Fingerprint("bad"), Fingerprint("good"), Fingerprint("other")


AFTER_SETTLE_S = SETTLE_S + 0.01


def instance(number):
    return UpstreamInstance(Upstream(f"u{number}"), 1)


def history_of(*crashes, confirmed=True):
    """Return a history of crashes one second apart from 1 s on."""
    history = CrashHistory()
    for number, lost in enumerate(crashes, 1):
        history.record_lost(instance(number), lost, float(number), float(number))
        if confirmed:
            history.confirm(instance(number))
    return history


@pytest.mark.parametrize(
    ("crashes", "blocked"),
    [
        ([{BAD: True}] * 2, []),
        ([{BAD: True}] * 3, [BAD]),
        # Another request was lost in two of the crashes.
        ([{BAD: True, GOOD: True}] * 2 + [{BAD: True}], [BAD]),
        # Both were lost in all crashes: the next crash decides.
        ([{BAD: True, GOOD: True}] * 3, []),
        ([{BAD: True, GOOD: True}] * 3 + [{BAD: True}], [BAD]),
        # Both are equally likely, however often they were lost together.
        ([{BAD: True, GOOD: True}] * 5, []),
        # The answer of one had been in progress for a time at each crash.
        ([{BAD: True, GOOD: False}] * 3, [BAD]),
        # The answers of all had been in progress for a time.
        ([{BAD: False}] * 3, [BAD]),
        # The third crash of a request that ran beside two others in turn.
        (
            [{BAD: True, GOOD: True}] * 2 + [{BAD: True}, {OTHER: True, GOOD: True}],
            [BAD],
        ),
    ],
)
def test_crash_attribution(crashes, blocked):
    history = history_of(*crashes)
    assert history.block_attributed(len(crashes) + AFTER_SETTLE_S) == blocked
    for fingerprint in blocked:
        remaining_s = history.blocked_for(fingerprint, len(crashes) + AFTER_SETTLE_S)
        assert remaining_s == pytest.approx(BLOCK_TTL_S)


def test_no_request_is_blocked_before_all_entries_reported():
    """Guards against a block of a request that only appears to be the sole suspect."""
    history = history_of(*[{GOOD: True}] * BLOCK_CRASHES)
    assert history.block_attributed(BLOCK_CRASHES + SETTLE_S / 2) == []
    assert history.awaits_confirmation(GOOD, BLOCK_CRASHES + SETTLE_S / 2)
    history.record_lost(
        instance(BLOCK_CRASHES), {BAD: True}, float(BLOCK_CRASHES), float(BLOCK_CRASHES)
    )
    assert history.block_attributed(BLOCK_CRASHES + AFTER_SETTLE_S) == [GOOD]


def test_unconfirmed_crashes_block_nothing():
    """Guards against a block of a request whose connections were cut."""
    history = history_of(*[{GOOD: True}] * BLOCK_CRASHES, confirmed=False)
    assert history.block_attributed(BLOCK_CRASHES + AFTER_SETTLE_S) == []
    history.expire(BLOCK_CRASHES + UNCONFIRMED_TTL_S + 0.1)
    assert history.crash_counts(GOOD) is None


def test_answer_of_an_upstream_refutes_its_crash():
    """Guards against a block of requests that lost an answer, in any report order."""
    history = history_of(*[{GOOD: True}] * BLOCK_CRASHES)
    assert history.record_alive(instance(1), 1.5)
    history.record_lost(instance(1), {GOOD: True}, 1.0, 1.0)
    assert history.block_attributed(BLOCK_CRASHES + AFTER_SETTLE_S) == []
    history.record_lost(instance(1), {GOOD: True}, 4.0, 4.0)
    history.confirm(instance(1))
    assert history.block_attributed(4.0 + AFTER_SETTLE_S) == [GOOD]


def test_completed_request_is_cleared_of_earlier_crashes():
    """Guards against suspicion of a request that has completed since."""
    history = history_of(*[{GOOD: True}] * BLOCK_CRASHES)
    assert history.record_completed(GOOD, 2.5)
    history.record_lost(instance(1), {GOOD: True}, 1.0, 1.0)
    assert history.block_attributed(BLOCK_CRASHES + AFTER_SETTLE_S) == []
    assert history.crash_counts(GOOD).unexplained == 1


def test_crash_is_attributed_to_one_request():
    """Guards against a block of requests that ran beside a request blocked later."""
    crashes = [{BAD: True, GOOD: True}] * 2 + [{BAD: True}]
    history = history_of(*crashes)
    assert history.block_attributed(3 + AFTER_SETTLE_S) == [BAD]
    history.record_lost(instance(4), {GOOD: True}, 4.0, 4.0)
    history.confirm(instance(4))
    assert history.block_attributed(4 + AFTER_SETTLE_S) == []


def test_memory_of_crashes_is_bounded():
    """Guards against a hostile caller whose requests fill the memory of an entry."""
    history = CrashHistory()
    fingerprints = []
    for number in range(2 * MAX_CRASHES):
        lost = {Fingerprint(f"{number}-{n}"): True for n in range(2 * MAX_LOST)}
        history.record_lost(instance(number), lost, float(number), float(number))
        fingerprints += lost
    for number in range(2 * MAX_BLOCKED):
        history.block(Fingerprint(f"b{number}"), 1e6 + number)
    suspected = sum(
        history.crash_counts(fingerprint) is not None for fingerprint in fingerprints
    )
    assert suspected == MAX_CRASHES * MAX_LOST
    assert len(history.blocked()) == MAX_BLOCKED
    assert history.blocked_for(Fingerprint(f"b{2 * MAX_BLOCKED - 1}"), 0.0)
