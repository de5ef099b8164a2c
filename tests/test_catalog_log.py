"""Tests of the change log: one order of changes, and no false success."""

import threading

import pytest
from catalog_help import fill, lists, model, put, writer
from returns.result import Success

from persimmonhitch.catalog.changes import Delta, EntryKind, Ref, apply
from persimmonhitch.catalog.log import CommitError, change_name, parse_change, read_head
from persimmonhitch.catalog.model import EMPTY
from persimmonhitch.catalog.snapshots import INTERVAL, RETAINED, compact, make_parts
from persimmonhitch.standin.store_state import StoreState
from persimmonhitch.store.objects import Kind


def test_changes_are_replayed_in_order():
    store = StoreState()
    fill(store, 12)
    deletion = Delta(deleted=(Ref(EntryKind.MODEL, "m3"),))
    head = read_head(store).unwrap().catalog
    assert writer(store).commit(head, deletion).unwrap().version == 13
    catalog = read_head(store).unwrap().catalog
    assert catalog.version == 13
    assert len(catalog.models) == 11 and "m3" not in catalog.models
    assert not isinstance(apply(catalog, read_change(store, 13)), Success)


def read_change(store, number):
    return parse_change(store.get(Kind.CHANGE, change_name(number)).unwrap()).unwrap()


def test_two_operators_at_once_get_one_winner_and_one_conflict():
    """Two operators change one model at the same time.

    If both commits reported success, the change of one operator would be lost
    without notice.
    """
    store = StoreState()
    base = fill(store, 1)
    start = threading.Barrier(2)
    results = {}

    def race(operator):
        start.wait()
        delta = put("m1", operator)
        results[operator] = writer(store, operator).commit(base, delta)

    threads = [threading.Thread(target=race, args=(name,)) for name in ("a", "b")]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    winners = [name for name, result in results.items() if isinstance(result, Success)]
    loser = ({"a", "b"} - set(winners)).pop()
    assert len(winners) == 1
    assert results[loser].failure().error is CommitError.CONFLICT
    assert "model m1" in results[loser].failure().detail
    assert read_head(store).unwrap().catalog.models["m1"].revision == winners[0]


def test_changes_to_other_entries_are_rebased():
    store = StoreState()
    base = fill(store, 1)
    for name in ("x", "y", "x"):
        assert isinstance(writer(store).commit(base, put(name)), Success)
    assert read_head(store).unwrap().catalog.version == 3


def test_a_change_that_loses_its_base_to_another_is_refused():
    """One operator deletes a model while another adds an adapter of the model.

    The two changes modify different entries, but together they would leave an
    adapter whose base no engine can load.
    """
    store = StoreState()
    base = fill(store, 2)
    deletion = Delta(deleted=(Ref(EntryKind.MODEL, "m1"),))
    assert isinstance(writer(store).commit(base, deletion), Success)
    adapter = Delta(models=(model("tide", base="m1"),))
    failure = writer(store, "bo").commit(base, adapter).failure()
    assert failure.error is CommitError.INVALID
    assert "no model named 'm1'" in failure.detail


def test_a_lost_answer_is_recognised_as_success():
    """The store writes the change, and its answer is lost.

    The commit must not report a conflict with its own change, nor may the log
    contain the change twice.
    """
    store = StoreState()
    base = fill(store, 1)
    store.faults.lost_answers = 1
    assert writer(store).commit(base, put("x")).unwrap().version == 2
    assert read_head(store).unwrap().catalog.version == 2


def test_a_lost_answer_is_recognised_after_a_conflicting_change():
    """The answer is lost, and another operator changes the same model before the
    second attempt. A reported conflict would state that nothing was written,
    although the log contains both changes.
    """
    store = StoreState()
    base = fill(store, 1)
    create = store.create

    def lose(*args):
        store.create = create
        store.faults.lost_answers = 1
        lost = create(*args)
        head = read_head(store).unwrap().catalog
        writer(store, "bo").commit(head, put("x", "bo")).unwrap()
        return lost

    store.create = lose
    assert writer(store).commit(base, put("x", "ana")).unwrap().version == 2
    assert read_head(store).unwrap().catalog.models["x"].revision == "bo"


def test_an_outage_is_never_reported_as_success():
    """The store goes down before the write of a change, or during the write.

    The commit must not report success: an outage before the write is a failure,
    an outage during the write leaves the result unknown.
    """
    store = StoreState()
    base = fill(store, 1)
    store.faults.down = True
    failure = writer(store).commit(base, put("x")).failure()
    assert failure.error is CommitError.UNAVAILABLE
    store.faults.down = False

    def go_down(*_args):
        store.faults.down = True
        return StoreState.create(store, *_args)

    store.create = go_down
    assert writer(store).commit(base, put("x")).failure().error is CommitError.UNKNOWN


def test_snapshots_replace_old_changes_and_nothing_is_lost():
    store = StoreState()
    catalog = fill(store, INTERVAL)
    assert compact(store, catalog).unwrap()
    assert not compact(store, catalog).unwrap()
    catalog = fill(store, INTERVAL, "n")
    assert compact(store, catalog).unwrap()
    names = [obj.name for obj in store.list_all(Kind.CHANGE).unwrap().items]
    assert len(names) == RETAINED + 1 and change_name(INTERVAL) in names
    assert read_head(store).unwrap().catalog == catalog
    assert writer(store).commit(catalog, put("x")).unwrap().version == 2 * INTERVAL + 1


def test_a_snapshot_with_a_part_missing_is_not_used():
    """A process that writes a snapshot in parts is killed after the first part.

    A new process that used this part as the whole catalog would lack most models.
    """
    store = StoreState()
    catalog = fill(store, INTERVAL)
    assert len(make_parts(catalog)) == 1
    first = make_parts(catalog)[0]
    spec = {"version": INTERVAL, "digest": "d", "part": 0, "parts": 2}
    delta = {name: [] for name in first.delta.__dataclass_fields__}
    store.create(Kind.SNAPSHOT, "0-d-0", {**spec, "delta": delta}).unwrap()
    assert read_head(store).unwrap().catalog == catalog


def test_a_large_catalog_is_split_below_the_limit_of_a_value():
    models = {f"m{n}": model(f"m{n}", "r" * 150) for n in range(6000)}
    catalog = EMPTY.__class__(version=INTERVAL, models=models, plans=lists().plans)
    store = StoreState()
    assert compact(store, catalog).unwrap()
    assert len(store.list_all(Kind.SNAPSHOT).unwrap().items) > 1
    assert read_head(store).unwrap().catalog == catalog


@pytest.mark.parametrize("number", [1, 2])
def test_a_writer_frozen_past_a_compaction_reports_no_lost_change(number):
    """An operator's command is frozen between its read and its write.

    Meanwhile another change of the same number is written, compacted and deleted,
    so the create succeeds. The command would report success for a change that no
    process applies.
    """
    store = StoreState()
    base = fill(store, number - 1, "k")
    create = store.create
    frozen = []

    def thaw(kind, name, spec):
        if not frozen:
            frozen.append(name)
            catalog = fill(store, INTERVAL + RETAINED)
            compact(store, catalog).unwrap()
        return create(kind, name, spec)

    store.create = thaw
    catalog = writer(store).commit(base, put("x")).unwrap()
    assert frozen == [change_name(number)]
    assert catalog.version == number + INTERVAL + RETAINED
    assert read_head(store).unwrap().catalog == catalog
