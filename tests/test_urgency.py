"""Weights of demand by rank, while prompts queue at the engines."""

import math
from dataclasses import replace

import pytest
from direct_help import LLM, ROUTES, config, no_limits, route
from placement_replay import Caller
from test_direct_dispatcher import record, request
from test_engine_demand import KNOWN, MODELS, busy_callers, fleet

from persimmonhitch.decide.urgency import CONTENTION_S, MIN_WEIGHT, RankWeights
from persimmonhitch.direct.dispatcher import Dispatcher
from persimmonhitch.direct.peer_messages import EntryUpdate, UpstreamWork
from persimmonhitch.direct.poison import PoisonGuard
from persimmonhitch.fleet.call import ServerLoad
from persimmonhitch.fleet.config import RouteKind
from persimmonhitch.ids import Service, Upstream, Vm, Zone


def rank_weights(*ranks_and_waits):
    routes = [
        route(f"r{n}", RouteKind.STREAM, LLM, rank=rank, latency_target=wait)
        for n, (rank, wait) in enumerate(ranks_and_waits)
    ]
    elsewhere = route("x", RouteKind.STREAM, Service("x"), rank=0, latency_target=0.01)
    return RankWeights.from_routes([*routes, elsewhere], LLM)


@pytest.mark.parametrize(
    ("ranks_and_waits", "expected"),
    [
        ([(1, 1.0)], {1: 1.0}),
        ([(0, 0.8), (2, 1.0)], {0: 1.0, 2: 0.8}),
        ([(0, 0.8), (1, 2.0), (2, 6.0)], {0: 1.0, 1: MIN_WEIGHT, 2: MIN_WEIGHT}),
        ([(0, 1.0), (1, 8.0), (1, 1.25)], {0: 1.0, 1: 0.8}),
        ([(0, 2.0), (1, 1.0)], {0: 1.0, 1: 1.0}),
        ([(0, 1.0), (1, 1.25), (2, 1.0)], {0: 1.0, 1: 0.8, 2: 0.8}),
        ([(0, 1.0), (1, math.inf)], {0: 1.0, 1: MIN_WEIGHT}),
        ([(0, 0.0), (1, 1.0)], {0: 1.0, 1: 1.0}),
        ([], {}),
    ],
)
def test_ranks_weigh_by_the_time_that_callers_can_wait(ranks_and_waits, expected):
    assert rank_weights(*ranks_and_waits).weights == expected


@pytest.mark.parametrize(("rank", "expected"), [(-1, 1.0), (0, 1.0), (3, 0.8)])
def test_ranks_of_accounts_weigh_like_the_next_more_urgent_rank(rank, expected):
    assert rank_weights((0, 0.8), (2, 1.0)).weight(rank) == expected


def overloaded_replay(ranks, lose, requests, burst):
    """Lose engines while unhurried callers ask for rare models beside urgent callers.

    Return the shares of urgent and of unhurried requests that are refused, or late.
    """
    totals = [0.0, 0.0]
    for seed in range(3):
        replay = fleet(KNOWN, ranks=ranks, seed=seed)
        rare = [Caller(m, 0.28, 5.0, 4.8, rank=2) for m in MODELS[10:]]
        more = [replace(c, requests_per_s=0.28 * burst) for c in rare]
        replay.run(4, busy_callers(0, requests) + rare)
        replay.lose(lose)
        replay.run(8, busy_callers(3, requests) + more)
        replay.run(4, busy_callers(3, requests) + rare)
        for n, models in enumerate((MODELS[:8], MODELS[10:])):
            shares = replay.refused_share(*models), replay.late_share(*models)
            totals[n] += sum(shares) / 3
    return totals


def test_unhurried_callers_give_way_under_overload():
    """Guards against urgent callers who are refused beside loads of rare models."""
    ranks = rank_weights((0, 0.8), (2, 6.0))
    before = overloaded_replay(None, 5, 250.0, 4.0)
    after = overloaded_replay(ranks, 5, 250.0, 4.0)
    assert after[0] <= 0.8 * before[0]
    assert after[1] <= before[1] + 0.25


def test_unhurried_callers_are_served_as_before_without_overload():
    """Guards against refusals of unhurried callers that serve nobody else."""
    ranks = rank_weights((0, 0.8), (2, 6.0))
    assert overloaded_replay(ranks, 0, 85.0, 2.4) == overloaded_replay(
        None, 0, 85.0, 2.4
    )


@pytest.mark.parametrize(
    ("states_slowdown", "unread", "ranks", "expected"),
    [
        (True, 9000, (0, 2), (120.0, 60.0)),
        (True, 1000, (0, 2), (120.0, 120.0)),
        (False, 9000, (0, 2), (120.0, 120.0)),
        (True, 9000, (1, 1), (120.0, 120.0)),
    ],
)
def test_demand_is_weighted_while_stated_loads_have_a_backlog(
    states_slowdown, unread, ranks, expected
):
    """Guards against weights in deployments whose upstreams state no slowdown."""
    now = [100.0]
    dispatcher = Dispatcher(
        Zone("z1"), lambda _msg: None, PoisonGuard(Vm("a")), no_limits(), lambda: now[0]
    )
    waits = (1.0, 8.0)
    routes = [
        route(f"r{n}", RouteKind.STREAM, LLM, rank=rank, latency_target=wait)
        for n, (rank, wait) in enumerate(zip(ranks, waits, strict=True))
    ]
    dispatcher.configure(replace(config(), routes=(*ROUTES[:2], *routes)))
    dispatcher.update([record()])
    slowdown = 1.0 if states_slowdown else None
    dispatcher.record_load(record(), ServerLoad(1, 0, 2, slowdown))
    work = UpstreamWork(Upstream("e1"), 1, 100, unread)

    def demand_of(rank):
        before = dispatcher.entry_update().demand.get("big", 0.0)
        dispatcher.record_demand(request(rank))
        return dispatcher.entry_update().demand["big"] - before

    dispatcher.receive_entry_update(Vm("b"), EntryUpdate({}, {}, (work,)))
    dispatcher.tick()
    assert tuple(demand_of(rank) for rank in ranks) == expected
    idle = EntryUpdate({}, {}, (replace(work, requests=0, prefill_tokens=0),))
    now[0] += CONTENTION_S
    dispatcher.receive_entry_update(Vm("b"), idle)
    dispatcher.tick()
    assert [demand_of(rank) for rank in ranks] == [120.0, 120.0]
