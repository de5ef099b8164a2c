"""Which calls are to blame for crashes of upstreams."""

import pytest

from persimmonhitch.decide.poison import (
    BLOCKED_LIFE,
    CLAIM_LIFE,
    CRASHES,
    MOST_BLOCKED,
    MOST_CRASHES,
    MOST_LOST,
    SETTLED,
    CrashHistory,
    UpstreamStart,
)
from persimmonhitch.ids import Fingerprint, Upstream

BAD, GOOD, OTHER = Fingerprint("bad"), Fingerprint("good"), Fingerprint("other")


LATER = SETTLED + 0.01


def start(number):
    return UpstreamStart(Upstream(f"u{number}"), 1)


def history_of(*crashes, confirmed=True):
    """Return a history of crashes one second apart from 1 s on."""
    history = CrashHistory()
    for number, calls in enumerate(crashes, 1):
        history.lost(start(number), calls, float(number), float(number))
        if confirmed:
            history.confirm(start(number))
    return history


@pytest.mark.parametrize(
    ("crashes", "blocked"),
    [
        ([{BAD: True}] * 2, []),
        ([{BAD: True}] * 3, [BAD]),
        # Another was there at two of them.
        ([{BAD: True, GOOD: True}] * 2 + [{BAD: True}], [BAD]),
        # Both were at all of them: the next crash has to tell.
        ([{BAD: True, GOOD: True}] * 3, []),
        ([{BAD: True, GOOD: True}] * 3 + [{BAD: True}], [BAD]),
        # Both are as likely, however often they were there together.
        ([{BAD: True, GOOD: True}] * 5, []),
        # One had answered for a while each time.
        ([{BAD: True, GOOD: False}] * 3, [BAD]),
        # All had, or no answer had begun.
        ([{BAD: False}] * 3, [BAD]),
        # The third crash of one that only ran beside two others in turn.
        (
            [{BAD: True, GOOD: True}] * 2 + [{BAD: True}, {OTHER: True, GOOD: True}],
            [BAD],
        ),
    ],
)
def test_who_is_to_blame(crashes, blocked):
    history = history_of(*crashes)
    assert history.judge(len(crashes) + LATER) == blocked
    for call in blocked:
        left = history.blocked_for(call, len(crashes) + LATER)
        assert left == pytest.approx(BLOCKED_LIFE)


def test_nobody_is_judged_before_all_have_told_what_they_lost():
    """Guards against blame for a call that seems to have been there alone."""
    history = history_of(*[{GOOD: True}] * CRASHES)
    assert history.judge(CRASHES + SETTLED / 2) == []
    assert history.waits_for_proof(GOOD, CRASHES + SETTLED / 2)
    history.lost(start(CRASHES), {BAD: True}, float(CRASHES), float(CRASHES))
    assert history.judge(CRASHES + LATER) == [GOOD]


def test_a_crash_that_nobody_confirms_blocks_nothing():
    """Guards against blame for a call whose connections were cut."""
    history = history_of(*[{GOOD: True}] * CRASHES, confirmed=False)
    assert history.judge(CRASHES + LATER) == []
    history.expire(CRASHES + CLAIM_LIFE + 0.1)
    assert history.blame(GOOD) is None


def test_an_upstream_that_answers_has_not_crashed():
    """Guards against blame for calls that lost an answer, told before or later."""
    history = history_of(*[{GOOD: True}] * CRASHES)
    assert history.alive(start(1), 1.5)
    history.lost(start(1), {GOOD: True}, 1.0, 1.0)
    assert history.judge(CRASHES + LATER) == []
    history.lost(start(1), {GOOD: True}, 4.0, 4.0)
    history.confirm(start(1))
    assert history.judge(4.0 + LATER) == [GOOD]


def test_a_call_that_came_to_its_end_is_cleared_of_crashes_before():
    """Guards against blame that outlives the proof of innocence."""
    history = history_of(*[{GOOD: True}] * CRASHES)
    assert history.completed(GOOD, 2.5)
    history.lost(start(1), {GOOD: True}, 1.0, 1.0)
    assert history.judge(CRASHES + LATER) == []
    assert history.blame(GOOD).own == 1


def test_a_crash_is_blamed_on_one_call():
    """Guards against blame for what ran beside a call that is found out later."""
    crashes = [{BAD: True, GOOD: True}] * 2 + [{BAD: True}]
    history = history_of(*crashes)
    assert history.judge(3 + LATER) == [BAD]
    history.lost(start(4), {GOOD: True}, 4.0, 4.0)
    history.confirm(start(4))
    assert history.judge(4 + LATER) == []


def test_memory_of_crashes_is_bounded():
    """Guards against a hostile caller whose calls fill an entry's memory."""
    history = CrashHistory()
    calls = []
    for number in range(2 * MOST_CRASHES):
        lost = {Fingerprint(f"{number}-{n}"): True for n in range(2 * MOST_LOST)}
        history.lost(start(number), lost, float(number), float(number))
        calls += lost
    for number in range(2 * MOST_BLOCKED):
        history.block(Fingerprint(f"b{number}"), 1e6 + number)
    accused = sum(history.blame(call) is not None for call in calls)
    assert accused == MOST_CRASHES * MOST_LOST
    assert len(history.blocked()) == MOST_BLOCKED
    assert history.blocked_for(Fingerprint(f"b{2 * MOST_BLOCKED - 1}"), 0.0)
