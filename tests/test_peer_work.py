"""Work of peers at each upstream, from full and incremental updates."""

import pytest

from persimmonhitch.decide.update_rate import (
    MIN_FULL_INTERVAL_S,
    full_update_interval,
    update_interval,
)
from persimmonhitch.direct.peer_messages import EntryUpdate, ModelUse, UpstreamWork
from persimmonhitch.direct.peer_work import PEER_UPDATE_TTL_S, PeerWork
from persimmonhitch.direct.update_delta import UpdateDelta
from persimmonhitch.ids import Account, Model, Upstream, Vm
from persimmonhitch.limits.pooled import PEER_TIMEOUT_S, UPDATE_INTERVAL_S

E1, E2, A, B = Upstream("e1"), Upstream("e2"), Vm("a"), Vm("b")
USE = ModelUse(Model("m"), None)


def work_at(upstream, requests, prefill_tokens=0):
    return UpstreamWork(
        upstream, requests, 100 * requests, prefill_tokens, (USE,) * bool(requests)
    )


def update(*running, is_full=True):
    return EntryUpdate({}, {}, running, is_full)


def test_totals_follow_peer_updates():
    work = PeerWork()
    work.receive(A, update(work_at(E1, 3, 500), work_at(E2, 1)), 0.0)
    work.receive(B, update(work_at(E1, 2, 100)), 0.0)
    assert (work.totals_at(E1).requests, work.totals_at(E1).prefill_tokens) == (5, 600)
    work.receive(A, update(work_at(E1, 1), is_full=False), 0.1)
    assert (work.totals_at(E1).requests, work.totals_at(E2).requests) == (3, 1)
    work.receive(A, update(work_at(E1, 0), is_full=False), 0.2)
    assert work.totals_at(E1).requests == 2
    assert work.model_uses(E2) == {USE: 1}


@pytest.mark.parametrize("times", [1, 3])
def test_a_duplicate_update_counts_once(times):
    """Guards against an engine that looks full after a duplicate message."""
    work = PeerWork()
    for _ in range(times):
        work.receive(A, update(work_at(E1, 3), is_full=False), 0.0)
    assert work.totals_at(E1).requests == 3


def test_work_absent_from_a_full_update_has_ended():
    """Guards against work that never ends because its last delta was lost."""
    work = PeerWork()
    work.receive(A, update(work_at(E1, 3), work_at(E2, 1)), 0.0)
    work.receive(A, update(work_at(E2, 1)), 0.2)
    assert (work.totals_at(E1).requests, work.totals_at(E2).requests) == (0, 1)


def test_work_of_an_unresponsive_peer_expires():
    work = PeerWork()
    work.receive(A, update(work_at(E1, 3)), 0.0)
    work.receive(B, update(work_at(E1, 1)), 1.0)
    work.expire(PEER_UPDATE_TTL_S + 0.1)
    assert work.totals_at(E1).requests == 1
    work.expire(PEER_UPDATE_TTL_S + 1.1)
    assert work.totals_at(E1).requests == 0


def test_deltas_add_up_to_the_latest_update():
    """Applying deltas and full updates gives the totals of the latest update."""
    delta, work = UpdateDelta(), PeerWork()
    steps = [
        (work_at(E1, 1, 10), work_at(E2, 2)),
        (work_at(E1, 2, 20), work_at(E2, 2)),
        (work_at(E2, 2),),
        (work_at(E1, 1), work_at(E2, 1)),
    ]
    for number, running in enumerate(steps):
        full = EntryUpdate({Account("x"): float(number)}, {}, running)
        work.receive(A, delta.compute(full, number * 0.2), number * 0.2)
        expected = {item.upstream: item.requests for item in running}
        assert work.totals_at(E1).requests == expected.get(E1, 0)
        assert work.totals_at(E2).requests == expected[E2]


def test_deltas_contain_only_changes_between_full_updates():
    delta = UpdateDelta()
    first = EntryUpdate({Account("x"): 1.0, Account("y"): 1.0}, {}, (work_at(E1, 1),))
    second = EntryUpdate({Account("x"): 1.0, Account("y"): 2.0}, {}, (work_at(E1, 1),))
    assert delta.compute(first, 0.0) is first
    assert delta.compute(second, 0.2) == EntryUpdate({Account("y"): 2.0}, {}, (), False)
    assert delta.compute(second, MIN_FULL_INTERVAL_S + 0.1) is second


def test_small_fleets_publish_at_the_shortest_interval():
    assert update_interval(68) == UPDATE_INTERVAL_S
    assert full_update_interval(68) == MIN_FULL_INTERVAL_S


def test_updates_of_a_large_fleet_reach_peers_before_their_timeout():
    """Guards against peers that count as unresponsive between two updates."""
    assert update_interval(300) > update_interval(68)
    assert 3 * update_interval(1000) <= PEER_TIMEOUT_S
