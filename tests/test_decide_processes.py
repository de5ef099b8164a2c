"""The entry and the sidecar take every decision from the decide package."""

import ast
import json
import time
from dataclasses import replace
from pathlib import Path

import pytest
import test_links
from fleet import wait_for
from test_links import admitted, start_attempt

import persimmonhitch
from persimmonhitch.wire.messages import End

ROOT = Path(persimmonhitch.__file__).parent
engine = test_links.engine

CALL_SITES = {
    "admission.admit": "sidecar/dispatch.py",
    "admission.queue_full_refusal": "sidecar/dispatch.py",
    "admission.deadline_refusal": "sidecar/dispatch.py",
    "admission.ServiceRate": "sidecar/load.py",
    "fairness.FairQueue": "sidecar/dispatch.py",
    "concurrency.ConcurrencyLimit": "sidecar/load.py",
    "routing.choose": "entry/router.py",
    "routing.UpstreamLoad": "entry/sidecar_conn.py",
    "outliers.OutlierDetector": "entry/router.py",
    "warmup.warmup_share": "entry/router.py",
    "retries.RetryBudget": "limits/retry_budgets.py",
    "retry_share.SlackShare": "limits/retry_budgets.py",
    "retries.may_retry": "entry/forward.py",
    "admission.connections_refusal": "entry/main.py",
    "waiting.LoadWaitEstimator": "entry/router.py",
}


REFUSALS = {"OVERLOADED", "RATE_LIMITED"}
"""Error codes that only the decide package and the rate shares return."""


def syntax_trees(packages=("entry", "sidecar")):
    for package in packages:
        for path in sorted((ROOT / package).glob("*.py")):
            yield str(path.relative_to(ROOT)), ast.parse(path.read_text())


def called_names(tree):
    """Return the names of all functions that are called."""
    calls = [node for node in ast.walk(tree) if isinstance(node, ast.Call)]
    return [ast.unparse(call.func).rpartition(".")[2] for call in calls]


@pytest.mark.parametrize(("decision", "site"), CALL_SITES.items())
def test_each_decision_has_its_one_call_site(decision, site):
    module, _, name = decision.partition(".")
    trees = syntax_trees(("entry", "sidecar", "limits"))
    sites = [path for path, tree in trees if name in called_names(tree)]
    assert sites == [site]
    assert f"from ..decide.{module} import" in (ROOT / site).read_text()


def test_nothing_else_in_entry_or_sidecar_decides():
    """Guards against code outside the decide package that ranks, samples or refuses.

    Simulations do not cover such code, and callers would get untested decisions.
    """
    found = []
    for path, tree in syntax_trees():
        for node in ast.walk(tree):
            if isinstance(node, ast.Attribute) and node.attr in REFUSALS:
                found.append(f"{path}:{node.lineno} refuses for load")
            if not isinstance(node, ast.Call):
                continue
            name = ast.unparse(node.func)
            keyed = any(keyword.arg == "key" for keyword in node.keywords)
            if name in ("sorted", "min", "max") and keyed:
                found.append(f"{path}:{node.lineno} ranks")
            if name.startswith("random.") and name != "random.Random":
                found.append(f"{path}:{node.lineno} samples at random")
    assert found == []


def test_copies_keep_their_own_age_over_a_lost_link(engine):
    """A sidecar with a warm copy loads a second one, and its link breaks.

    If both copies counted as new, callers of the warm copy would be sent to busier
    upstreams; if neither did, all would be sent to a copy with cold caches.
    """
    conn = engine.conn
    welcome = engine.server._welcome()
    conn.receive(replace(welcome, models=("old",)))
    loaded_at = time.monotonic()
    wait_for(lambda: time.monotonic() > loaded_at, "the clock")
    conn.receive(replace(welcome, models=("old", "new")))
    later = loaded_at + 10.0
    assert conn.age_of("old", later) >= 10.0 > conn.age_of("new", later)


def chat(tokens):
    message = {"role": "user", "content": "urea"}
    body = {"model": "m", "messages": [message], "stream": True, "max_tokens": tokens}
    req = admitted(body=json.dumps(body).encode(), repeatable=True, timeout=8.0)
    return replace(req, cost=400.0)


def test_burst_after_a_quiet_hour_is_not_refused(engine):
    """An engine answers one short chat after a long pause, then a burst arrives.

    Where the few tokens served before counted as the engine's speed, the sidecar
    predicted waits of an hour and refused requests that the engine had room for.
    """
    joined, _ = start_attempt(engine, chat(5))
    assert isinstance(joined()[-1], End)
    burst = [start_attempt(engine, chat(5))[0] for _ in range(24)]
    ends = [joined()[-1] for joined in burst]
    assert [end for end in ends if not isinstance(end, End)] == []
