"""Attribution of crashes of upstreams to parts of prompts."""

import pytest

from persimmonhitch.decide.crash_events import EVENT_S
from persimmonhitch.decide.crashes import (
    MAX_LOST_PARTS,
    SETTLE_S,
    UpstreamInstance,
    join_parts,
)
from persimmonhitch.decide.poison import MIN_SERVED, PROOF_LEAD_S, CrashHistory
from persimmonhitch.fleet.call import MAX_PART_NAME, PromptPart, shared_parts
from persimmonhitch.ids import Fingerprint, Upstream

BAD, FIRST, MATE, OTHER = "part-bad", "part-first", "part-mate", "part-other"


def instance(number):
    return UpstreamInstance(Upstream(f"u{number}"), 1)


def add_crash(history, number, *lost, at=None, confirmed=True):
    """Record a crash at which each of ``lost`` was the parts of one request.

    A list starts with the fingerprint; other requests are all different.
    """
    at = float(number) if at is None else at
    parts = {}
    for count, item in enumerate(lost):
        name = item[0] if isinstance(item, list) else f"{number}-{count}"
        parts[name] = item[1:] if isinstance(item, list) else item
    history.record_lost(instance(number), dict.fromkeys(parts, True), at, at)
    history.record_lost_parts(instance(number), parts)
    if confirmed:
        history.confirm(instance(number))


def history_of(*crashes, **options):
    history = CrashHistory()
    for number, lost in enumerate(crashes, 1):
        add_crash(history, number, *lost, **options)
    return history


def blocks(history, now=100.0):
    return [set(cause.split(".")) for cause in history.block_attributed(now)]


SAME = ["same", BAD]
"""A request that is lost in several crashes, with its parts."""


@pytest.mark.parametrize(
    ("crashes", "blocked"),
    [
        ([[(BAD,)]] * 2, []),
        ([[(BAD,)]] * 3, [{BAD}]),
        # Other requests waited at the upstreams, some with the same first part.
        ([[(FIRST, BAD), (FIRST, MATE)], [(FIRST, BAD), (FIRST,)]] * 2, [{FIRST, BAD}]),
        # The part comes after different first parts.
        ([[(FIRST, BAD)], [(OTHER, BAD)], [(MATE, BAD)]], [{BAD}]),
        # A part that all requests with the culprit have.
        ([[(BAD, MATE)]] * 3, [{BAD, MATE}]),
        # A request that was lost in each crash is the more specific explanation.
        ([[SAME]] * 3, [{"same"}]),
        ([[SAME, (BAD,)], [SAME], [SAME]], [{"same"}]),
        # A sound request was lost again when it was sent again.
        ([[(BAD,), ["again", OTHER]]] * 3, [{BAD}]),
        # Two parts were lost in all crashes, with different requests.
        ([[(BAD,), (OTHER,)]] * 3, []),
        ([[(BAD,), (OTHER,)]] * 3 + [[(BAD,)]], [{BAD}]),
        # Two culprits at the same time.
        ([[(BAD,)], [(OTHER,)]] * 3, [{BAD}, {OTHER}]),
        # Each part was lost in other crashes.
        ([[(FIRST,)], [(MATE,)], [(OTHER,)], [(BAD,)]], []),
    ],
)
def test_crash_attribution(crashes, blocked):
    assert blocks(history_of(*crashes)) == blocked


def test_part_that_a_blocked_request_has_too_is_not_blocked_alone():
    """Guards against refusals of sound requests that share a part with two causes."""
    call = ["call", FIRST, MATE]
    history = history_of([(BAD, MATE)], [call], [["call", OTHER]], [["call", OTHER]])
    assert blocks(history) == [{"call"}]
    add_crash(history, 5, (BAD, MATE), at=5.0)
    assert blocks(history) == [{BAD, MATE}]
    assert history.blocking(Fingerprint("sound"), (FIRST, MATE), 100.0) is None


def test_request_that_was_lost_with_a_part_is_not_blocked_before_it():
    """Guards against a block of a sound request by an entry that lacks reports."""
    call = ["call", FIRST, OTHER]
    history = history_of(
        [(FIRST, BAD)], [call], [call, (FIRST, BAD)], [call, (FIRST, BAD, MATE)]
    )
    assert history.block_attributed(100.0, is_informed=False) == []
    assert blocks(history) == [{FIRST, BAD}]


@pytest.mark.parametrize(
    ("together", "further", "blocked"),
    [
        (4, 0, []),
        (4, 1, []),
        (4, 2, [{BAD}]),
        # Two upstreams may well crash at the same moment by separate requests.
        (2, 0, []),
        (2, 1, [{BAD}]),
    ],
)
def test_upstreams_that_fail_together_block_no_part(together, further, blocked):
    """Guards against a block of parts that were lost with a rack of upstreams."""
    history = history_of(*[[(BAD,)]] * together, at=1.0)
    for number in range(1, further + 1):
        add_crash(history, together + number, (BAD,), at=1.0 + number * EVENT_S)
    assert history.is_suspect(BAD)
    assert blocks(history) == blocked


@pytest.mark.parametrize(("gap_s", "blocked"), [(0.22, []), (0.26, [{BAD}])])
def test_part_is_not_blocked_by_upstreams_that_fail_within_half_a_second(
    gap_s, blocked
):
    """Guards against a block of parts lost with a rack whose upstreams fail in turn."""
    history = CrashHistory()
    for number in range(3):
        add_crash(history, number, (BAD,), at=1.0 + number * gap_s)
    assert blocks(history) == blocked


def test_no_part_is_suspected_of_lost_answers():
    """Guards against isolation of what all callers send while a link resets answers."""
    history = history_of(*[[(FIRST,)]] * 6, confirmed=False)
    assert not history.is_suspect(FIRST)
    assert blocks(history) == []


def test_no_part_is_blocked_before_all_entries_reported():
    """Guards against a block of a part that only appears to be the sole suspect."""
    history = history_of(*[[(MATE,)]] * 3)
    for _ in range(MIN_SERVED):
        history.record_served(3.0)
    assert blocks(history, 3 + SETTLE_S / 2) == []
    assert history.awaits_confirmation(MATE, 3 + SETTLE_S / 2)
    assert blocks(history, 3 + SETTLE_S + 0.01) == [{MATE}]


@pytest.mark.parametrize(
    ("completed_at", "is_suspect"),
    [
        (3.0 - PROOF_LEAD_S, False),  # before the latest crash
        (4.0, False),
        # Part in use until it begins to crash upstreams.
        (0.9 - PROOF_LEAD_S, True),
    ],
)
def test_a_part_that_completed_lately_is_no_suspect(completed_at, is_suspect):
    """Guards against suspicion of the part that all prompts begin with."""
    history = history_of(*[[(FIRST,)]] * 3)
    history.record_completed(FIRST, completed_at)
    assert history.is_suspect(FIRST) is is_suspect
    add_crash(history, 1, (FIRST,), at=1.0)
    assert history.is_suspect(FIRST) is is_suspect


def test_sound_requests_with_one_part_of_a_block_pass():
    """Guards against refusals of requests that share a part with the culprits."""
    history = history_of(*[[(FIRST, BAD)]] * 3)
    assert blocks(history) == [{FIRST, BAD}]
    assert history.crashed_with(join_parts([BAD, FIRST])) == ["u1", "u2", "u3"]
    sound, now = Fingerprint("sound"), 4.0
    assert history.blocking(sound, (FIRST, OTHER), now) is None
    assert history.blocking(sound, (OTHER, BAD, FIRST), now) is not None
    assert not history.is_suspect(FIRST)
    # The next crash shows which of the parts is the cause.
    add_crash(history, 9, (OTHER, BAD), at=9.0)
    assert blocks(history) == [{BAD}]


def test_a_part_is_blocked_one_crash_after_a_single_request():
    """Guards against three more crashes by the part of a blocked request."""
    history = history_of([SAME], [SAME], [SAME])
    assert blocks(history) == [{"same"}]
    add_crash(history, 4, (BAD,))
    assert blocks(history) == [{BAD}]


@pytest.mark.parametrize("served_at", [None, 0.5, 3.0])
def test_no_part_is_blocked_while_nothing_completes(served_at):
    """Guards against a block of the part of all prompts when no upstream is left."""
    history = history_of(*[[(FIRST,)]] * 3)
    for _ in range(MIN_SERVED if served_at else 0):
        history.record_served(served_at)
    expected = [{FIRST}] if served_at == 3.0 else []
    assert blocks(history, 3 + SETTLE_S + 0.01) == expected
    assert history.is_suspect(FIRST) is not bool(expected)


def test_a_completed_request_lifts_a_wrong_block():
    """Guards against a block that outlasts the proof that it is wrong."""
    history = history_of(*[[(FIRST,)]] * 3)
    assert blocks(history, 10.0) == [{FIRST}]
    until = history.blocked()[FIRST]
    assert history.blocked_within((FIRST, OTHER)) == [FIRST]
    assert history.record_completed(FIRST, 11.0)
    assert history.blocking(Fingerprint("f"), (FIRST,), 11.0) is None
    # A peer that has not heard of it reports the block again.
    assert not history.block(FIRST, until)
    assert history.block(FIRST, until + 2.0)


def test_memory_of_parts_is_bounded():
    """Guards against a hostile caller whose invented parts fill the memory."""
    history = CrashHistory()
    add_crash(history, 1, tuple(f"part-{n}" for n in range(2 * MAX_LOST_PARTS)))
    names = (f"part-{n}" for n in range(2 * MAX_LOST_PARTS))
    assert sum(history.has_lost(name) for name in names) == MAX_LOST_PARTS


@pytest.mark.parametrize(
    ("names", "shared"),
    [
        ([], []),
        (["own"], []),
        (["A1", "b2", "own"], ["part-a1", "part-b2"]),
        (["a1", "A1", "own"], ["part-a1"]),
        (["a1", "own", "own"], ["part-a1", "part-own"]),
    ],
)
def test_shared_parts_of_a_prompt(names, shared):
    assert list(shared_parts([PromptPart(name, 1) for name in names])) == shared


@pytest.mark.parametrize("name", ["x" * (MAX_PART_NAME + 1), "a.b", "a/b", "ü"])
def test_names_of_parts_are_valid_names_of_stored_objects(name):
    """Guards against names that break the store's paths or the list of a block."""
    (part,) = shared_parts([PromptPart(name, 1), PromptPart("own", 1)])
    assert part.isascii()
    assert part.removeprefix("part-").isalnum()
    assert len(part) <= MAX_PART_NAME + len("part-")
