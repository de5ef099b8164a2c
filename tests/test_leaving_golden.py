"""Shutdown of entries and sidecars while requests are in progress."""

import signal
import threading

import pytest
from fleet import Fleet, start_fleet, wait_for
from golden_session import Session
from urllib3.exceptions import HTTPError

from persimmonhitch.store.objects import Kind

LONG = 150
"""Number of tokens of a stream that lasts about one second."""


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("leaving")) as running:
        start_fleet(running)
        yield running


def starts(fleet, engine):
    answer = fleet.http.request("GET", fleet.urls[engine] + "/seen")
    return len(answer.json()["started"])


def start_stream(fleet, entry, count=LONG):
    """Start a stream on a thread; return a function that waits for its reply."""
    replies = []

    def run():
        replies.append(fleet.chat(entry, "fretes", "leaving", count, stream=True))

    before = starts(fleet, "engine-1") + starts(fleet, "engine-2")
    thread = threading.Thread(target=run)
    thread.start()
    wait_for(
        lambda: starts(fleet, "engine-1") + starts(fleet, "engine-2") > before,
        "the stream to start",
    )

    def reply():
        thread.join()
        return replies[0]

    return reply


def readyz(fleet, entry):
    return fleet.http.request("GET", fleet.urls[entry] + "/readyz").status


def test_leaving_session(fleet):
    """VMs are replaced while callers read streams. A sidecar that shuts down must
    complete its streams and receive no new requests. An entry that shuts down must
    first report that it is not ready, then complete its streams and exit with 0.
    """
    session = Session("leaving")
    streams = [start_stream(fleet, "entry-1") for _ in range(6)]
    sidecar = fleet.processes["sidecar-e1"]
    sidecar.signal(signal.SIGTERM)
    replies = [reply() for reply in streams]
    complete = all(reply.body.endswith(b"data: [DONE]\n\n") for reply in replies)
    session.add("six streams while upstream e1 leaves, all whole:", complete)
    session.add("sidecar exits with", sidecar.popen.wait(15))
    before = starts(fleet, "engine-1")
    codes = {fleet.chat("entry-2", "fretes", "more", 2).status for _ in range(8)}
    session.add("eight calls after it:", *codes)
    session.add("of these to e1:", starts(fleet, "engine-1") - before)

    reply = start_stream(fleet, "entry-1")
    entry = fleet.processes["entry-1"]
    entry.signal(signal.SIGTERM)
    wait_for(lambda: readyz(fleet, "entry-1") == 503, "entry-1 to be not ready")
    session.add("entry-1 leaves, readiness: 503")
    session.add("its stream is whole:", reply().body.endswith(b"data: [DONE]\n\n"))
    session.add("entry exits with", entry.popen.wait(15))
    session.check()


def test_a_frozen_upstream_whose_vm_leaves_gets_no_new_work(tmp_path):
    """The platform marks a VM as leaving while its sidecar is frozen and can't report
    draining. The entry must use the platform's list and send no requests to that
    sidecar, where they would hang until the VM is removed.
    """
    with Fleet(tmp_path) as fleet:
        start_fleet(fleet)
        fleet.store().create(Kind.VM, "vm-e1", {"state": "leaving"}).unwrap()
        fleet.processes["sidecar-e2"].kill()
        headers = {"X-Request-Timeout": "0.5"}

        def status():
            return fleet.chat("entry-1", "fretes", "call", 1, headers=headers).status

        wait_for(lambda: status() == 503, "the end of new work at e1")
        before = starts(fleet, "engine-1")
        assert [status() for _ in range(3)] == [503, 503, 503]
        assert starts(fleet, "engine-1") == before


def test_second_signal_ends_at_once(tmp_path):
    """An operator sends a second signal instead of waiting for a long stream. The
    process must exit and log the number of aborted requests, and the caller's
    stream must lack its last event, so that it does not look complete.
    """
    with Fleet(tmp_path) as fleet:
        start_fleet(fleet)
        interrupted = threading.Event()

        def run():
            try:
                body = fleet.chat("entry-1", "fretes", "long", 4000, stream=True).body
            except HTTPError:
                interrupted.set()
                return
            if b"[DONE]" not in body:
                interrupted.set()

        threading.Thread(target=run).start()
        wait_for(
            lambda: starts(fleet, "engine-1") + starts(fleet, "engine-2") > 0,
            "the stream to start",
        )
        entry = fleet.processes["entry-1"]
        entry.signal(signal.SIGTERM)
        wait_for(lambda: readyz(fleet, "entry-1") == 503, "entry-1 to be not ready")
        entry.signal(signal.SIGTERM)
        entry.popen.wait(10)
        assert "event=stop_cut" in entry.log.read_text()
        assert interrupted.wait(10)


def test_signal_after_freeze_is_handled(tmp_path):
    """A VM is paused by its host and receives SIGTERM as soon as it resumes. A process
    that missed the signal would run until the platform kills it, and would abort
    all its requests.
    """
    with Fleet(tmp_path) as fleet:
        process = fleet.standin("service-1", "service")
        fleet.record_urls("port", "service-1")
        process.signal(signal.SIGSTOP)
        wait_for(lambda: process_state(process.popen.pid) == "T", "the freeze")
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGTERM)
        assert process.popen.wait(5) == 0


def process_state(pid):
    with open(f"/proc/{pid}/stat") as stat:
        return stat.read().rsplit(")", 1)[1].split()[0]
