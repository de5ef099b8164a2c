"""Blocked calls in the store."""

import time

from returns.result import Success

from persimmonhitch.direct.blocked_requests import (
    UNTIL_KEY,
    WRITE_STAGGER_S,
    BlockedRequests,
)
from persimmonhitch.direct.poison import PoisonGuard
from persimmonhitch.ids import Fingerprint, Vm
from persimmonhitch.platform.store_client import StoreClient
from persimmonhitch.standin.store_server import StoreApp
from persimmonhitch.standin.store_state import StoreState
from persimmonhitch.store.objects import Kind
from persimmonhitch.store.watcher import View
from persimmonhitch.verdict import ErrorCode
from persimmonhitch.web import WebServer

BAD = Fingerprint("bad")
LIFE = 100.0


class Entry:
    """What an entry has of blocked calls, with a clock that stands."""

    def __init__(self, store, place=0):
        self.now = time.monotonic()
        self.guard = PoisonGuard(Vm("e1"), lambda: self.now)
        self.store = store
        self.calls = BlockedRequests(store, self.guard, lambda: place, lambda: self.now)

    def block(self):
        self.guard.receive_blocked({BAD: self.now + LIFE})

    def read(self):
        listing = self.store.list_all(Kind.BLOCKED).unwrap()
        self.calls.update(View({obj.name: obj for obj in listing.items}, self.now))


def stored(store):
    return [obj.name for obj in store.list_all(Kind.BLOCKED).unwrap().items]


def with_store(test):
    server = WebServer(StoreApp(StoreState()), "127.0.0.1", 0, 4)
    server.start()
    try:
        test(StoreClient(f"http://127.0.0.1:{server.port}", 2.0))
    finally:
        server.close()


def test_an_entry_that_starts_knows_what_others_have_blocked():
    """Guards against an entry that sends once more what has crashed upstreams."""

    def play(store):
        first, second = Entry(store), Entry(store)
        for entry in (first, second):
            entry.read()
        first.block()
        first.calls.sync()
        second.read()
        refused = second.guard.refusal(BAD)
        assert refused.code is ErrorCode.CRASHES_UPSTREAMS
        assert LIFE - 5 < refused.retry_after <= LIFE

    with_store(play)


def test_what_the_store_has_lost_is_written_again():
    """Guards against a store that comes back from an older copy."""

    def play(store):
        entry = Entry(store)
        entry.read()
        entry.block()
        entry.calls.sync()
        (obj,) = store.list_all(Kind.BLOCKED).unwrap().items
        assert isinstance(store.delete(obj), Success)
        entry.read()
        assert entry.guard.refusal(BAD) is not None
        entry.calls.sync()
        assert stored(store) == [BAD]

    with_store(play)


def test_entries_write_one_after_the_other():
    """Guards against a write of each entry at the same moment."""

    def play(store):
        third = Entry(store, place=2)
        third.read()
        third.block()
        third.calls.sync()
        assert stored(store) == []
        third.now += 2 * WRITE_STAGGER_S + 0.01
        third.calls.sync()
        assert stored(store) == [BAD]

    with_store(play)


def test_what_is_over_is_removed():
    def play(store):
        store.create(Kind.BLOCKED, "old", {UNTIL_KEY: time.time() - 1})
        store.create(Kind.BLOCKED, "broken", {})
        entry = Entry(store)
        entry.read()
        assert entry.guard.refusal(Fingerprint("old")) is None
        entry.calls.sync()
        assert stored(store) == []

    with_store(play)
