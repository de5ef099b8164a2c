"""Placement: reachable models first, few moves, no unload of the last copy."""

from dataclasses import replace

import pytest

from persimmonhitch.decide.copy_count import REMOVAL_WAIT_S, CopyCount, SmoothedDemand
from persimmonhitch.decide.pacing import LoadPacer, RetryBackoff
from persimmonhitch.decide.placement import Move, Reason, make_plan, plan_moves
from persimmonhitch.decide.targets import ModelRequirement
from persimmonhitch.ids import Model, Upstream
from persimmonhitch.play.placement_fleet import Fleet
from persimmonhitch.standin.weights import WeightStore

SPEED = 400.0


def need(name, memory=40.0, wanted=1, demand=1.0, base=None, revision="1", floor=1):
    return ModelRequirement(Model(name), memory, revision, base, demand, wanted, floor)


def needs_of(*needs):
    return {item.model: item for item in needs}


def fleet_of(count, zones=2, capacity=100.0):
    fleet = Fleet(WeightStore(100.0, 100, 100, model_time=1.0, adapter_time=1.0))
    fleet.add(count, zones, capacity)
    return fleet


def run_until_stable(fleet, needs, rounds=30):
    """Plan and apply moves until none is left; check that no last copy is unloaded."""
    for _ in range(rounds):
        moves = plan_moves(needs, fleet.sites(needs), SPEED)
        for move in moves:
            if not move.is_load and move.reason is not Reason.RETIRED:
                serving = len(fleet.serving(move.model))
                assert serving > 1, f"{move} unloads the last copy"
        fleet.apply(moves, needs)
        fleet.now += 2.0
        if not moves:
            return
    raise AssertionError("placement does not become stable")


def test_every_model_and_adapter_is_placed():
    needs = needs_of(
        *(need(f"m{i}", 30.0) for i in range(6)),
        *(need(f"m0-x{i}", 2.0, base=Model("m0")) for i in range(5)),
    )
    fleet = fleet_of(3)
    run_until_stable(fleet, needs)
    assert fleet.unreachable(needs) == []
    assert fleet.loads == 11
    assert fleet.unloads == 0


@pytest.mark.parametrize("zones", [2, 3])
def test_copies_spread_over_zones(zones):
    fleet = fleet_of(6, zones)
    run_until_stable(fleet, needs_of(need("m", wanted=zones)))
    used_zones = {fleet.upstreams[u].zone for u in fleet.serving(Model("m"))}
    assert len(used_zones) == zones


def test_surplus_copies_stay_until_their_memory_is_needed():
    fleet = fleet_of(2)
    run_until_stable(fleet, needs_of(need("a", wanted=2)))
    needs = needs_of(need("a"), need("b"), need("c"))
    run_until_stable(fleet, needs)
    assert fleet.unloads == 0
    needs = needs_of(need("a"), need("b"), need("c"), need("d"))
    run_until_stable(fleet, needs)
    assert (fleet.unloads, fleet.unreachable(needs)) == (1, [])


def test_models_of_a_dead_upstream_are_loaded_first():
    """An upstream with the only copy of a model fails while others need more copies.

    Callers of that model are refused until it is loaded again, so it is loaded first.
    """
    needs = needs_of(need("a", wanted=1), need("b", wanted=3, demand=900.0))
    fleet = fleet_of(3)
    sites = fleet.sites(needs)
    moves = plan_moves(needs, sites, SPEED)
    assert [m.reason for m in moves if m.is_load][:2] == [Reason.UNREACHABLE] * 2
    run_until_stable(fleet, needs)
    (home,) = fleet.serving(Model("a"))
    del fleet.upstreams[home]
    first = plan_moves(needs, fleet.sites(needs), SPEED)[0]
    assert (first.model, first.reason) == (Model("a"), Reason.UNREACHABLE)


def test_a_draining_upstream_keeps_its_last_copies_until_they_serve_elsewhere():
    """A draining upstream has the only copy of a model.

    The copy keeps serving until another copy serves elsewhere.
    """
    needs = needs_of(need("a"))
    fleet = fleet_of(2)
    run_until_stable(fleet, needs)
    (home,) = fleet.serving(Model("a"))
    fleet.upstreams[home].draining = True
    (move,) = plan_moves(needs, fleet.sites(needs), SPEED)
    assert move.is_load and move.upstream != home


def test_fragmented_memory_is_compacted_for_an_unreachable_model():
    """Each of two upstreams has half of the memory free that a new model needs.

    Without relocating a sole copy, the model could never be loaded.
    """
    needs = needs_of(need("a", 50.0), need("b", 50.0))
    fleet = fleet_of(2)
    sites = fleet.sites(needs)
    fleet.apply(
        [
            Move(True, Model("a"), sites[0].upstream, "1", Reason.SPARE),
            Move(True, Model("b"), sites[1].upstream, "1", Reason.SPARE),
        ],
        needs,
    )
    fleet.now = 10.0
    needs = {**needs, **needs_of(need("big", 100.0))}
    run_until_stable(fleet, needs)
    assert fleet.unreachable(needs) == []
    assert fleet.loads == 4


@pytest.mark.parametrize(("upstreams", "wanted"), [(2, 1), (3, 2), (4, 3)])
def test_a_new_revision_serves_before_the_old_one_is_unloaded(upstreams, wanted):
    """A model in use gets a new revision, with memory for one more copy.

    At no time do fewer copies serve than are wanted.
    """
    fleet = fleet_of(upstreams, capacity=50.0)
    run_until_stable(fleet, needs_of(need("a", wanted=wanted)))
    needs = needs_of(need("a", wanted=wanted, revision="2"))
    for _ in range(6 * wanted):
        fleet.apply(plan_moves(needs, fleet.sites(needs), SPEED), needs)
        fleet.now += 1.0
        assert len(fleet.serving(Model("a"))) >= wanted
    copies = [key for acc in fleet.upstreams.values() for key in acc.copies]
    assert copies == [(Model("a"), "2")] * wanted


@pytest.mark.parametrize(
    "changed",
    [
        [need("a", wanted=1, revision="2"), need("b", wanted=2, floor=2, demand=500.0)],
        [need("a", wanted=2, floor=2, demand=500.0), need("b", wanted=3, demand=9.0)],
        [need("c", wanted=1), need("a", wanted=2, floor=2), need("b", wanted=2)],
    ],
)
def test_models_do_not_evict_each_other_in_a_cycle(changed):
    """All memory is in use, and two models want a copy where only one fits.

    If each evicted the other's copy in turn, both would be loaded without end.
    """
    fleet = fleet_of(3, capacity=40.0)
    run_until_stable(fleet, needs_of(need("a"), need("b", wanted=2)))
    needs = needs_of(*changed)
    run_until_stable(fleet, needs, rounds=12)
    assert fleet.unreachable(needs) == []


def test_pending_memory_prevents_further_evictions():
    """A copy was unloaded for a new model, but its memory is not free yet.

    The memory stays reserved until no delayed order can arrive for it. A planner that
    ignored this would evict another copy for the same model in each round.
    """
    needs = needs_of(need("a", wanted=1), need("b", wanted=1), need("c"))
    fleet = fleet_of(4, capacity=40.0)
    run_until_stable(fleet, needs_of(need("a", wanted=2), need("b", wanted=2)))
    (unload,) = plan_moves(needs, fleet.sites(needs), SPEED)
    fleet.apply([unload], needs)
    targets = [
        replace(site, free=0.0) if site.upstream == unload.upstream else site
        for site in fleet.sites(needs)
    ]
    planned = make_plan(needs, targets, SPEED)
    assert (planned.moves, planned.unplaced) == ((), ())


def test_a_stale_revision_is_unloaded_for_a_spare():
    """All memory is in use; a model has a copy of each revision and wants a spare.

    The stale copy is unloaded, although a second new copy does not fit in addition.
    """
    fleet = fleet_of(2, capacity=40.0)
    run_until_stable(fleet, needs_of(need("a")))
    (home,) = fleet.serving(Model("a"))
    needs = needs_of(need("a", wanted=2, revision="2"))
    fleet.apply(plan_moves(needs, fleet.sites(needs), SPEED), needs)
    fleet.now += 2.0
    (move,) = plan_moves(needs, fleet.sites(needs), SPEED)
    assert (move.is_load, move.upstream, move.revision) == (False, home, "1")


def test_a_model_without_room_is_reported():
    """All memory is in use by sole copies when operators add another model.

    No copy may be evicted for the new model, so the plan reports it as unplaced.
    """
    needs = needs_of(need("a", 80.0), need("b", 80.0))
    fleet = fleet_of(2)
    run_until_stable(fleet, needs)
    needs = {**needs, **needs_of(need("c", 80.0))}
    planned = make_plan(needs, fleet.sites(needs), SPEED)
    assert planned.moves == ()
    assert planned.unplaced == ((Model("c"), Reason.UNREACHABLE),)


def test_adapters_get_another_base_when_the_first_has_no_room():
    base = Model("b")
    adapters = [need(f"b-x{i}", 20.0, base=base) for i in range(5)]
    needs = needs_of(need("b", 40.0), *adapters)
    fleet = fleet_of(2)
    run_until_stable(fleet, needs)
    assert fleet.unreachable(needs) == []
    assert len(fleet.serving(base)) == 2


def test_a_hotspot_is_relieved_without_creating_another():
    needs = needs_of(need("a", demand=300.0), need("b", demand=300.0))
    fleet = fleet_of(1)
    run_until_stable(fleet, needs)
    fleet.add(1, 2, 100.0)
    run_until_stable(fleet, needs)
    copies = [sorted(acc.copies) for acc in fleet.upstreams.values()]
    assert copies == [[(Model("a"), "1"), (Model("b"), "1")]] * 2


def test_demand_rises_fast_and_falls_slowly():
    track = SmoothedDemand()
    track.update(100.0, 0.0)
    assert track.update(1000.0, 35.0) > 900.0
    assert track.update(0.0, 95.0) > 800.0


@pytest.mark.parametrize(
    ("demands", "wanted"),
    [
        ([(0, 0.0)], 1),
        ([(0, 100.0)], 1),
        ([(0, 120.0)], 2),
        ([(0, 1000.0), (1, 10.0)], 5),
        ([(0, 1000.0), (REMOVAL_WAIT_S, 10.0), (2 * REMOVAL_WAIT_S, 10.0)], 3),
        ([(0, 1000.0), (REMOVAL_WAIT_S, 700.0), (2 * REMOVAL_WAIT_S, 700.0)], 5),
    ],
)
def test_copies_wanted(demands, wanted):
    count = CopyCount()
    for now, demand in demands:
        count.update(demand, SPEED, now)
    assert count.wanted == wanted


def load_of(name, reason=Reason.DEMAND):
    return Move(True, Model(name), Upstream("u"), "1", reason)


@pytest.mark.parametrize(
    ("rate", "in_progress", "started"),
    [
        (100.0, (0, 0), ["m1", "m2", "x1", "x2"]),
        (100.0, (2, 0), ["x1", "x2"]),
        (100.0, (0, 3), ["m1", "m2"]),
        (0.5, (0, 0), ["m1"]),
    ],
)
def test_loads_are_paced_to_the_weight_store(rate, in_progress, started):
    """A zone is lost, and all its models have to be loaded at once.

    Loads beyond the rate of the weight store slow each other down, urgent ones too.
    """
    pacer = LoadPacer(rate, 2, 3)
    adapters = frozenset(Model(f"x{i}") for i in range(9))
    list(pacer.admit([], adapters, 0, 0, 0.0))
    moves = [load_of(name) for name in ("m1", "m2", "m3", "x1", "x2")]
    admitted = pacer.admit(moves, adapters, *in_progress, 1.0)
    assert [move.model for move in admitted] == started


def test_unloads_are_not_paced_and_failures_back_off():
    pacer = LoadPacer(0.1, 1, 1)
    unload = replace(load_of("m"), is_load=False)
    assert list(pacer.admit([unload] * 3, frozenset(), 9, 9, 0.0)) == [unload] * 3
    delay, slot = RetryBackoff(), (Model("m"), Upstream("u"))
    delay.record_failure(slot, 0.0)
    delay.record_failure(slot, 5.0)
    assert (delay.blocked_targets(8.9), delay.blocked_targets(9.0)) == ({slot}, set())
    delay.record_success(slot)
    assert delay.blocked_targets(0.0) == set()
