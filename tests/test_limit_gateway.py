"""An overloaded upstream that reports a request limit, behind one entry."""

import time

import pytest
from direct_help import (
    LAST_CHUNK,
    LEDGER,
    LLM,
    SIGNATURE,
    FakeUpstream,
    GatewayServer,
    event,
)

LIMIT_PER_S = 2.0
WINDOW_S, OVERAGE, SLACK = 4.0, 1.5, 5
PLAIN = "HTTP/1.1 200 X\r\n{}Content-Length: 4\r\n\r\ndone"
STREAMED = "HTTP/1.1 200 X\r\n{}Transfer-Encoding: chunked\r\n\r\n"


class LimitedUpstream(FakeUpstream):
    """Reports a limit in its answers and records when requests arrive."""

    def __init__(self, name, service=LEDGER, limit=str(LIMIT_PER_S)):
        self.limit = limit
        self.received_at = []
        super().__init__(name, self._answer, service)

    def _answer(self, req, sock):
        self.received_at.append(time.monotonic())
        header = f"Server-Limit: {self.limit}\r\n" if self.limit is not None else ""
        if "x-persimmonhitch-model" in req.headers:
            sock.sendall(
                STREAMED.format(SIGNATURE + header).encode() + event(1) + LAST_CHUNK
            )
        else:
            sock.sendall(PLAIN.format(SIGNATURE + header).encode())
        return True

    def max_in_window(self):
        """Return the maximum number of requests within a window."""
        return max(
            sum(at <= other < at + WINDOW_S for other in self.received_at)
            for at in self.received_at
        )


@pytest.mark.parametrize(("path", "service"), [("/read/x", LEDGER), ("/chat/x", LLM)])
def test_a_limited_upstream_receives_no_more_than_its_limit(path, service):
    """Guards against an upstream that is overloaded although it reports a limit."""
    up = LimitedUpstream("u1", service)
    refused = []
    with GatewayServer(up) as served:
        served.call(path)
        end = time.monotonic() + WINDOW_S
        while time.monotonic() < end:
            reply = served.call(path, X_Persimmonhitch_Request_Deadline="300")
            if reply.status != 200:
                refused.append(reply)
    assert up.max_in_window() <= LIMIT_PER_S * WINDOW_S * OVERAGE + SLACK
    assert len(up.received_at) >= LIMIT_PER_S * WINDOW_S / 2
    assert {reply.status for reply in refused} == {503}
    assert all(b"not_run" in reply.body for reply in refused)
    assert all(float(reply.headers["retry-after"]) > 0 for reply in refused)


def test_requests_above_the_limit_go_to_another_upstream():
    """Guards against refusals while another upstream has capacity."""
    ups = LimitedUpstream("u1"), LimitedUpstream("u2", limit=None)
    with GatewayServer(*ups) as served:
        statuses = {served.call("/read/x").status for _ in range(60)}
    assert statuses == {200}
    assert len(ups[0].received_at) <= LIMIT_PER_S * WINDOW_S * OVERAGE + SLACK
