"""Streams of services whose upstreams run several software versions."""

import threading
from dataclasses import replace

import pytest
from direct_help import (
    COOP,
    LAST_CHUNK,
    LLM,
    STREAM_HEAD,
    FakeUpstream,
    GatewayServer,
    event,
    resets,
    sends,
)
from fake_engine import Clock

from persimmonhitch.decide.stream_versions import Knowledge, VersionHistory
from persimmonhitch.direct.peer_messages import VersionsSeen
from persimmonhitch.direct.stream_origins import StreamOrigins
from persimmonhitch.fleet.upstream import UpstreamRecord
from persimmonhitch.ids import RequestId, SoftwareVersion, Upstream, Vm, Zone
from persimmonhitch.platform.upstream_format import decode_upstream
from persimmonhitch.wire.codec import decode, encode

V1, V2 = SoftwareVersion("1"), SoftwareVersion("2")
Q1 = RequestId("q1")
MAX_AGE_S = 15.0
WALL_MS = 1_000_000_000.0


def record(name, version, started_at_ms=1, service=LLM):
    return UpstreamRecord(
        Upstream(name),
        service,
        "h",
        1,
        Zone("z1"),
        8,
        False,
        started_at_ms,
        inventory=None,
        version=version,
    )


def engine(name, version, script):
    upstream = FakeUpstream(name, script, LLM)
    upstream.record = replace(upstream.record, version=version)
    return upstream


BREAKS = resets(STREAM_HEAD + event(1) + event(2) + event(3)[:9])
CONTINUES = sends(STREAM_HEAD, event(3), LAST_CHUNK)


def script(req, sock):
    return (CONTINUES if "last-event-id" in req.headers else BREAKS)(req, sock)


@pytest.mark.parametrize(
    ("versions", "is_resumed"),
    [((V1, V1), True), ((V1, V2, V1, V2), True), ((V1, V2), False)],
    ids=["one", "two-of-each", "none-left"],
)
def test_lost_stream_goes_on_at_its_own_version_alone(versions, is_resumed):
    """Guards against a stream joined from the events of two software versions."""
    engines = [engine(f"u{n}", v, script) for n, v in enumerate(versions)]
    with GatewayServer(*engines) as gateway:
        replies = [gateway.call("/resume/x") for _ in range(4)]
    for reply in replies:
        assert reply.complete is is_resumed
        assert (b"data: t3" in reply.body) is is_resumed
    for upstream in engines:
        firsts = [r for r in upstream.received if "last-event-id" not in r.headers]
        others = [e for e in engines if e.record.version == upstream.record.version]
        assert sum(len(e.received) for e in others) >= len(firsts)


def test_caller_resumes_at_the_version_that_began_its_stream():
    """Guards against a resumption by a caller at another software version."""
    engines = [engine(f"u{n}", v, script) for n, v in enumerate((V1, V2, V1, V2))]
    with GatewayServer(*engines) as gateway:
        for number in range(8):
            started = f"s{number}"
            gateway.call("/chat/x", X_Persimmonhitch_Request_Id=started)
            gateway.call(
                "/resume/x",
                X_Persimmonhitch_Request_Id=f"r{number}",
                Resumes=started,
                Last_Event_Id="2",
            )
    began, resumed = {}, {}
    for upstream in engines:
        for req in upstream.received:
            request_id = req.headers["x-persimmonhitch-request-id"]
            seen = resumed if request_id.startswith("r") else began
            seen[request_id[1:]] = upstream.record.version
    assert len(resumed) == 8
    assert resumed == began


@pytest.mark.parametrize(
    ("versions", "history_s", "headers", "status"),
    [
        ((V1, V2), 20, {"Resumes": "unknown", "Last_Event_Id": "2"}, 503),
        ((V1, V2), 20, {"Last_Event_Id": "2"}, 503),
        ((V1, V1), 20, {"Resumes": "unknown", "Last_Event_Id": "2"}, 200),
        ((V1, V1), 0, {"Resumes": "unknown", "Last_Event_Id": "2"}, 503),
        ((V1, V2), 20, {"Resumes": "un known", "Last_Event_Id": "2"}, 400),
        ((V1, V2), 20, {"Resumes": "u" * 200, "Last_Event_Id": "2"}, 400),
        ((V1, V2), 20, {"Resumes": "unknown", "Last_Event_Id": "a b"}, 400),
    ],
    ids=["unknown", "no-id", "one-version", "started", "space", "too-long", "event-id"],
)
def test_resumption_of_an_unknown_stream(versions, history_s, headers, status):
    """Guards against a guess at the version that began a stream."""
    engines = [engine(f"u{n}", v, CONTINUES) for n, v in enumerate(versions)]
    with GatewayServer(*engines) as gateway:
        gateway.origins.extend_history(VersionsSeen(history_s * 1000, ()))
        reply = gateway.call("/resume/x", **headers)
    assert reply.status == status
    if status == 503:
        assert b"not_run" in reply.body and b"version_unknown" in reply.body
        assert float(reply.headers["retry-after"]) > 0
    assert sum(len(e.received) for e in engines) == (status == 200)


@pytest.mark.parametrize(
    ("lists", "since", "is_fresh", "knowledge", "version"),
    [
        ([(0, [V1])], 0, True, Knowledge.SINGLE, V1),
        ([(0, [V1]), (90, [V2])], 0, True, Knowledge.MIXED, None),
        ([(0, [V1]), (80, [V2])], 0, True, Knowledge.SINGLE, V2),
        ([(0, [V1]), (50, [V1, V2])], 0, True, Knowledge.MIXED, None),
        ([(0, [V1])], 0, False, Knowledge.STALE_VIEW, None),
        ([(95, [V1])], 95, True, Knowledge.SHORT_HISTORY, None),
        ([(0, [])], 0, True, Knowledge.SHORT_HISTORY, None),
        ([(85, [V1])], 85, True, Knowledge.SINGLE, V1),
    ],
    ids=[
        "one",
        "just-replaced",
        "replaced",
        "both",
        "stale",
        "started-just-now",
        "none-listed",
        "started-before",
    ],
)
def test_origin_of_an_unknown_stream(lists, since, is_fresh, knowledge, version):
    """Guards against a guess while versions are replaced; the time is 100 s."""
    history = VersionHistory(since)
    for at, versions in lists:
        history.update([record(f"u{v}", v) for v in versions], at)
    origin = history.origin(LLM, 100 - MAX_AGE_S, is_fresh)
    assert (origin.knowledge, origin.version) == (knowledge, version)


@pytest.mark.parametrize("age_s", [8, 600, 86_400])
def test_short_history_is_insufficient_however_old_the_upstreams_are(age_s):
    """Guards against a guess by an entry that started after a version had left."""
    history = VersionHistory(95)
    started_at_ms = int(WALL_MS) - age_s * 1000
    history.update([record("u1", V2, started_at_ms=started_at_ms)], 95)
    assert history.origin(LLM, 85, True).knowledge is Knowledge.SHORT_HISTORY
    history.record([(LLM, V2, 95)])
    history.extend(40)
    assert history.origin(LLM, 85, True).version == V2


class Entry:
    """The memory of one entry; its messages go to ``peers``."""

    def __init__(self, clock, max_streams=100):
        self.messages, self.peers = [], []
        self.origins = StreamOrigins(
            self._publish,
            lambda: None,
            clock,
            max_streams,
            clock=clock,
            wall_ms=lambda: WALL_MS + clock() * 1000,
        )
        self._clock = clock

    def _publish(self, msg):
        self.messages.append(msg)
        for peer in self.peers:
            copy = decode(encode(msg)).unwrap()
            kind = type(msg).__name__
            receive = {
                "StreamsBegan": peer.origins.receive_streams,
                "VersionsSeen": peer.origins.receive_versions,
                "StreamQuery": peer.origins.receive_query,
            }[kind]
            receive(Vm("e1"), copy, self._clock())

    def knowledge(self, request_id=Q1, account=COOP):
        return self.origin(request_id, account).knowledge

    def origin(self, request_id=Q1, account=COOP):
        return self.origins.wait_for_origin(request_id, account, LLM, MAX_AGE_S, 0.0)


@pytest.fixture
def entries():
    clock = Clock()
    first, second = Entry(clock), Entry(clock)
    first.peers.append(second)
    return clock, first, second


def test_peers_are_told_of_streams_while_versions_mix(entries):
    """Guards against a refusal of streams whose entry has been lost."""
    _clock, first, second = entries
    for entry in (first, second):
        entry.origins.update([record("u1", V1)])
    first.origins.began(Q1, COOP, record("u1", V1))
    first.origins.flush()
    assert first.messages == []
    for entry in (first, second):
        entry.origins.update([record("u1", V1), record("u2", V2)])
    first.origins.began(RequestId("q2"), COOP, record("u2", V2))
    first.origins.flush()
    for request_id, version in ((Q1, V1), (RequestId("q2"), V2)):
        origin = second.origin(request_id)
        assert (origin.knowledge, origin.version) == (Knowledge.STREAM, version)


def test_resumption_waits_for_the_report_of_a_peer(entries):
    """Guards against a refusal of callers that are faster than the report."""
    _clock, first, second = entries
    for entry in (first, second):
        entry.origins.update([record("u1", V1), record("u2", V2)])
    first.origins.began(Q1, COOP, record("u2", V2))
    threading.Timer(0.05, first.origins.flush).start()
    origin = second.origins.wait_for_origin(Q1, COOP, LLM, MAX_AGE_S, 2.0)
    assert (origin.knowledge, origin.version) == (Knowledge.STREAM, V2)


def test_stream_of_another_account_is_not_told_of(entries):
    """Guards against knowledge of other accounts' streams."""
    _clock, first, _second = entries
    first.origins.update([record("u1", V1), record("u2", V2)])
    first.origins.began(Q1, COOP, record("u1", V1))
    assert first.knowledge(account="other") is Knowledge.MIXED
    assert first.knowledge() is Knowledge.STREAM


def test_memory_is_bounded(entries):
    """Guards against memory that grows with each stream."""
    entry = Entry(entries[0], max_streams=3)
    entry.origins.update([record("u1", V1), record("u2", V2)])
    for number in range(10):
        entry.origins.began(RequestId(f"q{number}"), COOP, record("u1", V1))
    assert len(entry.origins) == 3
    assert entry.knowledge(RequestId("q0")) is Knowledge.MIXED
    assert entry.knowledge(RequestId("q9")) is Knowledge.STREAM


def test_version_is_unknown_if_the_upstream_restarted_with_another(entries):
    """Guards against the version of an earlier instance under the same name."""
    clock, entry, _second = entries
    old = record("u1", V1)
    entry.origins.update([old])
    entry.origins.began(RequestId("q0"), COOP, old)
    clock.now += 10
    entry.origins.began(Q1, COOP, old)
    born = int(WALL_MS + (clock() - 2) * 1000)
    entry.origins.update([record("u1", V2, started_at_ms=born)])
    assert entry.knowledge(RequestId("q0")) is Knowledge.STREAM
    assert entry.knowledge() is Knowledge.MIXED


def test_peer_with_an_outdated_list_learns_of_a_new_version(entries):
    """Guards against a guess by an entry that the store does not reach."""
    _clock, first, second = entries
    for entry in (first, second):
        entry.origins.update([record("u1", V1)])
    first.origins.update([record("u2", V2)])
    assert second.knowledge() is Knowledge.MIXED


@pytest.mark.parametrize(
    ("value", "version"), [("3", "3"), (3, "3"), (None, "")], ids=["text", "int", "no"]
)
def test_version_in_a_record(value, version):
    body = {"service": "s", "address": "h:1", "zone": "z", "slots": 1, "state": "ready"}
    assert decode_upstream("u1", {**body, "version": value}).version == version
