"""Blocked requests in the store."""

import time

import pytest
from returns.result import Success

from persimmonhitch.decide.poison import BLOCK_TTL_S
from persimmonhitch.direct.blocked_requests import (
    LIFTED,
    LIFTED_KEEP_S,
    UNTIL_KEY,
    WRITE_STAGGER_S,
    BlockedRequests,
)
from persimmonhitch.direct.poison import PoisonGuard
from persimmonhitch.ids import Fingerprint, PartId, Vm
from persimmonhitch.platform.store_client import StoreClient
from persimmonhitch.standin.store_server import StoreApp
from persimmonhitch.standin.store_state import StoreState
from persimmonhitch.store.objects import Kind
from persimmonhitch.store.watcher import View
from persimmonhitch.verdict import ErrorCode
from persimmonhitch.web import WebServer

BAD = Fingerprint("bad")
BLOCK_DURATION_S = 100.0


class Entry:
    """Blocked requests of one entry, with a clock that is set by hand."""

    def __init__(self, store, rank=0):
        self.now = time.monotonic()
        self.guard = PoisonGuard(Vm("e1"), lambda: self.now)
        self.store = store
        self.blocked = BlockedRequests(
            store, self.guard, lambda: rank, lambda: self.now
        )

    def block(self):
        self.guard.receive_blocked({BAD: self.now + BLOCK_DURATION_S})

    def load_listing(self):
        listing = self.store.list_all(Kind.BLOCKED).unwrap()
        self.blocked.update(View({obj.name: obj for obj in listing.items}, self.now))


def stored_names(store):
    return [obj.name for obj in store.list_all(Kind.BLOCKED).unwrap().items]


def run_with_store(scenario):
    server = WebServer(StoreApp(StoreState()), "127.0.0.1", 0, 4)
    server.start()
    try:
        scenario(StoreClient(f"http://127.0.0.1:{server.port}", 2.0))
    finally:
        server.close()


def test_a_new_entry_reads_blocked_requests_from_the_store():
    """Guards against a new entry that sends a request known to crash upstreams."""

    def scenario(store):
        first, second = Entry(store), Entry(store)
        for entry in (first, second):
            entry.load_listing()
        first.block()
        first.blocked.sync()
        second.load_listing()
        refused = second.guard.refusal(BAD)
        assert refused.code is ErrorCode.CRASHES_UPSTREAMS
        assert BLOCK_DURATION_S - 5 < refused.retry_after <= BLOCK_DURATION_S

    run_with_store(scenario)


def test_blocks_missing_in_the_store_are_written_again():
    """Guards against lost blocks after the store is restored from an older copy."""

    def scenario(store):
        entry = Entry(store)
        entry.load_listing()
        entry.block()
        entry.blocked.sync()
        (obj,) = store.list_all(Kind.BLOCKED).unwrap().items
        assert isinstance(store.delete(obj), Success)
        entry.load_listing()
        assert entry.guard.refusal(BAD) is not None
        entry.blocked.sync()
        assert stored_names(store) == [BAD]

    run_with_store(scenario)


def test_entries_of_lower_rank_delay_their_writes():
    """Guards against simultaneous writes of all entries."""

    def scenario(store):
        third = Entry(store, rank=2)
        third.load_listing()
        third.block()
        third.blocked.sync()
        assert stored_names(store) == []
        third.now += 2 * WRITE_STAGGER_S + 0.01
        third.blocked.sync()
        assert stored_names(store) == [BAD]

    run_with_store(scenario)


def test_expired_and_invalid_blocks_are_removed():
    def scenario(store):
        store.create(Kind.BLOCKED, "old", {UNTIL_KEY: time.time() - 1})
        store.create(Kind.BLOCKED, "broken", {})
        entry = Entry(store)
        entry.load_listing()
        assert entry.guard.refusal(Fingerprint("old")) is None
        entry.blocked.sync()
        assert stored_names(store) == []

    run_with_store(scenario)


PART = PartId("part-a")


@pytest.mark.parametrize("lifted_by", ["operator", "completed request"])
def test_a_lifted_block_ends_at_all_entries(lifted_by):
    """Guards against a wrong block that entries or the store bring back."""

    def scenario(store):
        first, second = Entry(store), Entry(store, rank=1)
        first.load_listing()
        first.guard.receive_blocked({PART: first.now + BLOCK_TTL_S})
        first.blocked.sync()
        second.load_listing()
        assert second.guard.refusal(BAD, (PART,)) is not None
        first.now += 1.0
        if lifted_by == "operator":
            (obj,) = store.list_all(Kind.BLOCKED).unwrap().items
            store.update(obj, {UNTIL_KEY: LIFTED})
        else:
            first.guard.completed(BAD, (PART,))
            first.blocked.sync()
        for _ in range(2):
            for entry in (first, second):
                entry.load_listing()
                entry.blocked.sync()
                assert entry.guard.refusal(BAD, (PART,)) is None
        assert stored_names(store) == [PART]
        first.now += LIFTED_KEEP_S
        first.blocked.sync()
        assert stored_names(store) == []

    run_with_store(scenario)
