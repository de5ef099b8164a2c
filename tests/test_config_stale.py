"""A sidecar refuses the requests of an entry that lags too far."""

import time

from fleet import wait_for
from test_links import admitted, start_sidecar

from persimmonhitch.catalog import staleness
from persimmonhitch.catalog.messages import ConfigNote
from persimmonhitch.entry.forward import _submit
from persimmonhitch.standin.service import ServiceApp
from persimmonhitch.verdict import ErrorCode, Verdict
from persimmonhitch.wire.messages import Fail, Head, UpstreamKind


def test_an_entry_cut_off_from_all_but_a_sidecar_runs_nothing(monkeypatch):
    """An entry reaches neither the store nor a peer and keeps its old keys.

    The holder of a withdrawn key would still get bookings made through it; the
    sidecar has heard of the newer version from another entry, and refuses.
    """
    monkeypatch.setattr(staleness, "GRACE", 0.0)
    made = start_sidecar(ServiceApp(), UpstreamKind.SERVICE)

    def first_frame(version):
        sub = _submit(admitted("ledger"), made.conn, 1, time.monotonic(), version)
        return made.conn.submit(sub).get(5.0)

    made.conn.link.send(ConfigNote(2))
    wait_for(lambda: made.server.version == 2, "the note")
    late = first_frame(1)
    assert isinstance(late, Fail) and late.code is ErrorCode.STALE_CONFIG
    assert (late.verdict, late.retry_after) == (Verdict.NOT_RUN, 1.0)
    assert not made.app.runs
    assert isinstance(first_frame(2), Head)
    assert list(made.app.runs.values()) == [1]
    made.close()
