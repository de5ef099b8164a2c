"""Threads that run for the life of a process."""

import threading

import pytest
from fleet import wait_for
from returns.result import Success

from persimmonhitch.direct.crash_checks import CrashChecks
from persimmonhitch.kernel import threads
from persimmonhitch.kernel.threads import log_failed_threads, service_thread
from persimmonhitch.store.objects import Kind
from persimmonhitch.store.registration import Registration


@pytest.fixture
def lines(monkeypatch):
    logged = []
    monkeypatch.setattr(
        threads, "log", lambda event, **fields: logged.append((event, fields))
    )
    return logged


class FailsFirst:
    """Answers each call with an exception first, then with a value."""

    def __init__(self, value):
        self.calls = 0
        self._value = value

    def __call__(self, *_args):
        self.calls += 1
        if self.calls == 1:
            raise OverflowError("odd")
        return self._value


def test_failed_loop_begins_anew_and_says_why(lines):
    """Guards against a process that goes on without one of its threads."""
    run = FailsFirst(None)
    thread = service_thread("watchdog", run)
    thread.start()
    thread.join(5)
    assert not thread.is_alive()
    assert run.calls == 2
    assert [
        (event, fields["thread"], fields["failures"]) for event, fields in lines
    ] == [("thread_failed", "watchdog", 1)]


def test_crash_checks_go_on_after_an_error(lines):
    """Guards against suspected upstreams that are never checked again."""

    class Guard:
        due_checks = FailsFirst(())

    guard = Guard()
    checks = CrashChecks(guard, None)
    checks.start()
    wait_for(lambda: guard.due_checks.calls > 2, "further checks")
    checks.stop()
    assert len(lines) == 1


def test_registration_goes_on_after_an_error(lines):
    """Guards against an entry that no other entry hears of."""

    class Store:
        create = FailsFirst(Success(None))

    registration = Registration(Store(), Kind.ENTRY, "entry-0")
    registration.start({"zone": "z1"})
    assert registration.written.wait(5)
    assert len(lines) == 1


def test_exception_that_ends_a_thread_is_logged(lines, monkeypatch):
    """Guards against a thread of a request that ends without a line in the log."""
    monkeypatch.setattr(threading, "excepthook", threading.excepthook)
    log_failed_threads()
    thread = threading.Thread(target=FailsFirst(None), name="load")
    thread.start()
    thread.join(5)
    assert [(event, fields["thread"]) for event, fields in lines] == [
        ("thread_failed", "load")
    ]
