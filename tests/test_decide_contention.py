"""Requests that compete for room: their order, their waits and their refusals."""

from dataclasses import replace

import pytest
from contention_replay import Entry, OldEntry, Replay
from test_decide_direct import request, view

from persimmonhitch.decide.account_use import MAX_EXCESS, AccountUse
from persimmonhitch.decide.contention import (
    Claim,
    find_unservable,
    retry_delay,
    waiting_order,
)
from persimmonhitch.decide.room_rate import RoomRate
from persimmonhitch.decide.room_reserve import reserve_room
from persimmonhitch.ids import Account

BURST = {"burst": 3}
LOST = {"engines": 26, "lost": 5}


@pytest.mark.parametrize(
    "load", [BURST, {"hot": 7}, LOST, {"entries": 68, **BURST}], ids=str
)
def test_callers_are_served_or_refused_early(load):
    """Guards against callers who are held for most of their time and then refused."""
    old, old_counts = Replay(OldEntry, 1, **load).run()
    new, counts = Replay(Entry, 1, **load).run()
    refused = counts["refused"]
    assert counts["held"] <= 0.02 * refused
    assert counts["held"] < old_counts["held"] / 2
    assert counts["wrongful"] <= 0.02 * refused
    for name in ("rank0", "rank1", "rest", "large"):
        assert new[name].served >= old[name].served - 0.02
    assert new["rank0"].in_time >= old["rank0"].in_time - 0.02


def claim(rank=0, target=0.8, event_by=3.2, deadline=5.0, now=0.0, **overrides):
    asked = replace(
        request(prompt=1000, event_by=event_by, deadline=deadline),
        rank=rank,
        latency_target_at=target,
    )
    return Claim(asked, now, **overrides)


@pytest.mark.parametrize(
    ("first", "second", "now"),
    [
        (claim(0), claim(1, target=2.0), 0.0),
        (claim(1, target=2.0), claim(0), 1.0),
        (claim(0), claim(2, target=6.0, event_by=8.0), 1.0),
        (claim(0, target=0.5), claim(0), 0.0),
        (claim(0, event_by=2.0), claim(0, target=0.7), 1.0),
        (claim(0, repeated=True), claim(0, target=0.5), 0.0),
        (claim(0, resumed=True), claim(0, target=2.0), 1.0),
        (claim(0), claim(0, target=0.5, excess=1), 0.0),
        (claim(0, excess=3), claim(1), 0.0),
    ],
)
def test_order_of_waiting_requests(first, second, now):
    assert waiting_order(first, now) < waiting_order(second, now)


def contested_rate(seconds, wins=()):
    rate = RoomRate(0.0)
    rate.advance(0.0, True)
    for at, precedence in wins:
        rate.advance(at, True)
        rate.record_won(precedence, 1000.0)
    rate.advance(seconds, True)
    return rate


@pytest.mark.parametrize(
    ("claims", "rate", "now", "refused"),
    [
        ([claim()], contested_rate(1.0), 1.0, 0),
        ([claim()], contested_rate(1.8), 1.8, 1),
        ([claim(), claim(), claim()], contested_rate(0.8), 0.8, 1),
        ([claim(), claim(), claim()], RoomRate(0.0), 0.0, 0),
        ([claim(2, 6.0, 8.0, 8.0)] * 2, contested_rate(3.0), 3.0, 1),
        (
            [claim(2, 6.0, 8.0, 8.0)],
            contested_rate(4.5, [(0.5 * n, (0, False)) for n in range(9)]),
            4.5,
            1,
        ),
    ],
)
def test_requests_without_prospect_of_room_are_refused(claims, rate, now, refused):
    """Guards against refusals at the end of a wait that was known to be in vain."""
    found = list(find_unservable([replace(c) for c in claims], rate, now))
    assert len(found) == refused
    assert all(item.place == len(claims) - refused for item in found)


@pytest.mark.parametrize(
    ("wait_s", "now", "shortest", "longest"),
    [
        (0.0, 0.0, 0.2, 0.3),
        (1.0, 0.0, 1.0, 1.5),
        (30.0, 0.0, 1.11, 1.67),
        (0.0, 4.7, 0.067, 0.1),
    ],
)
def test_retry_leaves_the_caller_time(wait_s, now, shortest, longest):
    """Guards against retries that come together or too late to be served."""
    for draw, expected in ((0.0, shortest), (1.0, longest)):
        delay = retry_delay(claim().request, wait_s, now, lambda draw=draw: draw)
        assert delay == pytest.approx(expected, abs=0.01)


def test_account_that_floods_leaves_room_to_the_others():
    """Guards against one account that takes the room of all others."""
    old, _ = Replay(OldEntry, 2, hot=7).run()
    new, _ = Replay(Entry, 2, hot=7).run()
    assert old["rest"].served <= 0.93
    assert new["rest"].served >= 0.99
    assert new["hot"].served >= 0.6


@pytest.mark.parametrize("entries", [22, 68])
def test_urgent_requests_find_room_at_all_entries(entries):
    """Guards against unhurried work at idle entries that fills the engines."""
    old, _ = Replay(OldEntry, 3, burst=3, entries=entries).run()
    new, _ = Replay(Entry, 3, burst=3, entries=entries).run()
    assert new["rank0"].served >= old["rank0"].served + 0.02
    assert new["rank0"].served >= new["rank2"].served


@pytest.mark.parametrize(
    ("waiting", "now", "unread", "closed"),
    [
        (claim(0), 0.0, 7_000, False),
        (claim(1), 0.0, 6_300, False),
        (claim(1), 0.0, 6_600, True),
        (claim(0), 1.0, 6_600, True),
        (claim(0, excess=1), 0.0, 4_500, True),
        (claim(2, excess=4), 0.0, 2_000, False),
        (claim(9, excess=4), 0.0, 0, False),
        (claim(9, excess=4), 0.0, 2_500, True),
    ],
)
def test_reserved_room(waiting, now, unread, closed):
    engine = view(unread=unread, read_rate=15_000.0, backlog_limit_s=0.48)
    reserve_room([engine], waiting, 0, now)
    assert (engine.unread / engine.read_rate > engine.backlog_limit_s) is closed


@pytest.mark.parametrize(
    ("spent", "rates", "excess"),
    [
        ([70, 10, 10, 10], [10, 10, 10, 10], 2),
        ([70, 10, 10, 10], [70, 10, 10, 10], 0),
        ([19, 10, 10, 10], [10, 10, 10, 10], 0),
        ([99_000, 1, 1, 1], [1, 1, 1, 1], MAX_EXCESS),
        ([70, 0, 0, 0], [10, 10, 10, 10], 0),
        ([70, 10, 10, 10], [0, 10, 10, 10], 0),
    ],
)
def test_excess_of_an_account(spent, rates, excess):
    """Guards against a large account that is taken for one that floods."""
    use, names = AccountUse(), [Account(f"a{n}") for n in range(len(spent))]
    granted = dict(zip(names, rates, strict=True))
    use.update(dict.fromkeys(names, 5.0), granted, 0.0)
    totals = {n: 5.0 + tokens * 10 for n, tokens in zip(names, spent, strict=True)}
    use.update(totals, granted, 1.0)
    assert [use.excess(name) for name in names] == [excess, 0, 0, 0]
    use.update(totals, granted, 60.0)
    assert use.excess(names[0]) == 0
