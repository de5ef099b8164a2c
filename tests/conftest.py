"""Order of the tests."""

SLOW_FILES = (
    "test_poison_fleet.py",
    "test_part_fleet.py",
    "test_soak.py",
    "test_soak_seeds.py",
    "test_retry_storm.py",
)
"""Files that take longest; parallel workers would wait for them at the end."""


def pytest_collection_modifyitems(items):
    """Run the slowest files first, and all others in their order."""
    items.sort(key=lambda item: item.path.name not in SLOW_FILES)
