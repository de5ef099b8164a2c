"""Decoding of configuration, records, replies and headers; malformed input fails."""

import pytest
from returns.result import Success

from persimmonhitch.fleet.call import RateLimit, ServerLoad
from persimmonhitch.fleet.config import RouteKind
from persimmonhitch.fleet.routes import RouteTable
from persimmonhitch.ids import Account, Adapter, Model, Service, Upstream
from persimmonhitch.platform import headers
from persimmonhitch.platform.config_format import decode_config
from persimmonhitch.platform.objects_format import decode_changes, decode_object
from persimmonhitch.platform.upstream_format import (
    InvalidUpstreamRecord,
    decode_report,
    decode_upstream,
)
from persimmonhitch.store.objects import EventType, Kind

RECORD = {
    "service": "llm",
    "address": "10.1.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "sequence": 4,
    "born": 17,
    "models": [{"name": "m1", "version": 1, "adapters": ["a2@1"]}],
    "available": {"in_memory": ["m2"], "on_disk": ["m1", "m2"]},
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "hostname": "A.example",
            "path_prefix": "/chat/",
            "route_kind": "streaming",
            "timeout_ms": 5000,
            "target_latency_ms": 600,
            "target_gap_ms": 300,
            "priority": 1,
            "traffic_split": [{"service": "llm", "weight": 90}],
            "max_attempts": 2,
            "resumable": True,
        },
        {
            "name": "r2",
            "hostname": "a.example",
            "path_prefix": "/chat/inner/",
            "route_kind": "some_new_kind",
            "timeout_ms": 1000,
            "service": "ledger",
        },
    ],
    "services": [
        {
            "name": "llm",
            "engine": {
                "slots": 64,
                "kv_capacity": 1000,
                "weights_mb": 200,
                "adapter_slots": 8,
                "loads_per_s": 1.5,
                "models": [{"name": "m1", "weights_mb": 70, "load_time_s": 8.6}],
            },
        },
        {"name": "ledger"},
    ],
    "tenants": [
        {"name": "coop", "api_keys": ["k1", "k2"], "rate_per_s": 5, "burst_size": 9}
    ],
}


def test_decodes_configuration():
    cfg = decode_config(CONFIG).unwrap()
    r1, r2 = cfg.routes
    assert (r1.kind, r1.timeout, r1.latency_target) == (RouteKind.STREAM, 5.0, 0.6)
    assert r2.kind is RouteKind.NON_IDEMPOTENT
    assert cfg.services[Service("llm")].engine.models[Model("m1")].disk_load_s == 8.6
    assert cfg.keys == {"k1": Account("coop"), "k2": Account("coop")}


@pytest.mark.parametrize("broken", [{}, {"version": "x"}, {**CONFIG, "routes": [{}]}])
def test_rejects_unreadable_configuration(broken):
    assert not isinstance(decode_config(broken), Success)


@pytest.mark.parametrize(
    ("host", "path", "route"),
    [
        ("a.example", "/chat/x", "r1"),
        ("A.EXAMPLE:8080", "/chat/", "r1"),
        ("a.example", "/chat/inner/x/y", "r2"),
        ("a.example", "/chat", None),
        ("a.example", "/chatter/x", None),
        ("b.example", "/chat/x", None),
    ],
)
def test_finds_route_by_longest_prefix_of_host(host, path, route):
    found = RouteTable(decode_config(CONFIG).unwrap().routes).find(host, path)
    assert (found.name if found else None) == route


def test_decodes_upstream_record():
    """The sequence of a record counts heartbeats. If decoded as the order count, each
    order to a new engine would be refused.
    """
    record = decode_upstream("i-1", RECORD)
    assert (record.host, record.port, record.started_at_ms) == ("10.1.0.9", 8080, 17)
    assert record.inventory.order_count < 0
    assert record.inventory.has(Model("m1"), Adapter("a2"))
    assert record.inventory.on_disk == {"m1", "m2"}


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"state": None},
        {"address": 5},
        {"address": "nowhere"},
        {"address": "10.1.0.9:x"},
        {"slots": "64"},
        {"slots": None},
        {"zone": 3},
        {"service": None},
        {"models": [{}]},
        {"models": 7},
        {"born": "soon"},
    ],
)
def test_rejects_malformed_upstream_record(change):
    """Another program writes a partly valid record. If accepted, requests would be sent
    to an address that does not answer, or decoding would fail for all upstreams.
    """
    with pytest.raises(InvalidUpstreamRecord):
        decode_upstream("i-1", {**RECORD, **change})


def test_object_with_non_mapping_content_is_decoded_as_empty():
    body = {"metadata": {"name": "x", "revision": 4}, "specification": "\x00\x01"}
    assert decode_object(Kind.UPSTREAM, body).spec == {}


def test_changes_continue_from_version_of_store():
    """A deleted object has the version of its last change. A watch from that version
    would return the same deletion immediately, in an endless loop.
    """
    obj = {"metadata": {"name": "x", "revision": 4, "created_revision": 4}}
    events = [{"object": obj, "deleted": True}]
    changes = decode_changes(Kind.UPSTREAM, {"events": events, "at_revision": 9})
    assert changes.version == 9
    assert [event.type for event in changes.events] == [EventType.DELETED]


def test_decodes_engine_report():
    body = {
        "models": [{"name": "m1", "adapters": [{"name": "a1"}]}],
        "incoming": ["m1/a2@1"],
        "sequence": 3,
        "busy": True,
    }
    state = decode_report(body)
    assert (state.order_count, state.busy, state.adapter_slots_used()) == (3, True, 2)


HEADERS = {
    "x-persimmonhitch-request-id": "q1",
    "x-persimmonhitch-model": "m1/a3",
    "x-persimmonhitch-token-counts": "1460,80",
    "x-persimmonhitch-prompt-prefix": "5c:800,9a:410",
    "x-persimmonhitch-request-deadline": "4000",
    "authorization": "Bearer k1",
}


def test_reads_caller_headers():
    req = headers.parse_caller(HEADERS)
    assert (req.model, req.adapter, req.timeout_s) == ("m1", "a3", 4.0)
    assert (req.prompt_tokens, req.output_tokens, req.api_key) == (1460, 80, "k1")
    assert [part.tokens for part in req.prompt_parts] == [800, 410]


@pytest.mark.parametrize("text", ["", "x", "1460", "1460,", "-1,5", "1,2,3"])
def test_unreadable_token_counts_are_ignored(text):
    req = headers.parse_caller({**HEADERS, "x-persimmonhitch-token-counts": text})
    assert not req.has_token_counts


@pytest.mark.parametrize("text", ["nan", "inf", "-5", "soon", "1e99"])
def test_unreadable_deadline_is_ignored(text):
    req = headers.parse_caller({**HEADERS, "x-persimmonhitch-request-deadline": text})
    assert req.timeout_s is None


@pytest.mark.parametrize(
    "name",
    [
        "authorization",
        "x-persimmonhitch-tenant",
        "x-persimmonhitch-request-priority",
        "x-persimmonhitch-hold",
        "x-persimmonhitch-pin-duration",
        "x-persimmonhitch-kv-backup",
        "x-persimmonhitch-expected-version",
        "kv-from",
        "kv-fetch",
        "connection",
        "transfer-encoding",
        "x-hop",
    ],
)
def test_reserved_and_hop_headers_of_caller_are_dropped(name):
    """Guards against callers that claim another account or reserve engine memory."""
    received = {**HEADERS, name: "mine"}
    if name == "x-hop":
        received["connection"] = "close, X-Hop"
    sent = headers.upstream_headers(received, Upstream("i-1"), None, None, 1.5, None)
    assert name not in sent
    assert sent["x-persimmonhitch-expected-instance"] == "i-1"
    assert sent["x-persimmonhitch-request-deadline"] == "1500"
    assert sent["x-persimmonhitch-request-id"] == "q1"


@pytest.mark.parametrize(
    ("status", "fields", "not_run"),
    [
        (200, {}, False),
        (503, {"x-persimmonhitch-not-executed": "1"}, True),
        (503, {}, False),
        (429, {"x-persimmonhitch-not-executed": "1"}, True),
        (400, {"x-persimmonhitch-not-executed": "1"}, True),
        (421, {}, True),
        (500, {}, False),
        (500, {"x-persimmonhitch-not-executed": "1"}, False),
        (504, {"x-persimmonhitch-not-executed": "1"}, False),
        (200, {"x-persimmonhitch-not-executed": "1"}, False),
    ],
)
def test_only_header_or_misdirected_status_means_not_run(status, fields, not_run):
    assert headers.parse_reply(status, fields).not_run is not_run


@pytest.mark.parametrize(
    ("fields", "limit"),
    [
        ({}, None),
        ({"server-limit": "2.5"}, RateLimit(2.5)),
        ({"x-persimmonhitch-server-limit": " 3 "}, RateLimit(3.0)),
        ({"server-limit": "0"}, RateLimit(0.0)),
        ({"server-limit": "-1"}, RateLimit(None)),
        ({"server-limit": "nan"}, RateLimit(None)),
        ({"server-limit": "few"}, RateLimit(None)),
        ({"server-limit": ""}, RateLimit(None)),
    ],
)
def test_reads_rate_limit_of_upstream(fields, limit):
    assert headers.parse_limit(fields) == limit


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("12,3,64", ServerLoad(12, 3, 64)),
        ("12, 3, 64, 250", ServerLoad(12, 3, 64, 2.5)),
        ("0,0,6,100", ServerLoad(0, 0, 6, 1.0)),
        ("", None),
        ("12,3", None),
        ("12,3,64,100,1", None),
        ("12,3,0,100", None),
        ("12,3,64,0", None),
        ("-1,3,64,100", None),
        ("12,3,64,1.5", None),
        ("12,3,64,99999999", None),
        ("²,3,64", None),
    ],
)
def test_load_of_upstream(text, expected):
    assert headers.parse_reply(200, {headers.names.SERVER_LOAD: text}).load == expected
