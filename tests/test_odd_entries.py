"""Entries of other writers in the lists that a process reads from the store."""

import io
import json
import math
import threading
import time
from types import SimpleNamespace

import pytest
from direct_help import FakeUpstream
from fleet import wait_for
from returns.result import Failure

from persimmonhitch.decide.overlay import Member, Overlay
from persimmonhitch.direct.engine_client import EngineClient
from persimmonhitch.direct.main import Entry
from persimmonhitch.direct.stream_origins import StreamOrigins
from persimmonhitch.direct.upstreams import UpstreamList
from persimmonhitch.entry.peers import PeerMesh
from persimmonhitch.ids import Vm, Zone
from persimmonhitch.json_input import MAX_DEPTH, is_readable, parse_json, parse_readable
from persimmonhitch.kernel.threads import failure_counts
from persimmonhitch.observe.logs import LogWriter
from persimmonhitch.platform.objects_format import decode_object
from persimmonhitch.platform.store_client import StoreClient
from persimmonhitch.store.objects import (
    Kind,
    StoredObject,
    StoreError,
    StoreFailure,
    Version,
)
from persimmonhitch.store.pushes import PushedObject, _to_event
from persimmonhitch.store.watcher import View, Watcher
from persimmonhitch.web import Answer, WebServer

SOUND = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "slots": 8,
    "state": "ready",
    "version": "v1",
    "born": 1764900000000,
    "cold_remaining_ms": 0,
}
LEVELS = (MAX_DEPTH + 1, 200, 900, 990, 1100, 100_000)
ODD_VALUES = {
    **{f"lists-{n}": ("x", "[" * n + "]" * n) for n in LEVELS},
    **{f"objects-{n}": ("x", '{"x":' * n + "0" + "}" * n) for n in LEVELS},
    **{f"mixed-{n}": ("x", '[{},"}]",{"x":' * n + "0" + "}]" * n) for n in LEVELS},
    "born-huge": ("born", "1e999"),
    "born-digits": ("born", "9" * 400),
    "born-many-digits": ("born", "9" * 5000),
    "born-half": ("born", "0.5"),
    "born-text": ("born", '"yesterday"'),
    "born-negative": ("born", "-1"),
    "cold-digits": ("cold_remaining_ms", "9" * 400),
    "cold-many-digits": ("cold_remaining_ms", "9" * 5000),
    "cold-nan": ("cold_remaining_ms", "NaN"),
    "cold-infinite": ("cold_remaining_ms", "-Infinity"),
    "slots-huge": ("slots", "1" + "0" * 30),
    "slots-exponent": ("slots", "1e400"),
    "slots-true": ("slots", "true"),
    "port-large": ("address", '"10.0.0.9:70000"'),
    "port-zero": ("address", '"10.0.0.9:0"'),
    "port-negative": ("address", '"10.0.0.9:-5"'),
    "port-digits": ("address", '"10.0.0.9:' + "8" * 30 + '"'),
    "port-missing": ("address", '"10.0.0.9"'),
    "port-signs": ("address", '"10.0.0.9:٨٠x"'),
    "host-name": ("address", '"no host:80"'),
    "host-long": ("address", '"' + "a" * 300 + '.example:80"'),
    "version-half-character": ("version", r'"\ud83d"'),
    "version-list": ("version", "[1]"),
    "service-half-character": ("service", r'"llm\udc80"'),
    "zone-half-character": ("zone", r'"\udfff"'),
    "state-half-character": ("state", r'"\ud800"'),
    "model-number": ("models", '[{"name":5,"adapters":[]}]'),
    "models-text": ("models", '"all"'),
}


def entry_text(**fields):
    """Return the JSON text of an entry; values of ``fields`` are JSON texts."""
    parts = {name: json.dumps(value) for name, value in SOUND.items()} | fields
    return "{" + ",".join(f'"{name}":{text}' for name, text in parts.items()) + "}"


def object_text(name, revision, spec_text):
    meta = json.dumps({"name": name, "revision": revision})
    return f'{{"metadata":{meta},"specification":{spec_text},"status":null}}'


ODD_ENTRIES = {
    "control-characters": entry_text(state='"\x01\t\x1f"', x='"\n"'),
    **{name: entry_text(**dict([pair])) for name, pair in ODD_VALUES.items()},
    "not-an-object": "[1]",
    "born-list": entry_text(born="[]"),
    "bytes-that-are-no-text": entry_text(version='"BYTES"'),
}


class RawStore:
    """Store that sends texts as they are; the first call gets the list."""

    def __init__(self, odd_text):
        odd, sound = object_text("odd", 2, odd_text), object_text("sound", 1, "SOUND")
        items = ",".join([odd, sound.replace("SOUND", entry_text())])
        self.page = f'{{"items":[{items}],"has_more":false,"at_revision":5}}'
        event = f'{{"object":{odd},"deleted":false}}'
        later = object_text("later", 7, entry_text())
        last = f'{{"object":{later},"deleted":false}}'
        self.changes = f'{{"events":[{event},{last}],"at_revision":7}}'
        self._server = WebServer(self, "127.0.0.1", 0, 2)
        self._server.start()
        self.client = StoreClient(f"http://127.0.0.1:{self._server.port}", 2.0)

    def __call__(self, environ, start_response):
        is_watch = "watch" in environ["QUERY_STRING"]
        text = self.changes if is_watch else self.page
        body = text.encode().replace(b"BYTES", b"v\xff\xfe")
        return Answer(200, {"content-length": str(len(body))}, [body]).send(
            start_response
        )

    def __enter__(self):
        return self

    def __exit__(self, *_exc):
        self._server.close()


@pytest.mark.parametrize("kind", list(Kind))
@pytest.mark.parametrize("name", ["lists-100000", "born-many-digits"])
def test_odd_entry_hides_no_other_entry(kind, name):
    """Guards against a list of any kind that one entry makes unreadable."""
    with RawStore(ODD_ENTRIES[name]) as store:
        listing = store.client.list_all(kind).unwrap()
        changes = store.client.watch(kind, listing.version, 0.1).unwrap()
    assert {obj.name: obj.spec for obj in listing.items}["sound"] == SOUND
    assert {event.object.name for event in changes.events} >= {"later"}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entry_names_no_upstream_and_hides_none(name):
    """Guards against a process that ends, or follows nothing, at an odd entry."""
    published = []
    with RawStore(ODD_ENTRIES[name]) as store:
        listing = store.client.list_all(Kind.UPSTREAM).unwrap()
        changes = store.client.watch(Kind.UPSTREAM, listing.version, 0.1).unwrap()
    upstreams = UpstreamList(published.append)
    objects = {obj.name: obj for obj in listing.items}
    upstreams.update(View(objects, 0.0))
    objects |= {event.object.name: event.object for event in changes.events}
    upstreams.update(View(objects, 0.0))
    names = [sorted(record.name for record in records) for records in published]
    assert names == [["sound"], ["later", "sound"]]


@pytest.mark.parametrize("name", ["", "two words", "line\r\nx: 1", "€", "n" * 300])
def test_upstream_whose_name_fits_no_header_gets_no_requests(name):
    """Guards against requests that are lost before they are sent."""
    published = []
    obj = StoredObject(Kind.UPSTREAM, name, Version(1), SOUND)
    sound = StoredObject(Kind.UPSTREAM, "sound", Version(1), SOUND)
    UpstreamList(published.append).update(View({name: obj, "sound": sound}, 0.0))
    assert [[record.name for record in records] for records in published] == [["sound"]]


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entry_is_passed_on_to_followers(name):
    """Guards against an odd entry that ends the pushes, or that a push brings."""
    text = ODD_ENTRIES[name].encode()
    event = _to_event(Kind.UPSTREAM, PushedObject("odd", 2, False, text))
    assert is_readable(event.object.spec)
    assert json.loads(json.dumps(event.object.spec)) == event.object.spec


@pytest.mark.parametrize("name", ODD_VALUES)
def test_odd_report_of_an_engine_is_a_failure(name):
    """Guards against a leader that ends at the report of an engine."""
    field, text = ODD_VALUES[name]
    fields = {"sequence": text} if field != "models" else {"models": text}
    body = entry_text(**fields).encode()
    lines = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()

    def script(_req, sock):
        sock.sendall(lines + body)
        return True

    upstream = FakeUpstream("u1", script)

    class NoLimits:
        acquire_report_slot = staticmethod(lambda _record: True)

    result = EngineClient(Vm("e1"), NoLimits()).get_report(upstream.record)
    upstream.close()
    assert result.failure()


@pytest.mark.parametrize(
    "fields",
    [
        {"zone": ["z1"]},
        {"region": None},
        {"link_host": 5},
        {"link_host": "127.0.0.1:1/x?"},
        {"link_host": "u:p@127.0.0.1"},
        {"link_host": "a\0b"},
        {"link_host": "[::1"},
        {"link_host": "h" * 300},
        {"link_port": 0},
        {"link_port": -1},
        {"link_port": 2**40},
        {"link_port": True},
        {"link_port": "7600"},
        {"cores": "nan"},
        {"cores": 0},
        {"cores": -1.0},
        {"cores": 2**62},
        {"cores": None},
    ],
)
def test_odd_record_of_an_entry_names_no_peer(fields):
    """Guards against peers that never answer, and a list that can't be applied."""
    sound = {"zone": "z1", "region": "r", "link_host": "h", "link_port": 1, "cores": 1}
    specs = {"sound": sound, "odd&name": sound | fields, "empty": {}}
    entry = SimpleNamespace(
        vm=Vm("own"),
        mesh=PeerMesh(Vm("own"), "127.0.0.1", 0, b"", lambda: None),
        overlay=Overlay(Member(Vm("own"), Zone("z1"), 1.0)),
    )
    objects = {
        name: StoredObject(Kind.ENTRY, name, Version(1), spec)
        for name, spec in specs.items()
    }
    Entry._on_entries(entry, View(objects, 0.0))
    assert entry.peers == {"sound"}
    entry.mesh.stop()


LARGE = [
    {"x": "y" * 70_000},
    {"x": [[] for _ in range(70_000)]},
    {"x": [{} for _ in range(35_000)], "y": "z" * 35_000},
    {str(number): 0 for number in range(20_000)},
]


@pytest.mark.parametrize("spec", LARGE)
@pytest.mark.parametrize(
    ("kind", "is_kept"),
    [(Kind.UPSTREAM, False), (Kind.ENTRY, False), (Kind.FLEET, True)],
)
def test_large_object_of_another_writer_is_not_kept(spec, kind, is_kept):
    """Guards against some large entries that use up the memory of a process."""
    obj = decode_object(kind, json.loads(object_text("odd", 1, json.dumps(spec))))
    assert obj.spec == (spec if is_kept else {})


def test_failing_listener_does_not_end_the_watch():
    """Guards against a process that follows its store no more after one error."""
    views, done = [], threading.Event()

    class FlakyStore:
        def list_all(self, _kind):
            return store.client.list_all(Kind.ENTRY)

        def watch(self, _kind, _after, _wait):
            return Failure(StoreFailure(StoreError.EXPIRED, ""))

    def listener(view):
        views.append(view)
        if len(views) == 1:
            raise OverflowError
        done.set()

    with RawStore(entry_text()) as store:
        watcher = Watcher(FlakyStore(), Kind.ENTRY, listener, max_retry_s=0.05)
        watcher.start()
        assert done.wait(5)
        watcher.stop()


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entry_that_has_left_hides_no_version(name):
    """Guards against a history that ends at an entry which can't be read."""
    origins = StreamOrigins(lambda _msg: None, lambda: None, time.monotonic, 10)
    with RawStore(ODD_ENTRIES[name]) as store:
        events = store.client.watch(Kind.UPSTREAM, Version(5), 0.0).unwrap().events
    superseded = tuple(event.object for event in events)
    origins.observe(View({}, 0.0, complete_since=0.0, superseded=superseded))
    assert SOUND["version"] in {item.version for item in origins.history().versions}


def test_listener_that_keeps_failing_is_counted():
    """Guards against an entry that is ready and follows its upstreams no more."""
    broken = threading.Event()
    broken.set()

    def listener(_view):
        if broken.is_set():
            raise OverflowError

    with RawStore(entry_text()) as store:
        watcher = Watcher(
            store.client, Kind.ENTRY, listener, duration_s=0.1, max_retry_s=0.05
        )
        watcher.start()
        wait_for(lambda: failure_counts().get("watch-entries", 0) > 1, "failures")
        assert watcher.failing_since < time.monotonic()
        broken.clear()
        wait_for(watcher.ready.is_set, "a view that is applied")
        assert watcher.failing_since == math.inf
        watcher.stop()


def test_half_of_a_character_does_not_end_the_log():
    """Guards against a process that logs nothing more after an odd text."""
    raw = io.BytesIO()
    stream = io.TextIOWrapper(raw, "utf-8")
    writer = LogWriter(stream)
    for text in ("a", "\ud83d", "b"):
        writer({"message_type": "x", "timestamp": 0.0, "text": text})
        writer.flush(2.0)
    lines = raw.getvalue().decode().splitlines()
    assert [line.rpartition("text=")[2] for line in lines] == ["a", "\\ud83d", "b"]


@pytest.mark.parametrize(
    ("text", "value"),
    [
        ('["\x00\t\n"]', True),
        ("[" * MAX_DEPTH + "]" * MAX_DEPTH, True),
        ("[" * (MAX_DEPTH + 1) + "]" * (MAX_DEPTH + 1), False),
        ('"\\ud83d\\ude00"', True),
        ('{"\\ud83d":1}', False),
        ("123456789012345678", True),
        ("-1e400", False),
    ],
)
def test_readable_values(text, value):
    assert is_readable(parse_json(text)) is value


@pytest.mark.parametrize("text", ["", "[", "[" * 5000, "]" * 5000, '"\\', "{" * 3000])
def test_malformed_documents_raise_value_errors(text):
    with pytest.raises(ValueError):
        parse_readable(text)
