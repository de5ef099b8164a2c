"""What the soak's checks take for a broken promise."""

import pytest
from soak.checks import CONTACT, SILENCED, Evidence, _answered_in_time
from soak.records import Call, Records, Span

SILENCED_AT = 100.0
PATIENCE = 1.5
ENDED_AT = SILENCED_AT + CONTACT + 4.0


def _evidence(call):
    records = Records(calls=[call])
    span = Span(SILENCED, call.entry, False, SILENCED_AT, SILENCED_AT + 0.5)
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
    """A kept connection may be silenced just before a call is sent on it."""
    call = Call("q1", "read", "/read/x", "e1", "large", PATIENCE, sent_at, 1, opened_at)
    call.ended_at = ENDED_AT
    assert bool(list(_answered_in_time(_evidence(call)))) is due
