"""Real entries beside objects of another writer whose names hold delimiters."""

import contextlib
import http.client
import itertools
import random
import re
from dataclasses import dataclass
from pathlib import Path

import pytest
from fleet import wait_for
from soak.entries import Entry
from soak.platform import HOST, ZONES, Platform
from soak.records import Records
from soak.resumers import VersionChooser
from soak.run import MAX_MEMORY_MB

from persimmonhitch.standin.store_state import UnknownAfter
from persimmonhitch.store.objects import Kind

ODD_NAMES = ("b c", "b#c", "b%41", "b&c", "b+c")
ODD_SPEC = {"owner": "inventory", "slots": "many", "address": None}
ENTRIES, UPSTREAMS, CALLS = 2, 3, 10
START_S = 5.0
"""Seconds for the start of the entries."""
MAX_PAGES = ENTRIES * len(Kind) * (len(ODD_NAMES) + UPSTREAMS)
"""Pages of one object, if each entry lists each kind once."""


@dataclass(frozen=True)
class Outcome:
    """Calls served, the peak memory of an entry in MB, and pages asked for."""

    served: int
    memory_mb: float
    pages: int


def peak_memory_mb(entry):
    """Return the peak of the resident memory of an entry in MB."""
    status = Path(f"/proc/{entry.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s*(\d+) kB", status)[1]) / 1000


def is_served(entry, key, number):
    """Return whether a call is answered with success."""
    conn = http.client.HTTPConnection("127.0.0.1", entry.callers_port, timeout=2.0)
    headers = {
        "Host": HOST,
        "X-Persimmonhitch-Request-Id": f"{entry.name}-{number}",
        "X-Persimmonhitch-Request-Deadline": "1500",
        "Authorization": f"Bearer {key}",
    }
    try:
        conn.request("POST", "/read/x", headers=headers)
        return conn.getresponse().status == 200
    except (http.client.HTTPException, OSError):
        return False
    finally:
        conn.close()


def play(unknown_after, page_items, folder):
    """Start entries while the objects of another writer stand; return the outcome."""
    platform = Platform(Records(), random.Random(1), 0, UPSTREAMS, VersionChooser(1))
    state = platform.state
    state.page_items, state.unknown_after = page_items, unknown_after
    for kind, name in itertools.product(Kind, ODD_NAMES):
        state.create(kind, name, ODD_SPEC).unwrap()
    port = platform.server.port
    entries = [
        Entry(f"entry-{n}", ZONES[n], port, folder, Records()) for n in range(ENTRIES)
    ]
    try:
        for entry in entries:
            entry.start()
        with contextlib.suppress(TimeoutError):
            # Calls to an entry that is not ready count as not served.
            wait_for(lambda: all([e.is_ready() for e in entries]), "entries", START_S)
        key = platform.operator.keys["plain"][0]
        served = [is_served(e, key, n) for n in range(CALLS) for e in entries]
        memory_mb = max(peak_memory_mb(entry) for entry in entries)
        return Outcome(sum(served), memory_mb, state.calls["list"])
    finally:
        for entry in entries:
            entry.close()
        platform.stop()


@pytest.mark.parametrize("unknown_after", UnknownAfter)
def test_entries_serve_beside_objects_with_odd_names(unknown_after, tmp_path):
    """Guards against an odd name that hides the upstreams, or a list without end."""
    outcome = play(unknown_after, 1, tmp_path)
    assert outcome.served == ENTRIES * CALLS, outcome
    assert outcome.memory_mb < MAX_MEMORY_MB, outcome
    assert outcome.pages <= MAX_PAGES, outcome
