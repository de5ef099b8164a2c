"""Statuses of upstreams that callers take for the promise that nothing ran."""

import pytest
from direct_help import LLM, FakeUpstream, GatewayServer, answer, sends

PROMISES = (408, 429, 503)


@pytest.mark.parametrize("path", ["/book/x", "/chat/x"])
@pytest.mark.parametrize("status", PROMISES)
def test_status_of_an_upstream_promises_nothing_that_it_did_not_state(status, path):
    """Guards against a caller who is told that a request has not run that has."""
    service = {"service": LLM} if path == "/chat/x" else {}
    upstream = FakeUpstream("u1", sends(answer(status, b"busy")), **service)
    with GatewayServer(upstream) as gateway:
        reply = gateway.call(path)
    assert reply.status == 502
    assert b'"may_have_run"' in reply.body
    assert "x-persimmonhitch-response-signature" not in reply.headers
    assert len(upstream.received) == 1


@pytest.mark.parametrize("status", PROMISES)
def test_idempotent_request_is_sent_on_after_an_unstated_refusal(status):
    """Guards against the loss of a request that another upstream can serve."""
    busy = FakeUpstream("u1", sends(answer(status, b"busy")))
    good = FakeUpstream("u2", sends(answer()))
    with GatewayServer(busy, good) as gateway:
        replies = [gateway.call("/read/x") for _ in range(4)]
    assert {reply.status for reply in replies} == {200}
