"""Requests from the caller to the upstream through real processes on loopback."""

import json

import pytest
from fleet import ACCOUNTS, PLANS, Fleet, start_fleet, wait_for
from golden_session import Session


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as running:
        start_fleet(running)
        yield running


def streamed_text(body: bytes) -> str:
    """Return the text of the events of a stream."""
    events = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: {")]
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events]
    return "".join(delta.get("content", "") for delta in deltas).strip()


@pytest.mark.parametrize("entry", ["entry-1", "entry-2"])
def test_unstreamed_answer(fleet, entry):
    reply = fleet.chat(entry, "fretes", "urea quote", 4)
    assert reply.status == 200
    assert reply.json()["choices"][0]["message"]["content"] == "urea quote urea quote"
    assert reply.headers["X-Request-Id"]


def test_streamed_answer(fleet):
    reply = fleet.chat("entry-1", "chapters", "one two", 4, stream=True)
    assert reply.headers["Content-Type"] == "text/event-stream"
    assert reply.body.endswith(b"data: [DONE]\n\n")
    assert streamed_text(reply.body) == "one two one two"


def test_service_answer(fleet):
    reply = fleet.request("entry-1", "GET", "/v1/services/ledger/manifests/7", "fretes")
    assert reply.status == 200
    assert reply.json()["path"] == "/manifests/7"
    assert reply.json()["request"] == reply.headers["X-Request-Id"]


CHAT = "/v1/chat/completions"
MODEL = {"model": "tiny-chat", "messages": [{"role": "user", "content": "a"}]}


@pytest.mark.parametrize(
    ("method", "path", "account", "body", "headers", "status", "code"),
    [
        ("POST", CHAT, "nobody", MODEL, {}, 401, "unauthenticated"),
        ("POST", CHAT, "fretes", [], {}, 400, "bad_request"),
        ("POST", CHAT, "fretes", {**MODEL, "model": "x"}, {}, 403, "not_permitted"),
        ("POST", CHAT, "fretes", {**MODEL, "messages": []}, {}, 400, "bad_request"),
        ("POST", CHAT, "fretes", {**MODEL, "max_tokens": 0}, {}, 400, "bad_request"),
        ("POST", CHAT, "fretes", {**MODEL, "stream": 1}, {}, 400, "bad_request"),
        (
            "POST",
            CHAT,
            "fretes",
            MODEL,
            {"X-Request-Timeout": "soon"},
            400,
            "bad_request",
        ),
        ("GET", "/v1/services/ledger/x", "chapters", None, {}, 403, "not_permitted"),
        ("GET", "/v2", "fretes", None, {}, 404, "not_found"),
    ],
)
def test_refusals(fleet, method, path, account, body, headers, status, code):
    options = {} if body is None else {"json": body}
    reply = fleet.request("entry-1", method, path, account, headers=headers, **options)
    error = reply.json()["error"]
    assert (reply.status, error["code"]) == (status, code)
    assert error["verdict"] == "not_run"
    assert error["request_id"] == reply.headers["X-Request-Id"]


def test_models_list_matches_the_plan(fleet):
    reply = fleet.request("entry-1", "GET", "/v1/models", "fretes")
    assert [item["id"] for item in reply.json()["data"]] == ["tiny-chat"]


def test_no_upstream_sees_the_key(fleet):
    key = fleet.keys["fretes"]
    path = f"/v1/services/ledger/manifests/8?a=1&token={key}"
    headers = {"X-Note": f"mine is {key}", "Cookie": f"k={key}"}
    reply = fleet.request("entry-1", "GET", path, "fretes", headers=headers)
    assert reply.json()["path"] == "/manifests/8"
    seen = fleet.http.request("GET", fleet.urls["service-1"] + "/_runs").data
    seen += fleet.http.request("GET", fleet.urls["engine-1"] + "/seen").data
    logs = "".join(p.log.read_text() for p in fleet.processes.values())
    assert key not in seen.decode()
    assert key not in logs


def test_each_hop_has_a_span_under_the_callers_trace(fleet):
    trace = "0af7651916cd43dd8448eb211c80319c"
    headers = {"traceparent": f"00-{trace}-b7ad6b7169203331-01"}
    fleet.chat("entry-1", "fretes", "hop", 2, headers=headers)

    def span_names() -> set[str]:
        lines = [
            line
            for process in fleet.processes.values()
            for line in process.log.read_text().splitlines()
            if f"trace_id={trace}" in line
        ]
        return {word for line in lines for word in line.split() if "name=" in word}

    expected = {"name=entry", "name=queue", "name=sidecar", "name=upstream"}
    wait_for(lambda: span_names() == expected, "four spans")


UNLOADED = """
[plan more]
rate = 100
burst = 500
weight = 1
priority = batch
models = tiny-*
services =
[model tiny-absent]
memory = 8
revision = r1
"""


def test_ordinary_session(fleet):
    """One answer of each kind, compared with a golden file."""
    session = Session("ordinary")
    fleet.apply_lists(ACCOUNTS + "[account ships]\nplan = more\n", PLANS + UNLOADED)
    fleet.issue_key("ships")
    wait_for(
        lambda: fleet.chat("entry-1", "ships", "a", 1).status == 200, "the new account"
    )
    slots = "/v1/services/ledger/slots"
    record = session.add_reply
    record("whole chat", fleet.chat("entry-1", "fretes", "a b", 4))
    stream = fleet.chat("entry-1", "fretes", "a b", 4, stream=True)
    session.add("streamed chat:", stream.status, streamed_text(stream.body))
    record("plain call", fleet.request("entry-2", "GET", f"{slots}/7", "fretes"))
    record("no key", fleet.chat("entry-1", "nobody", "a"))
    record("not JSON", fleet.request("entry-1", "POST", CHAT, "fretes", body=b"{"))
    record("another plan's service", fleet.request("entry-1", "GET", slots, "ships"))
    record("no such path", fleet.request("entry-1", "GET", "/v2", "fretes"))
    big = b"x" * (5 * 1024 * 1024)
    record("5 MiB body", fleet.request("entry-1", "POST", slots, "fretes", body=big))
    record("more than the burst", fleet.chat("entry-1", "ships", "a", 4000))
    short = {"X-Request-Timeout": "1"}
    absent = {"model": "tiny-absent", "headers": short}
    record("model not loaded", fleet.chat("entry-1", "ships", "a", 1, **absent))
    tight = {"X-Request-Timeout": "0.3"}
    record("too little time", fleet.chat("entry-1", "fretes", "a", 400, headers=tight))
    token = {"Idempotency-Key": "ordinary"}
    for body in (b"1", b"2"):
        reply = fleet.request(
            "entry-1", "POST", slots, "fretes", headers=token, body=body
        )
        record(f"booking {body.decode()} under one key", reply)
    session.check()
