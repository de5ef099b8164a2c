"""What peers run at each upstream, as they tell what has changed."""

import pytest

from persimmonhitch.direct.peer_messages import EntryUpdate, ModelUse, UpstreamWork
from persimmonhitch.direct.peer_work import PEER_UPDATE_TTL_S, PeerWork
from persimmonhitch.direct.update_delta import FULL_UPDATE_INTERVAL_S, UpdateDelta
from persimmonhitch.ids import Account, Model, Upstream, Vm

E1, E2, A, B = Upstream("e1"), Upstream("e2"), Vm("a"), Vm("b")
USE = ModelUse(Model("m"), None)


def at(upstream, requests, unread=0):
    return UpstreamWork(
        upstream, requests, 100 * requests, unread, (USE,) * bool(requests)
    )


def news(*running, whole=True):
    return EntryUpdate({}, {}, running, whole)


def test_sums_follow_what_peers_tell():
    work = PeerWork()
    work.receive(A, news(at(E1, 3, 500), at(E2, 1)), 0.0)
    work.receive(B, news(at(E1, 2, 100)), 0.0)
    assert (work.totals_at(E1).requests, work.totals_at(E1).prefill_tokens) == (5, 600)
    work.receive(A, news(at(E1, 1), whole=False), 0.1)
    assert (work.totals_at(E1).requests, work.totals_at(E2).requests) == (3, 1)
    work.receive(A, news(at(E1, 0), whole=False), 0.2)
    assert work.totals_at(E1).requests == 2
    assert work.model_uses(E2) == {USE}


@pytest.mark.parametrize("times", [1, 3])
def test_a_message_that_comes_again_counts_once(times):
    """A doubled message would make an engine look full for good."""
    work = PeerWork()
    for _ in range(times):
        work.receive(A, news(at(E1, 3), whole=False), 0.0)
    assert work.totals_at(E1).requests == 3


def test_what_is_not_in_a_whole_message_has_ended():
    """The change that told of the end was lost with its link."""
    work = PeerWork()
    work.receive(A, news(at(E1, 3), at(E2, 1)), 0.0)
    work.receive(A, news(at(E2, 1)), 0.2)
    assert (work.totals_at(E1).requests, work.totals_at(E2).requests) == (0, 1)


def test_work_of_a_silent_peer_is_forgotten():
    work = PeerWork()
    work.receive(A, news(at(E1, 3)), 0.0)
    work.receive(B, news(at(E1, 1)), 1.0)
    work.expire(PEER_UPDATE_TTL_S + 0.1)
    assert work.totals_at(E1).requests == 1
    work.expire(PEER_UPDATE_TTL_S + 1.1)
    assert work.totals_at(E1).requests == 0


def test_changes_that_are_told_amount_to_the_news():
    """Played into sums, changes and wholes give what the last news say."""
    told, work = UpdateDelta(), PeerWork()
    steps = [
        (at(E1, 1, 10), at(E2, 2)),
        (at(E1, 2, 20), at(E2, 2)),
        (at(E2, 2),),
        (at(E1, 1), at(E2, 1)),
    ]
    for number, running in enumerate(steps):
        full = EntryUpdate({Account("x"): float(number)}, {}, running)
        work.receive(A, told.compute(full, number * 0.2), number * 0.2)
        sums = {item.upstream: item.requests for item in running}
        assert work.totals_at(E1).requests == sums.get(E1, 0)
        assert work.totals_at(E2).requests == sums[E2]


def test_only_what_has_changed_is_told_between_wholes():
    told = UpdateDelta()
    first = EntryUpdate({Account("x"): 1.0, Account("y"): 1.0}, {}, (at(E1, 1),))
    second = EntryUpdate({Account("x"): 1.0, Account("y"): 2.0}, {}, (at(E1, 1),))
    assert told.compute(first, 0.0) is first
    assert told.compute(second, 0.2) == EntryUpdate({Account("y"): 2.0}, {}, (), False)
    assert told.compute(second, FULL_UPDATE_INTERVAL_S + 0.1) is second
