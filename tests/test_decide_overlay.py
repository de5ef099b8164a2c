"""Whom an entry tells its news."""

import pytest

from persimmonhitch.decide.overlay import SILENT, Member, Overlay, Way
from persimmonhitch.ids import Vm, Zone

Z1, Z2 = Zone("z1"), Zone("z2")
STRONG, WEAK = 2.0, 0.4


def members(*names, zone=Z1, cores=WEAK):
    return [Member(Vm(name), zone, cores) for name in names]


def overlay(me, others, now=0.0):
    made = Overlay(me)
    made.update(others)
    made.routes(now)
    return made


def test_the_vm_with_most_processor_time_is_the_parent():
    """A parent on the smallest VM passes everything on late."""
    weak, strong = members("a", "b"), members("c", cores=STRONG)
    assert overlay(weak[0], [weak[1], *strong]).routes(0.0).parent == "c"
    assert overlay(strong[0], weak).routes(0.0).parent is None


def test_all_entries_of_a_zone_agree_on_the_parent():
    found = members(*"abcdefgh")
    roots = [
        made.routes(0.0).parent
        for me in found
        for made in [overlay(me, [m for m in found if m != me])]
    ]
    assert roots.count(None) == 1
    assert len(set(roots)) == 2


def test_only_an_entry_without_a_parent_tells_other_zones():
    near, far = members("a", "b", "c"), members("x", "y", zone=Z2)
    for me in near:
        routes = overlay(me, [m for m in near + far if m != me]).routes(0.0)
        assert bool(routes.across) is (routes.parent is None)


@pytest.mark.parametrize(
    ("heard_at", "followed"), [(None, False), (0.2, False), (SILENT, True)]
)
def test_a_silent_parent_is_passed_over_until_it_speaks(heard_at, followed):
    """Guards against a zone that hears nothing while its parent is frozen."""
    first, *rest = sorted(members("a", "b", "c"), key=_is_first)
    made = overlay(rest[1], [first, rest[0]])
    if heard_at is not None:
        made.heard(first.vm, Way.DOWN, heard_at)
    routes = made.routes(SILENT + 0.25)
    assert (routes.parent == first.vm) is followed
    assert (first.vm in routes.probes) is not followed
    made.heard(first.vm, Way.DOWN, 5.0)
    assert made.routes(5.1).parent == first.vm


def _is_first(member):
    others = [m for m in members("a", "b", "c") if m != member]
    routes = overlay(member, others).routes(0.0)
    return routes.parent is not None


def test_a_silent_entry_of_another_zone_is_passed_over():
    made = overlay(members("a")[0], members("x", "y", zone=Z2))
    (first,) = made.routes(0.0).across
    (second,) = made.routes(SILENT + 0.1).across
    assert {first, second} == {"x", "y"}


def test_whoever_tells_as_a_child_or_across_is_told_in_turn():
    """Two entries that disagree on who is alive would lose each other's news."""
    made = overlay(members("a")[0], members("x", "y", zone=Z2))
    made.heard(Vm("unlisted"), Way.UP, 0.0)
    made.heard(Vm("x"), Way.ACROSS, 0.0)
    made.heard(Vm("y"), Way.ACROSS, 0.0)
    routes = made.routes(0.1)
    assert routes.children == {"unlisted"}
    assert routes.across == {"x", "y"}
    assert not made.routes(60.0).children


def test_one_entry_of_the_fleet_leads():
    """Each zone's parent would watch the store for itself."""
    zones = [members(f"{zone}1", f"{zone}2", zone=Zone(zone)) for zone in "abc"]
    every = [member for found in zones for member in found]
    made = [overlay(me, [m for m in every if m != me]) for me in every]
    roots = [one for one in made if one.routes(0.0).parent is None]
    for one in roots:
        for other in roots:
            if other is not one:
                one.heard(other.me.vm, Way.ACROSS, 0.0)
    assert sum(one.routes(0.1).leads for one in made) == 1
    assert sorted(one.place() for one in made) == list(range(len(every)))


def test_an_entry_leads_once_those_before_it_are_silent():
    every = [*members("a", zone=Z1), *members("b", zone=Z2)]
    first, second = sorted(
        every, key=lambda me: overlay(me, [m for m in every if m != me]).place()
    )
    made = overlay(second, [first])
    made.heard(first.vm, Way.ACROSS, 0.0)
    assert not made.routes(0.1).leads
    assert made.routes(SILENT + 0.2).leads
