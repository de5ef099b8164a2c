"""Tests of keys: only hashes are stored, and a key is valid for one account."""

from dataclasses import replace

import pytest
from catalog_help import lists
from returns.result import Failure as Err
from returns.result import Success

from persimmonhitch.catalog.changes import apply_delta, diff_lists
from persimmonhitch.catalog.keys import authenticate, bearer_key, find, issue, withdraw
from persimmonhitch.catalog.model import KeyState
from persimmonhitch.catalog.spec import to_spec
from persimmonhitch.verdict import Verdict


def issue_for(account="coop"):
    key, delta = issue(lists(), account).unwrap()
    return key, apply_delta(lists(), delta, 1)


def test_a_key_authenticates_its_account_and_is_stored_as_a_hash():
    key, catalog = issue_for()
    assert authenticate(catalog, key) == Success("coop")
    assert key.startswith("phk_") and len(key) > 40
    assert key not in str(to_spec(diff_lists(catalog, lists())))


def refusal_message(catalog, key):
    failure = authenticate(catalog, key).failure()
    assert (failure.http_status, failure.verdict) == (401, Verdict.NOT_RUN)
    assert not key or key not in failure.message
    return failure.message


@pytest.mark.parametrize("key", [None, "", "phk_x", "phk_é", "phk_\udc80"])
def test_other_keys_are_refused(key):
    assert "key" in refusal_message(issue_for()[1], key)


def test_a_withdrawn_key_is_refused():
    key, catalog = issue_for()
    (entry,) = catalog.keys.values()
    catalog = apply_delta(catalog, withdraw(catalog, entry.hash[:8]).unwrap(), 2)
    assert refusal_message(catalog, key) == "the key was withdrawn"
    assert not withdraw(catalog, entry.hash).unwrap()


def test_the_keys_of_a_removed_account_stay_withdrawn():
    """An account is removed, and a later customer gets the same account name.

    Without the withdrawal, a key of the first customer would authenticate the
    account of the second customer.
    """
    key, catalog = issue_for("agent")
    removed = replace(lists(), accounts={"coop": lists().accounts["coop"]})
    catalog = apply_delta(catalog, diff_lists(catalog, removed), 2)
    assert refusal_message(catalog, key) == "the key was withdrawn"
    catalog = apply_delta(catalog, diff_lists(catalog, lists()), 3)
    assert refusal_message(catalog, key) == "the key was withdrawn"


@pytest.mark.parametrize("prefix", ["", "0123456", "z" * 8])
def test_a_prefix_must_name_one_key(prefix):
    assert isinstance(find(issue_for()[1], prefix), Err)
    assert issue_for()[1].keys.popitem()[1].state is KeyState.ACTIVE


@pytest.mark.parametrize(
    ("header", "key"),
    [
        ("Bearer abc", "abc"),
        ("bearer  abc ", "abc"),
        ("Basic abc", None),
        ("Bearer", None),
        ("Bearer ", None),
        (None, None),
    ],
)
def test_bearer(header, key):
    assert bearer_key(header) == key
