"""Which answers are cut when many bodies without end come at once."""

import pytest

from persimmonhitch.decide.held_answers import answers_to_cut, max_held_bytes

MB = 1_000_000
BOUND = max_held_bytes(160)
READ_BYTES = 64 * 1024


@pytest.mark.parametrize(
    ("held", "cut"),
    [
        ({"a": 10, "b": 20}, []),
        ({"a": 60, "b": 41}, ["a"]),
        ({"a": 60, "b": 70, "c": 5}, ["b"]),
        ({"a": 90, "b": 110, "c": 5, "d": 105}, ["b", "d"]),
    ],
)
def test_the_largest_answers_are_cut_and_no_more_than_needed(held, cut):
    assert answers_to_cut(held, 100) == cut


@pytest.mark.parametrize("endless", [1, 4, 32, 180])
def test_endless_bodies_do_not_displace_small_answers(endless):
    """Guards against callers of sound upstreams who pay for those that send garbage."""
    held, cut = {}, []
    for step in range(400):
        held[f"small-{step % 12}"] = 40_000 + step
        for number in range(endless):
            name = f"endless-{number}"
            held[name] = held.get(name, 0) + READ_BYTES
            gone = answers_to_cut(held, BOUND)
            for each in gone:
                del held[each]
            cut += gone
            assert sum(held.values()) <= BOUND
    assert all(name.startswith("endless") for name in cut)


@pytest.mark.parametrize(
    ("memory_mb", "bound"), [(0, None), (160, 20 * MB), (552, 69 * MB)]
)
def test_bound_follows_the_memory_if_known(memory_mb, bound):
    assert max_held_bytes(memory_mb) == bound
