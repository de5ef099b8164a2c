"""Tests that both lists are checked completely and that ``get`` output parses back."""

import pytest
from catalog_help import ACCOUNTS, LISTS, PLANS, lists
from returns.result import Failure as Err

from persimmonhitch.catalog.changes import diff
from persimmonhitch.catalog.lists import parse_lists
from persimmonhitch.catalog.render import render_accounts, render_plans
from persimmonhitch.wire.messages import Priority


def test_lists_are_read():
    catalog = lists()
    plan = catalog.plan_of("agent")
    assert (plan.rate, plan.weight, plan.priority) == (50.5, 1.0, Priority.BATCH)
    assert plan.may_use_model("notes") and not plan.may_use_model("desk-2")
    assert catalog.plans["large"].may_use_service("ledger")
    ledger = catalog.services["ledger"]
    assert ledger.repeatable("GET", "/manifests/7")
    assert not ledger.repeatable("POST", "/manifests/7")


def test_rendered_lists_are_read_back():
    catalog = lists()
    parsed = parse_lists(render_accounts(catalog), render_plans(catalog)).unwrap()
    assert not diff(catalog, parsed)
    assert parsed == catalog


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("rate = 1000", "rate = fast", "plans.ini: [plan large] rate: expected a"),
        ("rate = 1000", "rate = nan", "[plan large] rate: expected a number"),
        ("rate = 1000", "rate = 0", "rate: expected a number of more than 0"),
        ("burst = 400", "burst = inf", "[plan small] burst: expected"),
        ("burst = 400", "brust = 400", "[plan small] brust: unknown key"),
        ("burst = 400", "", "[plan small] burst: missing"),
        ("= batch", "= night", "priority: expected interactive or batch"),
        ("= desk-*", "= tide-*", "plan large] models: no model matches 'tide-*'"),
        ("= ledger", "= ledgr", "services: no service matches 'ledgr'"),
        ("base = desk-1", "base = desk-9", "[model notes] base: no model named"),
        ("[service ledger]", "[servce ledger]", "[servce ledger] -: unknown section"),
        ("[model notes]", "[model]", "[model] -: expected a title [model NAME]"),
        ("[model notes]", "[model desk-1]", "already exists"),
        ("GET /man", "GET man", "expected a title [route SERVICE METHOD /PATH]"),
        ("ledger GET", "leger GET", "no service named 'leger'"),
        ("= yes", "= perhaps", "repeatable: expected yes or no"),
        ("[plan small]", "[DEFAULT]", "[DEFAULT] -: unknown section"),
        ("rate = 1000", "rate", "contains parsing errors"),
    ],
)
def test_every_mistake_is_named(old, new, named):
    assert old in PLANS
    result = parse_lists(ACCOUNTS, PLANS.replace(old, new, 1))
    assert isinstance(result, Err)
    assert named in "\n".join(map(str, result.failure()))


def test_an_account_without_its_plan_is_named_in_its_own_list():
    result = parse_lists(ACCOUNTS.replace("small", "smal"), PLANS)
    assert [str(each) for each in result.failure()] == [
        "accounts.ini: [account agent] plan: no plan named 'smal'"
    ]


@pytest.mark.parametrize(
    ("folder", "models", "adapters", "accounts"),
    [(".", 1, 1, 2), ("cavalcante", 20, 65, 5), ("kringnieuws", 25, 100, 5)],
)
def test_examples_are_valid_and_of_the_stated_size(folder, models, adapters, accounts):
    path = LISTS.parent.parent / "examples" / folder
    texts = [(path / name).read_text() for name in ("accounts.ini", "plans.ini")]
    catalog = parse_lists(*texts).unwrap()
    bases = [model.base for model in catalog.models.values()]
    assert (bases.count(None), len(bases) - bases.count(None)) == (models, adapters)
    assert len(catalog.accounts) == accounts
