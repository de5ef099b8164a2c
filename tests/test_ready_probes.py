"""Readiness of a real entry beside connections to its readiness address."""

import random
import socket

import pytest
from soak.entries import Entry, start_all
from soak.platform import ZONES, Platform
from soak.records import Records
from soak.resumers import VersionChooser

PROBE = b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture(scope="module")
def entry(tmp_path_factory):
    """Return an entry that is ready."""
    folder = tmp_path_factory.mktemp("entry")
    platform = Platform(Records(), random.Random(1), 0, 1, VersionChooser(1))
    entry = Entry("entry-0", ZONES[0], platform.server.port, folder, Records())
    try:
        start_all([entry])
        yield entry
    finally:
        entry.close()
        platform.stop()


@pytest.mark.parametrize("sent", [b"", PROBE[:20], PROBE], ids=["none", "part", "all"])
@pytest.mark.parametrize("count", [1, 4, 30])
def test_probe_is_answered_beside_silent_connections(entry, sent, count):
    """Guards against an entry that gets no connections after probes went silent."""
    conns = [
        socket.create_connection(("127.0.0.1", entry.ready_port), 1.0)
        for _ in range(count)
    ]
    try:
        for conn in conns:
            conn.sendall(sent)
        assert [entry.is_ready() for _ in range(3)] == [True] * 3
    finally:
        for conn in conns:
            conn.close()
