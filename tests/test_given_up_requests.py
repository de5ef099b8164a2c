"""Requests whose callers leave, or whose time ends, before their answer begins."""

import pytest
from direct_help import LLM, FakeUpstream, GatewayServer, config
from fleet import wait_for


@pytest.mark.parametrize("ends_by", ["caller", "deadline"])
def test_tokens_of_a_request_that_runs_are_not_returned(ends_by):
    """Guards against callers who exceed their rate by giving up early."""

    def never_answers(_req, sock):
        sock.plain.settimeout(5)
        sock.plain.recv(1)
        return False

    upstream = FakeUpstream("u1", never_answers, LLM)
    with GatewayServer(upstream, cfg=config(rate=0.001, burst=121.0)) as gateway:
        if ends_by == "caller":
            conn = gateway.open("/chat/x")
            wait_for(lambda: upstream.received, "the request")
            conn.close()
        else:
            assert gateway.call("/chat/x", X_Persimmonhitch_Request_Deadline="200")
        assert upstream.disconnected.wait(2)
        wait_for(lambda: not len(gateway.watchdog), "the end of the request")
        reply = gateway.call("/chat/x", X_Persimmonhitch_Request_Deadline="300")
    assert reply.status == 429
    assert len(upstream.received) == 1
