"""Decoders of all that other programs write, on damaged inputs."""

import copy
import json
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import get_args, get_origin, get_type_hints

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Result, Success

from persimmonhitch.direct import peer_messages  # noqa: F401
from persimmonhitch.json_input import parse_json
from persimmonhitch.limits.record import from_spec
from persimmonhitch.platform import headers, names
from persimmonhitch.platform.config_format import decode_config
from persimmonhitch.platform.objects_format import decode_changes, decode_page
from persimmonhitch.platform.store_client import DECODE_ERRORS
from persimmonhitch.platform.upstream_format import (
    InvalidUpstreamRecord,
    decode_report,
    decode_upstream,
)
from persimmonhitch.store.objects import Kind, readable_spec
from persimmonhitch.wire import codec
from persimmonhitch.wire.auth import verify

EXAMPLES = settings(derandomize=True, max_examples=300, deadline=None)

DIGITS = st.sampled_from(["0", "-1", "007", "²", "٣", "1e999", "nan", "9" * 400]) | (
    st.sampled_from([9, 19, 310, 5000]).map(lambda count: "8" * count)
)
TEXT = (
    st.text(max_size=6)
    | DIGITS
    | st.sampled_from(["", "\ud83d", "a\r\nb", "ü", "\x00"])
)
SCALAR = st.none() | st.booleans() | st.integers() | st.floats() | TEXT
VALUE = st.recursive(
    SCALAR,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3)
    ),
    max_leaves=6,
)

MODELS = [{"name": "m0", "adapters": ["a1", {"name": "a2@1"}], "loads_per_s": 0.1}]
UPSTREAM = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "slots": 8,
    "state": "ready",
    "version": "v1",
    "born": 1764900000000,
    "cold_remaining_ms": 0,
    "sequence": 4,
    "models": MODELS,
    "incoming": ["m1/a1", "m2"],
    "available": {"in_memory": ["m1"], "on_disk": [{"name": "m2"}]},
    "busy": True,
}
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "chat",
            "hostname": "h",
            "path_prefix": "/chat",
            "route_kind": "streaming",
            "service": "llm",
            "traffic_split": [{"service": "llm", "weight": 0.5}],
            "timeout_ms": 900,
            "target_latency_ms": 300,
            "priority": 1,
            "max_attempts": 2,
        }
    ],
    "services": [
        {
            "name": "llm",
            "connection_limit": 4,
            "engine": {
                "slots": 4,
                "kv_capacity": 100,
                "weights_mb": 9.5,
                "models": [{"name": "m0", "weights_mb": 1, "load_time_s": 2}],
            },
        }
    ],
    "tenants": [{"name": "t", "api_keys": ["k"], "rate_per_s": 2, "burst_size": 4}],
}
OBJECT = {"metadata": {"name": "llm-1", "revision": 7}, "specification": UPSTREAM}
PAGE = {"items": [OBJECT, OBJECT], "has_more": False, "at_revision": 9}
CHANGES = {"events": [{"object": OBJECT, "deleted": False}], "at_revision": 9}


def _paths(value, path=()):
    yield path
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        yield from _paths(item, (*path, key))


def _replaced(value, path, odd):
    if not path:
        return odd
    value = copy.copy(value)
    value[path[0]] = _replaced(value[path[0]], path[1:], odd)
    return value


@st.composite
def damaged(draw, document, values=VALUE):
    """Return a document of which one or two values are replaced."""
    for _ in range(draw(st.integers(1, 2))):
        path = draw(st.sampled_from(list(_paths(document))))
        document = _replaced(document, path, draw(values))
    return document


def read_back(document):
    """Return a document as a process reads it that another one has written."""
    return parse_json(json.dumps(document))


def upstream_of(spec):
    try:
        return decode_upstream("llm-1", spec)
    except InvalidUpstreamRecord:
        return None


def report_of(spec):
    try:
        return decode_report(spec)
    except InvalidUpstreamRecord:
        return None


SPEC_DECODERS = {
    "upstream": (UPSTREAM, upstream_of),
    "report": (UPSTREAM, report_of),
    "config": (CONFIG, decode_config),
    "quota": ({"generation": 1, "parts": {"entry-0": 0.5}}, from_spec),
}


@pytest.mark.parametrize("name", SPEC_DECODERS)
def test_odd_specifications_are_rejected_by_their_decoders(name):
    """Guards against entries of other writers that end the thread that reads them."""
    document, decode = SPEC_DECODERS[name]

    @EXAMPLES
    @given(damaged(document))
    def check(spec):
        repr(decode(readable_spec(Kind.UPSTREAM, read_back(spec)))).encode()

    check()


@pytest.mark.parametrize(
    ("reply", "decode"), [(PAGE, decode_page), (CHANGES, decode_changes)]
)
def test_odd_replies_of_the_store_are_rejected(reply, decode):
    """Guards against a reply of the store that ends the thread that follows it."""

    @EXAMPLES
    @given(damaged(reply))
    def check(body):
        body = read_back(body)
        try:
            repr(decode(Kind.UPSTREAM, body if isinstance(body, dict) else {})).encode()
        except DECODE_ERRORS:
            return

    check()


HEADER_NAMES = [
    value
    for key, item in vars(names).items()
    for value in (item if isinstance(item, tuple) else [item])
    if key.isupper() and isinstance(value, str) and "/" not in value
]
HEADER_TEXT = st.lists(
    DIGITS
    | st.sampled_from([",", ":", ".", "a", " ", "timeout=", "-", "bearer "])
    | st.text(st.characters(max_codepoint=255), max_size=3),
    max_size=5,
).map("".join)
HEADERS = st.dictionaries(st.sampled_from(HEADER_NAMES), HEADER_TEXT, max_size=6)


@EXAMPLES
@given(HEADERS, st.sampled_from([200, 400, 421, 429, 503]))
def test_odd_headers_count_as_missing(texts, status):
    """Guards against headers that fail a request or end the thread that reads them."""
    caller = headers.parse_caller(texts)
    float(caller.prompt_tokens + caller.output_tokens)
    float(sum(part.tokens for part in caller.prompt_parts))
    headers.parse_reply(status, texts)
    headers.parse_era(texts)
    headers.response_headers(texts)


@EXAMPLES
@given(HEADER_TEXT, HEADER_TEXT, HEADER_TEXT)
def test_odd_proofs_of_peers_are_rejected(timestamp, nonce, digest):
    """Guards against a proof that ends the thread that takes connections of peers."""
    assert not verify(b"secret", f"{timestamp}.{nonce}.{digest}", 0.0)


FRAME_VALUE = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(2**64, 2**1100)
    | st.floats()
    | st.binary(max_size=3)
    | st.text(st.characters(exclude_categories=["Cs"]), max_size=4)
    | st.lists(st.integers(0, 2), max_size=3)
)
SCALARS = {int: 5, float: 0.5, str: "a", bytes: b"x", bool: True}


def sample(hint):
    """Return a valid encoding of a field of a message."""
    while hasattr(hint, "__supertype__"):
        hint = hint.__supertype__
    args = [arg for arg in get_args(hint) if arg not in (type(None), ...)]
    if get_origin(hint) is tuple:
        return [sample(args[0])]
    if get_origin(hint) is dict:
        return {sample(args[0]): sample(args[1])}
    if args:
        return sample(args[0])
    if is_dataclass(hint):
        return fields_of(hint)
    return next(iter(hint)).value if issubclass(hint, Enum) else SCALARS[hint]


def fields_of(cls):
    hints = get_type_hints(cls)
    return [sample(hints[spec.name]) for spec in fields(cls)]


FRAMES = {
    cls.__name__: [number, *fields_of(cls)]
    for number, cls in sorted(codec._types_by_number.items())
}


@pytest.mark.parametrize("name", FRAMES)
def test_odd_frames_of_peers_are_rejected(name):
    """Guards against a frame of a peer that ends the thread behind its link."""
    assert isinstance(codec.decode(codec.cbor2.dumps(FRAMES[name])), Success)

    @settings(EXAMPLES, max_examples=40)
    @given(damaged(FRAMES[name], FRAME_VALUE), st.integers(0))
    def check(parts, cut):
        frame = codec.cbor2.dumps(parts)
        assert isinstance(codec.decode(frame), Result)
        assert isinstance(codec.decode(frame[: cut % len(frame)]), Result)

    check()
