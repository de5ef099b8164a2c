"""At-most-once bookings through real processes under failures."""

import signal
import threading

import pytest
from fleet import Fleet, start_fleet, wait_for
from golden_session import Session

SLOTS = "/v1/services/ledger/slots"


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path) as running:
        start_fleet(running, service_delay=0.4)
        yield running


def book(fleet, entry, key=None, **options):
    headers = {"Idempotency-Key": key} if key else {}
    return fleet.request(entry, "POST", SLOTS, "fretes", headers=headers, **options)


def start_booking(fleet, entry, key=None):
    """Start a booking on a thread; return a function that waits for its reply."""
    replies = []
    thread = threading.Thread(
        target=lambda: replies.append(book(fleet, entry, key, body=b"slot 7"))
    )
    before = len(fleet.runs("service-1"))
    thread.start()
    wait_for(lambda: len(fleet.runs("service-1")) > before, "the booking to run")

    def reply():
        thread.join()
        return replies[0]

    return reply


def test_booking_session(fleet):
    """Repeated bookings with an Idempotency-Key run at most once: through another
    entry, while the store is unavailable, after a lost store answer and after the
    sidecar was killed. A second run would book and bill twice.
    """
    session = Session("booking")
    first = book(fleet, "entry-1", "voyage-1", body=b"slot 7")
    session.add_reply("booking through entry-1", first)
    repeated = book(fleet, "entry-2", "voyage-1", body=b"slot 7")
    session.add_reply("the same again through entry-2", repeated)
    assert repeated.body == first.body
    assert repeated.headers["idempotency-replayed"] == "true"
    session.add("runs", fleet.runs("service-1"))

    conflicting = book(fleet, "entry-2", "voyage-1", body=b"slot 8")
    session.add_reply("another booking under the same key", conflicting)

    fleet.set_faults(down=True)
    session.add_reply("store down, with a key", book(fleet, "entry-1", "voyage-2"))
    session.add_reply("store down, without one", book(fleet, "entry-1"))
    fleet.set_faults()
    wait_for(
        lambda: book(fleet, "entry-2", "voyage-2").status == 200,
        "the refused booking to be accepted after the store recovers",
    )
    session.add("store back, with the same key: 200")
    session.add("runs", fleet.runs("service-1"))

    fleet.set_faults(lost_answers=1)
    lost = book(fleet, "entry-1", "voyage-3", body=b"slot 9")
    session.add_reply("the store's answer is lost after the write", lost)
    fleet.set_faults()
    session.add("runs", fleet.runs("service-1"))

    waiting = start_booking(fleet, "entry-1", "voyage-4")
    fleet.processes["sidecar-s1"].kill()
    session.add_reply("sidecar killed while the service books", waiting())
    session.add_reply(
        "the caller asks again", book(fleet, "entry-2", "voyage-4", body=b"slot 7")
    )
    session.add("runs", fleet.runs("service-1"))
    session.check()


def test_entry_killed_while_a_booking_runs(fleet):
    """An entry is killed while the service runs a booking. The caller's connection
    breaks and it repeats the request through the other entry, which must not run
    the booking a second time.
    """
    session = Session("booking_entry_killed")
    fleet.wait_shared("fretes", 2)
    with pytest.raises(Exception, match="onnection"):
        before = len(fleet.runs("service-1"))
        killer = threading.Thread(
            target=lambda: (
                wait_for(lambda: len(fleet.runs("service-1")) > before, "the run"),
                fleet.processes["entry-1"].signal(signal.SIGKILL),
            )
        )
        killer.start()
        try:
            book(fleet, "entry-1", "voyage-5", body=b"slot 7")
        finally:
            killer.join()
    session.add("entry-1 killed while the service books: connection broken")
    repeated = book(fleet, "entry-2", "voyage-5", body=b"slot 7")
    session.add_reply("the same again through entry-2", repeated)
    session.add("runs", fleet.runs("service-1"))
    session.check()
