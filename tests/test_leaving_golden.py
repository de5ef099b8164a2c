"""Entries and sidecars that leave while requests run."""

import signal
import threading

import pytest
from fleet import Fleet, start_fleet, wait_for
from golden_session import Session
from urllib3.exceptions import HTTPError

from persimmonhitch.store.objects import Kind

LONG = 150
"""Tokens of a stream that lasts about a second."""


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("leaving")) as running:
        start_fleet(running)
        yield running


def started(fleet, engine):
    answer = fleet.http.request("GET", fleet.urls[engine] + "/seen")
    return len(answer.json()["started"])


def start_stream(fleet, entry, count=LONG):
    """Start a stream on a thread; return a call that waits for its reply."""
    replies = []

    def run():
        replies.append(fleet.chat(entry, "fretes", "leaving", count, stream=True))

    before = started(fleet, "engine-1") + started(fleet, "engine-2")
    thread = threading.Thread(target=run)
    thread.start()
    wait_for(
        lambda: started(fleet, "engine-1") + started(fleet, "engine-2") > before,
        "the stream to start",
    )

    def reply():
        thread.join()
        return replies[0]

    return reply


def ready(fleet, entry):
    return fleet.http.request("GET", fleet.urls[entry] + "/readyz").status


def test_leaving_session(fleet):
    """VMs are replaced at any time while callers read streams. An upstream leaves:
    its streams end whole and it gets nothing new. An entry leaves: the balancer
    sees it first, its streams end whole, and it exits with 0.
    """
    session = Session("leaving")
    streams = [start_stream(fleet, "entry-1") for _ in range(6)]
    sidecar = fleet.processes["sidecar-e1"]
    sidecar.signal(signal.SIGTERM)
    replies = [reply() for reply in streams]
    whole = all(reply.body.endswith(b"data: [DONE]\n\n") for reply in replies)
    session.add("six streams while upstream e1 leaves, all whole:", whole)
    session.add("sidecar exits with", sidecar.popen.wait(15))
    before = started(fleet, "engine-1")
    codes = {fleet.chat("entry-2", "fretes", "more", 2).status for _ in range(8)}
    session.add("eight calls after it:", *codes)
    session.add("of these to e1:", started(fleet, "engine-1") - before)

    reply = start_stream(fleet, "entry-1")
    entry = fleet.processes["entry-1"]
    entry.signal(signal.SIGTERM)
    wait_for(lambda: ready(fleet, "entry-1") == 503, "entry-1 to be not ready")
    session.add("entry-1 leaves, readiness: 503")
    session.add("its stream is whole:", reply().body.endswith(b"data: [DONE]\n\n"))
    session.add("entry exits with", entry.popen.wait(15))
    session.check()


def test_a_frozen_upstream_whose_vm_leaves_gets_no_new_work(tmp_path):
    """A VM is told to leave while the sidecar on it hears nothing. The platform's
    list says so, and callers must not be sent there: their requests would hang
    until the VM is gone.
    """
    with Fleet(tmp_path) as fleet:
        start_fleet(fleet)
        fleet.store().create(Kind.VM, "vm-e1", {"state": "leaving"}).unwrap()
        fleet.processes["sidecar-e2"].kill()
        headers = {"X-Request-Timeout": "0.5"}

        def status():
            return fleet.chat("entry-1", "fretes", "call", 1, headers=headers).status

        wait_for(lambda: status() == 503, "the end of new work at e1")
        before = started(fleet, "engine-1")
        assert [status() for _ in range(3)] == [503, 503, 503]
        assert started(fleet, "engine-1") == before


def test_second_signal_ends_at_once(tmp_path):
    """An operator cannot wait for a long stream and sends a second signal. The
    process ends, says how many requests it cut, and the caller's stream ends
    without its last event, so that it doesn't pass for whole.
    """
    with Fleet(tmp_path) as fleet:
        start_fleet(fleet)
        cut = threading.Event()

        def run():
            try:
                body = fleet.chat("entry-1", "fretes", "long", 4000, stream=True).body
            except HTTPError:
                cut.set()
                return
            if b"[DONE]" not in body:
                cut.set()

        threading.Thread(target=run).start()
        wait_for(
            lambda: started(fleet, "engine-1") + started(fleet, "engine-2") > 0,
            "the stream to start",
        )
        entry = fleet.processes["entry-1"]
        entry.signal(signal.SIGTERM)
        wait_for(lambda: ready(fleet, "entry-1") == 503, "entry-1 to be not ready")
        entry.signal(signal.SIGTERM)
        entry.popen.wait(10)
        assert "event=stop_cut" in entry.log.read_text()
        assert cut.wait(10)


def test_signal_after_freeze_is_handled(tmp_path):
    """A VM is paused by its host and told to leave the moment it goes on. A process
    that missed the signal would run on until the platform kills it, and cut every
    request it has.
    """
    with Fleet(tmp_path) as fleet:
        process = fleet.standin("service-1", "service")
        fleet.record_urls("port", "service-1")
        process.signal(signal.SIGSTOP)
        wait_for(lambda: state_of(process.popen.pid) == "T", "the freeze")
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGTERM)
        assert process.popen.wait(5) == 0


def state_of(pid):
    with open(f"/proc/{pid}/stat") as stat:
        return stat.read().rsplit(")", 1)[1].split()[0]
