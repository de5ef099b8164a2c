"""Link failures between one sidecar and an entry, both in this process."""

import json
import threading
import time
from dataclasses import dataclass, replace
from types import SimpleNamespace

import pykka
import pytest
from fleet import wait_for

from persimmonhitch.decide.routing import UpstreamLoad
from persimmonhitch.entry.admitted import AdmittedCall
from persimmonhitch.entry.attempt import Attempt
from persimmonhitch.entry.calls import Call
from persimmonhitch.entry.exchange import MAX_UNREAD_BYTES
from persimmonhitch.entry.forward import _as_submit
from persimmonhitch.entry.sidecar_conn import SidecarConn
from persimmonhitch.entry.sidecar_info import SidecarInfo
from persimmonhitch.ids import new_incarnation, new_request_id
from persimmonhitch.observe.traces import Traces
from persimmonhitch.sidecar.dispatch import Dispatcher, DispatcherProxy
from persimmonhitch.sidecar.load import LoadMeter
from persimmonhitch.sidecar.server import SidecarServer
from persimmonhitch.sidecar.settings import SidecarSettings
from persimmonhitch.sidecar.upstream import Address, UpstreamCall
from persimmonhitch.standin.engine import EngineApp, EngineSpeed
from persimmonhitch.standin.engine_orders import EngineOrders
from persimmonhitch.standin.service import ServiceApp
from persimmonhitch.verdict import ErrorCode, Verdict
from persimmonhitch.web import WebServer
from persimmonhitch.wire.messages import (
    PROTOCOL,
    Chunk,
    End,
    Fail,
    Head,
    Hello,
    Priority,
    Role,
    UpstreamKind,
)

SECRET = "s"
FEED = SimpleNamespace(version=1, pull_if_newer=lambda _version: None)
HELLO = Hello(PROTOCOL, Role.ENTRY, "vm", "z1", "i", 1)


@dataclass
class Rig:
    """A simulated upstream, its sidecar and a connection to the sidecar."""

    app: object
    web: WebServer
    dispatcher: DispatcherProxy
    server: SidecarServer
    conn: SidecarConn

    def cut_link(self):
        """Abort the link and wait until the connection has noticed it."""
        self.conn.link.abort()
        wait_for(lambda: self.conn.link is None, "the link to end")

    def reconnect(self):
        assert self.conn.connect(HELLO)
        wait_for(self.conn.welcomed.is_set, "the welcome message")

    def restart_sidecar(self):
        """Replace the sidecar's dispatcher by one of a new incarnation."""
        incarnation = new_incarnation()
        call = UpstreamCall(Address("127.0.0.1", self.web.port), UpstreamKind.SERVICE)
        meter = LoadMeter(8, adaptive=False)
        self.server._incarnation = incarnation
        self.server._dispatcher = Dispatcher.launch(
            incarnation, call, meter, 8, 1e6, Traces(0.0)
        )

    def close(self):
        self.conn.close()
        self.server.stop()
        pykka.ActorRegistry.stop_all()
        self.web.close()


def start_sidecar(app, kind, port=0):
    web = WebServer(app, "127.0.0.1", 0, 8)
    web.start()
    cfg = SidecarSettings(
        vm="v",
        zone="z1",
        region="r1",
        host="127.0.0.1",
        secret=SECRET,
        upstream="u",
        kind=kind.value,
        url="",
        store="",
        port=port,
    )
    call = UpstreamCall(Address("127.0.0.1", web.port), kind)
    meter = LoadMeter(8, adaptive=False)
    incarnation = new_incarnation()
    dispatcher = Dispatcher.launch(incarnation, call, meter, 8, 1e6, Traces(0.0))
    server = SidecarServer(cfg, incarnation, dispatcher, meter)
    server.start()
    info = SidecarInfo(
        "u",
        "v",
        "z1",
        "r1",
        "127.0.0.1",
        server.port,
        kind,
        "ledger",
        incarnation,
        frozenset(),
        False,
    )
    rig = Rig(app, web, dispatcher, server, SidecarConn(info, SECRET.encode(), FEED))
    rig.reconnect()
    return rig


@pytest.fixture
def ledger():
    rig = start_sidecar(ServiceApp(delay=0.3), UpstreamKind.SERVICE)
    yield rig
    rig.close()


@pytest.fixture
def engine():
    orders = EngineOrders(80.0, 0.0, fenced=True)
    orders.preload("m:10:r1")
    app = EngineApp(orders, EngineSpeed(prefill=0.0, step=0.02))
    rig = start_sidecar(app, UpstreamKind.ENGINE)
    yield rig
    rig.close()


def admitted(service=None, body=b"", repeatable=False, timeout=5.0):
    path = "/slots" if service else "/v1/chat/completions"
    call = Call("m", service, "POST", path, {}, body, True, 0, timeout, None, "")
    return AdmittedCall(
        request=new_request_id(),
        account="fretes",
        call=call,
        config_version=lambda: 1,
        weight=1.0,
        priority=Priority.INTERACTIVE,
        cost=10.0,
        repeatable=repeatable,
        deadline_at=time.monotonic() + timeout,
        traceparent="",
        disconnected=lambda: False,
        key_withdrawn=lambda: False,
    )


def start_attempt(rig, req):
    """Run an attempt on a thread; return a wait function and the list of frames."""
    frames = []
    sub = _as_submit(req, rig.conn, 1, time.monotonic(), 1)
    attempt = Attempt(rig.conn, sub, req)
    thread = threading.Thread(target=lambda: frames.extend(attempt.frames()))
    thread.start()

    def wait_for_frames():
        thread.join(10)
        return frames

    return wait_for_frames, frames


def test_booking_resumes_over_a_new_link(ledger):
    """The link is lost while the service runs a request. The request must run once,
    and its answer must arrive completely over the new link.
    """
    req = admitted("ledger")
    wait_for_frames, _ = start_attempt(ledger, req)
    wait_for(lambda: ledger.app.runs, "the request to run")
    ledger.cut_link()
    ledger.reconnect()
    frames = wait_for_frames()
    assert isinstance(frames[-1], End)
    assert ledger.app.runs == {req.request: 1}


def test_stream_resumes_without_a_gap(engine):
    """The link is lost in the middle of a stream. The stream must complete with no
    chunk lost or repeated.
    """
    words = [f"w{number}" for number in range(20)]
    message = {"role": "user", "content": " ".join(words)}
    chat = {"model": "m", "messages": [message], "stream": True, "max_tokens": 20}
    req = admitted(body=json.dumps(chat).encode(), repeatable=True)
    wait_for_frames, frames = start_attempt(engine, req)
    wait_for(lambda: len(frames) > 5, "a few chunks")
    engine.cut_link()
    engine.reconnect()
    received = wait_for_frames()
    assert isinstance(received[-1], End)
    text = b"".join(f.data for f in received if isinstance(f, Chunk)).decode()
    streamed = [word for word in words if f'"{word} "' in text]
    assert streamed == words
    assert text.count('"content"') == 20


def test_restarted_sidecar_does_not_answer_not_run(ledger):
    """The sidecar restarts while the service runs a request. The new incarnation never
    received the request, but it may have run: after a verdict of not_run the caller
    would repeat it, and it would run twice.
    """
    req = admitted("ledger")
    wait_for_frames, _ = start_attempt(ledger, req)
    wait_for(lambda: ledger.app.runs, "the request to run")
    ledger.cut_link()
    ledger.restart_sidecar()
    ledger.reconnect()
    last = wait_for_frames()[-1]
    assert isinstance(last, Fail)
    assert (last.code, last.verdict) == (
        ErrorCode.UPSTREAM_LOST,
        Verdict.MAY_HAVE_RUN,
    )
    assert ledger.app.runs == {req.request: 1}


def test_lost_request_gets_a_tombstone(ledger):
    """The link fails while a request is sent, and the request is lost. After the
    sidecar has tombstoned its id, the verdict is not_run, and a delayed frame with
    this id must not run.
    """
    req = admitted("ledger")
    sub = _as_submit(req, ledger.conn, 1, time.monotonic(), 1)
    link, original_send = ledger.conn.link, ledger.conn.link.send
    link.send = lambda msg: True
    wait_for_frames, _ = start_attempt(ledger, req)
    wait_for(lambda: ledger.conn._exchanges, "the attempt")
    link.send = original_send
    ledger.cut_link()
    ledger.reconnect()
    last = wait_for_frames()[-1]
    assert isinstance(last, Fail)
    assert last.verdict is Verdict.NOT_RUN
    delayed = ledger.conn.submit(sub)
    answer = delayed.get(2.0)
    assert isinstance(answer, Fail)
    assert answer.verdict is Verdict.NOT_RUN
    assert ledger.app.runs == {}


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"incarnation": "earlier"}, ErrorCode.STALE_INCARNATION),
        ({"timeout_s": 0.0}, ErrorCode.DEADLINE),
    ],
)
def test_stale_or_expired_attempt_is_refused(ledger, change, code):
    """An attempt for an earlier incarnation of the sidecar, or one past its deadline,
    must be refused with the verdict not_run.
    """
    sub = replace(_as_submit(admitted("ledger"), ledger.conn, 1, 0.0, 1), **change)
    answer = ledger.conn.submit(sub).get(2.0)
    assert isinstance(answer, Fail)
    assert (answer.code, answer.verdict) == (code, Verdict.NOT_RUN)
    assert ledger.app.runs == {}


def test_duplicate_attempt_runs_once(ledger):
    """A frame is delivered twice. The second must be refused with the verdict on the
    first, and the service must get one request.
    """
    sub = _as_submit(admitted("ledger"), ledger.conn, 1, time.monotonic(), 1)
    first = ledger.conn.submit(sub)
    wait_for(lambda: ledger.app.runs, "the request to run")
    second = ledger.conn.submit(sub)
    answer = second.get(2.0)
    assert isinstance(answer, Fail)
    assert answer.verdict is Verdict.MAY_HAVE_RUN
    del first
    assert list(ledger.app.runs.values()) == [1]


def test_frames_of_other_attempts_are_dropped(ledger):
    """Frames of an earlier attempt, or out of order, arrive among those of the current
    attempt. The caller must not get a part of another answer.
    """
    conn = SidecarConn(ledger.conn.info, b"", FEED)
    conn.load = UpstreamLoad()
    conn.link = type("Sink", (), {"send": lambda self, msg: True})()
    sub = _as_submit(admitted("ledger"), ledger.conn, 2, time.monotonic(), 1)
    exchange = conn.submit(sub)

    conn.receive(Head(sub.request, 1, 200, {}))
    conn.receive(Chunk(sub.request, 2, 0, b"before its head"))
    conn.receive(Head(sub.request, 2, 200, {}))
    conn.receive(Chunk(sub.request, 2, 1, b"out of place"))
    conn.receive(Chunk("another", 2, 0, b"of another"))
    conn.receive(Chunk(sub.request, 2, 0, b"mine"))
    conn.receive(End(sub.request, 2, 2, 1.0))
    conn.receive(End(sub.request, 2, 1, 1.0))
    frames = [exchange.get(0.1) for _ in range(3)]
    assert [type(frame) for frame in frames] == [Head, Chunk, End]
    assert frames[1].data == b"mine"
    assert conn.dropped_frames == 5


def test_slow_reader_pauses_only_its_own_answer(engine):
    """One caller reads a long answer slowly while another answer arrives over the same
    link. The other answer must not be delayed, and the unread bytes must stay bounded.
    """
    content = "w" * 4000
    message = {"role": "user", "content": content}
    chat = {"model": "m", "messages": [message], "stream": True, "max_tokens": 2000}
    engine.app.speed = EngineSpeed(prefill=0.0, step=0.0)
    req = admitted(body=json.dumps(chat).encode(), repeatable=True, timeout=30.0)
    frames = Attempt(
        engine.conn, _as_submit(req, engine.conn, 1, time.monotonic(), 1), req
    )
    slow = frames.frames()
    next(slow)
    wait_for(lambda: engine.conn._exchanges[req.request][0]._paused, "the pause")
    short = {**chat, "messages": [{"role": "user", "content": "quick"}]}
    short["max_tokens"] = 3
    other = admitted(body=json.dumps(short).encode(), repeatable=True)
    wait_for_frames, _ = start_attempt(engine, other)
    assert isinstance(wait_for_frames()[-1], End)
    unread_bytes = engine.conn._exchanges[req.request][0]._unread_bytes
    assert unread_bytes < 2 * MAX_UNREAD_BYTES
    remaining = list(slow)
    assert isinstance(remaining[-1], End)
    text = b"".join(f.data for f in remaining if isinstance(f, Chunk))
    assert text.count(b'"content"') == 2000


def test_event_stream_of_a_plain_service_is_complete():
    """An event stream of a plain service has no final event as engines send it. The
    caller must get the complete stream and no error that the upstream was lost.
    """

    def events(environ, start_response):
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return [b"data: tide at noon\n\n"]

    rig = start_sidecar(events, UpstreamKind.SERVICE)
    wait_for_frames, _ = start_attempt(rig, admitted("ledger"))
    kinds = [type(frame) for frame in wait_for_frames()]
    rig.close()
    assert kinds == [Head, Chunk, End]


def test_wrong_secret_opens_no_link(ledger):
    """A process without the fleet's secret must not be able to open a link."""
    conn = SidecarConn(ledger.conn.info, b"wrong", FEED)
    assert not conn.connect(HELLO)
