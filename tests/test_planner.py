"""The planner's lease and its view of the fleet."""

import pytest

from persimmonhitch.catalog.model import Catalog, ModelEntry
from persimmonhitch.decide.pacing import LoadPacer
from persimmonhitch.decide.placement import Move, Reason
from persimmonhitch.decide.targets import CopyPhase
from persimmonhitch.entry.directory import SidecarInfo
from persimmonhitch.ids import Epoch, Model, Upstream
from persimmonhitch.planner.fleet import SILENCE, FleetView, OpenOrder
from persimmonhitch.planner.lease import LeaseKeeper
from persimmonhitch.planner.planning import (
    CatalogRead,
    FromSidecar,
    LinkOpened,
    PlanningActor,
    PlanningLimits,
    SidecarsListed,
    Tick,
)
from persimmonhitch.planner.round import Rounds
from persimmonhitch.sidecar.holdings import EVERY, HoldingsNews
from persimmonhitch.standin.store_state import StoreState
from persimmonhitch.wire.messages import Order, OrderDone, UpstreamKind
from persimmonhitch.wire.placement import Copy, CopyState, CopyStatus, Inventory

DURATION = 10.0


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def store():
    return StoreState()


def keeper(store, clock, name):
    return LeaseKeeper(store, "planner", name, f"life-{name}", DURATION, clock)


def wait(clock, seconds, *keepers):
    """Let time pass with the keepers at work."""
    for _ in range(int(seconds / 2)):
        clock.now += 2.0
        for one in keepers:
            one.step()


def test_one_holder_and_a_rising_epoch(store, clock):
    a, b = keeper(store, clock, "a"), keeper(store, clock, "b")
    a.step()
    wait(clock, 40, a, b)
    assert (a.epoch(), b.epoch()) == (1, None)
    a.release()
    b.step()
    assert (a.epoch(), b.epoch()) == (None, 2)


def test_a_holder_paused_past_its_lease_stops_by_its_own_clock(store, clock):
    """A planner's VM is frozen for a minute, and another planner takes over.

    If the first went on where it was, both would unload copies that the other
    counts on, and callers would find a model gone.
    """
    a, b = keeper(store, clock, "a"), keeper(store, clock, "b")
    a.step()
    b.step()
    wait(clock, 60, b)
    assert (a.epoch(), b.epoch()) == (None, 2)
    a.step()
    assert a.epoch() is None


def test_no_moment_with_two_holders(store, clock):
    """The store goes away at every possible moment of the holder's renewals."""
    for pause in range(20):
        a, b = keeper(store, clock, "a"), keeper(store, clock, "b")
        wait(clock, pause, a, b)
        store.faults.down = True
        wait(clock, 8, a, b)
        store.faults.down = False
        for _ in range(40):
            clock.now += 0.5
            b.step()
            assert a.epoch() is None or b.epoch() is None
        a.release()
        b.release()


@pytest.mark.parametrize("lost", [1, 2])
def test_a_renewal_whose_answer_was_lost_keeps_the_lease(store, clock, lost):
    """The store takes a renewal and its answer is lost on the way.

    Taken for a conflict it would cost a healthy holder its lease, and the fleet
    its placement for as long as a lease lasts.
    """
    a = keeper(store, clock, "a")
    a.step()
    store.faults.lost_answers = lost
    wait(clock, 40, a)
    assert a.epoch() == 1


def test_no_lease_is_taken_while_the_store_is_down(store, clock):
    """The store is away for an hour; nobody can know who holds the lease."""
    a = keeper(store, clock, "a")
    a.step()
    store.faults.down = True
    wait(clock, 60, a)
    assert (a.epoch(), a.caretaker()) == (None, 1)
    clock.now += 60
    assert a.caretaker() is None
    store.faults.down = False
    a.step()
    assert (a.epoch(), a.caretaker()) == (2, None)


def test_an_overtaken_holder_goes_above_the_epoch_it_saw(store, clock):
    """Somebody deleted the lease, and sidecars know a higher epoch than it says.

    Every order would be refused for ever if the epoch began anew.
    """
    a = keeper(store, clock, "a")
    a.step()
    a.saw_epoch(Epoch(7))
    assert a.epoch() is None
    a.step()
    assert a.epoch() == 8


MODEL = Model("m")
COPY = Copy(MODEL, None, "1")
UP, OTHER = Upstream("u1"), Upstream("u2")


def info(upstream):
    return SidecarInfo(
        upstream, "vm", "z", "r", "h", 1, UpstreamKind.ENGINE, "", "i", frozenset(), 0
    )


def holdings(upstream=UP, epoch=1, held=(), free=100.0, ready=True):
    made = tuple(CopyStatus(copy, state, 10.0, demand) for copy, state, demand in held)
    return Inventory(upstream, "vm", "z", "i", epoch, 100.0, free, ready, False, made)


def view(*msgs, now=0.0):
    fleet = FleetView()
    fleet.set_sidecars({u: info(u) for u in (UP, OTHER)})
    for msg in msgs:
        fleet.opened(msg.upstream, FakeLink())
        fleet.heard(msg, now)
    return fleet


class FakeLink:
    peer = "fake"

    def __init__(self):
        self.sent = []
        self.closed = False

    def send(self, msg):
        self.sent.append(msg)
        return not self.closed

    def close(self):
        self.closed = True


def test_only_holdings_of_our_epoch_count():
    """A sidecar reports before it has refused the last holder's orders.

    What it holds may change yet by such an order, so nothing is unloaded elsewhere
    for the sake of its copy.
    """
    fleet = view(holdings(epoch=1), holdings(OTHER, epoch=2))
    assert [site.upstream for site in fleet.sites(Epoch(2), {}, 0.0)] == [OTHER]
    assert not fleet.heard_from_all(Epoch(2))


def test_a_silent_upstream_counts_for_a_while_but_not_as_serving():
    """A sidecar restarts: its link is gone for a few seconds, its engine serves on.

    Loaded elsewhere at once, each restart would cost a move of every model there.
    """
    fleet = view(holdings(held=[(COPY, CopyState.LOADED, 0.0)]))
    fleet.lost(UP, fleet.members[UP].link)
    for link in (None, FakeLink()):
        # The new life has not said yet what it holds and whether it takes orders.
        if link:
            assert fleet.opened(UP, link)
            assert not fleet.opened(UP, FakeLink())
        (site,) = fleet.sites(Epoch(1), {}, SILENCE)
        assert (site.accepting, site.copies[MODEL].phase) == (False, CopyPhase.LOADING)
    assert fleet.sites(Epoch(1), {}, SILENCE + 0.1) == []


@pytest.mark.parametrize(
    ("held", "load", "state", "free"),
    [
        ([], True, CopyPhase.LOADING, 90.0),
        ([(COPY, CopyState.LOADING, 0.0)], True, CopyPhase.LOADING, 100.0),
        ([(COPY, CopyState.LOADED, 0.0)], False, CopyPhase.UNLOADING, 100.0),
    ],
)
def test_orders_under_way_count_before_they_show(held, load, state, free):
    fleet = view(holdings(held=held))
    move = Move(load, MODEL, UP, "1", Reason.DEMAND)
    fleet.members[UP].orders["o"] = OpenOrder(move, 10.0)
    (site,) = fleet.sites(Epoch(1), {}, 0.0)
    assert (site.copies[MODEL].phase, site.free) == (state, free)
    fleet.done(UP, OrderDone("o", Epoch(1), ""))
    fleet.heard(holdings(held=held), 1.0)
    assert fleet.members[UP].orders == {}


def catalog():
    return Catalog(1, models={MODEL: ModelEntry(MODEL, 8.0, "1", None, 2.0)})


def planning(store, clock, settle=5.0):
    lease = keeper(store, clock, "a")
    lease.step()
    rounds = Rounds(400.0, LoadPacer(10.0, 10, 10))
    actor = PlanningActor(lease, rounds, PlanningLimits(settle), "life", clock)
    for msg in (CatalogRead(catalog()), SidecarsListed({UP: info(UP)}), Tick()):
        actor.take(msg)
    link = FakeLink()
    actor.take(LinkOpened(UP, link))
    return lease, actor, link


def orders(link):
    return [(msg.action, msg.model) for msg in link.sent if isinstance(msg, Order)]


def test_planning_fences_then_loads_what_nobody_serves(store, clock):
    _lease, actor, link = planning(store, clock)
    actor.take(Tick())
    assert orders(link) == [("fence", "")]
    actor.take(FromSidecar(UP, holdings()))
    actor.take(Tick())
    actor.take(Tick())
    assert orders(link)[1:] == [("load", MODEL)]
    assert link.sent[-1].memory_gib == 10.0


def test_while_the_store_is_away_only_the_unreachable_are_loaded(store, clock):
    """The store is down for long, and an engine dies with the only copy of a model.

    Without anyone who may order its load, its callers would wait out the outage.
    """
    lease, actor, link = planning(store, clock)
    store.faults.down = True
    wait(clock, 30, lease)
    busy = Copy(Model("gone"), None, "1")
    actor.take(FromSidecar(UP, holdings(held=[(busy, CopyState.LOADED, 0.0)])))
    actor.take(Tick())
    assert orders(link)[1:] == [("load", MODEL)]
    lease.saw_epoch(Epoch(2))
    actor.take(Tick())
    assert link.closed


def test_a_link_that_ended_before_it_was_told_is_dialled_again(store, clock):
    """A link breaks in the moment of its opening and its end is told first.

    Taken for open it would never be dialled again, and its models stay away.
    """
    _lease, actor, _link = planning(store, clock)
    dead = FakeLink()
    dead.close()
    actor.take(SidecarsListed({UP: info(UP), OTHER: info(OTHER)}))
    actor.take(LinkOpened(OTHER, dead))
    assert actor._fleet.members[OTHER].link is None


def test_a_new_holder_waits_to_hear_from_everybody(store, clock):
    """A planner takes the lease and has heard from one sidecar out of two.

    It would load every model of the other a second time. After the settling time
    the silent one counts as dead.
    """
    _lease, actor, link = planning(store, clock)
    actor.take(SidecarsListed({UP: info(UP), OTHER: info(OTHER)}))
    actor.take(FromSidecar(UP, holdings()))
    actor.take(Tick())
    assert orders(link)[1:] == []
    clock.now += 5.0
    actor.take(Tick())
    assert orders(link)[1:] == [("load", MODEL)]


def test_a_thawed_planner_sends_nothing(store, clock):
    """The planner is frozen past its lease with its links open, and thaws."""
    _lease, actor, link = planning(store, clock)
    actor.take(FromSidecar(UP, holdings()))
    clock.now += 60.0
    actor.take(Tick())
    assert orders(link)[1:] == []
    assert link.closed


@pytest.mark.parametrize(
    ("later", "after", "news"),
    [
        ({}, 1.0, False),
        ({}, EVERY, True),
        ({"free": 50.0}, 1.0, True),
        ({"held": [(COPY, CopyState.LOADED, 60.0)]}, 6.0, True),
        ({"held": [(COPY, CopyState.LOADED, 60.0)]}, 1.0, False),
        ({"held": [(COPY, CopyState.LOADED, 52.0)]}, 6.0, False),
    ],
)
def test_holdings_are_told_when_they_are_news(later, after, news):
    told = HoldingsNews()
    first = {"held": [(COPY, CopyState.LOADED, 45.0)]}
    assert told.due(holdings(**first), 0.0)
    assert told.due(holdings(**{**first, **later}), after) is news
