"""Resumptions at entries whose view of the upstreams is out of date."""

import threading
import time

import pytest
from direct_help import COOP, LLM
from fleet import wait_for
from returns.result import Failure as Err
from returns.result import Success
from soak.release import play

from persimmonhitch.decide.stream_versions import Knowledge, check_interval
from persimmonhitch.direct.history_requests import HistoryRequests
from persimmonhitch.direct.list_checks import ListChecks
from persimmonhitch.direct.peer_messages import (
    HistoryReply,
    HistoryRequest,
    StreamQuery,
    StreamsBegan,
    VersionsSeen,
)
from persimmonhitch.direct.stream_origins import StreamOrigins
from persimmonhitch.direct.watchers import Listeners
from persimmonhitch.ids import RequestId, Vm
from persimmonhitch.platform.upstream_format import decode_upstream
from persimmonhitch.standin.store_state import MAX_EVENTS, StoreState
from persimmonhitch.store.objects import Kind, StoreError, StoreFailure
from persimmonhitch.store.watcher import Watcher
from persimmonhitch.wire.codec import decode, encode

MAX_AGE_S = 0.3
"""Longest time for which a stream runs."""
KNOWN_S, KNOWN_MS = 5.0, 30_000
"""Age of a stream, and the history of an entry that has run for longer."""
V1, V2 = "1", "2"


class Store(StoreState):
    """A store in which upstreams come and go."""

    def put(self, name, version, born=None):
        if born is None:
            born = int(time.time() * 1000) if version == V2 else 1
        spec = {
            "born": born,
            "service": LLM,
            "address": "h:1",
            "zone": "z1",
            "slots": 8,
            "state": "ready",
            "version": version,
        }
        found = self.get(Kind.UPSTREAM, name)
        if isinstance(found, Success):
            return self.update(found.unwrap(), spec)
        return self.create(Kind.UPSTREAM, name, spec)

    def remove(self, name):
        self.delete(self.get(Kind.UPSTREAM, name).unwrap())

    def list_briefly(self, version):
        self.put("brief", version)
        self.remove("brief")

    @property
    def version(self):
        return self.list_all(Kind.UPSTREAM).unwrap().version


class Path:
    """Path of one entry to the store; replies are lost while it is silent."""

    def __init__(self, store):
        self.store, self.is_silent, self.watches = store, False, 0
        self.open = threading.Event()
        self.open.set()
        """Replies wait while it is not set."""

    def _pass(self, reply):
        self.open.wait()
        if self.is_silent:
            return Err(StoreFailure(StoreError.UNAVAILABLE, "timed out"))
        return reply

    def list_all(self, kind):
        return self._pass(self.store.list_all(kind))

    def watch(self, kind, after, wait):
        self.watches += 1
        return self._pass(self.store.watch(kind, after, wait))


class Entry:
    """The list of an entry, and its memory of streams."""

    def __init__(self, store, vm="e1", watch_s=0.1, interval_s=0.0):
        self.vm, self.path, self.peers, self.sent = Vm(vm), Path(store), [], []
        self.origins = StreamOrigins(
            self._report,
            lambda: self.checks.request(),
            lambda: self.watcher.confirmed_from,
            100,
            lambda: self.origins.flush(),
        )
        listeners = Listeners(None, self, None, None, None, self.origins.observe)
        self.watcher = Watcher(
            self.path,
            Kind.UPSTREAM,
            listeners.update_upstreams,
            watch_s,
            max_retry_s=0.2,
            needs_history=True,
        )
        self.checks = ListChecks(
            self.watcher.check, lambda: interval_s, self._on_checked
        )
        self.histories = HistoryRequests(
            self.origins,
            self._publish,
            self._send,
            lambda _vm: True,
            self.checks.request,
        )
        self.watcher.start()
        self.checks.start()
        wait_for(self.watcher.ready.is_set, "the first list")

    def update(self, view):
        self.origins.update(
            decode_upstream(name, obj.spec) for name, obj in view.objects.items()
        )

    def _on_checked(self, began_at, confirmed):
        self.origins.list_checked(began_at, confirmed)
        self.histories.list_checked(began_at, confirmed)

    def _report(self, msg):
        copy = decode(encode(msg)).unwrap()
        for peer in self.peers:
            receive = {
                StreamsBegan: peer.origins.receive_streams,
                StreamQuery: peer.origins.receive_query,
                VersionsSeen: peer.origins.receive_versions,
            }[type(copy)]
            receive(self.vm, copy, time.monotonic())

    def _publish(self, msg):
        copy = decode(encode(msg)).unwrap()
        for peer in self.peers:
            peer.histories.receive_request(self.vm, copy, time.monotonic())

    def _send(self, vm, msg):
        self.sent.append(msg)
        for peer in self.peers:
            if peer.vm == vm:
                peer.histories.receive_reply(self.vm, decode(encode(msg)).unwrap())
        return True

    def stop_watching(self):
        """Leave the list to checks."""
        self.watcher.stop()
        wait_for(lambda: not self.watcher._thread.is_alive(), "the end of the watch")

    def await_history(self, seconds):
        wait_for(lambda: self.origins.history_ms() >= seconds * 1000, "a history")

    def await_changes(self, store):
        wait_for(lambda: self.watcher.version >= store.version, "the newest changes")

    def knowledge(self, max_age_s=MAX_AGE_S, request_id=""):
        """Return what a resumption learns, by default of a stream without an id."""
        origin = self.origins.wait_for_origin(
            RequestId(request_id), COOP, LLM, max_age_s
        )
        return origin.knowledge

    def begin(self, request_id, name):
        """Begin a stream at an upstream as this entry lists it."""
        obj = self.watcher.view.objects[name]
        self.origins.began(RequestId(request_id), COOP, decode_upstream(name, obj.spec))


@pytest.fixture
def store():
    store = Store()
    store.put("u1", V1)
    return store


@pytest.fixture
def entry(store):
    entry = Entry(store)
    entry.await_history(MAX_AGE_S)
    yield entry
    entry.watcher.stop()
    entry.path.open.set()


def test_streams_are_not_joined_by_an_entry_out_of_step(tmp_path):
    """Guards against a stream that goes on at another version than began it."""
    broken = play(tmp_path, "all", back_s=1.5)
    assert len(broken) >= 4
    assert [stream for stream in broken if stream.is_joined] == []
    assert {stream.status for stream in broken} <= {503, None}


def test_list_confirmed_before_the_resumption_is_no_proof(store, entry):
    """Guards against versions that came and went since the last reply of the store."""
    assert entry.knowledge() is Knowledge.SINGLE
    entry.path.is_silent = True
    assert entry.knowledge() is Knowledge.STALE_VIEW
    store.list_briefly(V2)
    assert entry.knowledge() is Knowledge.STALE_VIEW
    entry.path.is_silent = False
    assert entry.knowledge() is Knowledge.MIXED


def test_reply_to_an_earlier_check_is_no_proof(store, entry):
    """Guards against a reply that was on its way when the version came and went."""
    entry.watcher.stop()
    entry.path.open.clear()
    watches = entry.path.watches
    entry.checks.request()
    wait_for(lambda: entry.path.watches > watches, "a check")
    store.list_briefly(V2)
    threading.Timer(0.1, entry.path.open.set).start()
    assert entry.knowledge() is Knowledge.MIXED


@pytest.mark.parametrize(
    ("events", "knowledge"),
    [(0, Knowledge.MIXED), (MAX_EVENTS, Knowledge.SHORT_HISTORY)],
    ids=["history", "history-gone"],
)
def test_version_listed_between_two_list_calls(store, entry, events, knowledge):
    """Guards against a version that neither of two lists shows."""
    entry.path.is_silent = True
    wait_for(lambda: entry.watcher.failed_at > 0, "a failed call")
    store.list_briefly(V2)
    for _ in range(events):
        store.put("u1", V1)
    entry.path.is_silent = False
    entry.await_changes(store)
    wait_for(lambda: entry.knowledge() is knowledge, f"{knowledge}")


def test_version_listed_between_two_watch_calls(store, entry):
    """Guards against a version that joins and leaves within one reply."""
    entry.path.open.clear()
    store.list_briefly(V2)
    entry.path.open.set()
    entry.await_changes(store)
    assert entry.knowledge() is Knowledge.MIXED


def test_late_changes_do_not_list_a_removed_upstream_again(store, entry):
    """Guards against requests to an upstream that has left."""
    entry.stop_watching()
    before = entry.watcher.version
    store.put("u2", V1)
    late = store.watch(Kind.UPSTREAM, before, 0.0).unwrap()
    store.remove("u2")
    entry.checks.run_once()
    entry.watcher.receive(before, late, time.monotonic(), -1.0, True)
    assert set(entry.watcher.view.objects) == {"u1"}


def test_neighbour_tells_what_was_listed_before_the_start(store, entry):
    """Guards against versions that left just before an entry started."""
    entry.origins.extend_history(VersionsSeen(KNOWN_MS, ()))
    store.list_briefly(V2)
    entry.await_changes(store)
    late = Entry(store, "e2")
    late.peers, entry.peers = [entry], [late]
    assert late.knowledge() is Knowledge.SHORT_HISTORY
    late.histories.tick()
    wait_for(lambda: late.knowledge() is Knowledge.MIXED, "the history")
    late.watcher.stop()


@pytest.mark.parametrize("is_silent", [False, True])
def test_neighbour_replies_after_the_store_confirmed_its_list(store, entry, is_silent):
    """Guards against time that neither of two histories covers."""
    entry.origins.extend_history(VersionsSeen(KNOWN_MS, ()))
    late = Entry(store, "e2")
    late.peers, entry.peers = [entry], [late]
    entry.stop_watching()
    entry.path.is_silent = is_silent
    late.histories.tick()
    entry.checks.run_once()
    if is_silent:
        assert entry.sent == []
        assert late.knowledge(KNOWN_S) is Knowledge.SHORT_HISTORY
    else:
        wait_for(lambda: entry.sent, "a reply")
        assert late.knowledge(KNOWN_S) is Knowledge.SINGLE
    late.watcher.stop()


def test_reply_to_a_request_before_the_last_gap_is_ignored(store, entry):
    """Guards against a history that ends before the list was complete again."""
    number, told = entry.origins.gaps, VersionsSeen(60_000, ())
    entry.histories.receive_reply(Vm("e2"), HistoryReply(number - 1, told))
    assert entry.knowledge(5.0) is Knowledge.SHORT_HISTORY
    entry.histories.receive_reply(Vm("e2"), HistoryReply(number, told))
    assert entry.knowledge(5.0) is Knowledge.SINGLE


@pytest.mark.parametrize("since_ms", [-300, 300, 9000])
def test_entry_that_knows_no_more_makes_no_call(store, entry, since_ms):
    """Guards against a call to the store by each entry when all start together."""
    entry.stop_watching()
    watches, now_ms = entry.path.watches, entry.origins.history_ms()
    request = HistoryRequest(1, max(0, now_ms + since_ms))
    entry.histories.receive_request(Vm("e2"), request, time.monotonic())
    assert entry.path.watches == watches
    entry.checks.run_once()
    assert entry.sent == []


@pytest.mark.parametrize("is_silent", [False, True])
def test_upstream_that_restarted_before_the_stream_began(store, entry, is_silent):
    """Guards against the version in a record that was out of date by then."""
    entry.path.is_silent = True
    wait_for(lambda: entry.watcher.failed_at > 0, "a failed call")
    store.put("u1", V2)
    entry.begin("q1", "u1")
    entry.path.is_silent = is_silent
    expected = Knowledge.STALE_VIEW if is_silent else Knowledge.MIXED
    assert entry.knowledge(request_id="q1") is expected


def test_stream_whose_upstream_is_listed_with_another_version_by_then(store, entry):
    """Guards against the version of the record that a request was sent by."""
    record = decode_upstream("u1", entry.watcher.view.objects["u1"].spec)
    store.put("u1", V2)
    entry.await_changes(store)
    entry.origins.began(RequestId("q1"), COOP, record)
    assert entry.knowledge(request_id="q1") is Knowledge.MIXED


def test_peers_are_told_of_streams_whose_version_is_certain(store, entry):
    """Guards against a report of a version that the upstream had no longer."""
    peer = Entry(store, "e2")
    entry.peers = [peer]
    store.put("u2", V2)
    for each in (entry, peer):
        each.await_changes(store)
    entry.path.is_silent = True
    wait_for(lambda: entry.watcher.failed_at > 0, "a failed call")
    entry.begin("q1", "u1")
    entry.origins.flush()
    assert peer.knowledge(request_id="q1") is Knowledge.MIXED
    entry.path.is_silent = False
    entry.origins.broke_off(RequestId("q1"))
    wait_for(lambda: entry.watcher.confirmed_from > entry.watcher.failed_at, "a check")
    entry.origins.flush()
    assert peer.knowledge(request_id="q1") is Knowledge.STREAM
    peer.watcher.stop()


def test_peer_that_began_a_stream_is_asked_while_the_store_is_silent(store, entry):
    """Guards against a refusal by an entry that the store alone does not reach."""
    peer = Entry(store, "e2")
    peer.peers, entry.peers = [entry], [peer]
    entry.path.is_silent = True
    peer.begin("q1", "u1")
    assert entry.knowledge(request_id="q1") is Knowledge.STREAM
    assert entry.knowledge(request_id="q2") is Knowledge.STALE_VIEW
    peer.watcher.stop()


@pytest.mark.parametrize("entries", [4, 100, 300])
def test_checks_of_a_burst_of_resumptions_are_bounded(store, entries):
    """Guards against a call to the store for each of many streams that broke."""
    entry = Entry(store, interval_s=check_interval(entries))
    entry.await_history(MAX_AGE_S)
    entry.stop_watching()
    calls, began_at = entry.path.watches, time.monotonic()
    found = []

    def resume_streams():
        for _ in range(5):
            found.append(entry.knowledge())

    threads = [threading.Thread(target=resume_streams) for _ in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed_s = time.monotonic() - began_at
    assert found == [Knowledge.SINGLE] * 60
    fleet_calls_per_s = (entry.path.watches - calls - 1) / elapsed_s * entries
    assert fleet_calls_per_s <= 1000


def test_upstream_that_restarted_twice_between_two_looks(store, entry):
    """Guards against a restart that the list does not show."""
    store.put("u2", V1)
    entry.await_changes(store)
    entry.path.open.clear()
    store.put("u1", V2)
    entry.begin("q1", "u1")
    store.put("u1", V1, born=int(time.time() * 1000) + 1)
    entry.path.open.set()
    entry.await_changes(store)
    assert entry.knowledge(request_id="q1") is Knowledge.MIXED
