"""Verdict of a request over several attempts."""

from types import SimpleNamespace

import pytest
from returns.result import Failure as Err
from returns.result import Success
from test_links import admitted

from persimmonhitch.entry.forward import Forwarder
from persimmonhitch.limits.retry_budgets import RetryBudgets
from persimmonhitch.observe.metrics import Metrics
from persimmonhitch.verdict import ErrorCode, Failure, Verdict

LOST = Failure(ErrorCode.UPSTREAM_LOST, "lost", Verdict.MAY_HAVE_RUN)
STALE = Failure(ErrorCode.STALE_CONFIG, "late", Verdict.NOT_RUN)
FULL = Failure(ErrorCode.OVERLOADED, "full", Verdict.NOT_RUN)
NONE = Failure(ErrorCode.NO_UPSTREAM, "none", Verdict.NOT_RUN)


@pytest.mark.parametrize(
    ("attempts", "verdict"),
    [
        ([LOST, FULL], Verdict.MAY_HAVE_RUN),
        ([FULL, LOST, STALE], Verdict.MAY_HAVE_RUN),
        ([FULL, STALE], Verdict.NOT_RUN),
    ],
)
def test_not_run_holds_for_all_attempts(monkeypatch, attempts, verdict):
    """An upstream is lost while it processes a repeatable request, and the next
    upstream refuses the request. The verdict of the request was not_run, although
    the first upstream had executed the request.
    """
    remaining = list(attempts)
    conns = [SimpleNamespace(info=SimpleNamespace(upstream=str(n))) for n in range(9)]
    metrics = Metrics("entry", "test")
    forwarder = Forwarder(None, None, metrics, RetryBudgets.of_sole_entry())
    monkeypatch.setattr(
        forwarder,
        "_choose_sidecar",
        lambda _req, tried: Success(conns[len(tried)]) if remaining else Err(NONE),
    )
    monkeypatch.setattr(forwarder, "_run_attempt", lambda *_args: Err(remaining.pop(0)))
    failure = forwarder.run(admitted("ledger", repeatable=True)).failure()
    assert failure.verdict is verdict
    assert failure.code is ErrorCode.NO_UPSTREAM and not remaining
