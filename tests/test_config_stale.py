"""Tests of refusals by a sidecar of requests with an outdated configuration."""

import time

from fleet import wait_for
from test_links import admitted, start_sidecar

from persimmonhitch.catalog import staleness
from persimmonhitch.catalog.messages import ConfigNotice
from persimmonhitch.entry.forward import _as_submit
from persimmonhitch.standin.service import ServiceApp
from persimmonhitch.verdict import ErrorCode, Verdict
from persimmonhitch.wire.messages import Fail, Head, UpstreamKind


def test_a_sidecar_refuses_an_isolated_entry(monkeypatch):
    """An entry reaches neither the store nor a peer and still accepts old keys.

    Without the check, bookings with a withdrawn key would run through this entry.
    The sidecar received the newer version from another entry and refuses them.
    """
    monkeypatch.setattr(staleness, "GRACE_S", 0.0)
    rig = start_sidecar(ServiceApp(), UpstreamKind.SERVICE)

    def first_frame(version):
        msg = _as_submit(admitted("ledger"), rig.conn, 1, time.monotonic(), version)
        return rig.conn.submit(msg).get(5.0)

    rig.conn.link.send(ConfigNotice(2))
    wait_for(lambda: rig.server.version == 2, "the notice")
    stale = first_frame(1)
    assert isinstance(stale, Fail) and stale.code is ErrorCode.STALE_CONFIG
    assert (stale.verdict, stale.retry_after) == (Verdict.NOT_RUN, 1.0)
    assert not rig.app.runs
    assert isinstance(first_frame(2), Head)
    assert list(rig.app.runs.values()) == [1]
    rig.close()
