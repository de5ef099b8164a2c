"""Share records: the parts always sum to the whole, over a limited number of VMs."""

import pytest
from returns.result import Failure as Err
from returns.result import Success

from persimmonhitch.limits.record import (
    MAX_HOLDERS,
    NO_PARTS,
    PARTS,
    ShareRecord,
    allocate,
    from_spec,
    rebalance,
    reclaim,
    release,
    split_share,
)

FOUR = ShareRecord(3, {f"vm{n}": PARTS // 4 for n in range(4)})
ONE = ShareRecord(1, {"vm0": PARTS})
FLEET = [f"vm{n}" for n in range(360)]


@pytest.mark.parametrize(
    ("record", "holders"),
    [
        (allocate(NO_PARTS, "coop", FLEET), MAX_HOLDERS),
        (allocate(NO_PARTS, "coop", ["vm7"]), 1),
        (split_share(ONE, "vm0", "vm1"), 2),
        (release(FOUR, "vm1"), 3),
        (release(ONE, "vm0", ["vm0", "vm5"]), 1),
        (reclaim(FOUR, ["vm0", "vm2", "vm9"], FLEET), 2),
        (reclaim(ONE, ["vm0"], ["vm3"]), 1),
        (rebalance(FOUR, "vm0", {"vm0": 1.0, "vm9": 9.0}), 4),
        (rebalance(FOUR, "vm0", {"vm0": 1.0, "vm1": 9.0}), 4),
    ],
)
def test_parts_sum_to_one(record, holders):
    assert sum(record.parts.values()) == PARTS
    assert len(record.parts) == holders
    assert record.generation > 0
    assert from_spec(record.to_spec()) == Success(record)


@pytest.mark.parametrize(
    "record",
    [
        split_share(FOUR, "vm0", "vm9"),
        split_share(ONE, "vm1", "vm2"),
        rebalance(FOUR, "vm0", {"vm0": 5.0, "vm1": 6.0}),
        rebalance(FOUR, "vm9", {"vm0": 5.0}),
        rebalance(ShareRecord(1, {"vm0": 600_000, "vm1": 400_000}), "vm0", {"vm1": 9}),
    ],
)
def test_no_change_where_it_gains_nothing(record):
    assert record is None


@pytest.mark.parametrize(
    "spec",
    [
        {},
        {"generation": 1, "parts": {"vm0": 1}},
        {"generation": 1, "parts": {"vm0": 2 * PARTS, "vm1": -PARTS}},
        {"generation": "1", "parts": {}},
    ],
)
def test_broken_record_is_refused(spec):
    assert isinstance(from_spec(spec), Err)
