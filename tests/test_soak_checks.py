"""Cases that the checks of the soak report or excuse."""

import pytest
from soak.checks import (
    CALLERS_MUTED,
    QUIET_S,
    SLACK_S,
    Evidence,
    _answered_in_time,
    _no_run_after_giving_up,
)
from soak.records import Call, Records, Run, Span

SILENCED_AT = 100.0
PATIENCE = 1.5
ENDED_AT = SILENCED_AT + QUIET_S + 4.0


def _evidence(call):
    records = Records(calls=[call])
    span = Span(CALLERS_MUTED, call.entry, False, SILENCED_AT, SILENCED_AT + 0.5)
    records.spans.append(span)
    return Evidence(records, None, {}, frozenset())


@pytest.mark.parametrize(
    ("opened_at", "sent_at", "due"),
    [
        (SILENCED_AT - 5.0, SILENCED_AT - 0.1, False),
        (SILENCED_AT - 5.0, SILENCED_AT + 0.01, False),
        (SILENCED_AT + 0.01, SILENCED_AT + 0.01, True),
        (SILENCED_AT + 0.01, SILENCED_AT + 2.0, True),
    ],
)
def test_only_silenced_connections_excuse_a_late_answer(opened_at, sent_at, due):
    """A persistent connection may be muted just before a request is sent on it."""
    call = Call("q1", "read", "/read/x", "e1", "large", PATIENCE, sent_at, 1, opened_at)
    call.ended_at = ENDED_AT
    assert bool(list(_answered_in_time(_evidence(call)))) is due


@pytest.mark.parametrize(
    ("harmed", "after", "due"),
    [
        ("u1", 1.0 + SLACK_S, False),
        ("u2", 1.0 + SLACK_S, True),
        ("u1", 0.4, False),
    ],
)
def test_only_harmed_paths_excuse_a_call_that_comes_after_its_caller_left(
    harmed, after, due
):
    """A fault on the path to the upstream may delay a request sent in time."""
    call = Call("q1", "read", "/read/x", "e1", "large", PATIENCE, 100.0, 1, 100.0)
    call.gave_up_at = 100.1
    records = Records(calls=[call])
    run = Run("q1", "u1", "s", "/read/x", "large", 0, False, None, 100.1 + after)
    records.runs.append(run)
    records.spans.append(Span("stall path", harmed, False, 99.0, 103.0))
    evidence = Evidence(records, None, {}, frozenset())
    assert bool(list(_no_run_after_giving_up(evidence))) is due
