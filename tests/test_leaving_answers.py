"""Upstreams that report in their answers, and not in the store, that they leave."""

import time
from dataclasses import replace

import pytest
from direct_help import (
    LAST_CHUNK,
    LEDGER,
    LLM,
    SIGNATURE,
    FakeUpstream,
    GatewayServer,
    answer,
    event,
    no_limits,
    sends,
)
from fleet import wait_for

from persimmonhitch.direct.engine_client import EngineClient, Order
from persimmonhitch.direct.leaving import LeavingUpstreams
from persimmonhitch.fleet.upstream import UpstreamRecord
from persimmonhitch.ids import Epoch, Model, Upstream, Vm, Zone
from persimmonhitch.wire.codec import decode, encode

LEAVING = "Server-Leaving: 1\r\n"
NOT_RUN = "X-Persimmonhitch-Not-Executed: 1\r\n"
NOTICE_S = 0.3
"""Seconds after an answer from which no further request may be sent."""
STREAM = (
    f"HTTP/1.1 200 OK\r\n{SIGNATURE}{LEAVING}Content-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
).encode()


@pytest.mark.parametrize(
    ("path", "service", "parts"),
    [
        ("/book/x", LEDGER, [answer(200, b"done", SIGNATURE + LEAVING)]),
        ("/book/x", LEDGER, [answer(503, b"", NOT_RUN + LEAVING)]),
        ("/read/x", LEDGER, [answer(500, b"", LEAVING)]),
        ("/chat/x", LLM, [STREAM, event(1), LAST_CHUNK]),
    ],
    ids=["success", "refusal", "error", "stream"],
)
def test_upstream_gets_no_requests_after_an_answer_that_it_leaves(path, service, parts):
    """Guards against requests to a leaving upstream while the store is unavailable."""
    leaving = FakeUpstream("u1", sends(*parts), service)
    other = FakeUpstream("u2", sends(answer()), service)
    with GatewayServer(leaving, other) as gateway:
        for _ in range(30):
            gateway.call(path)
            if leaving.received:
                break
        wait_for(lambda: "u1" in gateway.draining, "the report", NOTICE_S)
        before = len(leaving.received)
        assert before
        statuses = {gateway.call(path).status for _ in range(12)}
    assert statuses == {200}
    assert len(leaving.received) == before


def test_requests_are_refused_at_once_if_the_only_upstream_leaves():
    """Guards against a wait until the deadline for an upstream that takes nothing."""
    upstream = FakeUpstream("u1", sends(answer(200, b"done", SIGNATURE + LEAVING)))
    with GatewayServer(upstream) as gateway:
        assert gateway.call("/book/x").status == 200
        wait_for(lambda: "u1" in gateway.draining, "the report", NOTICE_S)
        started_at = time.monotonic()
        reply = gateway.call("/book/x")
        assert time.monotonic() - started_at < 0.5
    assert (reply.status, b"not_run" in reply.body) == (503, True)
    assert float(reply.headers["retry-after"]) > 0


@pytest.mark.parametrize(
    ("name", "started_at_ms"), [("u1", 2), ("u2", 1)], ids=["restarted", "replaced"]
)
def test_another_instance_at_the_address_gets_requests(name, started_at_ms):
    """Guards against the loss of an upstream that starts again under its name."""
    head = [LEAVING]

    def script(req, sock):
        return sends(answer(200, b"done", SIGNATURE + "".join(head)))(req, sock)

    upstream = FakeUpstream("u1", script)
    with GatewayServer(upstream) as gateway:
        gateway.call("/book/x")
        wait_for(lambda: "u1" in gateway.draining, "the report", NOTICE_S)
        head.clear()
        upstream.record = replace(
            upstream.record, name=name, started_at_ms=started_at_ms
        )
        gateway.update_upstreams()
        assert gateway.call("/book/x").status == 200


@pytest.mark.parametrize(
    "head",
    [
        "Server-Leaving: 0\r\n",
        f"{LEAVING}X-Persimmonhitch-Instance-Id: u9\r\n",
    ],
    ids=["not-leaving", "other-instance"],
)
def test_answer_of_another_meaning_does_not_exclude_the_upstream(head):
    upstream = FakeUpstream("u1", sends(answer(200, b"done", SIGNATURE + head)))
    with GatewayServer(upstream) as gateway:
        gateway.call("/book/x")
        gateway.leaving.apply()
        assert gateway.draining == set()
        assert gateway.call("/book/x").status == 200


LISTED = UpstreamRecord(
    Upstream("u1"), LEDGER, "h", 1, Zone("z1"), 8, False, 1, inventory=None
)


@pytest.mark.parametrize(
    ("lists", "draining"),
    [
        ([[LISTED]], True),
        ([[], [LISTED]], True),
        ([[replace(LISTED, started_at_ms=2)]], False),
        ([[replace(LISTED, draining=True)], [LISTED]], False),
    ],
    ids=["same", "listed-again", "restarted", "stays"],
)
def test_new_list_keeps_an_upstream_leaving_until_it_restarts_or_stays(lists, draining):
    """Guards against requests to a leaving upstream after an older record of it."""
    published = []
    leaving = LeavingUpstreams(published.append)
    leaving.update([LISTED])
    leaving.reported(LISTED)
    leaving.apply()
    assert [record.draining for record in published[-1]] == [True]
    for records in lists:
        leaving.update(records)
    assert [record.draining for record in published[-1]] == [draining]


def test_peers_are_told_once_that_an_upstream_leaves():
    """Guards against requests of other entries to an upstream that leaves."""
    messages, published = [], []
    sender = LeavingUpstreams(lambda _records: None, messages.append)
    for _ in range(3):
        sender.reported(LISTED)
    receiver = LeavingUpstreams(published.append)
    receiver.update([LISTED])
    (msg,) = messages
    receiver.receive(Vm("e2"), decode(encode(msg)).unwrap(), 0.0)
    receiver.apply()
    assert published[-1][0].draining


@pytest.mark.parametrize("call", ["send_order", "get_report"])
def test_answers_to_the_leader_report_leaving(call):
    """Guards against loads of models at an upstream that says only there it leaves."""
    upstream = FakeUpstream("u1", sends(answer(200, b"{}", LEAVING)))
    seen = []
    client = EngineClient(Vm("e1"), no_limits(), seen.append)
    args = (Order(True, Model("m1")), 0, Epoch(1)) if call == "send_order" else ()
    getattr(client, call)(upstream.record, *args)
    upstream.close()
    assert seen == [upstream.record]
