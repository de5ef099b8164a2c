"""Lists, writers and changes shared by the tests of the configuration."""

from pathlib import Path

from persimmonhitch.catalog.changes import Change, Delta, apply_delta
from persimmonhitch.catalog.lists import parse_lists
from persimmonhitch.catalog.log import ChangeWriter, change_name, read_head
from persimmonhitch.catalog.model import ModelEntry
from persimmonhitch.catalog.spec import to_spec
from persimmonhitch.store.objects import Kind

LISTS = Path(__file__).parent / "lists"
ACCOUNTS = (LISTS / "accounts.ini").read_text()
PLANS = (LISTS / "plans.ini").read_text()


def lists():
    return parse_lists(ACCOUNTS, PLANS).unwrap()


def writer(store, operator="ana"):
    return ChangeWriter(store, operator, wall=lambda: 0.0, sleep=lambda _: None)


def model(name, revision="r1", base=None):
    return ModelEntry(name, 1.0, revision, base, 0.0)


def put(name, revision="r1"):
    return Delta(models=(model(name, revision),))


def change(number, delta):
    return Change(number, f"id{number}", "ana", 0.0, delta)


def fill(store, count, prefix="m"):
    """Append ``count`` changes, each with a new model; return the catalog."""
    catalog = read_head(store).unwrap().catalog
    for number in range(catalog.version + 1, catalog.version + count + 1):
        new_change = change(number, put(f"{prefix}{number}"))
        store.create(Kind.CHANGE, change_name(number), to_spec(new_change)).unwrap()
        catalog = apply_delta(catalog, new_change.delta, number)
    return catalog
